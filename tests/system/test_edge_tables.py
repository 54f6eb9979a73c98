"""The edge's tables never regress, in whatever order and however often updates arrive."""

from __future__ import annotations

import json

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from arrowfold.configuration.tenants import Tenant, key_digest
from arrowfold.dataplane.events import EventSplitter
from arrowfold.dataplane.tables import FleetTables
from arrowfold.internal.messages import (
    STATE_ORIGIN,
    ConfigurationDelta,
    ConfigurationUpdate,
    DepartureUpdate,
    WorkerUpdate,
)
from tests.system.configurations import tenant
from tests.system.edge_stories import (
    ROUTES,
    configuration,
    configuration_update,
    response,
    route,
    worker,
)

INSTANCES = ("w1", "w2", "w3")
STATES = ("available", "silent", "draining", "gone")


class TablesMachine(RuleBasedStateMachine):
    """Applies configurations, workers and departures in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.tables = FleetTables()
        self.newest = 0
        self.departed: set[str] = set()
        self.gone: set[str] = set()
        self.calls: dict[str, int] = {}

    @rule(sequence=st.integers(1, 30), current=st.booleans())
    def receive_configuration(self, sequence: int, current: bool) -> None:
        update = configuration_update(configuration(ROUTES, version=sequence), sequence)
        self.tables.apply(response(update, current=current, state=sequence))
        if current or self.newest:
            self.newest = max(self.newest, sequence)

    @rule(instance=st.sampled_from(INSTANCES), state=st.sampled_from(STATES), call=st.integers(1, 9))
    def receive_worker(self, instance: str, state: str, call: int) -> None:
        self.tables.apply(response(WorkerUpdate("o", 1, worker(instance, "cards", state, call))))
        if call >= self.calls.get(instance, 0):
            self.calls[instance] = call
            if state in ("draining", "gone"):
                self.departed.add(instance)
            if state == "gone":
                self.gone.add(instance)

    @rule(instance=st.sampled_from(INSTANCES), state=st.sampled_from(("draining", "gone")))
    def receive_departure(self, instance: str, state: str) -> None:
        self.tables.apply(response(DepartureUpdate(1, instance, state)))
        self.departed.add(instance)
        if state == "gone":
            self.gone.add(instance)

    @invariant()
    def the_newest_configuration_is_in_force(self) -> None:
        known = self.tables.snapshot.configuration
        assert (known.sequence if known is not None else 0) == self.newest

    @invariant()
    def departed_workers_receive_no_requests(self) -> None:
        assert not any(self.tables.snapshot.can_send_to(instance) for instance in self.departed)
        assert not self.gone & set(self.tables.snapshot.workers)


TestTables = TablesMachine.TestCase
TestTables.settings = settings(max_examples=60, stateful_step_count=25, deadline=None)


def tables_at_version_3() -> FleetTables:
    tables = FleetTables()
    tables.apply(response(configuration_update(configuration(ROUTES, version=3), 3), state=3))
    return tables


def test_a_delta_on_the_known_version_is_applied() -> None:
    tables = tables_at_version_3()
    new_route = route("new", "/new/", "cards", "idempotent")
    patch = b'{"version":5,"upsert":{"routes":[%s]},"remove":{"routes":["pay"]}}' % _json(new_route)
    tables.apply(response(ConfigurationDelta(4, 3, 5, patch), state=4))
    known = tables.snapshot.configuration
    assert known is not None and (known.sequence, known.version) == (4, 5)
    assert known.routes.match("shop.example", "/new/1") is not None
    assert known.routes.match("shop.example", "/pay/1") is None


def test_a_delta_on_another_version_requests_the_full_document() -> None:
    tables = tables_at_version_3()
    assert tables.vector[STATE_ORIGIN] == 3
    tables.apply(response(ConfigurationDelta(6, 5, 7, b'{"version":7}'), state=6))
    known = tables.snapshot.configuration
    assert known is not None and known.version == 3
    assert STATE_ORIGIN not in tables.vector
    whole = ConfigurationUpdate(6, 7, _json(configuration(ROUTES, version=7)))
    tables.apply(response(whole, state=6))
    assert tables.snapshot.configuration is not None and tables.snapshot.configuration.version == 7


def _json(value: object) -> bytes:
    return json.dumps(value).encode()


@given(st.data())
def test_events_are_complete_however_the_bytes_are_split(data: st.DataObject) -> None:
    ends = data.draw(st.lists(st.sampled_from([b"\n\n", b"\r\n\r\n"]), min_size=1, max_size=6))
    raw = [b"id: %d\ndata: x%d" % (number, number) + end for number, end in enumerate(ends)]
    stream = b"".join(raw) + b"id: 99\nda"
    splits = sorted(data.draw(st.lists(st.integers(0, len(stream)), max_size=8)))
    splitter = EventSplitter()
    events = []
    for start, end in zip([0, *splits], [*splits, len(stream)], strict=True):
        events.extend(splitter.feed(stream[start:end]))
    assert [event.data for event in events] == raw
    assert [event.event_id for event in events] == list(range(len(raw)))
    assert splitter.pending == b"id: 99\nda"


# Guards against keys in an edge's memory, which would be readable in a memory dump.
def test_given_a_control_node_that_sends_keys_then_the_edge_stores_none() -> None:
    tables = FleetTables()
    document = configuration(ROUTES, version=3) | {"tenants": [tenant("acme", "marked-1"), tenant("b")]}
    tables.apply(response(configuration_update(document, 3), state=3))
    patch = _json({"version": 5, "upsert": {"tenants": [tenant("b", "marked-2")]}})
    tables.apply(response(ConfigurationDelta(4, 3, 5, patch), state=4))
    known = tables.snapshot.configuration
    assert known is not None and known.version == 5
    assert "marked" not in repr(known.document)
    assert [known.routes.tenants.find(key_digest(key)) for key in (b"marked-1", b"marked-2", b"x")] == [
        Tenant("acme"),
        Tenant("b"),
        None,
    ]


def test_given_a_key_removed_by_a_delta_then_the_edge_no_longer_finds_it() -> None:
    tables = FleetTables()
    document = configuration(ROUTES, version=3) | {"tenants": [tenant("acme", "k1", "k2")]}
    tables.apply(response(configuration_update(document, 3), state=3))
    patch = _json({"version": 5, "upsert": {"tenants": [tenant("acme", "k2")]}})
    tables.apply(response(ConfigurationDelta(4, 3, 5, patch), state=4))
    known = tables.snapshot.configuration
    assert known is not None
    assert known.routes.tenants.find(key_digest(b"k1")) is None
    assert known.routes.tenants.find(key_digest(b"k2")) == Tenant("acme")

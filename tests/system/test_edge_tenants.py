"""Keys and tenants at an edge: which requests are admitted, and which headers a worker receives.

CONFIG, ROUTE and UNASKED are the names of guarantees on the pages about tenants.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arrowfold.dataplane.exchange import ClientRequest, SendFailure, WorkerRequest
from arrowfold.internal.messages import WorkerUpdate
from arrowfold.node.result_codes import ResultCode
from tests.system.edge_stories import (
    HOST,
    ROUTES,
    EdgeHarness,
    RecordedAnswer,
    ScriptedAnswer,
    answers,
    configuration,
    configuration_update,
    events,
    rejected,
    route,
    whole,
    worker,
)
from tests.system.virtual_time import run_virtual

KEY = "k3y-of-huka-9f27c1"
OTHER_KEY = "k3y-of-puhu-55ab03"
AUTHORIZATION = (b"Authorization", b"Bearer " + KEY.encode())
TENANTS = [
    {"name": "huka", "apiKeys": [KEY], "priority": 0},
    {"name": "puhu", "apiKeys": [OTHER_KEY]},
]
TENANT_ROUTES = [*ROUTES, route("open", "/open/", "cards", "idempotent", publicAccess=True)]


def with_tenants(tenants: list[dict[str, Any]] | None, version: int = 1) -> dict[str, Any]:
    """Returns a configuration with these tenants, or without the member if they are None."""
    document = configuration(TENANT_ROUTES, version)
    return document if tenants is None else {**document, "tenants": tenants}


def edge_with_tenants(*workers: str, service: str = "cards", **more: Any) -> EdgeHarness:
    """Returns an edge whose configuration has two tenants, and these workers."""
    edge = EdgeHarness(**more)
    edge.tell(configuration_update(with_tenants(TENANTS)))
    edge.tell(*(WorkerUpdate("origin", 1, worker(name, service)) for name in workers))
    return edge


def values(request: WorkerRequest, name: bytes) -> list[bytes]:
    return [value for key, value in request.headers if key.strip().lower() == name]


def assert_worker_receives_only_the_owner(request: WorkerRequest, tenant: bytes) -> None:
    assert values(request, b"x-tenant") == [tenant]
    assert values(request, b"authorization") == []
    assert not any(KEY.encode() in value for _, value in request.headers)


def test_given_a_key_then_the_worker_receives_its_owners_name_and_not_the_key() -> None:
    """Guards against UNASKED: the client's key was forwarded, and no tenant was named."""

    async def scenario() -> None:
        edge = edge_with_tenants("w1")
        edge.workers.scripts["w1"] = answers(whole())
        assert (await edge.ask("/pay/1", AUTHORIZATION)).status == 200
        assert_worker_receives_only_the_owner(edge.workers.arrivals[0][1], b"huka")

    run_virtual(scenario())


def test_given_a_retry_then_the_second_worker_does_not_receive_the_key_either() -> None:
    """Guards against UNASKED: the client's key was forwarded at each attempt."""

    async def scenario() -> None:
        edge = edge_with_tenants("w1", "w2")
        edge.workers.scripts["w1"] = answers(SendFailure.LOST)
        edge.workers.scripts["w2"] = answers(SendFailure.LOST)
        await edge.ask("/look/1", AUTHORIZATION)
        assert len(edge.workers.arrivals) == 2
        for _, request in edge.workers.arrivals:
            assert_worker_receives_only_the_owner(request, b"huka")

    run_virtual(scenario())


def test_given_a_rejected_request_then_the_next_worker_does_not_receive_the_key_either() -> None:
    """Guards against UNASKED: the client's key was forwarded at each attempt."""

    async def scenario() -> None:
        edge = edge_with_tenants("w1", "w2")
        edge.workers.scripts["w1"] = answers(rejected())
        edge.workers.scripts["w2"] = answers(rejected())
        await edge.ask("/pay/1", AUTHORIZATION)
        assert len(edge.workers.arrivals) == 2
        for _, request in edge.workers.arrivals:
            assert_worker_receives_only_the_owner(request, b"huka")

    run_virtual(scenario())


def test_given_a_resumed_stream_then_its_second_worker_does_not_receive_the_key() -> None:
    """Guards against UNASKED: the client's key was forwarded when a stream was resumed."""

    async def scenario() -> None:
        edge = edge_with_tenants("w1", "w2", service="models")
        edge.workers.scripts["w1"] = answers(events(1, 2, is_interrupted=True), events(3, 4))
        edge.workers.scripts["w2"] = edge.workers.scripts["w1"]
        answer = await edge.ask("/talk/1", AUTHORIZATION)
        assert answer.complete
        assert len(edge.workers.arrivals) == 2
        for _, request in edge.workers.arrivals:
            assert_worker_receives_only_the_owner(request, b"huka")

    run_virtual(scenario())


@pytest.mark.parametrize(
    "foreign",
    [
        ((b"X-Tenant", b"puhu"),),
        ((b"x-tenant", b"puhu"), (b"X-TENANT", b"puhu"), (b"X-Tenant", b"huka")),
        ((b"X-tenant", b""), (b"Connection", b"X-Tenant")),
    ],
)
def test_given_a_tenant_named_by_the_client_then_the_worker_receives_only_the_keys_owner(
    foreign: tuple[tuple[bytes, bytes], ...],
) -> None:
    """Guards against UNASKED: the client's own X-Tenant was forwarded."""

    async def scenario() -> None:
        edge = edge_with_tenants("w1")
        edge.workers.scripts["w1"] = answers(whole())
        await edge.ask("/pay/1", *foreign, AUTHORIZATION)
        assert_worker_receives_only_the_owner(edge.workers.arrivals[0][1], b"huka")

    run_virtual(scenario())


@pytest.mark.parametrize("tenants", [TENANTS, None])
def test_given_no_key_on_a_public_route_then_the_worker_receives_no_tenant(
    tenants: list[dict[str, Any]] | None,
) -> None:
    """Guards against UNASKED: the client's own X-Tenant was forwarded."""

    async def scenario() -> None:
        edge = edge_with_tenants("w1")
        edge.tell(configuration_update(with_tenants(tenants, 2), 2))
        edge.workers.scripts["w1"] = answers(whole())
        assert (await edge.ask("/open/1", (b"x-TENANT", b"puhu"))).status == 200
        assert values(edge.workers.arrivals[0][1], b"x-tenant") == []

    run_virtual(scenario())


def code_of(answer: RecordedAnswer) -> int:
    """Returns the result code of an edge's own answer."""
    code: int = json.loads(answer.body)["code"]
    return code


def remove_key(edge: EdgeHarness, version: int = 2) -> None:
    """Sends the edge a configuration without the first tenant's key."""
    edge.tell(configuration_update(with_tenants(TENANTS[1:], version), version))


# Admission


@pytest.mark.parametrize(
    ("headers", "status", "code"),
    [
        ((), 401, ResultCode.KEY_MISSING),
        (((b"Authorization", b"Bearer nobodys-key"),), 401, ResultCode.KEY_UNKNOWN),
        (((b"Authorization", b"Bearer " + KEY.encode().upper()),), 401, ResultCode.KEY_UNKNOWN),
        (((b"Authorization", b"Basic " + KEY.encode()),), 401, ResultCode.KEY_MALFORMED),
        (((b"Authorization", KEY.encode()),), 401, ResultCode.KEY_MALFORMED),
        (((b"Authorization", b"Bearer"),), 401, ResultCode.KEY_MALFORMED),
        (((b"Authorization", b""),), 401, ResultCode.KEY_MALFORMED),
        (((b"Authorization", b"   "),), 401, ResultCode.KEY_MALFORMED),
        (((b"Authorization", b"Bearer " + KEY.encode() + b" more"),), 401, ResultCode.KEY_MALFORMED),
        ((AUTHORIZATION, AUTHORIZATION), 400, ResultCode.KEY_MALFORMED),
        ((AUTHORIZATION, (b"authorization", b"Bearer x")), 400, ResultCode.KEY_MALFORMED),
    ],
)
def test_given_no_valid_key_then_nothing_runs_and_the_answer_names_the_reason(
    headers: tuple[tuple[bytes, bytes], ...], status: int, code: ResultCode
) -> None:
    """Guards against ROUTE: a request ran with a key that was in no configuration."""

    async def scenario() -> None:
        edge = edge_with_tenants("w1")
        edge.workers.scripts["w1"] = answers(whole())
        answer = await edge.ask("/pay/1", *headers)
        assert (answer.status, code_of(answer)) == (status, code)
        assert answer.header("WWW-Authenticate") == ("Bearer" if status == 401 else None)
        assert edge.workers.arrivals == []

    run_virtual(scenario())


@pytest.mark.parametrize("value", [b"bearer " + KEY.encode(), b"BEARER   " + KEY.encode() + b" "])
def test_the_schemes_case_and_the_spaces_around_a_key_are_ignored(value: bytes) -> None:
    async def scenario() -> None:
        edge = edge_with_tenants("w1")
        edge.workers.scripts["w1"] = answers(whole())
        assert (await edge.ask("/pay/1", (b"authorization", value))).status == 200

    run_virtual(scenario())


def test_given_an_unknown_key_on_a_public_route_then_it_is_refused_as_well() -> None:
    """Guards against ROUTE: a request ran with a key that was in no configuration."""

    async def scenario() -> None:
        edge = edge_with_tenants("w1")
        edge.workers.scripts["w1"] = answers(whole())
        answer = await edge.ask("/open/1", (b"Authorization", b"Bearer nobodys-key"))
        assert (answer.status, code_of(answer)) == (401, ResultCode.KEY_UNKNOWN)
        assert (await edge.ask("/open/1", AUTHORIZATION)).status == 200
        assert values(edge.workers.arrivals[0][1], b"x-tenant") == [b"huka"]

    run_virtual(scenario())


def test_given_a_configuration_without_tenants_then_no_key_is_needed() -> None:
    async def scenario() -> None:
        edge = EdgeHarness()
        edge.tell(configuration_update(with_tenants(None)), WorkerUpdate("o", 1, worker("w1", "cards")))
        edge.workers.scripts["w1"] = answers(whole())
        assert (await edge.ask("/pay/1")).status == 200
        assert (await edge.ask("/pay/1", (b"Authorization", b"Basic x"))).status == 200
        assert values(edge.workers.arrivals[1][1], b"authorization") == [b"Basic x"]

    run_virtual(scenario())


def test_given_settings_that_list_tenants_then_authorization_is_never_forwarded() -> None:
    """Guards against UNASKED: a key was forwarded while the edge's configuration had no tenants yet."""

    async def scenario() -> None:
        edge = EdgeHarness(always_hides_keys=True)
        edge.tell(configuration_update(with_tenants(None)), WorkerUpdate("o", 1, worker("w1", "cards")))
        edge.workers.scripts["w1"] = answers(whole())
        assert (await edge.ask("/pay/1", AUTHORIZATION)).status == 200
        assert values(edge.workers.arrivals[0][1], b"authorization") == []

    run_virtual(scenario())


def test_given_no_tenants_and_a_stale_configuration_then_a_key_is_refused_until_it_is_fresh() -> None:
    """Guards against CONFIG: an edge partitioned since before tenants were added served removed keys."""

    async def scenario() -> None:
        fresh = False
        edge = EdgeHarness(keys_are_fresh=lambda: fresh)
        edge.tell(configuration_update(with_tenants(None)), WorkerUpdate("o", 1, worker("w1", "cards")))
        edge.workers.scripts["w1"] = answers(whole())
        answer = await edge.ask("/pay/1", AUTHORIZATION)
        assert (answer.status, code_of(answer)) == (503, ResultCode.KEY_NOT_VERIFIABLE)
        assert (await edge.ask("/pay/1")).status == 200
        fresh = True
        assert (await edge.ask("/pay/1", AUTHORIZATION)).status == 200

    run_virtual(scenario())


def test_an_unknown_route_is_refused_before_a_key_is_checked() -> None:
    async def scenario() -> None:
        edge = edge_with_tenants("w1")
        assert (await edge.ask("/nowhere/1")).status == 404

    run_virtual(scenario())


def test_a_tenants_priority_overrides_the_routes() -> None:
    async def scenario() -> None:
        edge = edge_with_tenants("w1")
        edge.workers.scripts["w1"] = answers(whole())
        await edge.ask("/pay/1", AUTHORIZATION)
        await edge.ask("/pay/1", (b"Authorization", b"Bearer " + OTHER_KEY.encode()))
        assert [request.priority for _, request in edge.workers.arrivals] == [0, 1]

    run_virtual(scenario())


# Removed keys


def test_given_a_removed_key_then_the_next_request_is_answered_401() -> None:
    """Guards against CONFIG: a request ran with a removed key."""

    async def scenario() -> None:
        edge = edge_with_tenants("w1")
        edge.workers.scripts["w1"] = answers(whole())
        assert (await edge.ask("/pay/1", AUTHORIZATION)).status == 200
        remove_key(edge)
        answer = await edge.ask("/pay/1", AUTHORIZATION)
        assert (answer.status, code_of(answer)) == (401, ResultCode.KEY_UNKNOWN)

    run_virtual(scenario())


def test_given_a_waiting_request_whose_key_is_removed_then_it_is_answered_401_immediately() -> None:
    """Guards against CONFIG: a request that had waited ran with a removed key."""

    async def scenario() -> None:
        edge = edge_with_tenants()
        edge.workers.scripts["w1"] = answers(events(1, 2))
        task = asyncio.create_task(edge.ask("/talk/1", AUTHORIZATION))
        await asyncio.sleep(0.3)
        remove_key(edge)
        answer = await task
        assert (answer.status, code_of(answer)) == (401, ResultCode.KEY_UNKNOWN)
        assert answer.ended_s == pytest.approx(0.3, abs=0.01)

    run_virtual(scenario())


@pytest.mark.parametrize(("lost", "status"), [(False, 401), (True, 502)])
def test_given_a_key_removed_during_an_attempt_then_there_is_no_retry(lost: bool, status: int) -> None:
    """Guards against CONFIG: a retry began with a removed key."""

    async def scenario() -> None:
        edge = edge_with_tenants("w1", "w2")

        async def first_attempt(request: WorkerRequest) -> ScriptedAnswer | SendFailure:
            remove_key(edge)
            return SendFailure.LOST if lost else rejected()

        edge.workers.scripts["w1"] = edge.workers.scripts["w2"] = first_attempt
        answer = await edge.ask("/look/1", AUTHORIZATION)
        assert answer.status == status
        assert len(edge.workers.arrivals) == 1

    run_virtual(scenario())


def test_given_a_removed_key_then_a_running_stream_continues_but_is_not_resumed() -> None:
    """Guards against CONFIG: a stream was resumed with a removed key."""

    async def scenario() -> None:
        edge = edge_with_tenants("w1", "w2", service="models")
        script = answers(events(1, 10, pause_s=0.1, is_interrupted=True), events(11, 12))
        edge.workers.scripts["w1"] = edge.workers.scripts["w2"] = script
        task = asyncio.create_task(edge.ask("/talk/1", AUTHORIZATION))
        await asyncio.sleep(0.3)
        remove_key(edge)
        answer = await task
        assert answer.aborted and not answer.complete
        assert answer.body.count(b"data:") == 10
        assert len(edge.workers.arrivals) == 1

    run_virtual(scenario())


def test_given_a_key_with_a_new_owner_then_a_waiting_request_runs_for_that_owner() -> None:
    """Guards against UNASKED: a request that had waited named the key's previous owner."""

    async def scenario() -> None:
        edge = edge_with_tenants()
        edge.workers.scripts["w1"] = answers(events(1, 2))
        task = asyncio.create_task(edge.ask("/talk/1", AUTHORIZATION))
        await asyncio.sleep(0.3)
        new_owner = [{"name": "puhu", "apiKeys": [KEY], "priority": 3}]
        edge.tell(configuration_update(with_tenants(new_owner, 2), 2))
        edge.tell(WorkerUpdate("origin", 2, worker("w1", "models")))
        assert (await task).status == 200
        assert_worker_receives_only_the_owner(edge.workers.arrivals[0][1], b"puhu")
        assert edge.workers.arrivals[0][1].priority == 3

    run_virtual(scenario())


def test_given_tenants_removed_while_a_request_waits_then_its_key_is_still_not_forwarded() -> None:
    """Guards against UNASKED: a key was forwarded because the configuration no longer had tenants."""

    async def scenario() -> None:
        edge = edge_with_tenants()
        edge.workers.scripts["w1"] = answers(events(1, 2))
        task = asyncio.create_task(edge.ask("/talk/1", AUTHORIZATION))
        await asyncio.sleep(0.3)
        edge.tell(configuration_update(with_tenants(None, 2), 2))
        edge.tell(WorkerUpdate("origin", 2, worker("w1", "models")))
        assert (await task).status == 200
        assert values(edge.workers.arrivals[0][1], b"authorization") == []

    run_virtual(scenario())


# A configuration that is not known to be fresh


def test_given_a_stale_configuration_then_only_requests_with_a_key_are_refused() -> None:
    """Guards against CONFIG: a partitioned edge served a removed key."""

    async def scenario() -> None:
        edge = edge_with_tenants("w1", keys_are_fresh=lambda: False)
        edge.workers.scripts["w1"] = answers(whole())
        answer = await edge.ask("/pay/1", AUTHORIZATION)
        assert (answer.status, code_of(answer)) == (503, ResultCode.KEY_NOT_VERIFIABLE)
        assert answer.header("Retry-After") is not None
        assert (await edge.ask("/pay/1")).status == 401
        assert edge.workers.arrivals == []
        assert (await edge.ask("/open/1")).status == 200

    run_virtual(scenario())


def test_freshness_is_checked_only_for_requests_that_carry_a_key() -> None:
    async def scenario() -> None:
        calls: list[float] = []

        def keys_are_fresh() -> bool:
            calls.append(edge.loop.time())
            return True

        edge = edge_with_tenants("w1", keys_are_fresh=keys_are_fresh)
        edge.workers.scripts["w1"] = answers(whole())
        await edge.ask("/open/1")
        assert calls == []
        await edge.ask("/pay/1", AUTHORIZATION)
        assert len(calls) >= 2  # on arrival and at the begin of the attempt

    run_virtual(scenario())


@pytest.mark.parametrize(("lost", "status"), [(False, 503), (True, 502)])
def test_given_a_configuration_that_becomes_stale_during_an_attempt_then_there_is_no_retry(
    lost: bool, status: int
) -> None:
    """Guards against CONFIG: a retry began at an edge whose configuration had become stale."""

    async def scenario() -> None:
        fresh = [True]

        async def first_attempt(request: WorkerRequest) -> ScriptedAnswer | SendFailure:
            fresh[0] = False
            return SendFailure.LOST if lost else rejected()

        edge = edge_with_tenants("w1", "w2", keys_are_fresh=lambda: fresh[0])
        edge.workers.scripts["w1"] = edge.workers.scripts["w2"] = first_attempt
        assert (await edge.ask("/look/1", AUTHORIZATION)).status == status
        assert len(edge.workers.arrivals) == 1

    run_virtual(scenario())


def test_given_a_configuration_that_becomes_stale_then_a_running_stream_continues() -> None:
    async def scenario() -> None:
        edge = edge_with_tenants("w1", service="models", keys_are_fresh=lambda: edge.loop.time() < 0.2)
        edge.workers.scripts["w1"] = answers(events(1, 10, pause_s=0.1))
        answer = await edge.ask("/talk/1", AUTHORIZATION)
        assert answer.complete and answer.body.count(b"data:") == 10

    run_virtual(scenario())


# Outputs that never contain a key


class RecordedTraces:
    """Keeps trace records as text."""

    def __init__(self) -> None:
        self.text = ""

    def write(self, kind: str, fields: dict[str, Any]) -> None:
        """Appends one record."""
        self.text += repr((kind, fields))


def test_given_a_known_key_then_no_output_of_the_edge_contains_it() -> None:
    """Guards against a key in traces, answers, errors and the representation of requests."""

    async def scenario() -> None:
        traces = RecordedTraces()
        edge = edge_with_tenants("w1", traces=traces)
        for scripted in (whole(b"", 500), rejected(), SendFailure.LOST):
            edge.workers.scripts["w1"] = answers(scripted)
            answer = await edge.ask("/look/1", AUTHORIZATION)
            assert KEY not in repr(answer)
        remove_key(edge)
        assert KEY not in repr(await edge.ask("/look/1", AUTHORIZATION))
        assert traces.text.count("attempt-") == 3
        assert KEY not in traces.text
        assert KEY not in repr(edge.request("/look/1", AUTHORIZATION))
        assert KEY not in repr(edge.workers.arrivals)

    run_virtual(scenario())


def header_spellings(name: str) -> st.SearchStrategy[bytes]:
    """Returns a header's name in any mixture of cases."""
    letters = [st.sampled_from([letter.lower(), letter.upper()]) for letter in name]
    return st.tuples(*letters).map(lambda drawn: "".join(drawn).encode())


NAMES = st.one_of(
    header_spellings("authorization"),
    header_spellings("x-tenant"),
    header_spellings("connection"),
    st.sampled_from([b"Accept", b"X-Model", b"Proxy-Authorization", b"Last-Event-Id"]),
)
SPACES = st.sampled_from([b"", b" ", b"  ", b"\t"])
VALUES = st.one_of(
    st.builds(
        lambda before, scheme, between, after: before + scheme + between + KEY.encode() + after,
        SPACES,
        st.sampled_from([b"Bearer", b"bearer", b"BEARER", b"Basic", b""]),
        SPACES,
        SPACES,
    ),
    st.sampled_from([b"huka", b"puhu", b"X-Tenant", b"authorization, x-tenant", b"close", b"7", b""]),
)


def without_key_elsewhere(headers: list[tuple[bytes, bytes]]) -> tuple[tuple[bytes, bytes], ...]:
    """Drops headers by which the client itself publishes its key under another name."""
    kept = ("authorization", "proxy-authorization", "connection", "x-tenant")
    return tuple(
        (name, value) for name, value in headers if name.lower().decode() in kept or KEY.encode() not in value
    )


@given(
    st.lists(st.tuples(NAMES, VALUES), max_size=6).map(without_key_elsewhere),
    st.sampled_from(["/pay/1", "/look/1", "/open/1", "/talk/1"]),
)
@settings(max_examples=300, deadline=None)
def test_whatever_headers_arrive_no_worker_receives_a_key_or_a_tenant_other_than_its_owner(
    headers: tuple[tuple[bytes, bytes], ...], path: str
) -> None:
    """Guards against UNASKED: a spelling or repetition of a header that is not recognised."""

    async def scenario() -> None:
        edge = edge_with_tenants("w1", "w2")
        edge.tell(*(WorkerUpdate("origin", 2, worker(name, "models")) for name in ("m1", "m2")))
        for name in ("w1", "w2"):
            edge.workers.scripts[name] = answers(SendFailure.LOST)
        for name in ("m1", "m2"):
            edge.workers.scripts[name] = answers(events(1, 2, is_interrupted=True))
        base = ((b"X-Attempt-Id", b"a1"), (b"X-Model", b"m1"))
        request = ClientRequest("POST", path, HOST, base + headers, b"", edge.loop.time())
        await edge.forwarder.forward(request, RecordedAnswer())
        has_key = any(name.lower() == b"authorization" for name, _ in headers)
        for _, sent in edge.workers.arrivals:
            assert values(sent, b"authorization") == []
            assert values(sent, b"x-tenant") == ([b"huka"] if has_key else [])
            assert not any(KEY.encode() in value for _, value in sent.headers)

    run_virtual(scenario())

"""The edge's tables of configuration, workers and placement, as immutable snapshots that are swapped whole.

Entries never regress: a configuration is only replaced by one at a higher position, a worker's record only
by a record from a later call of that worker, and a departure is final.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from arrowfold.configuration.json_text import JsonObject, read_object
from arrowfold.configuration.patches import apply_delta_value
from arrowfold.configuration.routes import RouteTable
from arrowfold.configuration.tenants import without_keys
from arrowfold.internal.messages import (
    STATE_ORIGIN,
    ClusterView,
    ConfigurationDelta,
    ConfigurationUpdate,
    DepartureUpdate,
    PlacementUpdate,
    PullResponse,
    WorkerCorrection,
    WorkerRecord,
    WorkerUpdate,
)

MAX_DEPARTURES = 20_000
AVAILABLE, UNRESPONSIVE, DRAINING, REMOVED = "available", "silent", "draining", "gone"
_SEVERITY = {AVAILABLE: 0, UNRESPONSIVE: 1, DRAINING: 2, REMOVED: 3}


@dataclass(frozen=True, slots=True)
class ConfigurationSnapshot:
    """A configuration in force: its position in the replicated state, its document and its routes.

    The document holds digests in place of tenants' keys, even if the control node sent the keys.
    """

    sequence: int
    version: int
    document: JsonObject
    routes: RouteTable


@dataclass(frozen=True, slots=True)
class CorrectionTable:
    """The corrections in force of one service, by instance, after update `counter` of `origin`."""

    origin: str
    token: int
    counter: int
    corrections: dict[str, WorkerCorrection]


@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """The tables that a request is served by; `configuration` is None until a current node has sent one."""

    configuration: ConfigurationSnapshot | None = None
    workers: dict[str, WorkerRecord] = field(default_factory=dict)
    view: ClusterView | None = None
    placements: dict[str, CorrectionTable] = field(default_factory=dict)  # by service

    def can_send_to(self, instance: str) -> bool:
        """Returns whether new requests may be sent to this worker."""
        record = self.workers.get(instance)
        return record is not None and record.state in (AVAILABLE, UNRESPONSIVE)


class FleetTables:
    """Applies control nodes' pull responses and publishes the resulting snapshots."""

    def __init__(self) -> None:
        self.snapshot = FleetSnapshot()
        self.vector: dict[str, int] = {}
        self.needs_full_configuration = False  # a delta could not be applied, and no full document followed
        self._departures: dict[str, DepartureUpdate] = {}

    def apply(self, response: PullResponse) -> bool:
        """Applies a pull response and returns whether the snapshot changed.

        A response of a node that is not current is ignored as long as no configuration is known.
        """
        if self.snapshot.configuration is None and not response.current:
            return False
        before = self.snapshot
        workers = dict(before.workers)
        configuration = before.configuration
        placements = before.placements
        delta_failed = received_full_update = False
        for update in response.updates:
            if isinstance(update, WorkerUpdate):
                self._apply_worker(workers, update.record)
            elif isinstance(update, DepartureUpdate):
                self._apply_departure(workers, update)
            elif isinstance(update, PlacementUpdate):
                placements = _with_placement(placements, update)
            else:
                applied = _after_update(configuration, update)
                delta_failed = delta_failed or applied is None
                received_full_update = received_full_update or isinstance(update, ConfigurationUpdate)
                configuration = applied or configuration
        self.needs_full_configuration = delta_failed or (
            self.needs_full_configuration and not received_full_update
        )
        self._merge_vector(response.vector)
        view = _newer_view(before.view, response.view) if response.view is not None else before.view
        changed = bool(response.updates) or view != before.view
        if changed:
            self.snapshot = FleetSnapshot(configuration, workers, view, placements)
        return changed

    def is_behind(self, vector: dict[str, int]) -> bool:
        """Returns whether a control node with this version vector has updates that are missing here."""
        return any(counter > self.vector.get(origin, 0) for origin, counter in vector.items())

    def holds_state(self, vector: dict[str, int]) -> bool:
        """Returns whether the replicated state up to this version vector is applied here."""
        return self.vector.get(STATE_ORIGIN, 0) >= vector.get(STATE_ORIGIN, 0)

    def _merge_vector(self, vector: dict[str, int]) -> None:
        """Merges a response's counters; drops the state's counter while the full configuration is needed.

        Without that counter, the next pull returns the full document in place of deltas.
        """
        for origin, counter in vector.items():
            if counter > self.vector.get(origin, -1):
                self.vector[origin] = counter
        if self.needs_full_configuration:
            self.vector.pop(STATE_ORIGIN, None)

    def _apply_worker(self, workers: dict[str, WorkerRecord], record: WorkerRecord) -> None:
        known = workers.get(record.instance)
        if known is not None and not _is_later(record, known):
            return
        departure = self._departures.get(record.instance)
        if departure is not None and departure.state == REMOVED:
            return
        if departure is not None and _SEVERITY[record.state] < _SEVERITY[departure.state]:
            record = replace(record, state=departure.state, remaining_ms=departure.remaining_ms)
        if record.state == REMOVED:
            self._apply_departure(workers, DepartureUpdate(0, record.instance, REMOVED))
            return
        workers[record.instance] = record

    def _apply_departure(self, workers: dict[str, WorkerRecord], departure: DepartureUpdate) -> None:
        known = self._departures.get(departure.instance)
        if known is not None and _SEVERITY[known.state] >= _SEVERITY[departure.state]:
            return
        self._departures[departure.instance] = departure
        while len(self._departures) > MAX_DEPARTURES:
            del self._departures[next(iter(self._departures))]
        if departure.state == REMOVED:
            workers.pop(departure.instance, None)
            return
        record = workers.get(departure.instance)
        if record is not None and _SEVERITY[record.state] < _SEVERITY[departure.state]:
            workers[departure.instance] = replace(
                record, state=departure.state, remaining_ms=departure.remaining_ms
            )


def _with_placement(known: dict[str, CorrectionTable], update: PlacementUpdate) -> dict[str, CorrectionTable]:
    held = known.get(update.service)
    if held is not None and held.token > update.token:
        return known
    same_owner = held is not None and held.origin == update.origin
    if held is not None and same_owner and held.counter >= update.counter:
        return known
    kept = held.corrections if held is not None and same_owner and update.since else {}
    corrections = {
        **{instance: item for instance, item in kept.items() if instance not in update.withdrawn},
        **{item.instance: item for item in update.corrections},
    }
    table = CorrectionTable(update.origin, update.token, update.counter, corrections)
    return {**known, update.service: table}


def _is_later(record: WorkerRecord, known: WorkerRecord) -> bool:
    if known.state in (DRAINING, REMOVED) and _SEVERITY[record.state] < _SEVERITY[known.state]:
        return False
    if record.call_sequence != known.call_sequence:
        return record.call_sequence > known.call_sequence
    return _SEVERITY[record.state] >= _SEVERITY[known.state]


def _after_update(
    known: ConfigurationSnapshot | None, update: ConfigurationUpdate | ConfigurationDelta
) -> ConfigurationSnapshot | None:
    """Returns the configuration after an update, or None if the update cannot be applied."""
    if isinstance(update, ConfigurationUpdate):
        return _after_full_update(known, update)
    return _after_delta(known, update)


def _after_full_update(
    known: ConfigurationSnapshot | None, update: ConfigurationUpdate
) -> ConfigurationSnapshot | None:
    """Returns the configuration of a full document, `known` if that is newer, or None if it is unreadable."""
    if known is not None and update.sequence <= known.sequence:
        return known
    read = read_object(update.document)
    if read.is_err():
        return None
    return _configuration_snapshot(update, read.unwrap())


def _after_delta(
    known: ConfigurationSnapshot | None, update: ConfigurationDelta
) -> ConfigurationSnapshot | None:
    """Returns the configuration after a delta, `known` if that is newer, or None if it does not apply."""
    if known is None:
        return None
    if update.sequence <= known.sequence:
        return known
    changed = apply_delta_value(known.document, update.patch)
    if update.base_version != known.version or changed.is_err():
        return None
    return _configuration_snapshot(update, changed.unwrap())


def _configuration_snapshot(
    update: ConfigurationUpdate | ConfigurationDelta, value: JsonObject
) -> ConfigurationSnapshot:
    document = without_keys(value)
    return ConfigurationSnapshot(update.sequence, update.version, document, RouteTable.from_value(document))


def _newer_view(known: ClusterView | None, view: ClusterView) -> ClusterView:
    if known is None or view.epoch >= known.epoch:
        return view
    return known

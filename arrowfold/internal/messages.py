"""The messages that nodes exchange. Numbers are permanent; new fields are appended, with defaults.

Times are seconds unless the field's name has another unit. Addresses are HOST:PORT of the internal protocol
unless the field's name says otherwise.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

from arrowfold.internal.codec import encode, message

STATE_ORIGIN = "state"  # entry of the replicated control state in a version vector


@message(1)
@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """Identifies the calling node.

    `member` is the persisted identity of a core machine; on other nodes a random name, drawn at each start.
    """

    name: str
    member: str
    zone: str
    address: str
    serves: tuple[str, ...] = ()


@message(2)
@dataclass(frozen=True, slots=True)
class HeldModel:
    """A model that a worker has loaded, with its loaded adapters."""

    name: str
    version: int = 1
    adapters: tuple[str, ...] = ()


@message(11)
@dataclass(frozen=True, slots=True)
class ArrivingModel:
    """A model, or one of its adapters, that is being loaded.

    `ready_in_s` is the expected time until it is loaded, from the creation of the message.
    """

    model: str
    adapter: str
    ready_in_s: float


@message(3)
@dataclass(frozen=True, slots=True)
class WorkerRecord:
    """The last report of a worker about itself.

    `state` is available, draining, gone (removed) or silent (no recent report). `arriving` and `troubled` are
    empty in a worker's report; edge nodes fill them in from the corrections of the placement owner.
    """

    instance: str
    service: str
    address: str
    zone: str
    version: str
    capacity_slots: int
    state: str
    models: tuple[HeldModel, ...] = ()
    call_sequence: int = 0
    remaining_ms: float | None = None
    cold_left_ms: float = 0.0
    stage: str = "both"
    arriving: tuple[ArrivingModel, ...] = ()
    troubled: bool = False


@message(4)
@dataclass(frozen=True, slots=True)
class WorkerUpdate:
    """Update number `counter` of `origin`, the control node process that received the worker's report."""

    origin: str
    counter: int
    record: WorkerRecord


@message(5)
@dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """The committed configuration as a whole JSON document, at a position of the replicated state."""

    sequence: int
    version: int
    document: bytes


@message(6)
@dataclass(frozen=True, slots=True)
class ConfigurationDelta:
    """A committed change: a PATCH document (JSON) that turns `base_version` into `version`."""

    sequence: int
    base_version: int
    version: int
    patch: bytes


@message(7)
@dataclass(frozen=True, slots=True)
class DepartureUpdate:
    """A committed notice that a worker is draining or gone (removed); it is never revoked."""

    sequence: int
    instance: str
    state: str
    remaining_ms: float | None = None


@message(8)
@dataclass(frozen=True, slots=True)
class MemberInfo:
    """A member of the replication group."""

    member: str
    name: str
    address: str
    control_address: str
    zone: str


@message(9)
@dataclass(frozen=True, slots=True)
class RoleOwner:
    """The owner of a fenced role, such as `placement/SERVICE`, and its fencing token."""

    role: str
    member: str
    token: int


@message(10)
@dataclass(frozen=True, slots=True)
class ClusterView:
    """The replication group as known to the answering node.

    `edges` is the number of edge nodes that take traffic, or did recently.
    """

    epoch: int
    primary: str
    members: tuple[MemberInfo, ...]
    edges: int
    roles: tuple[RoleOwner, ...] = ()


def view_checksum(view: ClusterView) -> int:
    """Returns a checksum above 0 that is the same for equal views on all nodes."""
    return zlib.crc32(encode(view)) + 1


@message(12)
@dataclass(frozen=True, slots=True)
class WorkerCorrection:
    """The placement owner's state of a worker, where the worker's last heartbeat does not show it yet.

    `models` omits models that are being unloaded.
    """

    instance: str
    models: tuple[HeldModel, ...]
    arriving: tuple[ArrivingModel, ...] = ()
    troubled: bool = False  # several edge nodes recently reported failures


@message(13)
@dataclass(frozen=True, slots=True)
class PlacementUpdate:
    """Changes to the corrections for the workers of a service since update `since` of the same origin.

    `origin` identifies the role and the owner's process, `token` is its fencing token. Of two origins, the
    one that arrives later replaces the other unless its token is lower. `withdrawn` lists instances whose
    correction has ended. With `since` 0 the update holds all corrections in force. An update without
    corrections renews the earlier ones.
    """

    origin: str
    counter: int
    service: str
    corrections: tuple[WorkerCorrection, ...]
    withdrawn: tuple[str, ...] = ()
    since: int = 0
    token: int = 0


@message(20)
@dataclass(frozen=True, slots=True)
class PullRequest:
    """Requests the updates after a version vector; a long poll of up to `wait_s` if there are none.

    `known_view` is the checksum of the puller's cluster view, or 0 if it has none.
    """

    sender: NodeIdentity
    vector: dict[str, int]
    wait_s: float
    notice_only: bool = False
    known_view: int = 0


@message(21)
@dataclass(frozen=True, slots=True)
class PullResponse:
    """The updates that the puller does not have.

    `current`: the answering node recently had contact with the primary, so a new node may rely on its state.
    `view` is None if the puller has the same view. `vector` is the answering node's version vector, which the
    puller adopts after applying `updates` (a notice has none). `state_age_s`: the answering node's committed
    state included all changes acknowledged up to this long before the answer; None if unknown.
    """

    current: bool
    view: ClusterView | None
    vector: dict[str, int]
    updates: tuple[
        WorkerUpdate | ConfigurationUpdate | ConfigurationDelta | DepartureUpdate | PlacementUpdate, ...
    ] = ()
    state_age_s: float | None = None


@message(22)
@dataclass(frozen=True, slots=True)
class ClassDemand:
    """An edge node's demand for one class (a model or an adapter) of a service since its last report."""

    service: str
    model: str
    adapter: str
    requests: float
    workload_s: float
    missing: float = 0.0
    priority: float | None = None  # mean of their routes; 0 is the highest; None from older nodes


@message(23)
@dataclass(frozen=True, slots=True)
class DemandReport:
    """Demand by class over the last `period_s` seconds, sent to the owner of the service's placement."""

    sender: NodeIdentity
    period_s: float
    classes: tuple[ClassDemand, ...]
    failing: tuple[str, ...] = ()  # instances with failed or aborted requests, or no connection


@message(24)
@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Confirms that the receiver has processed the message."""


@message(25)
@dataclass(frozen=True, slots=True)
class CallFailed:
    """The receiver failed to answer: a result code and one line for the log."""

    code: int
    text: str


@message(30)
@dataclass(frozen=True, slots=True)
class SubmitChange:
    """An operator's configuration change, forwarded unchanged to the primary. `kind` is PUT or PATCH."""

    kind: str
    if_match: str | None
    body: bytes


@message(31)
@dataclass(frozen=True, slots=True)
class SubmitResult:
    """The HTTP status and body of the answer to an operator's call."""

    status: int
    body: bytes


@message(32)
@dataclass(frozen=True, slots=True)
class SubmitDeparture:
    """A worker's draining or gone notice, which the primary commits before it acknowledges it."""

    instance: str
    state: str
    remaining_ms: float | None = None


@message(33)
@dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """Requests the newest committed configuration from the primary."""


@message(26)
@dataclass(frozen=True, slots=True)
class WindowCounts:
    """Requests of each tenant that workers started in a window, as counted by one edge node so far.

    Window k starts k times `usageWindowS` seconds after the Unix epoch. Counts never decrease while the edge
    node's process runs.
    """

    window: int
    counts: dict[str, int]


@message(27)
@dataclass(frozen=True, slots=True)
class UsageReport:
    """An edge node's counts of every window not known to be decided, sent to the holder of the usage duty.

    Counts are cumulative since the start of the edge node (`sender.member` is new at each start), so repeated
    reports are idempotent. `ended_through`: windows up to this one have ended, so their counts are final.
    """

    sender: NodeIdentity
    windows: tuple[WindowCounts, ...]
    ended_through: int = -1


@message(28)
@dataclass(frozen=True, slots=True)
class UsageReceipt:
    """The answer to a usage report: the counts of windows up to `decided_through` are final."""

    decided_through: int


@message(34)
@dataclass(frozen=True, slots=True)
class DecideUsageWindow:
    """Requests that the primary commits a window's counts, unless it has committed some already.

    `token` is the fencing token of the duty's holder; only the current holder decides.
    """

    window: int
    counts: dict[str, int]
    token: int = 0


@message(35)
@dataclass(frozen=True, slots=True)
class DecidedUsageWindow:
    """A window's counts as committed in the replicated state; every report of the window uses these.

    `known` is false if the window was decided earlier and its counts are no longer stored, or had none.
    """

    window: int
    counts: dict[str, int]
    known: bool = True


@message(36)
@dataclass(frozen=True, slots=True)
class MarkUsageReported:
    """Notifies the primary that the platform has accepted a window's report."""

    window: int

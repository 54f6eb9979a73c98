"""The public interface of a dispatcher: its settings, events and actions. Decides nothing.

Times are whole microseconds of a monotonic clock. Workers, requests, classes, tenants, zones and kinds are
identified by opaque names.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """Whether a request of a class may be executed more than once.

    SAFE: always. KEYED: within the class's `window_us` and `group`, where repeats are recognized.
    UNSAFE: never.
    """

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Status(Enum):
    """How an attempt or a probe ended.

    MOOT: the attempt ended before it was sent, or the probe was cancelled.
    """

    OK = 10
    ERROR = 20
    FULL = 30
    TIMEOUT = 40
    CONNECT_FAILED = 50
    RESET = 60
    CANCELLED = 70
    MOOT = 80

    @property
    def never_ran(self) -> bool:
        """Returns whether this outcome proves that the worker never started the request."""
        return self in _NEVER_RAN


_NEVER_RAN = frozenset({Status.FULL, Status.CONNECT_FAILED, Status.MOOT})


class Lifecycle(Enum):
    """A worker's state in the roster, the list of workers."""

    IN_SERVICE = "in_service"
    TERMINATING = "terminating"
    TERMINATED = "terminated"


class RosterMode(Enum):
    """What a roster event contains.

    PARTIAL: changed entries. COMPLETE: all entries. PERSISTED: all entries, read from disk.
    ERROR: none, as the roster could not be read.
    """

    PARTIAL = "partial"
    COMPLETE = "complete"
    PERSISTED = "persisted"
    ERROR = "error"


class LoadSource(Enum):
    """Where load reports come from: with answers, from probes, or nowhere."""

    ANSWERS = "answers"
    PROBES = "probes"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests.

    `aim_us` is the latency objective: an answer within this time has the full value `worth`, a later one
    `worth * late_share`. `deadline_us` is the time limit of a request. `window_us` and `group` define for how
    long and among which workers a repeated KEYED request is recognized.
    """

    name: str
    aim_us: int
    deadline_us: int
    idempotency: Idempotency = Idempotency.SAFE
    group: str = "all"  # for KEYED: "all", "zone" or "cell"
    window_us: int = 0  # deduplication window
    stretch: float = 0.0  # the objective grows by this multiple of the request's own work
    worth: float = 1.0
    late_share: float = 0.0
    kind: str | None = None  # the only kind of worker that runs it; None: any
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant; `quota_per_s` is shared by all dispatchers, 0 for none."""

    name: str
    share: float = 0.0
    quota_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Prices:
    """The price of one use of each resource, as a fraction of the score."""

    cross_zone: float = 0.0
    probe: float = 0.0
    connection: float = 0.0
    handshake: float = 0.0
    origin: float = 0.0
    waste: float = 0.0
    late_fail: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a dispatcher. Raises ValueError if they are inconsistent.

    `may_probe`, `may_cancel`, `second_copies` (hedged attempts), `attempt_cap` and `retry_after` are
    permissions. `cold_from`, `cold_us`, `overload_factor` and `overload_for_us` describe the warm-up of a
    worker: it starts with the fraction `cold_from` of its capacity, reaches all of it after `cold_us`, and
    must not get more than `overload_factor` times its current capacity over `overload_for_us`.
    """

    classes: tuple[RequestClass, ...]
    zone: str = ""
    number: int = 0
    fleet_size: int = 1  # number of dispatchers, including this one
    tick_us: int = 1000
    load_source: LoadSource = LoadSource.NONE
    reports_memory: bool = False
    may_probe: bool = False
    may_cancel: bool = False
    second_copies: bool = False
    attempt_cap: int = 1
    retry_after: bool = False
    max_retry_after_us: int = 0
    roster_on_request: bool = False
    ask_within_us: int = 0
    answer_slack_us: int = 0
    cold_from: float = 1.0
    cold_us: int = 0
    overload_factor: float = 1.0
    overload_for_us: int = 0
    connection_idle_us: int = 0
    drain_limit_us: int = 1_000_000  # no new requests to a worker this long after its drain began
    tells_start: bool = False
    progress_us: int = 0
    worth_by_work: bool = False
    over_share_worth: float = 1.0
    tenants: tuple[Tenant, ...] = ()
    prices: Prices = field(default_factory=Prices)

    @property
    def has_load_reports(self) -> bool:
        """Returns whether workers' load is reported, beyond what a dispatcher knows from its own requests."""
        return self.load_source is not LoadSource.NONE

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("settings name no request class")
        if len({c.name for c in self.classes}) != len(self.classes):
            raise ValueError("two request classes share a name")
        for cls in self.classes:
            if min(cls.aim_us, cls.deadline_us, cls.window_us) < 0:
                raise ValueError(f"class {cls.name!r}: a duration is negative")
            if cls.group not in ("all", "zone", "cell"):
                raise ValueError(f"class {cls.name!r}: unknown group {cls.group!r}")
        durations = (
            self.ask_within_us, self.cold_us, self.overload_for_us, self.answer_slack_us, self.drain_limit_us)
        if min(durations) < 0 or self.max_retry_after_us < 0:
            raise ValueError("a duration in the settings is negative")
        if self.attempt_cap < 1 or self.fleet_size < 1 or self.tick_us < 1:
            raise ValueError("attempt_cap, fleet_size and tick_us must be at least 1")
        if not 0 < self.cold_from <= 1:
            raise ValueError("cold_from must be above 0 and at most 1")


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A worker's report of its load; None where the deployment doesn't report a figure.

    `waiting` counts its queued requests, `held` all of its requests.
    """

    free_slots: float | None = None
    free_memory: float | None = None
    waiting: float | None = None
    busy: float | None = None
    held: float | None = None
    errors: float | None = None  # per second


@dataclass(frozen=True, slots=True)
class RosterEntry:
    """One worker in a roster event; `launched_us` 0 means that it started long ago."""

    worker: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    launched_us: int = 0
    lifecycle: Lifecycle = Lifecycle.IN_SERVICE
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class RosterUpdate:
    """The roster or a change of it."""

    mode: RosterMode
    entries: tuple[RosterEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Reach:
    """The workers that a route permits: zones in tiers, preferred ones first, and kinds (empty: any).

    With `others`, all other zones form a last tier.
    """

    zones: tuple[frozenset[str], ...] = ()
    others: bool = True
    kinds: frozenset[str] = frozenset()

    @property
    def last_tier(self) -> int:
        """Returns the index of the last tier."""
        return len(self.zones) - (not self.others) if self.zones else 0

    def holds(self, zone: str, kind: str, tier: int) -> bool:
        """Returns whether a worker of this zone and kind is within the tiers up to `tier`."""
        if self.kinds and kind not in self.kinds:
            return False
        if not self.zones or (self.others and tier >= len(self.zones)):
            return True
        return any(zone in zones for zones in self.zones[:tier + 1])


@dataclass(frozen=True, slots=True)
class Arrival:
    """A new request, which this dispatcher must give exactly one final answer."""

    request: str
    request_class: str
    deadline_us: int
    key: str | None = None
    tenant: str | None = None
    effort_us: int | None = None
    slots: float = 1.0
    memory: float = 0.0
    resent: bool = False
    reach: Reach | None = None  # what its route permits; None without a route


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The outcome of an attempt, reported once; `final` if the request is finished."""

    request: str
    attempt: int
    worker: str
    status: Status
    elapsed_us: int = 0
    final: bool = False
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class AttemptProgress:
    """An attempt has started (`done` is None), or the fraction `done` of it is complete."""

    request: str
    attempt: int
    done: float | None = None


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The attempt's answer has begun and is being streamed to the client: no other attempt may answer."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The result of a probe."""

    worker: str
    status: Status
    elapsed_us: int = 0
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by this dispatcher has expired."""

    handle: int


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The client disconnected: the request needs no answer."""

    request: str


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings; open requests keep the class that they arrived with."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another dispatcher."""

    sender: int
    body: str


Event = (
    RosterUpdate | Arrival | AttemptEnded | AttemptProgress | StreamStarted | ProbeEnded | TimerFired
    | Withdrawn | PeerMessage | SettingsChanged
)


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; with `timeout_us` 0 it may last until the client's deadline."""

    request: str
    worker: str
    timeout_us: int = 0


@dataclass(frozen=True, slots=True)
class Probe:
    """Request a load report from a worker."""

    worker: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request: a retry is safe, after `retry_after_us` if that is not 0."""

    request: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Fail the request, which may or may not have been executed."""

    request: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request TimerFired after a delay."""

    delay_us: int
    handle: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to the roster and its changes."""


@dataclass(frozen=True, slots=True)
class FetchRoster:
    """Request the whole roster once."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a log line."""

    text: str


Action = Send | Probe | Refuse | Fail | Cancel | SetTimer | Subscribe | FetchRoster | Log

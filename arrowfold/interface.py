"""Settings, events and actions of a dispatcher. No decisions live here.

Times are whole microseconds on the host's clock, which only goes forward. A worker, request,
class, tenant, zone or kind is known by its name, which carries no meaning.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """What repeating a request of a class may do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Status(Enum):
    """How an attempt or a probe ended."""

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
        """Whether this outcome proves that the worker never started the request."""
        return self in _NEVER_RAN


_NEVER_RAN = frozenset({Status.FULL, Status.CONNECT_FAILED, Status.MOOT})


class Lifecycle(Enum):
    """A worker's state in the roster."""

    IN_SERVICE = "in_service"
    TERMINATING = "terminating"
    TERMINATED = "terminated"


class RosterMode(Enum):
    """What a roster event holds."""

    PARTIAL = "partial"
    COMPLETE = "complete"
    PERSISTED = "persisted"
    ERROR = "error"


class LoadSource(Enum):
    """Where load reports come from."""

    ANSWERS = "answers"
    PROBES = "probes"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    name: str
    aim_us: int
    deadline_us: int
    idempotency: Idempotency = Idempotency.SAFE
    group: str = "all"  # for keyed: "all", "zone" or "cell"
    window_us: int = 0
    stretch: float = 0.0  # the aim grows by this many times the job's own work
    worth: float = 1.0
    late_share: float = 0.0
    kind: str | None = None  # the only kind of machine that runs it
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant; `quota_per_s` counts across all dispatchers, 0 where none is set."""

    name: str
    share: float = 0.0
    quota_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Prices:
    """Points of the result for each unit, as fractions."""

    cross_zone: float = 0.0
    probe: float = 0.0
    connection: float = 0.0
    handshake: float = 0.0
    origin: float = 0.0
    waste: float = 0.0
    late_fail: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """What a dispatcher is handed at its start. Raises ValueError where it can't be served."""

    classes: tuple[RequestClass, ...]
    zone: str = ""
    number: int = 0
    fleet_size: int = 1  # dispatchers in this tier, this one included
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
    drain_limit_us: int = 1_000_000  # nothing new to a server this long after it was told to drain
    tells_start: bool = False
    progress_us: int = 0
    worth_by_work: bool = False
    over_share_worth: float = 1.0
    tenants: tuple[Tenant, ...] = ()
    prices: Prices = field(default_factory=Prices)

    @property
    def tells_load(self) -> bool:
        """Whether anything but a dispatcher's own jobs tells it of a worker's load."""
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
    """A worker's own figures; None where the deployment doesn't report one."""

    free_slots: float | None = None
    free_memory: float | None = None
    waiting: float | None = None
    busy: float | None = None
    held: float | None = None
    errors: float | None = None  # a second


@dataclass(frozen=True, slots=True)
class RosterEntry:
    """One worker in a roster event; `launched_us` 0 means long past."""

    worker: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    launched_us: int = 0
    lifecycle: Lifecycle = Lifecycle.IN_SERVICE
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class RosterUpdate:
    """The roster, or a change of it."""

    mode: RosterMode
    entries: tuple[RosterEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Reach:
    """The workers that a route leaves a request: zones in tiers, the preferred first, and kinds (empty: any).

    With `others`, all other zones form a last tier.
    """

    zones: tuple[frozenset[str], ...] = ()
    others: bool = True
    kinds: frozenset[str] = frozenset()

    @property
    def last(self) -> int:
        """The number of the last tier."""
        return len(self.zones) - (not self.others) if self.zones else 0

    def holds(self, zone: str, kind: str, tier: int) -> bool:
        """Whether a worker of this zone and kind lies within the tiers up to this one."""
        if self.kinds and kind not in self.kinds:
            return False
        if not self.zones or (self.others and tier >= len(self.zones)):
            return True
        return any(zone in zones for zones in self.zones[:tier + 1])


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that this dispatcher now owes one final answer."""

    request: str
    request_class: str
    deadline_us: int
    key: str | None = None
    tenant: str | None = None
    effort_us: int | None = None
    slots: float = 1.0
    memory: float = 0.0
    resent: bool = False
    reach: Reach | None = None  # what a route leaves; None where there is no route


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The one outcome of an attempt; `final` when the request is finished."""

    request: str
    attempt: int
    worker: str
    status: Status
    elapsed_us: int = 0
    final: bool = False
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class AttemptProgress:
    """An attempt has started (`done` is None), or a part of it is done."""

    request: str
    attempt: int
    done: float | None = None


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The attempt's answer has begun: it belongs to the client from here on."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The result of one probe."""

    worker: str
    status: Status
    elapsed_us: int = 0
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by this dispatcher is due."""

    handle: int


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The client left: nothing is owed any more."""

    request: str


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Other settings from now on; a request that is open keeps the class it came with."""

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
    """Start an attempt; `timeout_us` 0 lasts until the client's deadline."""

    request: str
    worker: str
    timeout_us: int = 0


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a worker for its load."""

    worker: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer no: trying again is harmless."""

    request: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer failed: promises nothing about the effect."""

    request: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for TimerFired after a delay."""

    delay_us: int
    handle: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for the roster's changes from now on."""


@dataclass(frozen=True, slots=True)
class FetchRoster:
    """Ask for the whole roster once."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

    text: str


Action = Send | Probe | Refuse | Fail | Cancel | SetTimer | Subscribe | FetchRoster | Log

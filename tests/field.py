"""Shared test fixtures: settings, rosters, and a recorder that checks each action against the rules."""

from __future__ import annotations

from typing import Any

from arrowfold import Dispatcher, Settings
from arrowfold import interface as api

MS, SECOND = 1_000, 1_000_000

CLASSES = (
    api.RequestClass("safe", 300 * MS, 5 * SECOND, stretch=2.0),
    api.RequestClass("unsafe", 250 * MS, 5 * SECOND, api.Idempotency.UNSAFE, stretch=2.0),
    api.RequestClass("all", 300 * MS, 5 * SECOND, api.Idempotency.KEYED, "all", 2 * SECOND, 2.0),
    api.RequestClass("zone", 300 * MS, 5 * SECOND, api.Idempotency.KEYED, "zone", 2 * SECOND, 2.0),
    api.RequestClass("cell", 300 * MS, 5 * SECOND, api.Idempotency.KEYED, "cell", 2 * SECOND, 2.0),
)


def settings(**changes: Any) -> Settings:
    """Returns the settings of an ordinary deployment, with changes."""
    base: dict[str, Any] = {
        "classes": CLASSES, "zone": "a", "attempt_cap": 4, "tick_us": 2 * MS, "may_cancel": True,
        "load_source": api.LoadSource.ANSWERS, "ask_within_us": 10 * SECOND, "answer_slack_us": 10 * MS}
    return Settings(**{**base, **changes})


def roster(
        count: int, *, zones: str = "ab", launched_us: int = 0, first: int = 0,
) -> tuple[api.RosterEntry, ...]:
    """Returns roster entries of `count` workers, assigned to zones and cells in rotation."""
    return tuple(
        api.RosterEntry(f"w{i}", zones[i % len(zones)], "std", i % 3, launched_us)
        for i in range(first, first + count))


def started(conf: Settings, entries: tuple[api.RosterEntry, ...], seed: int = 1) -> Dispatcher:
    """Returns a dispatcher that has received its roster."""
    dispatcher = Dispatcher(conf, seed)
    dispatcher.handle(0, [api.RosterUpdate(api.RosterMode.COMPLETE, entries)])
    return dispatcher


def sends(actions: list[api.Action]) -> list[api.Send]:
    return [a for a in actions if isinstance(a, api.Send)]


class Recorder:
    """Drives one dispatcher, keeps its timers, and checks every action against rules 1 to 3 independently."""

    def __init__(self, conf: Settings, entries: tuple[api.RosterEntry, ...], seed: int = 1) -> None:
        self.conf, self.dispatcher, self.now = conf, Dispatcher(conf, seed), 0
        self.classes = {c.name: c for c in conf.classes}
        self.timers: list[tuple[int, int]] = []
        self.requests: dict[str, api.Arrival] = {}
        self.closed: dict[str, str] = {}
        self.attempts: dict[str, list[dict[str, Any]]] = {}
        self.entries = {e.worker: e for e in entries}
        self.probes: list[str] = []
        self.sent: list[api.Send] = []
        self.feed(api.RosterUpdate(api.RosterMode.COMPLETE, entries))

    def feed(self, *events: api.Event) -> None:
        for event in events:
            self._note(event)
        for action in self.dispatcher.handle(self.now, events):
            self._check(action)

    def _note(self, event: api.Event) -> None:
        if isinstance(event, api.Arrival):
            self.requests[event.request] = event
            self.attempts[event.request] = []
        elif isinstance(event, api.Withdrawn):
            self.closed.setdefault(event.request, "withdrawn")
        elif isinstance(event, api.AttemptEnded):
            self.attempts[event.request][event.attempt]["status"] = event.status
            if event.final:
                self.closed.setdefault(event.request, "served")
        elif isinstance(event, api.RosterUpdate) and event.mode is not api.RosterMode.ERROR:
            listed = {e.worker: e for e in event.entries}
            if event.mode is not api.RosterMode.PARTIAL:
                for worker, entry in self.entries.items():
                    removed = api.RosterEntry(worker, entry.zone, lifecycle=api.Lifecycle.TERMINATED)
                    self.entries[worker] = listed.get(worker, removed)
            self.entries.update(listed)

    def _check(self, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            self.timers.append((self.now + action.delay_us, action.handle))
        elif isinstance(action, api.Probe):
            self.probes.append(action.worker)
        elif isinstance(action, api.Send):
            self._check_send(action)
        elif isinstance(action, api.Refuse | api.Fail):
            assert action.request in self.requests and action.request not in self.closed
            if isinstance(action, api.Refuse):
                self._check_refusal(action.request)
            self.closed[action.request] = type(action).__name__
        elif isinstance(action, api.Cancel):
            assert action.attempt < len(self.attempts[action.request])

    def _may_have_run(self, request: str) -> list[dict[str, Any]]:
        return [a for a in self.attempts[request] if a["status"] is None or not a["status"].never_ran]

    def _check_send(self, action: api.Send) -> None:
        arrival = self.requests[action.request]
        cls = self.classes[arrival.request_class]
        assert action.request not in self.closed, "sent after the final answer"
        assert self.now < arrival.deadline_us
        entry = self.entries[action.worker]
        assert entry.lifecycle is api.Lifecycle.IN_SERVICE, "sent to a worker that is leaving"
        earlier = self.attempts[action.request]
        assert len(earlier) < self.conf.attempt_cap
        assert self.conf.second_copies or all(a["status"] for a in earlier), "two attempts in flight"
        for attempt in self._may_have_run(action.request):
            if cls.idempotency is api.Idempotency.UNSAFE:
                raise AssertionError("an unsafe request went out twice")
            if cls.idempotency is api.Idempotency.KEYED:
                assert self.now - attempt["at"] <= cls.window_us, "past the window"
                first = self.entries[attempt["worker"]]
                if cls.group != "all":
                    assert getattr(first, cls.group) == getattr(entry, cls.group), "outside the group"
        earlier.append({"worker": action.worker, "at": self.now, "status": None})
        self.sent.append(action)

    def _check_refusal(self, request: str) -> None:
        cls = self.classes[self.requests[request].request_class]
        if cls.idempotency is api.Idempotency.UNSAFE:
            assert not self._may_have_run(request), "refused what may have run"
        if cls.idempotency is api.Idempotency.KEYED and cls.group != "all":
            assert not self._may_have_run(request), "refused what may have run in one group only"

    def advance(self, to_us: int) -> None:
        """Advances the clock to a time; timers fire on the way."""
        while due := [t for t in self.timers if t[0] <= to_us]:
            first = min(due)
            self.timers.remove(first)
            self.now = max(self.now + 1, first[0])
            self.feed(api.TimerFired(first[1]))
        self.now = max(self.now, to_us)

    def arrive(self, name: str, request_class: str = "safe", **fields: Any) -> None:
        deadline = self.now + self.classes[request_class].deadline_us
        self.feed(api.Arrival(name, request_class, deadline, **fields))

    def out(self) -> list[tuple[str, int, str]]:
        """Returns the attempts in flight: request, number, worker."""
        return [(r, n, a["worker"]) for r, tries in self.attempts.items()
                for n, a in enumerate(tries) if a["status"] is None]

    def finish(
            self, request: str, number: int, status: api.Status, report: api.LoadReport | None = None,
    ) -> None:
        attempt = self.attempts[request][number]
        final = request in self.closed or status is api.Status.OK
        elapsed = self.now - attempt["at"]
        self.feed(api.AttemptEnded(request, number, attempt["worker"], status, elapsed, final, report))

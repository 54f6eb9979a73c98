"""Reference deciders with the dispatcher's interface: a random choice, and one that knows the true load."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from arrowfold import interface as api


class RandomDecider:
    """Chooses a worker at random for each attempt, without history or load reports."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.in_service: dict[str, api.RosterEntry] = {}
        self.open_requests: dict[str, tuple[int, int]] = {}  # (attempts so far, deadline in us)
        self.timer_requests: dict[int, str] = {}
        self.subscribed, self.last_timer = False, 0

    def handle(self, now_us: int, events: Iterable[api.Event]) -> list[api.Action]:
        """Processes events and returns the actions to carry out, like `Dispatcher.handle`."""
        actions: list[api.Action] = []
        if not self.subscribed:
            self.subscribed = True
            actions.append(api.Subscribe())
        for event in events:
            if isinstance(event, api.RosterUpdate):
                if event.mode is not api.RosterMode.PARTIAL and event.mode is not api.RosterMode.ERROR:
                    self.in_service = {}
                for entry in event.entries:
                    self.in_service.pop(entry.worker, None)
                    if entry.lifecycle is api.Lifecycle.IN_SERVICE:
                        self.in_service[entry.worker] = entry
            elif isinstance(event, api.Arrival):
                self.open_requests[event.request] = 0, event.deadline_us
                self.last_timer += 1
                self.timer_requests[self.last_timer] = event.request
                wait_us = event.deadline_us - now_us - self.settings.tick_us
                actions.append(api.SetTimer(max(0, wait_us), self.last_timer))
                actions += self._next_attempt(event.request)
            elif isinstance(event, api.AttemptEnded):
                if event.status is api.Status.OK or event.final:
                    self.open_requests.pop(event.request, None)
                else:
                    actions += self._next_attempt(event.request)
            elif isinstance(event, api.Withdrawn):
                self.open_requests.pop(event.request, None)
            elif isinstance(event, api.TimerFired):
                request = self.timer_requests.pop(event.handle, "")
                if self.open_requests.pop(request, None):
                    actions.append(api.Refuse(request))
        return actions

    def pick(self) -> str:
        """Returns the worker for the next attempt."""
        return self.random.choice(list(self.in_service))

    def _next_attempt(self, request: str) -> list[api.Action]:
        attempts, deadline = self.open_requests.get(request, (self.settings.attempt_cap, 0))
        if attempts < min(2, self.settings.attempt_cap) and self.in_service:
            self.open_requests[request] = attempts + 1, deadline
            return [api.Send(request, self.pick())]
        return [api.Refuse(request)] if self.open_requests.pop(request, None) else []


class OracleDecider(RandomDecider):
    """Knows the true load of each worker, and prefers workers of its own zone."""

    def __init__(self, settings: api.Settings, seed: int, load: Callable[[str], float]) -> None:
        super().__init__(settings, seed)
        self.load = load

    def pick(self) -> str:
        """Returns the least loaded of up to 40 sampled workers.

        A worker of another zone is chosen only if its load is lower by more than 0.5.
        """
        candidates = self.random.sample(list(self.in_service), min(40, len(self.in_service)))
        return min(candidates, key=lambda name: (
            self.load(name) + 0.5 * (self.in_service[name].zone != self.settings.zone)))

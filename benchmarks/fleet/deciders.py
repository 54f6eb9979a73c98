"""Other deciders behind the module's interface, to compare with: no memory, and the true state."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from arrowfold import interface as api


class Plain:
    """Draws a server by chance, and another when that one would not: no memory, no figures."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.serving: dict[str, api.RosterEntry] = {}
        self.open: dict[str, tuple[int, int]] = {}  # attempts, deadline
        self.handles: dict[int, str] = {}
        self.asked, self.timers = False, 0

    def handle(self, now_us: int, events: Iterable[api.Event]) -> list[api.Action]:
        """As the module's: take what happened, return what to do."""
        actions: list[api.Action] = []
        if not self.asked:
            self.asked = True
            actions.append(api.Subscribe())
        for event in events:
            if isinstance(event, api.RosterUpdate):
                if event.mode is not api.RosterMode.PARTIAL and event.mode is not api.RosterMode.ERROR:
                    self.serving = {}
                for entry in event.entries:
                    self.serving.pop(entry.worker, None)
                    if entry.lifecycle is api.Lifecycle.IN_SERVICE:
                        self.serving[entry.worker] = entry
            elif isinstance(event, api.Arrival):
                self.open[event.request] = 0, event.deadline_us
                self.timers += 1
                self.handles[self.timers] = event.request
                wait = event.deadline_us - now_us - self.settings.tick_us
                actions.append(api.SetTimer(max(0, wait), self.timers))
                actions += self._go_on(event.request)
            elif isinstance(event, api.AttemptEnded):
                if event.status is api.Status.OK or event.final:
                    self.open.pop(event.request, None)
                else:
                    actions += self._go_on(event.request)
            elif isinstance(event, api.Withdrawn):
                self.open.pop(event.request, None)
            elif isinstance(event, api.TimerFired):
                request = self.handles.pop(event.handle, "")
                if self.open.pop(request, None):
                    actions.append(api.Refuse(request))
        return actions

    def pick(self) -> str:
        """The server for the next attempt."""
        return self.random.choice(list(self.serving))

    def _go_on(self, request: str) -> list[api.Action]:
        tries, deadline = self.open.get(request, (self.settings.attempt_cap, 0))
        if tries < min(2, self.settings.attempt_cap) and self.serving:
            self.open[request] = tries + 1, deadline
            return [api.Send(request, self.pick())]
        return [api.Refuse(request)] if self.open.pop(request, None) else []


class Seeing(Plain):
    """Sees how full each server truly is, and stays in its zone where that has room."""

    def __init__(self, settings: api.Settings, seed: int, load: Callable[[str], float]) -> None:
        super().__init__(settings, seed)
        self.load = load

    def pick(self) -> str:
        """The least full server, another zone's only where it is emptier by a half."""
        some = self.random.sample(list(self.serving), min(40, len(self.serving)))
        return min(some, key=lambda w: self.load(w) + 0.5 * (self.serving[w].zone != self.settings.zone))

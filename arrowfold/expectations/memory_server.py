"""Simulated backend servers."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

from arrowfold import interface as api
from arrowfold.expectations.virtual_clock import Clock
from arrowfold.expectations.world import World
from arrowfold.routing.session import Dispatch, Probe

MS = timedelta(milliseconds=1)
WIRE_DELAY = 2 * MS  # one-way network delay to a server
RUN_TIME = 120 * MS  # mean run time of a request
SLOW_RUN_TIME = 3000 * MS
SLOTS = 4  # requests that a server runs at once


class SimulationContext(Protocol):
    """The parts of a running simulation that a server uses."""

    clock: Clock
    world: World
    random: random.Random


@dataclass(slots=True)
class SimulatedServer:
    """A simulated backend server; implements the server interface of the core."""

    context: SimulationContext
    name: str
    zone: str
    kind: str
    is_full: bool = False
    busy_slots: int = 0  # slots taken by requests of other nodes
    is_stopped: bool = False
    is_silent: bool = False
    launched_us: int = 0
    state: api.Lifecycle = api.Lifecycle.IN_SERVICE
    running: list[Dispatch] = field(default_factory=list)

    def entry(self) -> api.RosterEntry:
        """Returns its row in the worker list."""
        return api.RosterEntry(self.name, self.zone, self.kind, 0, self.launched_us, self.state)

    def load(self) -> api.LoadReport:
        """Returns its load report."""
        free = 0 if self.is_full else max(0, SLOTS - self.busy_slots - len(self.running))
        return api.LoadReport(free_slots=float(free), held=float(SLOTS - free))

    def send(self, dispatch: Dispatch) -> None:
        """Sends an attempt; it arrives after the one-way delay."""
        dispatch.is_sent = True
        self.context.clock.call_later(WIRE_DELAY, lambda: self._receive(dispatch))

    def _receive(self, dispatch: Dispatch) -> None:
        """Handles an attempt whose last byte has arrived."""
        ending = self.context.world.ending if not dispatch.number else "served"
        if dispatch.has_ended or self.is_silent:
            return
        if self.is_stopped or ending == "refused":
            dispatch.ended(api.Status.CONNECT_FAILED)
        elif self.load().free_slots == 0 or ending == "turned-away":
            dispatch.ended(api.Status.FULL, b"", self.load())
        else:
            self.running.append(dispatch)
            dispatch.started()
            run_time = (SLOW_RUN_TIME if ending == "slow"
                        else RUN_TIME * (0.8 + 0.4 * self.context.random.random()))
            self.context.clock.call_later(run_time, lambda: self._finish(dispatch, ending))

    def _finish(self, dispatch: Dispatch, ending: str) -> None:
        if dispatch not in self.running or self.is_silent:
            return
        self.running.remove(dispatch)
        if not dispatch.has_ended:
            dispatch.ended({"error": api.Status.ERROR, "reset": api.Status.RESET}.get(ending, api.Status.OK),
                           b"", self.load())

    def probe(self, probe: Probe) -> None:
        """Answers a probe after one round trip; a silent server never answers."""
        def answer() -> None:
            if self.is_stopped:
                probe.ended(api.Status.CONNECT_FAILED)
            elif not self.is_silent:
                probe.ended(api.Status.OK, self.load())

        self.context.clock.call_later(2 * WIRE_DELAY, answer)

    def cancel(self, operation: Dispatch | Probe) -> api.Status | None:
        """Stops an attempt or a probe."""
        if operation in self.running:
            self.running.remove(operation)  # type: ignore[arg-type]
        return None  # the whole attempt has reached the server and may have run

    def rest(self) -> None:
        """Does nothing: there are no connections to close."""

    def kill(self) -> None:
        """Ends the process: attempts in progress are reset."""
        running, self.running = self.running, []
        for dispatch in running:
            if not dispatch.has_ended:
                dispatch.ended(api.Status.RESET)

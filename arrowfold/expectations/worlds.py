"""Simulates a world: the core and module of one node in virtual time, with simulated backend servers.

A simulation is deterministic: equal worlds and plans give identical histories.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from dataclasses import replace
from datetime import timedelta

from arrowfold import interface as api
from arrowfold.expectations.history import History, ServerEvent, State
from arrowfold.expectations.memory_server import MS, SLOTS, SimulatedServer
from arrowfold.expectations.recorder import DiscardingClient, Recorder
from arrowfold.expectations.virtual_clock import START, Clock
from arrowfold.expectations.world import ENDINGS, EVENTS, LOADS, TARGETS, SystemUnderTest, TokenError, World
from arrowfold.quotas.gate import Gate
from arrowfold.routing.session import Job, to_us
from arrowfold.routing.table import Row

__all__ = [
    "ENDINGS", "EVENTS", "LOADS", "TARGETS", "Simulation", "SystemUnderTest", "TokenError", "World", "play"]

FIRST_ARRIVAL_DELAY = 100 * MS  # time from the first list to the first arrival
TAIL_TIME = timedelta(seconds=1)  # simulated time after the last deadline


class Simulation:
    """One simulation of a world."""

    def __init__(self, world: World, plan: SystemUnderTest) -> None:
        self.world, self.plan, self.clock = world, plan, Clock()
        self.random = random.Random(world.seed)
        self.history = History()
        self.arrived = 0
        recorder = Recorder(self.clock.now, self.history)
        recorder.settings_changed(plan.settings)
        self.core = plan.make_core(
            plan.settings, world.seed, self.clock, Counter(), lambda follow: None,
            lambda event, **fields: None)
        self.core.routes = plan.make_table(plan.routes) if plan.routes.rules else None
        self.core.observer = recorder
        if plan.quotas is not None:
            means = {c.name: timedelta(microseconds=c.aim_us) for c in plan.settings.classes}
            self.core.quotas = Gate(plan.quotas, plan.settings.fleet_size, means, START)
        # As on the wire, names carry no zone or kind; shuffling keeps their order from revealing either.
        pairs = [pair for pair in plan.fleet for _ in range(world.servers)]
        names = [f"s{number}" for number in range(len(pairs))]
        self.random.shuffle(names)
        self.servers = [SimulatedServer(self, name, zone, kind)
                        for name, (zone, kind) in zip(names, pairs, strict=True)]
        self._set_load()

    def _preferred_zones(self) -> Collection[str]:
        """Returns the zones preferred for the request; the node's own zone if no route applies."""
        found = self.core.routes.find(self.world.subject()) if self.core.routes is not None else None
        if found is not None and found[1] is not None and found[1].zones:
            return found[1].zones[0]
        return {self.plan.settings.zone}

    def _set_load(self) -> None:
        preferred = self._preferred_zones()
        for server in self.servers:
            server.is_full = self.world.load == "all-full" or (
                self.world.load == "region-full" and server.zone in preferred)
            server.busy_slots = SLOTS // 2 if self.world.load == "busy" else 0

    def play(self) -> History:
        """Runs the simulation from the first list to the last answer and returns its history."""
        world, core, clock = self.world, self.core, self.clock
        core.list_servers("list", self._rows(self.servers), api.RosterMode.COMPLETE)
        begin = START + FIRST_ARRIVAL_DELAY
        for number in range(world.arrivals):
            clock.call_at(begin + number * world.gap * MS, lambda n=number: self._submit(n))  # type: ignore[misc]
        if world.event != "none":
            clock.call_at(begin + world.at * MS - 3 * MS, self._trigger_event)
        last = begin + world.arrivals * world.gap * MS
        longest = timedelta(microseconds=max(cls.deadline_us for cls in self.plan.settings.classes))
        clock.run(last + longest + TAIL_TIME, lambda: (
            self.arrived == world.arrivals and not core.sessions and clock.time >= last))
        self.history.until = clock.time
        self.history.listed_states.sort(key=lambda sight: sight.at)
        return self.history

    def _rows(self, servers: Collection[SimulatedServer]) -> list[Row]:
        return [(server.entry(), server) for server in servers]

    def _submit(self, number: int) -> None:
        world, cls = self.world, self._request_class()
        self.arrived += 1
        limit_us = cls.deadline_us if cls is not None else 1_000_000
        deadline = self.clock.now() + timedelta(microseconds=limit_us)
        name = f"job-{number}"
        session = self.core.take(Job(
            name, world.request_class, deadline, b"", world.key, f"key-{number}", world.tenant,
            resent=world.resent, region=world.region, client=world.client, account=world.tenant),
            DiscardingClient())
        if world.event == "clients-leave" and number % 2 == 0:
            self.clock.call_later(40 * MS, lambda: self.core.leave(session))

    def _request_class(self) -> api.RequestClass | None:
        return next((c for c in self.plan.settings.classes if c.name == self.world.request_class), None)

    # --- events ------------------------------------------------------------------------------------------

    def _affected_servers(self) -> list[SimulatedServer]:
        if self.world.target == "all":
            return self.servers
        preferred = self._preferred_zones()
        in_zones = [server for server in self.servers if server.zone in preferred] or self.servers
        return in_zones if self.world.target == "region" else in_zones[:1]

    def _trigger_event(self) -> None:
        handlers: Mapping[str, Callable[[list[SimulatedServer]], None]] = {
            "drain": self._drain, "gone": self._stop, "vanish": self._stop, "restart": self._restart,
            "maintenance": self._start_maintenance, "back": self._start_maintenance,
            "silent": self._make_silent}
        if self.world.event in handlers:
            handlers[self.world.event](self._affected_servers())
        elif self.world.event == "list-lost":
            self.core.list_failed()
        elif self.world.event == "fewer-attempts":
            fewer = min(self.plan.settings.attempt_cap, 2)
            self.core.change_settings(replace(self.plan.settings, attempt_cap=fewer), 30_000)

    def _update_list(self, servers: list[SimulatedServer], lag: timedelta) -> None:
        """Updates the worker list after the lag, with the state at the time of the event.

        The delay is at least 1 ms, so that no update is simultaneous with its event.
        """
        lag = max(lag, MS)
        rows = self._rows(servers)
        if self.world.event == "vanish":
            remaining = self._rows([server for server in self.servers if server not in servers])
            self.clock.call_later(
                lag, lambda: self.core.list_servers("list", remaining, api.RosterMode.COMPLETE))
        else:
            self.clock.call_later(lag, lambda: self.core.list_servers("list", rows))

    def _record_own(self, servers: list[SimulatedServer], state: State) -> None:
        self.history.own += [ServerEvent(self.clock.now(), server.name, state) for server in servers]

    def _drain(self, servers: list[SimulatedServer]) -> None:
        for server in servers:
            server.state = api.Lifecycle.TERMINATING
        self._record_own(servers, State.DRAINING)
        self._update_list(servers, self.world.lag * MS)

    def _stop(self, servers: list[SimulatedServer]) -> None:
        for server in servers:
            server.is_stopped, server.state = True, api.Lifecycle.TERMINATED
            server.kill()
        self._record_own(servers, State.GONE)
        self._update_list(servers, self.world.lag * MS)

    def _restart(self, servers: list[SimulatedServer]) -> None:
        for server in servers:
            server.launched_us = to_us(self.clock.now())
            server.kill()
        self._record_own(servers, State.IN_SERVICE)
        self._update_list(servers, self.world.lag * MS)

    def _start_maintenance(self, servers: list[SimulatedServer]) -> None:
        """Takes servers out by an operator's command, which takes effect at once.

        The worker list keeps reporting them as in service.
        """
        for server in servers:
            self.core.start_maintenance(server.name)
        self._update_list(servers, 300 * MS)
        if self.world.event == "back":
            for server in servers:
                self.clock.call_later(600 * MS, lambda name=server.name: self.core.end_maintenance(name))  # type: ignore[misc]

    def _make_silent(self, servers: list[SimulatedServer]) -> None:
        for server in servers:
            server.is_silent = True


def play(world: World, plan: SystemUnderTest) -> History:
    """Simulates a world and returns its history."""
    return Simulation(world, plan).play()


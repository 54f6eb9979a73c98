"""Replication over regions in virtual time: commit, failover and a temporary partition of a region."""

from __future__ import annotations

import asyncio
import random
import statistics
from collections.abc import Callable
from typing import Any

from result import Ok

from arrowfold.internal.messages import MemberInfo
from arrowfold.replication.durable import DurableState, recover_member_state
from arrowfold.replication.identity import store_identity
from arrowfold.replication.member import GroupMember
from arrowfold.replication.proposals import Proposal
from arrowfold.replication.replica import Replica
from arrowfold.replication.state import ConfigurationStep, ControlState
from arrowfold.replication.timings import Timings
from arrowfold.storage.log import SegmentedLog
from benchmarks.capacity.results import Figures
from benchmarks.capacity.system import target
from benchmarks.capacity.system.documents import DIGEST, change_of_one_route, document_text
from benchmarks.capacity.system.population import member_name, zone_name
from benchmarks.capacity.system.virtual_time import (
    DelayNetwork,
    MemoryFolder,
    NetworkCaller,
    SilentLog,
    TimedDiskWorker,
    run_virtual,
)

IN_REGION_S = 0.0005  # one-way delay
SYNC_S = 0.005
SETTLING_S = 10.0
WAIT_TIMEOUT_S = 30.0
CHECK_INTERVAL_S = 0.005
COMMITS = 20
FAILURES = 8
AT_REST_S = 20.0


class Group:
    """A replication group: all replicas of the control nodes on one simulated network."""

    def __init__(self, members: int, losses: int, cross_region_s: float, seed: int) -> None:
        self._losses = losses
        self._draw = random.Random(seed)
        self.addresses = [f"10.1.{number}.35:7660" for number in range(members)]
        self.region = {address: number % target.REGIONS for number, address in enumerate(self.addresses)}
        self.network = DelayNetwork(
            lambda one, other: IN_REGION_S if self.region[one] == self.region[other] else cross_region_s
        )
        self.replicas: dict[str, Replica] = {}
        self._running: dict[str, asyncio.Task[None]] = {}
        self._version = 0
        self.stuck = 0

    async def start(self) -> None:
        """Bootstraps the group and waits until every member has joined."""
        seeds = tuple(self.addresses[:3])
        for number, address in enumerate(self.addresses):
            self._start_member(number, address, seeds)
            await asyncio.sleep(self._draw.uniform(0.0, 0.1))
        await self._until(self._is_whole)

    def _start_member(self, number: int, address: str, seeds: tuple[str, ...]) -> None:
        clock = asyncio.get_running_loop().time
        folder = MemoryFolder()
        identity = store_identity(folder, member_name(number + 1), True, seeds)
        log = SegmentedLog(folder)
        persisted = DurableState(log, TimedDiskWorker(SYNC_S), clock, recover_member_state(log.recover()))
        info = MemberInfo(identity.member, f"core-{number}", address, address, zone_name(number))
        member = GroupMember(info, True, persisted, clock, Timings(), SilentLog())
        caller = NetworkCaller(self.network, address)
        draw = random.Random(self._draw.random())
        replica = Replica(member, caller, seeds, self._losses, SilentLog(), draw)
        self.network.handlers[address] = replica.handlers()
        self.replicas[address] = replica
        self._running[address] = asyncio.create_task(replica.run())

    def _is_whole(self) -> bool:
        primary = self.primary()
        if primary is None:
            return False
        record = self.replicas[primary].group_member.persisted.record
        return record is not None and len(record.group) == len(self.addresses)

    def primary(self) -> str | None:
        """Returns the address of the active primary that is alive, if there is one."""
        for address, replica in self.replicas.items():
            if address not in self.network.dead and replica.is_primary():
                return address
        return None

    async def _until(self, reached: Callable[[], bool]) -> float:
        """Waits for a condition, up to `WAIT_TIMEOUT_S`; returns the seconds. `stuck` counts timeouts."""
        clock = asyncio.get_running_loop().time
        started = clock()
        while not reached():
            if clock() - started > WAIT_TIMEOUT_S:
                self.stuck += 1
                break
            await asyncio.sleep(CHECK_INTERVAL_S)
        return clock() - started

    async def commit(self) -> float:
        """Commits one change of configuration at the primary; returns the seconds it took."""
        clock = asyncio.get_running_loop().time
        started = clock()
        while clock() - started < WAIT_TIMEOUT_S:
            primary = self.primary()
            if primary is not None:
                result = await self.replicas[primary].propose(self._decide)
                if isinstance(result, Ok):
                    return clock() - started
            await asyncio.sleep(CHECK_INTERVAL_S)
        self.stuck += 1
        return clock() - started

    def _decide(self, state: ControlState) -> Proposal[int]:
        self._version += 1
        digest = DIGEST[8:] + self._version.to_bytes(8, "big")
        if state.configuration is None:
            text = document_text(target.MODELS, target.ADAPTERS, target.ROUTES, self._version)
            step = ConfigurationStep(self._version, digest, text)
        else:
            step = ConfigurationStep(self._version, digest, None, change_of_one_route(self._version))
        return Proposal(state.sequence, step)

    async def lose_primary(self) -> tuple[float, float]:
        """Stops the primary's network until another primary has committed a change.

        Returns the seconds until another primary is active, and until the change is committed.
        """
        clock = asyncio.get_running_loop().time
        await self._until(lambda: self.primary() is not None)
        lost = self.primary() or self.addresses[0]
        started = clock()
        self.network.dead.add(lost)
        await self._until(lambda: self.primary() is not None)
        leads_s = clock() - started
        await self.commit()
        committed_s = clock() - started
        self.network.dead.discard(lost)
        await self._until(self._is_whole)
        await asyncio.sleep(2.0 + self._draw.random())
        return leads_s, committed_s

    async def cut_off_region(self, length_s: float) -> Figures:
        """Partitions the primary's region for `length_s`, then heals the partition and waits for recovery."""
        clock = asyncio.get_running_loop().time
        await self._until(lambda: self.primary() is not None)
        lost = self.primary() or self.addresses[0]
        for address in self.addresses:
            self.network.partitions[address] = int(self.region[address] == self.region[lost])
        started = clock()
        await self._until(
            lambda: any(
                self.replicas[address].is_primary()
                for address in self.addresses
                if not self.network.partitions[address]
            )
        )
        elected_s = clock() - started
        primaries = sum(replica.is_primary() for replica in self.replicas.values())
        await asyncio.sleep(max(0.0, length_s - elected_s))
        bytes_before = self.network.call_bytes
        self.network.partitions.clear()
        healed_s = clock()
        await self._until(self._is_whole)
        return {
            "cut_leads_s": elected_s,
            "cut_primaries": float(primaries),
            "heal_s": clock() - healed_s,
            "heal_bytes": float(self.network.call_bytes - bytes_before),
        }


async def _scenario(members: int, losses: int, cross_region_s: float, seed: int) -> Figures:
    group = Group(members, losses, cross_region_s, seed)
    await group.start()
    await asyncio.sleep(SETTLING_S)
    commits = [await group.commit() for _ in range(COMMITS)]
    before_calls, before_bytes = sum(group.network.calls.values()), group.network.call_bytes
    await asyncio.sleep(AT_REST_S)
    rest_calls = (sum(group.network.calls.values()) - before_calls) / AT_REST_S
    rest_bytes = (group.network.call_bytes - before_bytes) / AT_REST_S
    before_bytes = group.network.call_bytes
    await group.commit()
    commit_bytes = group.network.call_bytes - before_bytes
    losses_s = [await group.lose_primary() for _ in range(FAILURES)]
    cut = await group.cut_off_region(60.0)
    return {
        "commit_ms": statistics.median(commits) * 1000,
        "rest_calls_a_second": rest_calls,
        "rest_bytes_a_second": rest_bytes,
        "commit_bytes": float(commit_bytes),
        "failover_s": statistics.median(leads for leads, _ in losses_s),
        "failover_most_s": max(leads for leads, _ in losses_s),
        "failover_commit_s": max(committed for _, committed in losses_s),
        **cut,
        "stuck": float(group.stuck),
    }


def failover(members: int, losses: int, cross_region_ms: float, seed: int) -> Figures:
    """Measures a group of so many members over six regions, with a one-way delay between regions."""
    scenario: Any = _scenario(members, losses, cross_region_ms / 1000, seed)
    figures: Figures = run_virtual(scenario)
    return figures

"""Kills, planned replacements, restarts and stops of real control processes, one after the other."""

from __future__ import annotations

import asyncio
import random
import signal
from collections import Counter
from dataclasses import dataclass, field

import aiohttp

from benchmarks.control_kills.nodes import ControlProcess, ControlProcesses
from benchmarks.control_kills.operators import Ledger

PROGRESS_S = 20.0  # for the next acknowledgement and every node's answer, before the group counts as stuck


@dataclass
class Strikes:
    """Strikes a running group; `done` counts the faults by kind."""

    group: ControlProcesses
    ledger: Ledger
    draw: random.Random
    done: Counter[str] = field(default_factory=Counter)
    stuck: int = 0
    ended_late: int = 0

    async def strike(self) -> None:
        """One fault, and the wait until all is well again."""
        kinds = {
            "kill": self._kill,
            "stop and continue": self._stop,
            "terminate": self._terminate,
            "replace": self._replace,
        }
        name = self.draw.choice(list(kinds))
        before = self.ledger.changes
        await kinds[name]()
        self.done[name] += 1
        await self._until_well(before)

    def _victims(self) -> list[ControlProcess]:
        return self.draw.sample(self.group.nodes, self.draw.randint(1, self.group.losses))

    async def _kill(self) -> None:
        victims = self._victims()
        for victim in victims:
            victim.kill()
        await asyncio.sleep(self.draw.choice([0.0, 0.3, 1.2]))
        for victim in victims:
            self.group.restart(victim)

    async def _stop(self) -> None:
        victims = self._victims()
        for victim in victims:
            victim.signal(signal.SIGSTOP)
        await asyncio.sleep(self.draw.choice([0.1, 0.9, 2.5]))
        for victim in victims:
            victim.signal(signal.SIGCONT)

    async def _terminate(self) -> None:
        victim = self.draw.choice(self.group.nodes)
        self.ended_late += not await victim.terminate()
        self.group.restart(victim)

    async def _replace(self) -> None:
        """An empty node comes first; once it answers, an old one is told to end, and its folder is gone."""
        victim = self.draw.choice(self.group.nodes)
        newcomer = self.group.add()
        self.group.restart(newcomer)
        await self._until_answered([newcomer])
        self.ended_late += not await victim.terminate()
        self.group.take_away(victim)

    async def _until_well(self, changes_before: int) -> None:
        try:
            async with asyncio.timeout(PROGRESS_S):
                await self._until_answered(self.group.nodes)
                while self.ledger.changes == changes_before:
                    await asyncio.sleep(0.02)
        except TimeoutError:
            self.stuck += 1

    async def _until_answered(self, nodes: list[ControlProcess]) -> None:
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for node in list(nodes):
                while not await _answers(session, node):
                    await asyncio.sleep(0.05)


async def _answers(session: aiohttp.ClientSession, node: ControlProcess) -> bool:
    try:
        async with session.get(f"{node.url}/configuration") as answer:
            return answer.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False

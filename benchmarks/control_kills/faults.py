"""Injects kills, replacements, restarts and stops into real control processes, one fault at a time."""

from __future__ import annotations

import asyncio
import random
import signal
from collections import Counter
from dataclasses import dataclass, field

import aiohttp

from benchmarks.control_kills.nodes import ControlProcess, ControlProcesses
from benchmarks.control_kills.operators import Ledger

PROGRESS_TIMEOUT_S = 20.0  # without an acknowledged change or a node's answer, the group counts as stuck


@dataclass
class FaultInjector:
    """Injects faults into a running group.

    `injected` counts the faults by kind, `stuck` those after which the group made no progress in time, and
    `killed_after_grace` the processes that did not end within the grace time.
    """

    group: ControlProcesses
    ledger: Ledger
    rng: random.Random
    injected: Counter[str] = field(default_factory=Counter)
    stuck: int = 0
    killed_after_grace: int = 0

    async def inject(self) -> None:
        """Injects one random fault and waits until the group has recovered."""
        kinds = {
            "kill": self._kill,
            "stop and continue": self._stop,
            "terminate": self._terminate,
            "replace": self._replace,
        }
        name = self.rng.choice(list(kinds))
        before = self.ledger.changes
        await kinds[name]()
        self.injected[name] += 1
        await self._wait_for_recovery(before)

    def _choose_nodes(self) -> list[ControlProcess]:
        return self.rng.sample(self.group.nodes, self.rng.randint(1, self.group.losses))

    async def _kill(self) -> None:
        victims = self._choose_nodes()
        for victim in victims:
            victim.kill()
        await asyncio.sleep(self.rng.choice([0.0, 0.3, 1.2]))
        for victim in victims:
            self.group.restart(victim)

    async def _stop(self) -> None:
        victims = self._choose_nodes()
        for victim in victims:
            victim.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.choice([0.1, 0.9, 2.5]))
        for victim in victims:
            victim.signal(signal.SIGCONT)

    async def _terminate(self) -> None:
        victim = self.rng.choice(self.group.nodes)
        self.killed_after_grace += not await victim.terminate()
        self.group.restart(victim)

    async def _replace(self) -> None:
        """Starts an empty node; once it responds, ends an old one, whose folder is not used again."""
        victim = self.rng.choice(self.group.nodes)
        newcomer = self.group.add()
        self.group.restart(newcomer)
        await self._wait_until_responding([newcomer])
        self.killed_after_grace += not await victim.terminate()
        self.group.remove_node(victim)

    async def _wait_for_recovery(self, changes_before: int) -> None:
        try:
            async with asyncio.timeout(PROGRESS_TIMEOUT_S):
                await self._wait_until_responding(self.group.nodes)
                while self.ledger.changes == changes_before:
                    await asyncio.sleep(0.02)
        except TimeoutError:
            self.stuck += 1

    async def _wait_until_responding(self, nodes: list[ControlProcess]) -> None:
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for node in list(nodes):
                while not await _is_responding(session, node):
                    await asyncio.sleep(0.05)


async def _is_responding(session: aiohttp.ClientSession, node: ControlProcess) -> bool:
    try:
        async with session.get(f"{node.url}/configuration") as answer:
            return answer.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False

"""Stand-in operators: they send a change until the answer is clear, lose answers, and check what they see."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import aiohttp

from benchmarks.control_kills.nodes import ControlProcesses
from tests.system.control_simulation.history import describe, document

CALL_S = 1.0
PAUSE_S = 0.05
LOST_ANSWERS = 0.2  # the share of answers that an operator takes for lost


@dataclass
class Ledger:
    """What was acknowledged, and what was wrong."""

    acknowledged: dict[int, bytes] = field(default_factory=dict)
    changes: int = 0
    resent: int = 0
    reads: int = 0
    not_found: list[str] = field(default_factory=list)
    refused_again: list[str] = field(default_factory=list)
    two_under_one: list[str] = field(default_factory=list)

    def newest(self) -> int:
        """The highest version acknowledged."""
        return max(self.acknowledged, default=0)

    def acknowledge(self, version: int, marker: bytes) -> None:
        """A change got 200."""
        self.changes += 1
        if self.acknowledged.setdefault(version, marker) != marker:
            self.two_under_one.append(f"version {version}: {marker!r} and {self.acknowledged[version]!r}")

    def read(self, body: bytes, newest_before: int) -> int:
        """A read got 200; nothing acknowledged before it was sent may be missing."""
        self.reads += 1
        version, marker = describe(body)
        if version < newest_before:
            self.not_found.append(f"version {version} was read after {newest_before} was acknowledged")
        if self.acknowledged.get(version, marker) != marker:
            self.not_found.append(f"version {version} is not what was acknowledged")
        return version


class Operator:
    """One of several operators that change the same configuration."""

    def __init__(self, name: str, group: ControlProcesses, ledger: Ledger, draw: random.Random) -> None:
        self._name = name
        self._group = group
        self._ledger = ledger
        self._draw = draw
        self._serial = 0
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_S))

    async def close(self) -> None:
        """Give up its connections."""
        await self._session.close()

    async def read(self) -> int | None:
        """The version in force, from any node; None without a clear answer."""
        newest = self._ledger.newest()
        node = self._draw.choice(self._group.nodes)
        try:
            async with self._session.get(f"{node.url}/configuration") as answer:
                body = await answer.read()
                return self._ledger.read(body, newest) if answer.status == 200 else None
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def change(self) -> None:
        """One change on what is in force, sent until the answer is clear."""
        base = await self.read() or self._ledger.newest()
        version = base + self._draw.randint(1, 2)
        self._serial += 1
        marker = f"{self._name}-{self._serial}"
        taken = False
        for attempt in range(200):
            self._ledger.resent += attempt > 0
            status = await self._send(base, version, marker)
            if status == 200:
                taken = True
                if self._draw.random() < LOST_ANSWERS:
                    continue  # it takes the answer for lost, and sends the same again
                self._ledger.acknowledge(version, marker.encode())
                return
            if status in (400, 412):
                if taken:
                    self._ledger.refused_again.append(f"{marker}: {status} after 200")
                return
            await asyncio.sleep(PAUSE_S)

    async def _send(self, base: int, version: int, marker: str) -> int | None:
        node = self._draw.choice(self._group.nodes)
        try:
            async with self._session.put(
                f"{node.url}/configuration", data=document(version, marker), headers={"If-Match": str(base)}
            ) as answer:
                await answer.read()
                return answer.status
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def run(self) -> None:
        """Change after change."""
        while True:
            await self.change()
            await asyncio.sleep(self._draw.uniform(0.0, 0.1))

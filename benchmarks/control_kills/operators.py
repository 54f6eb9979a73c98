"""Simulated operators, which resend changes until the result is certain and check every version read."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import aiohttp

from benchmarks.control_kills.nodes import ControlProcesses
from tests.system.control_simulation.history import describe, document

CALL_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.05
LOST_ANSWER_SHARE = 0.2  # share of successful answers that an operator treats as lost


@dataclass
class Ledger:
    """The acknowledged changes by version, counts of operations, and the violations found."""

    acknowledged: dict[int, bytes] = field(default_factory=dict)
    changes: int = 0
    resent: int = 0
    reads: int = 0
    lost_changes: list[str] = field(default_factory=list)
    rejected_resends: list[str] = field(default_factory=list)
    version_conflicts: list[str] = field(default_factory=list)

    def newest_version(self) -> int:
        """Returns the highest acknowledged version, or 0."""
        return max(self.acknowledged, default=0)

    def acknowledge(self, version: int, marker: bytes) -> None:
        """Records a change that was answered with 200."""
        self.changes += 1
        if self.acknowledged.setdefault(version, marker) != marker:
            self.version_conflicts.append(f"version {version}: {marker!r} and {self.acknowledged[version]!r}")

    def read(self, body: bytes, newest_before: int) -> int:
        """Records a read that was answered with 200, and returns its version.

        The read must not be older than `newest_before`, the newest version acknowledged before it was sent.
        """
        self.reads += 1
        version, marker = describe(body)
        if version < newest_before:
            self.lost_changes.append(f"version {version} was read after {newest_before} was acknowledged")
        if self.acknowledged.get(version, marker) != marker:
            self.lost_changes.append(f"version {version} is not what was acknowledged")
        return version


class Operator:
    """One of several operators that change the same configuration."""

    def __init__(self, name: str, group: ControlProcesses, ledger: Ledger, rng: random.Random) -> None:
        self._name = name
        self._group = group
        self._ledger = ledger
        self._rng = rng
        self._serial = 0
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S))

    async def close(self) -> None:
        """Closes the HTTP session."""
        await self._session.close()

    async def read(self) -> int | None:
        """Reads the current version from a random node; returns None without a certain result."""
        newest_version = self._ledger.newest_version()
        node = self._rng.choice(self._group.nodes)
        try:
            async with self._session.get(f"{node.url}/configuration") as answer:
                body = await answer.read()
                return self._ledger.read(body, newest_version) if answer.status == 200 else None
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def change(self) -> None:
        """Makes one change to the current version, and resends it until the result is certain."""
        base = await self.read() or self._ledger.newest_version()
        version = base + self._rng.randint(1, 2)
        self._serial += 1
        marker = f"{self._name}-{self._serial}"
        was_acknowledged = False
        for attempt in range(200):
            self._ledger.resent += attempt > 0
            status = await self._send(base, version, marker)
            if status == 200:
                was_acknowledged = True
                if self._rng.random() < LOST_ANSWER_SHARE:
                    continue  # treats the answer as lost and resends the same change
                self._ledger.acknowledge(version, marker.encode())
                return
            if status in (400, 412):
                if was_acknowledged:
                    self._ledger.rejected_resends.append(f"{marker}: {status} after 200")
                return
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _send(self, base: int, version: int, marker: str) -> int | None:
        node = self._rng.choice(self._group.nodes)
        try:
            async with self._session.put(
                f"{node.url}/configuration", data=document(version, marker), headers={"If-Match": str(base)}
            ) as answer:
                await answer.read()
                return answer.status
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def run(self) -> None:
        """Makes changes until cancelled."""
        while True:
            await self.change()
            await asyncio.sleep(self._rng.uniform(0.0, 0.1))

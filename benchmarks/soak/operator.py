"""The operator of a soak, which changes the configuration and records acknowledged versions."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from arrowfold.standins.local_system import LocalSystem
from arrowfold.standins.trial_configuration import ADDED, trial_route
from benchmarks.soak.configuration import soak_configuration

CALL_TIMEOUT_S = 5.0
CHANGE_TIMEOUT_S = 90.0  # the group may have no primary while processes start on a busy machine
RETRY_INTERVAL_S = 0.1


@dataclass
class Operator:
    """Sends one change at a time; `acknowledged` is the newest acknowledged version."""

    system: LocalSystem
    rng: random.Random
    session: aiohttp.ClientSession
    acknowledged: int = 0
    changes: int = 0
    faults: list[str] = field(default_factory=list)
    _lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def send_initial(self) -> None:
        """Sends the initial configuration with all routes."""
        await self._send_until_acknowledged("PUT", soak_configuration())

    async def change(self) -> None:
        """Changes the timeout of a route to a random value."""
        changed = trial_route("added", ADDED, "idempotent", timeoutMs=9_000 + self.rng.randrange(1000))
        await self._send_until_acknowledged("PATCH", {"upsert": {"routes": [changed]}})

    async def read(self, address: str) -> dict[str, Any] | None:
        """Returns the configuration read from one node, or None if the node does not answer with 200."""
        status, body = await self._call("GET", address, {}, None)
        return json.loads(body) if status == 200 else None

    async def _send_until_acknowledged(self, method: str, change: dict[str, Any]) -> None:
        async with self._lock:
            version = self.acknowledged + 1
            body = json.dumps({"version": version, **change}).encode()
            headers = {"If-Match": str(self.acknowledged), "Content-Type": "application/json"}
            try:
                async with asyncio.timeout(CHANGE_TIMEOUT_S):
                    while not await self._is_settled(method, headers, body, version):
                        await asyncio.sleep(RETRY_INTERVAL_S)
            except TimeoutError:
                self.faults.append(f"change {version} was not acknowledged in {CHANGE_TIMEOUT_S:.0f} s")
                return
            self.acknowledged = version
            self.changes += 1

    async def _is_settled(self, method: str, headers: dict[str, str], body: bytes, version: int) -> bool:
        node = self.rng.choice(self.system.controls)
        address = self.system.control_address(node)
        status, text = await self._call(method, address, headers, body)
        if 400 <= status < 500 and status not in (408, 429):
            self.faults.append(f"{method} of version {version} at {node.name}: {status} {text[:200]!r}")
            return True
        return status == 200

    async def _call(
        self, method: str, address: str, headers: dict[str, str], body: bytes | None
    ) -> tuple[int, bytes]:
        """Returns the status and body of a response; status 0 means that there was none."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        url = f"http://{address}/configuration"
        try:
            async with self.session.request(
                method, url, headers=headers, data=body, timeout=timeout
            ) as answer:
                return answer.status, await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, b""

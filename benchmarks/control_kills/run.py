"""One run: a group of real processes, two operators, and a number of faults."""

from __future__ import annotations

import asyncio
import random
import time
from pathlib import Path
from typing import Any

from benchmarks.control_kills.faults import Strikes
from benchmarks.control_kills.nodes import control_processes
from benchmarks.control_kills.operators import Ledger, Operator

FIRST_CHANGE_S = 60.0


async def play(folder: Path, members: int, losses: int, faults: int, seed: int) -> dict[str, Any]:
    """The figures of one run."""
    draw = random.Random(seed)
    ledger = Ledger()
    started = time.monotonic()
    with control_processes(folder, members, losses) as group:
        operators = [Operator(name, group, ledger, draw) for name in ("one", "two")]
        try:
            async with asyncio.timeout(FIRST_CHANGE_S):
                while not ledger.changes:
                    await operators[0].change()
            running = [asyncio.create_task(operator.run()) for operator in operators]
            strikes = Strikes(group, ledger, draw)
            for _ in range(faults):
                await strikes.strike()
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)
            found = await _read_back(operators[0])
        finally:
            for operator in operators:
                await operator.close()
    if found < ledger.newest():
        ledger.not_found.append(f"version {found} at the end, {ledger.newest()} was acknowledged")
    return {
        "members": members,
        "losses": losses,
        "seed": seed,
        "faults": dict(sorted(strikes.done.items())),
        "seconds": round(time.monotonic() - started),
        "acknowledged": ledger.changes,
        "sent again": ledger.resent,
        "reads": ledger.reads,
        "acknowledged and not found": len(ledger.not_found),
        "refused when sent again": len(ledger.refused_again),
        "two under one number": len(ledger.two_under_one),
        "stuck": strikes.stuck,
        "ended by SIGKILL after the grace time": strikes.ended_late,
        "wrong": [*ledger.not_found, *ledger.refused_again, *ledger.two_under_one][:10],
    }


async def _read_back(operator: Operator) -> int:
    for _ in range(400):
        version = await operator.read()
        if version is not None:
            return version
        await asyncio.sleep(0.1)
    return 0

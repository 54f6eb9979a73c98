"""One run with a group of real control processes, two operators, and a number of faults."""

from __future__ import annotations

import asyncio
import random
import time
from pathlib import Path
from typing import Any

from benchmarks.control_kills.faults import FaultInjector
from benchmarks.control_kills.nodes import control_processes
from benchmarks.control_kills.operators import Ledger, Operator

FIRST_CHANGE_TIMEOUT_S = 60.0


async def run_with_faults(folder: Path, members: int, losses: int, faults: int, seed: int) -> dict[str, Any]:
    """Runs the processes under faults and returns the figures of the run; `folder` holds the nodes' data."""
    rng = random.Random(seed)
    ledger = Ledger()
    started = time.monotonic()
    with control_processes(folder, members, losses) as group:
        operators = [Operator(name, group, ledger, rng) for name in ("one", "two")]
        try:
            async with asyncio.timeout(FIRST_CHANGE_TIMEOUT_S):
                while not ledger.changes:
                    await operators[0].change()
            operator_tasks = [asyncio.create_task(operator.run()) for operator in operators]
            injector = FaultInjector(group, ledger, rng)
            for _ in range(faults):
                await injector.inject()
            for task in operator_tasks:
                task.cancel()
            await asyncio.gather(*operator_tasks, return_exceptions=True)
            final_version = await _read_final_version(operators[0])
        finally:
            for operator in operators:
                await operator.close()
    if final_version < ledger.newest_version():
        ledger.lost_changes.append(
            f"version {final_version} at the end, {ledger.newest_version()} was acknowledged"
        )
    return {
        "members": members,
        "losses": losses,
        "seed": seed,
        "faults": dict(sorted(injector.injected.items())),
        "seconds": round(time.monotonic() - started),
        "acknowledged": ledger.changes,
        "sent again": ledger.resent,
        "reads": ledger.reads,
        "acknowledged and not found": len(ledger.lost_changes),
        "refused when sent again": len(ledger.rejected_resends),
        "two under one number": len(ledger.version_conflicts),
        "stuck": injector.stuck,
        "ended by SIGKILL after the grace time": injector.killed_after_grace,
        "wrong": [*ledger.lost_changes, *ledger.rejected_resends, *ledger.version_conflicts][:10],
    }


async def _read_final_version(operator: Operator) -> int:
    for _ in range(400):
        version = await operator.read()
        if version is not None:
            return version
        await asyncio.sleep(0.1)
    return 0

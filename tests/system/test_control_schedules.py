"""Random schedules of faults: no acknowledged change is lost, no state regresses, no two holders act."""

from __future__ import annotations

import hashlib
import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.system.control_simulation.schedules import Schedule, run_schedule
from tests.system.control_simulation.world import run_world

ROOT = Path(__file__).parent.parent.parent
TRACE_DIGEST = """
import hashlib, sys
from tests.system.control_simulation.schedules import run_schedule
print(hashlib.sha256("\\n".join(run_schedule(int(sys.argv[1])).trace).encode()).hexdigest())
"""


def _digest(lines: list[str]) -> str:
    return hashlib.sha256("\n".join(lines).encode()).hexdigest()


@pytest.mark.parametrize("seed", range(12))
def test_given_three_machines_and_random_faults_then_every_guarantee_holds(seed: int) -> None:
    outcome = run_schedule(seed)
    assert outcome.violation is None, outcome.violation
    assert outcome.acknowledged > 0


@pytest.mark.parametrize("seed", range(100, 106))
def test_given_five_machines_and_two_losses_then_every_guarantee_holds(seed: int) -> None:
    outcome = run_schedule(seed, machines=5, losses=2)
    assert outcome.violation is None, outcome.violation
    assert outcome.acknowledged > 0


@pytest.mark.parametrize("seed", range(200, 206))
def test_given_a_fourth_machine_then_every_guarantee_holds(seed: int) -> None:
    outcome = run_schedule(seed, machines=4, losses=1)
    assert outcome.violation is None, outcome.violation
    assert outcome.acknowledged > 0


def test_a_seed_gives_the_same_schedule_in_every_process() -> None:
    digests = {_digest(run_schedule(7).trace)}
    for hash_seed in ("1", "2"):
        environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
        command = [sys.executable, "-W", "ignore", "-c", TRACE_DIGEST, "7"]
        done = subprocess.run(command, cwd=ROOT, env=environment, capture_output=True, text=True, check=True)
        digests.add(done.stdout.strip())
    assert len(digests) == 1


def test_sending_messages_as_bytes_does_not_change_a_schedule() -> None:
    def trace_of(encodes: bool) -> list[str]:
        async def story() -> list[str]:
            schedule = Schedule(11, 3, 1)
            schedule.world.network.encodes = encodes
            return (await schedule.run()).trace

        trace: list[str] = run_world(story())
        return trace

    assert trace_of(True) == trace_of(False)

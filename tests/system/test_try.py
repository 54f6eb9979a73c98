"""`arrowfold system try` runs the whole system on loopback and ends every process that it started."""

from __future__ import annotations

import os
import re
import subprocess
import sys

from arrowfold.standins.system_trial import TRIAL_TIMEOUT_S

SHUTDOWN_TIMEOUT_S = 200.0  # for the end of all processes, after the trial's own timeout
STEP_MESSAGES = (
    "all edge nodes are ready",
    "a route added, served by every edge node",
    "a key taken away, 401 at every edge node",
    "worker i-1 drained and left",
    "the primary, killed",
    "acknowledged by the others, in force at every edge node",
    "read back from every control node",
)


def test_the_whole_system_serves_during_a_change_a_drain_and_the_loss_of_the_primary() -> None:
    command = [sys.executable, "-m", "arrowfold", "system", "try", "--edges=2", "--requests=12"]
    trial = subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, start_new_session=True
    )
    try:
        output, errors = trial.communicate(timeout=TRIAL_TIMEOUT_S + SHUTDOWN_TIMEOUT_S)
    finally:
        trial.kill()
    assert trial.returncode == 0, output + errors
    assert [message for message in STEP_MESSAGES if message not in output] == []
    assert output.splitlines()[-1] == "passed"
    rows = re.findall(r"^(?:at|after|while|the|a) .+?((?: +\d+){6})$", output, re.MULTILINE)
    outcome_counts = [[int(number) for number in row.split()] for row in rows]
    assert sum(row[0] for row in outcome_counts) == 7 * 12
    assert sum(sum(row[1:]) for row in outcome_counts) == 0
    assert _process_group_has_ended(trial.pid)


def _process_group_has_ended(group_id: int) -> bool:
    try:
        os.killpg(group_id, 0)
    except ProcessLookupError:
        return True
    return False

"""Each benchmark job runs in its own process, and a job that hangs is reported."""

from __future__ import annotations

import itertools
import os
import threading
import time
from collections.abc import Iterator

from result import Err, Ok

from benchmarks.jobs import run_jobs

DEADLINE_S = 60.0
SHORT_DEADLINE_S = 1.0
LOCK = threading.Lock()


def process_of(job: int) -> tuple[int, int]:
    """Returns the job and the id of the process that ran it."""
    return job, os.getpid()


def wait_forever(job: int) -> int:
    """Deadlocks if the job is 1, like a forked child whose parent's other thread held a lock."""
    if job == 1:
        LOCK.acquire()
        LOCK.acquire()
    return job


def exit_without_result(job: int) -> int:
    """Exits without a result if the job is 1."""
    if job == 1:
        os._exit(9)
    return job


def raise_error(job: int) -> int:
    """Raises an exception if the job is 1."""
    if job == 1:
        raise ValueError("the job is at fault")
    return job


def test_each_job_runs_in_its_own_process() -> None:
    results = dict(run_jobs(process_of, range(4), 2, DEADLINE_S))
    assert {job: result.unwrap()[0] for job, result in results.items()} == {job: job for job in range(4)}
    processes = {result.unwrap()[1] for result in results.values()}
    assert len(processes) == 4 and os.getpid() not in processes


def test_given_a_job_that_hangs_then_its_stacks_are_reported_and_the_others_finish() -> None:
    results = dict(run_jobs(wait_forever, range(3), 3, SHORT_DEADLINE_S))
    assert results[0] == Ok(0) and results[2] == Ok(2)
    failure = results[1].unwrap_err()
    assert "wait_forever" in failure.stacks


def test_given_a_job_that_exits_or_raises_then_its_exit_code_is_reported() -> None:
    for work, code in ((exit_without_result, "code 9"), (raise_error, "code 1")):
        results = dict(run_jobs(work, range(3), 3, DEADLINE_S))
        assert results[0] == Ok(0) and results[2] == Ok(2)
        assert isinstance(results[1], Err) and code in results[1].err_value.reason


def test_no_job_is_taken_before_a_process_is_free() -> None:
    taken: list[float] = []

    def jobs() -> Iterator[int]:
        for job in itertools.count():
            if job == 3:
                return
            taken.append(time.monotonic())
            yield job

    ended = [time.monotonic() for _ in run_jobs(process_of, jobs(), 1, DEADLINE_S)]
    assert len(ended) == 3
    assert all(later >= earlier for earlier, later in zip(ended, taken[1:], strict=False))

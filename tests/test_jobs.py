"""Jobs of benchmarks: each in a process of its own, and none may stand still unseen."""

from __future__ import annotations

import itertools
import os
import threading
import time
from collections.abc import Iterator

from result import Err, Ok

from benchmarks.jobs import run_jobs

DEADLINE_S = 60.0
SHORT_S = 1.0
HELD = threading.Lock()


def process_of(job: int) -> tuple[int, int]:
    """The job, and the process that did it."""
    return job, os.getpid()


def wait_for_ever(job: int) -> int:
    """Stand still as a child does whose parent's other thread held a lock."""
    if job == 1:
        HELD.acquire()
        HELD.acquire()
    return job


def die(job: int) -> int:
    """End without a result where the job is 1."""
    if job == 1:
        os._exit(9)
    return job


def fail(job: int) -> int:
    """Raise where the job is 1."""
    if job == 1:
        raise ValueError("the job is at fault")
    return job


def test_each_job_has_a_process_of_its_own() -> None:
    results = dict(run_jobs(process_of, range(4), 2, DEADLINE_S))
    assert {job: result.unwrap()[0] for job, result in results.items()} == {job: job for job in range(4)}
    processes = {result.unwrap()[1] for result in results.values()}
    assert len(processes) == 4 and os.getpid() not in processes


def test_given_a_job_that_stands_still_then_its_stacks_are_told_and_the_others_end() -> None:
    results = dict(run_jobs(wait_for_ever, range(3), 3, SHORT_S))
    assert results[0] == Ok(0) and results[2] == Ok(2)
    fault = results[1].unwrap_err()
    assert "wait_for_ever" in fault.stacks


def test_given_a_job_that_dies_or_fails_then_that_is_its_result() -> None:
    for work, code in ((die, "code 9"), (fail, "code 1")):
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

"""Runs the jobs of benchmarks in spawned processes, one for each job, each with a deadline.

A process pool that replaces its workers forks while its own threads run: a lock that another thread holds at
that moment stays locked in the child forever. Each job therefore gets a fresh interpreter. A job that misses
its deadline is terminated, and the stacks of all its threads are reported.
"""

from __future__ import annotations

import faulthandler
import multiprocessing
import tempfile
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from multiprocessing.connection import Connection, wait
from multiprocessing.process import BaseProcess
from pathlib import Path
from typing import Any, Generic, TypeVar

from result import Err, Ok, Result

JobT = TypeVar("JobT")
ResultT = TypeVar("ResultT")
END_GRACE_S = 10.0  # time after the deadline for a process to write its stacks and exit


@dataclass(frozen=True, slots=True)
class JobFailure:
    """The reason why a job ended without a result, and its threads' stacks if it missed its deadline."""

    reason: str
    stacks: str = ""


@dataclass(slots=True)
class _RunningJob(Generic[JobT]):
    """A job in progress."""

    job: JobT
    process: BaseProcess
    results: Connection
    stacks: Path
    kill_at_s: float  # time of the monotonic clock at which the process is killed


def run_jobs(
    work: Callable[[JobT], ResultT], jobs: Iterable[JobT], processes: int, deadline_s: float
) -> Iterator[tuple[JobT, Result[ResultT, JobFailure]]]:
    """Yields each job with its result in order of completion.

    `work` must be a module-level function; `deadline_s` is the time limit of each job in seconds. At most
    `processes` run at a time. Jobs are taken from the iterable only as processes become free, so an iterable
    can stop at a certain time and no job starts after it.
    """
    pending = iter(jobs)
    running: list[_RunningJob[JobT]] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            while True:
                while len(running) < processes and (job := next(pending, None)) is not None:
                    running.append(_start_job(work, job, Path(folder), deadline_s))
                if not running:
                    return
                ended = _wait_for_ended(running)
                for item in ended:
                    running.remove(item)
                    yield item.job, _collect_result(item)
        finally:
            for item in running:
                item.process.kill()
                item.process.join()


def _start_job(
    work: Callable[[JobT], ResultT], job: JobT, folder: Path, deadline_s: float
) -> _RunningJob[JobT]:
    context = multiprocessing.get_context("spawn")
    receiver, sender = context.Pipe(duplex=False)
    stacks = folder / f"{time.monotonic_ns()}.txt"
    process = context.Process(target=_run_job, args=(sender, work, job, str(stacks), deadline_s))
    process.start()
    sender.close()
    return _RunningJob(job, process, receiver, stacks, time.monotonic() + deadline_s + END_GRACE_S)


def _run_job(
    results: Connection, work: Callable[[Any], Any], job: object, stacks: str, deadline_s: float
) -> None:
    """Runs in the job's process: sends the result, or writes all stacks and exits at the deadline."""
    with open(stacks, "w", encoding="utf-8") as file:
        faulthandler.dump_traceback_later(deadline_s, exit=True, file=file)
        results.send((work(job),))
        faulthandler.cancel_dump_traceback_later()


def _wait_for_ended(running: list[_RunningJob[JobT]]) -> list[_RunningJob[JobT]]:
    """Waits until some jobs have a result or have ended, and kills those whose time to exit has passed."""
    next_kill_s = min(item.kill_at_s for item in running)
    ready = wait([item.results for item in running], max(0.0, next_kill_s - time.monotonic()))
    for item in running:
        if item.kill_at_s <= time.monotonic():
            item.process.kill()
    return [item for item in running if item.results in ready or item.kill_at_s <= time.monotonic()]


def _collect_result(item: _RunningJob[JobT]) -> Result[Any, JobFailure]:
    try:
        received: tuple[Any] | None = item.results.recv() if item.results.poll() else None
    except EOFError:
        received = None
    item.process.join()
    item.results.close()
    if received is not None:
        return Ok(received[0])
    stacks = item.stacks.read_text(encoding="utf-8") if item.stacks.exists() else ""
    return Err(JobFailure(f"ended without a result, code {item.process.exitcode}", stacks))

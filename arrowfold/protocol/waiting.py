"""Submitting a job and waiting for its answer, for all client protocols."""

from __future__ import annotations

from collections.abc import Callable

from arrowfold.routing.core import Core
from arrowfold.routing.session import Answer, Job
from arrowfold.transport.loop import Loop, Steps, Task
from arrowfold.transport.stream import Stream, StreamBroken

MAX_PIPELINED_READS = 16  # reads of pipelined data before a job is submitted


class AnswerReceiver:
    """Holds the answer to a connection's open job; base class of the connections."""

    __slots__ = ("answered", "task")

    def __init__(self) -> None:
        self.answered: Answer | None = None
        self.task: Task | None = None

    def answer(self, answer: Answer) -> None:
        """Take the job's answer from the core and resume the waiting task."""
        self.answered = answer
        if self.task is not None:
            self.task.wake()

    def submit(
            self, loop: Loop, core: Core, job: Job, stream: Stream,
            poll_disconnect: Callable[[], bool | None],
    ) -> Steps[Answer | None]:
        """Submit a job to the core and wait for its answer; None if the client disconnects.

        `poll_disconnect` returns True after a disconnect, None if nothing is there to read.
        """
        self.answered = None
        # Prevents workers from running the job of a client that has already disconnected. The end of its
        # stream may follow pipelined data.
        for _ in range(MAX_PIPELINED_READS):
            if (gone := _is_gone(poll_disconnect)) is not False:
                break
        if gone:
            core.counters["client_left_unheard"] += 1
            return None
        session = core.take(job, self)
        while self.answered is None:
            gone = _is_gone(poll_disconnect)
            if gone:
                core.leave(session)
                return None
            if self.answered is not None:
                break
            # Prevents a client that keeps sending from delaying others: it is read once per turn of the loop.
            yield from stream.wait_readable() if gone is None else loop.turn()
        return self.answered


def _is_gone(poll_disconnect: Callable[[], bool | None]) -> bool | None:
    try:
        return poll_disconnect()
    except StreamBroken:
        return True

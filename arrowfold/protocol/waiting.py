"""A client's wait for its answer, alike on every wire."""

from __future__ import annotations

from collections.abc import Callable

from arrowfold.routing.core import Core
from arrowfold.routing.session import Answer, Job
from arrowfold.transport.loop import Loop, Steps, Task
from arrowfold.transport.stream import Broken, Stream

LOOKS = 16  # at what a client has sent ahead, before its job is taken in


class Waiting:
    """One connection's place for the answer to the job that it has open."""

    __slots__ = ("answered", "task")

    def __init__(self) -> None:
        self.answered: Answer | None = None
        self.task: Task | None = None

    def answer(self, answer: Answer) -> None:
        self.answered = answer
        if self.task is not None:
            self.task.wake()

    def hand_in(
            self, loop: Loop, core: Core, job: Job, stream: Stream, peer_gone: Callable[[], bool | None],
    ) -> Steps[Answer | None]:
        """Hand a job to the core and wait; None if the client has gone, and nothing is owed any more."""
        self.answered = None
        # Guards servers against the job of a client that has left before anybody looked at it. Its end may
        # lie behind more that it has sent.
        for _ in range(LOOKS):
            if (gone := _look(peer_gone)) is not False:
                break
        if gone:
            core.counters["client_left_unheard"] += 1
            return None
        session = core.take(job, self)
        while self.answered is None:
            gone = _look(peer_gone)
            if gone:
                core.leave(session)
                return None
            if self.answered is not None:
                break
            # Guards the others against a client that goes on sending: it has its turn, and then they have.
            yield from stream.wait_readable() if gone is None else loop.turn()
        return self.answered


def _look(peer_gone: Callable[[], bool | None]) -> bool | None:
    try:
        return peer_gone()
    except Broken:
        return True

"""A client's wait for its answer, alike on every wire."""

from __future__ import annotations

from collections.abc import Callable

from arrowfold.routing.core import Core
from arrowfold.routing.session import Answer, Job
from arrowfold.transport.loop import Loop, Steps, Task
from arrowfold.transport.stream import Broken, Stream


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
        session = core.take(job, self)
        while self.answered is None:
            try:
                gone = peer_gone()
            except Broken:
                gone = True
            if gone:
                core.leave(session)
                return None
            if gone is None and self.answered is None:
                stream.reader = loop.current
                yield from loop.park()
                stream.reader = None
        return self.answered

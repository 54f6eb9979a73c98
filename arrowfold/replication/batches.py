"""Proposals that wait for the primary, and the batches in which they are decided and committed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from arrowfold.node.result_codes import ResultCode
from arrowfold.replication.proposals import Decide, Proposal, ReplicationFault
from arrowfold.replication.state import ControlState, Entry, apply_entry

MAX_BATCH_PROPOSALS = 64  # proposals that share one sync


@dataclass(slots=True)
class Waiting:
    """A proposal and who waits for its answer."""

    decide: Decide[Any]
    future: asyncio.Future[Result[Any, ReplicationFault]] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    def settle(self, result: Result[Any, ReplicationFault]) -> None:
        """Give the answer, if anyone still waits."""
        if not self.future.done():
            self.future.set_result(result)

    def fail(self, code: ResultCode, text: str) -> None:
        """Answer that it was not committed, or is not known to be."""
        self.settle(Err(ReplicationFault(code, text)))

    def evaluate(self, state: ControlState) -> Proposal[Any] | None:
        """The decision; None if it failed, which must not end the others."""
        try:
            return self.decide(state)
        except Exception as error:
            self.fail(ResultCode.STATE_DAMAGED, f"{type(error).__name__}: {error}")
            return None


@dataclass(slots=True)
class Batch:
    """Decisions on one state after the other, to be committed together."""

    entries: list[Entry] = field(default_factory=list)
    answers: list[tuple[Waiting, Any]] = field(default_factory=list)

    def settle(self) -> None:
        """All of it is committed."""
        for waiting, answer in self.answers:
            waiting.settle(Ok(answer))

    def fail(self) -> None:
        """It is not known whether it is committed."""
        for waiting, _ in self.answers:
            waiting.fail(ResultCode.REPLICATION_TIMEOUT, "not known to be committed")


class ProposalQueue:
    """Proposals in the order in which they came."""

    def __init__(self) -> None:
        self._waiting: list[Waiting] = []

    def __bool__(self) -> bool:
        return bool(self._waiting)

    def add(self, decide: Decide[Any]) -> asyncio.Future[Result[Any, ReplicationFault]]:
        """Queue a proposal; the future is its answer."""
        waiting = Waiting(decide)
        self._waiting.append(waiting)
        return waiting.future

    def next_batch(self, state: ControlState) -> Batch:
        """Decide on the proposals that wait, each on the state that the one before leads to."""
        taken, self._waiting = self._waiting[:MAX_BATCH_PROPOSALS], self._waiting[MAX_BATCH_PROPOSALS:]
        batch = Batch()
        for waiting in taken:
            proposal = waiting.evaluate(state)
            if proposal is None:
                continue
            batch.answers.append((waiting, proposal.answer))
            if proposal.entry is not None:
                batch.entries.append(proposal.entry)
                state = apply_entry(state, proposal.entry)
        return batch

    def fail_all(self) -> None:
        """The term ended before these were decided on."""
        for waiting in self._waiting:
            waiting.fail(ResultCode.NOT_PRIMARY, "the term ended")
        self._waiting.clear()

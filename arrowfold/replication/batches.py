"""The primary's queue of proposals and the batches in which they are evaluated and committed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from arrowfold.node.result_codes import ResultCode
from arrowfold.replication.proposals import Decide, Proposal, ReplicationFault
from arrowfold.replication.state import ControlState, Entry, apply_entry

MAX_BATCH_PROPOSALS = 64  # maximum number of proposals that share one sync


@dataclass(slots=True)
class PendingProposal:
    """A queued proposal and the future of its answer."""

    decide: Decide[Any]
    future: asyncio.Future[Result[Any, ReplicationFault]] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    def settle(self, result: Result[Any, ReplicationFault]) -> None:
        """Resolve the future, unless it is done or cancelled."""
        if not self.future.done():
            self.future.set_result(result)

    def fail(self, code: ResultCode, text: str) -> None:
        """Resolve the future with a fault: not committed, or not known to be committed."""
        self.settle(Err(ReplicationFault(code, text)))

    def evaluate(self, state: ControlState) -> Proposal[Any] | None:
        """The proposal for this state, or None if `decide` raised.

        An exception fails only this proposal, not the others of the batch.
        """
        try:
            return self.decide(state)
        except Exception as error:
            self.fail(ResultCode.STATE_DAMAGED, f"{type(error).__name__}: {error}")
            return None


@dataclass(slots=True)
class Batch:
    """Proposals evaluated on successive states, whose entries are committed together."""

    entries: list[Entry] = field(default_factory=list)
    answers: list[tuple[PendingProposal, Any]] = field(default_factory=list)

    def settle(self) -> None:
        """Answer all proposals after their entries are committed."""
        for pending, answer in self.answers:
            pending.settle(Ok(answer))

    def fail(self) -> None:
        """Answer all proposals that the outcome of the commit is unknown."""
        for pending, _ in self.answers:
            pending.fail(ResultCode.REPLICATION_TIMEOUT, "not known to be committed")


class ProposalQueue:
    """A first-in, first-out queue of proposals."""

    def __init__(self) -> None:
        self._waiting: list[PendingProposal] = []

    def __bool__(self) -> bool:
        return bool(self._waiting)

    def add(self, decide: Decide[Any]) -> asyncio.Future[Result[Any, ReplicationFault]]:
        """Queue a proposal; returns the future of its answer."""
        pending = PendingProposal(decide)
        self._waiting.append(pending)
        return pending.future

    def next_batch(self, state: ControlState) -> Batch:
        """Take up to MAX_BATCH_PROPOSALS and evaluate each on the state that the previous one leads to."""
        taken, self._waiting = self._waiting[:MAX_BATCH_PROPOSALS], self._waiting[MAX_BATCH_PROPOSALS:]
        batch = Batch()
        for pending in taken:
            proposal = pending.evaluate(state)
            if proposal is None:
                continue
            batch.answers.append((pending, proposal.answer))
            if proposal.entry is not None:
                batch.entries.append(proposal.entry)
                state = apply_entry(state, proposal.entry)
        return batch

    def fail_all(self) -> None:
        """Fail all queued proposals because the term has ended."""
        for pending in self._waiting:
            pending.fail(ResultCode.NOT_PRIMARY, "the term ended")
        self._waiting.clear()

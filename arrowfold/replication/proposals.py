"""The interface between the control plane and replication."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from result import Result

from arrowfold.internal.messages import MemberInfo
from arrowfold.node.result_codes import ResultCode
from arrowfold.replication.state import ControlState, Entry

AnswerT = TypeVar("AnswerT")


class ReplicationFault(Exception):
    """A proposal was not committed, or it is not known whether it was."""

    def __init__(self, code: ResultCode, text: str) -> None:
        super().__init__(text)
        self.code = code


@dataclass(frozen=True, slots=True)
class Proposal(Generic[AnswerT]):
    """The result of a decision on the newest state: an optional entry to commit, and the caller's answer.

    The answer is given only after the entry is committed.
    """

    answer: AnswerT
    entry: Entry | None = None


Decide = Callable[[ControlState], Proposal[AnswerT]]


class ReplicaPort(Protocol):
    """One member's interface to the replicated control state."""

    @property
    def committed(self) -> ControlState:
        """The newest state known to be committed; only this state may be distributed."""

    @property
    def epoch(self) -> int:
        """The epoch of the newest record known."""

    @property
    def member(self) -> str:
        """This member's identity."""

    def members(self) -> tuple[MemberInfo, ...]:
        """The witnesses of the newest record known."""

    def primary(self) -> MemberInfo | None:
        """The primary of the newest epoch known, whether or not it is alive."""

    def is_primary(self) -> bool:
        """Whether this member is the active primary and holds its lease at this moment."""

    def is_current(self) -> bool:
        """Whether the primary recently confirmed that `committed` is the whole committed state."""

    def state_age_s(self) -> float | None:
        """Age bound of `committed` in seconds: it contains every change acknowledged at least this long ago.

        None if no bound is known.
        """

    async def propose(self, decide: Decide[AnswerT]) -> Result[AnswerT, ReplicationFault]:
        """On the primary: decide on the newest state, commit the entry, and answer under a valid lease."""

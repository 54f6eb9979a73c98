"""The invariants that every state of the model must satisfy."""

from __future__ import annotations

from benchmarks.control_model.actions import Bounds, can_act
from benchmarks.control_model.state import Record, State, has_majorities


def violation(state: State, bounds: Bounds) -> str | None:
    """Returns a description of the first violated invariant, or None."""
    return _two_primaries(state) or _two_records_in_one_epoch(state) or _unrecoverable(state, bounds)


def _two_primaries(state: State) -> str | None:
    active = [number for number in range(len(state.members)) if can_act(state, number)]
    return f"two active primaries: {active}" if len(active) > 1 else None


def _two_records_in_one_epoch(state: State) -> str | None:
    """Checks that no two terms of one epoch have different records, since both would have been chosen."""
    records = {term.record for term in state.terms if term is not None}
    epochs = [record.epoch for record in records]
    return "two records were chosen in one epoch" if len(epochs) != len(set(epochs)) else None


def _unrecoverable(state: State, bounds: Bounds) -> str | None:
    """Checks that the group can recover if every member that has a disk answers.

    A majority must form, and the next epoch must start from a log with every acknowledged entry.
    """
    answering = [number for number, member in enumerate(state.members) if member.status in ("up", "down")]
    records = [state.members[number].record for number in answering]
    known = [record for record in records if record is not None]
    if not known:
        return "nobody knows an epoch"
    newest = max(known, key=lambda record: record.epoch)
    quorums = newest.quorums[-1:] if _is_confirmed(state, newest, answering) else newest.quorums
    if not has_majorities(quorums, frozenset(answering)):
        return f"no majority can be formed: epoch {newest.epoch} needs {[sorted(q) for q in quorums]}"
    sources = [
        state.members[number].log
        for number in answering
        if number in newest.group and state.members[number].installed >= newest.epoch
    ]
    if not sources:
        return f"nobody holds the state of epoch {newest.epoch}"
    best = max(sources)
    if best[: len(state.committed)] != state.committed:
        return f"acknowledged {state.committed} is lost: the next epoch starts from {best}"
    return None


def _is_confirmed(state: State, record: Record, answering: list[int]) -> bool:
    return any(
        state.members[number].record == record
        and (state.members[number].confirmed_on_disk or _is_confirmed_in_memory(state, number))
        for number in answering
    )


def _is_confirmed_in_memory(state: State, number: int) -> bool:
    return state.members[number].status == "up" and state.members[number].confirmed

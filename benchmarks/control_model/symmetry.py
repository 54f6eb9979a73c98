"""Symmetry reduction: one canonical form for all states that differ only in the numbering of members.

Members are interchangeable in the model: a step uses a member's number only to compare it with another. So of
the states that are renumberings of each other only one has to be visited. Members are sorted by a signature
that does not depend on their numbers. Ties keep the existing order: a state may then be visited more than
once, but no state is skipped.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

from benchmarks.control_model.state import NO_MEMBER, Attempt, Members, Record, State, Term

# New numbers by old number. The last item is NO_MEMBER, so that index NO_MEMBER (-1) yields NO_MEMBER.
Renumbering = list[int]


def canonical(state: State) -> State:
    """Returns the state with its members sorted by their signatures."""
    total = len(state.members)
    signatures: list[tuple[Any, ...]] = [_own_signature(state, number) for number in range(total)]
    if len(set(signatures)) < total:
        seen = Counter(signatures)
        signatures = [
            (signature, _relation_signature(state, number)) if seen[signature] > 1 else (signature, ())
            for number, signature in enumerate(signatures)
        ]
    ordered = sorted(range(total), key=signatures.__getitem__)
    if ordered == list(range(total)):
        return state
    renumbering = [0] * total + [NO_MEMBER]
    for new, old in enumerate(ordered):
        renumbering[old] = new
    return renumbered(state, renumbering)


def _own_signature(state: State, number: int) -> tuple[Any, ...]:
    """Returns the signature of a member's own state, without any member's number."""
    member, attempt, term = state.members[number], state.attempts[number], state.terms[number]
    record = member.record
    return (
        member.status,
        member.promised,
        member.promised_to == number,
        member.promised_to == NO_MEMBER,
        member.installed,
        member.log,
        member.confirmed,
        member.confirmed_on_disk,
        member.leaving,
        member.lease == number,
        member.lease == NO_MEMBER,
        () if record is None else (record.epoch, record.primary == number, number in record.group),
        () if attempt is None else (attempt.epoch, len(attempt.answers), attempt.record is not None),
        () if term is None else (term.record.epoch, term.active),
    )


def _relation_signature(state: State, number: int) -> tuple[Any, ...]:
    """Returns the signature of the relations of other members to a member, without any number."""
    attempts = sorted(
        (
            other.epoch,
            any(answer[0] == number for answer in other.answers),
            number in other.installed,
            number in other.accepted,
        )
        for other in state.attempts
        if other is not None
    )
    records = {known.record for known in state.members if known.record is not None}
    return (
        tuple(attempts),
        sum(other.lease == number for other in state.members),
        sum(other.promised_to == number for other in state.members),
        tuple(sorted((other.epoch, _roles_in_record(other, number)) for other in records)),
        sum(other is not None and number in (other.appending or ()) for other in state.terms),
        sum(message.receiver == number for message in state.late),
    )


def _roles_in_record(record: Record, number: int) -> tuple[bool, ...]:
    """Returns the roles of a member in a record."""
    return (
        record.primary == number,
        number in record.group,
        *(number in quorum for quorum in record.quorums),
    )


def renumbered(state: State, renumbering: Renumbering) -> State:
    """Returns the state with the members renumbered."""
    records: dict[Record, Record] = {}

    def numbers(members: Members) -> Members:
        return frozenset([renumbering[number] for number in members])

    def record_of(record: Record | None) -> Record | None:
        if record is None:
            return None
        known = records.get(record)
        if known is None:
            known = records[record] = Record(
                record.epoch,
                renumbering[record.primary],
                numbers(record.group),
                tuple([numbers(quorum) for quorum in record.quorums]),
            )
        return known

    def attempt_of(attempt: Attempt | None) -> Attempt | None:
        if attempt is None:
            return None
        answers = sorted(
            [
                (renumbering[number], record_of(record), confirmed, installed, log)
                for number, record, confirmed, installed, log in attempt.answers
            ],
            key=lambda answer: answer[0],
        )
        target = attempt.target_membership
        return Attempt(
            attempt.epoch,
            tuple(answers),
            record_of(attempt.record),
            attempt.start,
            numbers(attempt.installed),
            numbers(attempt.accepted),
            None if target is None else (numbers(target[0]), numbers(target[1])),
        )

    def term_of(term: Term | None) -> Term | None:
        if term is None:
            return None
        record = record_of(term.record)
        assert record is not None
        return Term(record, term.active, None if term.appending is None else numbers(term.appending))

    old_numbers = sorted(range(len(state.members)), key=renumbering.__getitem__)
    members = tuple(
        [
            state.members[old]._replace(
                promised_to=renumbering[state.members[old].promised_to],
                lease=renumbering[state.members[old].lease],
                record=record_of(state.members[old].record),
            )
            for old in old_numbers
        ]
    )
    late = frozenset(
        message._replace(receiver=renumbering[message.receiver], record=record_of(message.record))
        for message in state.late
    )
    return state._replace(
        members=members,
        attempts=tuple([attempt_of(state.attempts[old]) for old in old_numbers]),
        terms=tuple([term_of(state.terms[old]) for old in old_numbers]),
        late=late,
    )

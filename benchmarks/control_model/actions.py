"""The steps of the model. Docstrings name the function of the program that a step models."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import permutations
from typing import NamedTuple

from benchmarks.control_model.state import (
    NO_MEMBER,
    Attempt,
    Member,
    Members,
    Message,
    Record,
    State,
    Term,
    has_majorities,
    with_item,
)

Step = tuple[str, State]


class Bounds(NamedTuple):
    """Limits of the explored state space, the losses to tolerate, and the planted fault (empty for none)."""

    losses: int = 1
    max_epochs: int = 4
    max_entries: int = 1
    planted: str = ""

    def copies_required(self, witnesses: int) -> int:
        """Models `membership.copies_required`."""
        return min(self.losses + 1, max(1, witnesses))

    def witnesses_required(self) -> int:
        """Models `membership.witnesses_required`."""
        return 2 * self.losses + 1


def steps(state: State, bounds: Bounds) -> Iterator[Step]:
    """Yields the name and the resulting state of every step that is possible in a state."""
    for number, member in enumerate(state.members):
        if member.status == "up":
            yield from _start_candidacy(state, number, bounds)
            yield from _continue_attempt(state, number, bounds)
            yield from _act_as_primary(state, number, bounds)
            yield from _depart(state, number, bounds)
        yield from _fail_or_restart(state, number, bounds)
    yield from _deliver_late_messages(state, bounds)


def _with_member(state: State, number: int, member: Member) -> State:
    return state._replace(members=with_item(state.members, number, member))


def _with_attempt(state: State, number: int, attempt: Attempt | None) -> State:
    return state._replace(attempts=with_item(state.attempts, number, attempt))


def _with_term(state: State, number: int, term: Term | None) -> State:
    return state._replace(terms=with_item(state.terms, number, term))


# Candidates and promises


def _start_candidacy(state: State, number: int, bounds: Bounds) -> Iterator[Step]:
    """Models `Replica._elect_if_leaderless`: a witness gives the first promise itself."""
    member = state.members[number]
    if state.attempts[number] is not None or state.terms[number] is not None or member.leaving:
        return
    if member.record is None or number not in member.record.witnesses:
        return
    epoch = max((known.promised for known in state.members), default=0) + 1
    if epoch > bounds.max_epochs or member.lease not in (NO_MEMBER, number):
        return
    yield f"{number} stands for epoch {epoch}", _begin_attempt(state, number, epoch, None, bounds)


def _begin_attempt(
    state: State, number: int, epoch: int, target: tuple[Members, Members] | None, bounds: Bounds
) -> State:
    member = state.members[number]._replace(promised=epoch, promised_to=number)
    state = _with_member(state, number, member)
    attempt = Attempt(epoch, (_promise_answer(state, number),), None, (), frozenset(), frozenset(), target)
    return _with_attempt(state, number, attempt)


def _promise_answer(
    state: State, number: int
) -> tuple[int, Record | None, bool, int, tuple[int, ...]]:
    member = state.members[number]
    return number, member.record, member.confirmed, member.installed, member.log


def _promise(state: State, candidate: int, bounds: Bounds) -> Iterator[Step]:
    """Models `GroupMember.prepare` at one more member, whose answer arrives or is lost."""
    attempt = state.attempts[candidate]
    assert attempt is not None
    answered = {answer[0] for answer in attempt.answers}
    for number in sorted(_members_to_ask(state, candidate, attempt) - answered):
        member = state.members[number]
        if member.status != "up":
            continue
        is_repeated = member.promised == attempt.epoch and member.promised_to == candidate
        if member.promised >= attempt.epoch and not is_repeated:
            continue
        if member.lease not in (NO_MEMBER, candidate) and bounds.planted != "witness without lease":
            continue
        promised_member = member._replace(promised=attempt.epoch, promised_to=candidate)
        promised = _with_member(state, number, promised_member)
        answers = (*attempt.answers, _promise_answer(promised, number))
        yield (
            f"{number} promises epoch {attempt.epoch} to {candidate}",
            _with_attempt(promised, candidate, attempt._replace(answers=tuple(sorted(answers)))),
        )
        if not is_repeated and state.drops:
            yield (
                f"{number} promises epoch {attempt.epoch} to {candidate}, the answer is lost",
                promised._replace(drops=state.drops - 1),
            )


def _members_to_ask(state: State, candidate: int, attempt: Attempt) -> Members:
    """Returns the members to ask: voters of every record received, newcomers, and leaving members."""
    known: set[int] = set()
    for _, record, _, _, _ in attempt.answers:
        known.update(*(record.quorums if record is not None else ()))
    if attempt.target_membership is not None:
        known |= attempt.target_membership[1]
    known |= {number for number, member in enumerate(state.members) if member.leaving}
    return frozenset(known)


# Composing the record from the promises


def _newest(attempt: Attempt) -> Record | None:
    records = [record for _, record, _, _, _ in attempt.answers if record is not None]
    return max(records, key=lambda record: record.epoch) if records else None


def superseded_quorums(attempt: Attempt, bounds: Bounds) -> tuple[Members, ...] | None:
    """Models `EpochChange._evaluate_promises`: the quorums to supersede, or None without a majority of each.

    Older quorums count only while no answer confirms that the newest record was chosen.
    """
    record = _newest(attempt)
    assert record is not None
    confirmed = any(
        is_confirmed and answered is not None and answered.epoch == record.epoch
        for _, answered, is_confirmed, _, _ in attempt.answers
    )
    quorums = record.quorums[-1:] if confirmed or bounds.planted == "old voters forgotten" else record.quorums
    votes = frozenset(answer[0] for answer in attempt.answers)
    return quorums if has_majorities(quorums, votes) else None


def _state_sources(attempt: Attempt, record: Record, bounds: Bounds) -> list[tuple[int, tuple[int, ...]]]:
    """Models `epochs._state_sources`: the newest record's group members that installed its starting log."""
    if bounds.planted == "state from anyone":
        return [(number, log) for number, _, _, _, log in attempt.answers]
    return [
        (number, log)
        for number, _, _, installed, log in attempt.answers
        if number in record.group and installed >= record.epoch
    ]


def _compose(state: State, candidate: int, bounds: Bounds) -> Iterator[Step]:
    """Models `Replica._compose_same_witnesses` or `PrimaryTerm._try_epochs`, and the choice of the source."""
    attempt = state.attempts[candidate]
    assert attempt is not None
    quorums = superseded_quorums(attempt, bounds)
    record = _newest(attempt)
    if quorums is None or record is None:
        return
    granted = frozenset(answer[0] for answer in attempt.answers)
    if attempt.target_membership is None:
        if candidate not in record.witnesses:
            return
        group, witnesses = record.witnesses & granted, record.witnesses
    else:
        term = state.terms[candidate]
        if term is None or record.epoch != term.record.epoch:
            return
        group, witnesses = attempt.target_membership[0] & granted, attempt.target_membership[1]
    copies_required = bounds.copies_required(len(witnesses)) if bounds.planted != "one copy is enough" else 1
    sources = _state_sources(attempt, record, bounds)
    if candidate not in group or len(group) < copies_required or not sources:
        return
    choose = min if bounds.planted == "state from anyone" else max
    start = choose(sources, key=lambda source: (source[1], source[0]))[1]
    merged = (*(quorum for quorum in quorums if quorum != witnesses), witnesses)
    if bounds.planted == "no joint quorums":
        merged = (witnesses,)
    composed = Record(attempt.epoch, candidate, group, merged)
    yield (
        f"{candidate} composes epoch {attempt.epoch}: group {sorted(group)}, voters {sorted(witnesses)}",
        _with_attempt(state, candidate, attempt._replace(record=composed, start=start)),
    )


def install(state: State, number: int, record: Record, log: tuple[int, ...]) -> State | None:
    """Models `GroupMember.install`; None if the member rejects it or is not up."""
    member = state.members[number]
    if member.status != "up" or (member.promised, member.promised_to) != (record.epoch, record.primary):
        return None
    return _with_member(state, number, member._replace(installed=record.epoch, log=log))


def accept(state: State, number: int, record: Record) -> State | None:
    """Models `GroupMember.accept`, which also grants the lease; None if the member does not accept."""
    member = state.members[number]
    if member.status != "up" or member.promised > record.epoch:
        return None
    if member.promised == record.epoch and member.promised_to != record.primary:
        return None
    if member.record == record:
        return state
    accepted_member = member._replace(
        promised=record.epoch,
        promised_to=record.primary,
        record=record,
        confirmed=False,
        confirmed_on_disk=False,
        lease=record.primary,
    )
    return _with_member(state, number, accepted_member)


def append(
    state: State, number: int, record: Record, log: tuple[int, ...], bounds: Bounds
) -> State | None:
    """Models `GroupMember.append`: stores one entry if the log before it matches exactly, otherwise None."""
    member = state.members[number]
    if member.status != "up":
        return None
    if bounds.planted == "entries of old epochs":
        return _with_member(state, number, member._replace(log=log))
    if member.record != record or member.promised != record.epoch:
        return None
    if member.installed != record.epoch or member.log != log[:-1]:
        return None
    return _with_member(state, number, member._replace(log=log))


def _establish(state: State, candidate: int, bounds: Bounds) -> Iterator[Step]:
    """Models `EpochChange._install` and `_accept`, one message a step."""
    attempt = state.attempts[candidate]
    assert attempt is not None and attempt.record is not None
    record = attempt.record
    is_installed = attempt.installed == record.group
    if not is_installed and bounds.planted != "accept before install":
        for number in sorted(record.group - attempt.installed):
            after = install(state, number, record, attempt.start)
            if after is not None:
                done = attempt._replace(installed=attempt.installed | {number})
                yield f"{number} installs epoch {record.epoch}", _with_attempt(after, candidate, done)
        return
    voters = frozenset().union(*record.quorums)
    for number in sorted(voters - attempt.accepted):
        after = accept(state, number, record)
        if after is not None:
            done = attempt._replace(accepted=attempt.accepted | {number})
            yield f"{number} accepts epoch {record.epoch}", _with_attempt(after, candidate, done)
    if candidate in attempt.accepted and has_majorities(record.quorums, attempt.accepted):
        yield f"epoch {record.epoch} is chosen, {candidate} leads", _after_chosen(state, candidate, record)


def _after_chosen(state: State, candidate: int, record: Record) -> State:
    """Models `Replica._lead` or `PrimaryTerm._adopt`: the chosen epoch commits what was appended before."""
    member = state.members[candidate]
    state = _with_member(state, candidate, member._replace(confirmed=True))
    state = _with_attempt(state, candidate, None)
    state = _with_term(state, candidate, Term(record, False, None))
    return state


def _continue_attempt(state: State, number: int, bounds: Bounds) -> Iterator[Step]:
    """Yields the next steps of an attempt, and its end with or without a delayed message."""
    attempt = state.attempts[number]
    if attempt is None:
        return
    if attempt.record is None:
        yield from _promise(state, number, bounds)
        yield from _compose(state, number, bounds)
    else:
        yield from _establish(state, number, bounds)
        yield from _abandon_attempt(state, number, attempt)
    ended = _with_term(_with_attempt(state, number, None), number, None)
    yield f"{number} gives up epoch {attempt.epoch}", ended


def _abandon_attempt(state: State, number: int, attempt: Attempt) -> Iterator[Step]:
    if not state.drops or attempt.record is None:
        return
    record = attempt.record
    ended = _with_term(_with_attempt(state, number, None), number, None)._replace(drops=state.drops - 1)
    installing = attempt.installed != record.group
    waiting = record.group - attempt.installed if installing else record.witnesses - attempt.accepted
    kind = "install" if installing else "accept"
    for receiver in sorted(waiting):
        late = Message(kind, receiver, record, attempt.start)
        yield (
            f"{number} gives up epoch {attempt.epoch}, {kind} to {receiver} is late",
            ended._replace(late=state.late | {late}),
        )


# Primary


def _act_as_primary(state: State, number: int, bounds: Bounds) -> Iterator[Step]:
    term = state.terms[number]
    if term is None:
        return
    yield from _heartbeats(state, number, term, bounds)
    yield from _write(state, number, term, bounds)
    yield from _change_members(state, number, term, bounds)


def _heartbeats(state: State, number: int, term: Term, bounds: Bounds) -> Iterator[Step]:
    """Models `PrimaryTerm.send_heartbeats` and `GroupMember.heartbeat`; all members grant in one step."""
    granted = [
        other
        for other in sorted(term.record.witnesses)
        if state.members[other].status == "up"
        and state.members[other].record == term.record
        and state.members[other].promised == term.record.epoch
    ]
    if bounds.planted == "primary without lease":
        granted = sorted(term.record.witnesses)
    if not has_majorities(term.record.quorums[-1:], frozenset(granted)):
        if term.active and bounds.planted != "primary without lease":
            yield f"the lease of {number} ends", _after_lease_end(state, number)
        return
    after = state
    for other in granted:
        member = after.members[other]
        if member.record == term.record:
            after = _with_member(after, other, member._replace(lease=number, confirmed=True))
    after = _with_term(after, number, term._replace(active=True))
    if after != state:
        yield f"{number} has its lease, {granted} know that epoch {term.record.epoch} is chosen", after
    if term.active:
        yield f"the lease of {number} ends", _after_lease_end(state, number)


def can_act(state: State, number: int) -> bool:
    """Models `PrimaryTerm.has_lease`: an unexpired lease and no promise for another's epoch."""
    term = state.terms[number]
    return term is not None and term.active and state.members[number].promised_to == number


def _after_lease_end(state: State, number: int) -> State:
    """Ends the lease of a primary and the grants to it.

    The primary counts its lease from before the heartbeat, so that the grants end with it or later.
    """
    term = state.terms[number]
    assert term is not None
    after = _with_term(state, number, term._replace(active=False))
    members = tuple(
        member._replace(lease=NO_MEMBER) if member.lease == number else member for member in after.members
    )
    return after._replace(members=members)


def _write(state: State, number: int, term: Term, bounds: Bounds) -> Iterator[Step]:
    """Models `PrimaryTerm._commit`: the primary stores first, then the group; all must store."""
    member = state.members[number]
    epoch = term.record.epoch
    if term.appending is None:
        if can_act(state, number) and len(member.log) < bounds.max_entries:
            log = (*member.log, epoch)
            after = append(state, number, term.record, log, bounds)
            if after is not None:
                yield (
                    f"{number} stores an entry of epoch {epoch}",
                    _with_term(after, number, term._replace(appending=frozenset({number}))),
                )
        return
    for other in sorted(term.record.group - term.appending):
        after = append(state, other, term.record, member.log, bounds)
        if after is not None:
            stored = term._replace(appending=term.appending | {other})
            yield f"{other} stores the entry of epoch {epoch}", _with_term(after, number, stored)
        if state.drops:
            late = Message("append", other, term.record, member.log)
            yield (
                f"the entry of epoch {epoch} to {other} is late",
                state._replace(late=state.late | {late}, drops=state.drops - 1),
            )
    is_replicated = term.appending == term.record.group
    if bounds.planted == "commit without backups":
        is_replicated = True
    if is_replicated and can_act(state, number):
        after = state._replace(committed=member.log)
        done = _with_term(after, number, term._replace(appending=None))
        yield f"{number} acknowledges the entry of epoch {epoch}", done


def _change_members(state: State, number: int, term: Term, bounds: Bounds) -> Iterator[Step]:
    """Models `membership.next_membership`: adds newcomers, removes leaving or lost members.

    Never removes more members than the required copies and witnesses allow.
    """
    if state.attempts[number] is not None or term.record.epoch >= bounds.max_epochs:
        return
    if not can_act(state, number):
        return
    voters = set(term.record.witnesses)
    newcomers = {
        other
        for other, member in enumerate(state.members)
        if member.status == "up" and member.record is None and not member.leaving and other not in voters
    }
    lost = {other for other in voters if state.members[other].status in ("gone", "down")}
    leaving = {other for other in voters if state.members[other].leaving}
    epoch = max(member.promised for member in state.members) + 1
    if epoch > bounds.max_epochs:
        return
    for target in _target_memberships(state, number, voters | newcomers, leaving, lost, bounds):
        group, witnesses = target
        if len(group) < bounds.copies_required(len(witnesses)):
            continue
        if target == (term.record.group, term.record.witnesses) and term.appending is None:
            continue
        begun = _begin_attempt(state, number, epoch, target, bounds)
        begun = _with_term(begun, number, term._replace(appending=None))
        yield f"{number} changes to voters {sorted(witnesses)}, group {sorted(group)} by epoch {epoch}", begun


def _target_memberships(
    state: State, number: int, everyone: set[int], leaving: set[int], lost: set[int], bounds: Bounds
) -> set[tuple[Members, Members]]:
    """Returns each possible target group and witnesses: leaving or lost members are removed in any order."""
    targets: set[tuple[Members, Members]] = set()
    for leaving_order in permutations(sorted(leaving)):
        for lost_order in permutations(sorted(lost - leaving)):
            remaining = set(everyone)
            for other in (*leaving_order, *lost_order):
                if len(remaining) > bounds.witnesses_required() and other != number:
                    remaining.discard(other)
            group = {other for other in remaining if state.members[other].status == "up"}
            for other in leaving_order:
                if other in group and len(group) > bounds.copies_required(len(remaining)):
                    group.discard(other)
            if number in group:
                targets.add((frozenset(group), frozenset(remaining)))
    return targets


# Planned departures


def is_secured(state: State, record: Record, bounds: Bounds) -> bool:
    """Models `PrimaryTerm.is_secured`: enough remaining witnesses persist that the record is chosen."""
    confirmed_witnesses = [
        other
        for other in record.witnesses
        if state.members[other].record == record
        and state.members[other].confirmed_on_disk
        and not state.members[other].leaving
    ]
    return len(confirmed_witnesses) >= bounds.copies_required(len(record.witnesses))


def _depart(state: State, number: int, bounds: Bounds) -> Iterator[Step]:
    """Models `Replica.stop`: a final SIGTERM, and the end of the process once a primary releases the member.

    The model stops a member only while there are more witnesses than required and all of them are up.
    """
    member = state.members[number]
    if not member.leaving:
        record = member.record
        has_spare_witness = record is not None and len(record.witnesses) > bounds.witnesses_required()
        can_stop = has_spare_witness and all(
            state.members[other].status == "up"
            for other in record.witnesses  # type: ignore[union-attr]
        )
        if state.leaves and can_stop and number in record.witnesses:  # type: ignore[union-attr]
            stopping = _with_term(_with_attempt(state, number, None), number, None)
            leases = tuple(
                other._replace(lease=NO_MEMBER) if other.lease == number else other
                for other in stopping.members
            )
            stopping = stopping._replace(members=leases, leaves=state.leaves - 1)
            yield (
                f"{number} is told to end",
                _with_member(stopping, number, stopping.members[number]._replace(leaving=True)),
            )
        return
    gone = Member("gone", 0, NO_MEMBER, None, False, False, 0, (), NO_MEMBER, False)
    if bounds.planted == "ends at once":
        yield f"{number} ends without a release", _with_member(state, number, gone)
        return
    for leader, term in enumerate(state.terms):
        if term is None or state.attempts[leader] is not None or number in term.record.witnesses:
            continue
        if is_secured(state, term.record, bounds) or bounds.planted == "released before it is known":
            yield f"{leader} releases {number}, which ends", _with_member(state, number, gone)


# Failures, restarts and arrivals


def _fail_or_restart(state: State, number: int, bounds: Bounds) -> Iterator[Step]:
    member = state.members[number]
    if member.status == "up":
        if member.confirmed and not member.confirmed_on_disk:
            flushed = member._replace(confirmed_on_disk=True)
            yield f"{number} syncs that its record is chosen", _with_member(state, number, flushed)
        if state.crashes:
            yield (
                f"{number} loses power",
                _after_process_end(state, number, bounds)._replace(crashes=state.crashes - 1),
            )
        if state.wipes and not member.leaving:
            yield from _lose_disk(state, number, bounds)
        if member.record is None and member.promised == 0:
            return
    if member.status == "absent" and state.arrivals:
        new = Member("up", 0, NO_MEMBER, None, False, False, 0, (), NO_MEMBER, False)
        arrived = _with_member(state, number, new)._replace(arrivals=state.arrivals - 1)
        yield f"{number} comes with an empty disk", arrived
    if member.status == "down":
        record = member.record
        lease = record.primary if record is not None else NO_MEMBER
        if bounds.planted == "no lease after a restart":
            lease = NO_MEMBER
        restarted = member._replace(status="up", lease=lease)
        yield f"{number} starts again", _with_member(state, number, restarted)
        if lease != NO_MEMBER and not _is_active(state, lease):
            lease_expired = member._replace(status="up", lease=NO_MEMBER)
            yield f"{number} starts again and waits out a lease", _with_member(state, number, lease_expired)
    if member.status == "up" and member.lease != NO_MEMBER and not _is_active(state, member.lease):
        without_lease = _with_member(state, number, member._replace(lease=NO_MEMBER))
        yield f"the lease that {number} granted ends", without_lease


def _is_active(state: State, number: int) -> bool:
    term = state.terms[number]
    return term is not None and term.active


def _after_process_end(state: State, number: int, bounds: Bounds) -> State:
    """Returns the state after the process has ended; unsynced data is lost."""
    member = state.members[number]
    kept = member._replace(status="down", confirmed=member.confirmed_on_disk, lease=NO_MEMBER)
    if bounds.planted == "promise in memory":
        known = member.record.epoch if member.record is not None else 0
        owner = member.record.primary if member.record is not None else NO_MEMBER
        kept = kept._replace(promised=known, promised_to=owner)
    after = _with_member(state, number, kept)
    return _with_term(_with_attempt(after, number, None), number, None)


def _lose_disk(state: State, number: int, bounds: Bounds) -> Iterator[Step]:
    """Yields the loss of a disk; the node returns with a new identity if the model has an unused one."""
    gone = Member("gone", 0, NO_MEMBER, None, False, False, 0, (), NO_MEMBER, False)
    after = _with_member(state, number, gone)._replace(wipes=state.wipes - 1)
    after = _with_term(_with_attempt(after, number, None), number, None)
    if bounds.planted == "no amnesia guard":
        forgot = Member(
            "up", 0, NO_MEMBER, state.members[number].record, False, False, 0, (), NO_MEMBER, False
        )
        yield f"{number} forgets everything", _with_member(after, number, forgot)
        return
    for fresh, member in enumerate(after.members):
        if member.status == "absent":
            new = Member("up", 0, NO_MEMBER, None, False, False, 0, (), NO_MEMBER, False)
            yield f"{number} loses its disk and comes back as {fresh}", _with_member(after, fresh, new)
            return
    yield f"{number} is lost for good", after


def _deliver_late_messages(state: State, bounds: Bounds) -> Iterator[Step]:
    for message in sorted(state.late):
        if message.kind == "accept":
            after = accept(state, message.receiver, message.record)
        elif message.kind == "install":
            after = install(state, message.receiver, message.record, message.log)
        else:
            after = append(state, message.receiver, message.record, message.log, bounds)
        if after is not None and after != state:
            yield f"late {message.kind} of epoch {message.record.epoch} at {message.receiver}", after

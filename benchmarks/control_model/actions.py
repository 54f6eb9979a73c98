"""The steps of the model. Each names the function of the program for which it stands."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import permutations
from typing import NamedTuple

from benchmarks.control_model.state import (
    NOBODY,
    Attempt,
    Member,
    Members,
    Message,
    Record,
    State,
    Term,
    has_majorities,
    replaced,
)

Step = tuple[str, State]


class Bounds(NamedTuple):
    """How far the model goes, and which fault is planted in it."""

    losses: int = 1
    most_epochs: int = 4
    most_entries: int = 1
    planted: str = ""

    def copies(self, witnesses: int) -> int:
        """`membership.copies_required`."""
        return min(self.losses + 1, max(1, witnesses))

    def voters(self) -> int:
        """`membership.witnesses_required`."""
        return 2 * self.losses + 1


def steps(state: State, bounds: Bounds) -> Iterator[Step]:
    """Every state that one step leads to."""
    for number, member in enumerate(state.members):
        if member.status == "up":
            yield from _stand(state, number, bounds)
            yield from _go_on(state, number, bounds)
            yield from _lead(state, number, bounds)
            yield from _leave(state, number, bounds)
        yield from _trouble(state, number, bounds)
    yield from _late_messages(state, bounds)


def _with_member(state: State, number: int, member: Member) -> State:
    return state._replace(members=replaced(state.members, number, member))


def _with_attempt(state: State, number: int, attempt: Attempt | None) -> State:
    return state._replace(attempts=replaced(state.attempts, number, attempt))


def _with_term(state: State, number: int, term: Term | None) -> State:
    return state._replace(terms=replaced(state.terms, number, term))


# Standing and promising


def _stand(state: State, number: int, bounds: Bounds) -> Iterator[Step]:
    """`Replica._elect_if_leaderless`: a witness asks itself first."""
    member = state.members[number]
    if state.attempts[number] is not None or state.terms[number] is not None or member.leaving:
        return
    if member.record is None or number not in member.record.witnesses:
        return
    epoch = max((known.promised for known in state.members), default=0) + 1
    if epoch > bounds.most_epochs or member.lease not in (NOBODY, number):
        return
    yield f"{number} stands for epoch {epoch}", _begin(state, number, epoch, None, bounds)


def _begin(
    state: State, number: int, epoch: int, wanted: tuple[Members, Members] | None, bounds: Bounds
) -> State:
    member = state.members[number]._replace(promised=epoch, promised_to=number)
    state = _with_member(state, number, member)
    attempt = Attempt(epoch, (_answer(state, number),), None, (), frozenset(), frozenset(), wanted)
    return _with_attempt(state, number, attempt)


def _answer(
    state: State, number: int
) -> tuple[int, Record | None, bool, int, tuple[int, ...]]:
    member = state.members[number]
    return number, member.record, member.confirmed, member.installed, member.log


def _promise(state: State, candidate: int, bounds: Bounds) -> Iterator[Step]:
    """`GroupMember.prepare` at one more member, with the answer, or with the answer lost."""
    attempt = state.attempts[candidate]
    assert attempt is not None
    told = {answer[0] for answer in attempt.answers}
    for number in sorted(_known_to(state, candidate, attempt) - told):
        member = state.members[number]
        if member.status != "up":
            continue
        again = member.promised == attempt.epoch and member.promised_to == candidate
        if member.promised >= attempt.epoch and not again:
            continue
        if member.lease not in (NOBODY, candidate) and bounds.planted != "witness without lease":
            continue
        changed = member._replace(promised=attempt.epoch, promised_to=candidate)
        promised = _with_member(state, number, changed)
        answers = (*attempt.answers, _answer(promised, number))
        yield (
            f"{number} promises epoch {attempt.epoch} to {candidate}",
            _with_attempt(promised, candidate, attempt._replace(answers=tuple(sorted(answers)))),
        )
        if not again and state.drops:
            yield (
                f"{number} promises epoch {attempt.epoch} to {candidate}, the answer is lost",
                promised._replace(drops=state.drops - 1),
            )


def _known_to(state: State, candidate: int, attempt: Attempt) -> Members:
    """Whom the candidate asks: voters of each record it was told, newcomers, and members that leave."""
    known: set[int] = set()
    for _, record, _, _, _ in attempt.answers:
        known.update(*(record.quorums if record is not None else ()))
    if attempt.wanted is not None:
        known |= attempt.wanted[1]
    known |= {number for number, member in enumerate(state.members) if member.leaving}
    return frozenset(known)


# From promises to the record


def _newest(attempt: Attempt) -> Record | None:
    records = [record for _, record, _, _, _ in attempt.answers if record is not None]
    return max(records, key=lambda record: record.epoch) if records else None


def superseding(attempt: Attempt, bounds: Bounds) -> tuple[Members, ...] | None:
    """`EpochChange._evaluate_promises`: the quorums that promised enough, or None."""
    record = _newest(attempt)
    assert record is not None
    confirmed = any(
        known and told is not None and told.epoch == record.epoch
        for _, told, known, _, _ in attempt.answers
    )
    quorums = record.quorums[-1:] if confirmed or bounds.planted == "old voters forgotten" else record.quorums
    votes = frozenset(answer[0] for answer in attempt.answers)
    return quorums if has_majorities(quorums, votes) else None


def _state_sources(attempt: Attempt, record: Record, bounds: Bounds) -> list[tuple[int, tuple[int, ...]]]:
    """`epochs._state_sources`: members of the newest record's group that hold its starting state."""
    if bounds.planted == "state from anyone":
        return [(number, log) for number, _, _, _, log in attempt.answers]
    return [
        (number, log)
        for number, _, _, installed, log in attempt.answers
        if number in record.group and installed >= record.epoch
    ]


def _compose(state: State, candidate: int, bounds: Bounds) -> Iterator[Step]:
    """`Replica._compose_same_witnesses` or `PrimaryTerm._try_epochs`, and the choice of the source."""
    attempt = state.attempts[candidate]
    assert attempt is not None
    quorums = superseding(attempt, bounds)
    record = _newest(attempt)
    if quorums is None or record is None:
        return
    granted = frozenset(answer[0] for answer in attempt.answers)
    if attempt.wanted is None:
        if candidate not in record.witnesses:
            return
        group, witnesses = record.witnesses & granted, record.witnesses
    else:
        term = state.terms[candidate]
        if term is None or record.epoch != term.record.epoch:
            return
        group, witnesses = attempt.wanted[0] & granted, attempt.wanted[1]
    copies = bounds.copies(len(witnesses)) if bounds.planted != "one copy is enough" else 1
    sources = _state_sources(attempt, record, bounds)
    if candidate not in group or len(group) < copies or not sources:
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
    """`GroupMember.install`."""
    member = state.members[number]
    if member.status != "up" or (member.promised, member.promised_to) != (record.epoch, record.primary):
        return None
    return _with_member(state, number, member._replace(installed=record.epoch, log=log))


def accept(state: State, number: int, record: Record) -> State | None:
    """`GroupMember.accept`: it grants the lease as well."""
    member = state.members[number]
    if member.status != "up" or member.promised > record.epoch:
        return None
    if member.promised == record.epoch and member.promised_to != record.primary:
        return None
    if member.record == record:
        return state
    changed = member._replace(
        promised=record.epoch,
        promised_to=record.primary,
        record=record,
        confirmed=False,
        confirmed_on_disk=False,
        lease=record.primary,
    )
    return _with_member(state, number, changed)


def append(
    state: State, number: int, record: Record, log: tuple[int, ...], bounds: Bounds
) -> State | None:
    """`GroupMember.append`: one entry after exactly the log before it."""
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
    """`EpochChange._install` and `_accept`, message by message."""
    attempt = state.attempts[candidate]
    assert attempt is not None and attempt.record is not None
    record = attempt.record
    everywhere = attempt.installed == record.group
    if not everywhere and bounds.planted != "accept before install":
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
        yield f"epoch {record.epoch} is chosen, {candidate} leads", _chosen(state, candidate, record)


def _chosen(state: State, candidate: int, record: Record) -> State:
    """`Replica._lead` or `PrimaryTerm._adopt`: what was appended before is committed by it."""
    member = state.members[candidate]
    state = _with_member(state, candidate, member._replace(confirmed=True))
    state = _with_attempt(state, candidate, None)
    state = _with_term(state, candidate, Term(record, False, None))
    return state


def _go_on(state: State, number: int, bounds: Bounds) -> Iterator[Step]:
    """The next step of an attempt, or its end with a message left on its way."""
    attempt = state.attempts[number]
    if attempt is None:
        return
    if attempt.record is None:
        yield from _promise(state, number, bounds)
        yield from _compose(state, number, bounds)
    else:
        yield from _establish(state, number, bounds)
        yield from _give_up(state, number, attempt)
    ended = _with_term(_with_attempt(state, number, None), number, None)
    yield f"{number} gives up epoch {attempt.epoch}", ended


def _give_up(state: State, number: int, attempt: Attempt) -> Iterator[Step]:
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


# Leading


def _lead(state: State, number: int, bounds: Bounds) -> Iterator[Step]:
    term = state.terms[number]
    if term is None:
        return
    yield from _heartbeats(state, number, term, bounds)
    yield from _write(state, number, term, bounds)
    yield from _change_members(state, number, term, bounds)


def _heartbeats(state: State, number: int, term: Term, bounds: Bounds) -> Iterator[Step]:
    """`PrimaryTerm.send_heartbeats` and `GroupMember.heartbeat`: all that grant, at once."""
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
            yield f"the lease of {number} ends", _lease_ends(state, number)
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
        yield f"the lease of {number} ends", _lease_ends(state, number)


def acts(state: State, number: int) -> bool:
    """`PrimaryTerm.has_lease`: a lease that runs, and no promise or acceptance of another's epoch."""
    term = state.terms[number]
    return term is not None and term.active and state.members[number].promised_to == number


def _lease_ends(state: State, number: int) -> State:
    """First at the primary, which counts from before; the witnesses' grants end with it or later."""
    term = state.terms[number]
    assert term is not None
    after = _with_term(state, number, term._replace(active=False))
    members = tuple(
        member._replace(lease=NOBODY) if member.lease == number else member for member in after.members
    )
    return after._replace(members=members)


def _write(state: State, number: int, term: Term, bounds: Bounds) -> Iterator[Step]:
    """`PrimaryTerm._commit`: own disk first, then each of the group; committed once all have it."""
    member = state.members[number]
    epoch = term.record.epoch
    if term.appending is None:
        if acts(state, number) and len(member.log) < bounds.most_entries:
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
    enough = term.appending == term.record.group
    if bounds.planted == "commit without backups":
        enough = True
    if enough and acts(state, number):
        after = state._replace(committed=member.log)
        done = _with_term(after, number, term._replace(appending=None))
        yield f"{number} acknowledges the entry of epoch {epoch}", done


def _change_members(state: State, number: int, term: Term, bounds: Bounds) -> Iterator[Step]:
    """`membership.next_membership`: newcomers in, those that leave or are lost out, never too few."""
    if state.attempts[number] is not None or term.record.epoch >= bounds.most_epochs:
        return
    if not acts(state, number):
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
    if epoch > bounds.most_epochs:
        return
    for target in _wanted_memberships(state, number, voters | newcomers, leaving, lost, bounds):
        group, wanted = target
        if len(group) < bounds.copies(len(wanted)):
            continue
        if target == (term.record.group, term.record.witnesses) and term.appending is None:
            continue
        begun = _begin(state, number, epoch, target, bounds)
        begun = _with_term(begun, number, term._replace(appending=None))
        yield f"{number} changes to voters {sorted(wanted)}, group {sorted(group)} by epoch {epoch}", begun


def _wanted_memberships(
    state: State, number: int, everyone: set[int], leaving: set[int], lost: set[int], bounds: Bounds
) -> set[tuple[Members, Members]]:
    """Group and voters as the primary may want them: of several that leave, or are lost, any goes first."""
    found: set[tuple[Members, Members]] = set()
    for leavers in permutations(sorted(leaving)):
        for silent in permutations(sorted(lost - leaving)):
            wanted = set(everyone)
            for other in (*leavers, *silent):
                if len(wanted) > bounds.voters() and other != number:
                    wanted.discard(other)
            group = {other for other in wanted if state.members[other].status == "up"}
            for other in leavers:
                if other in group and len(group) > bounds.copies(len(wanted)):
                    group.discard(other)
            if number in group:
                found.add((frozenset(group), frozenset(wanted)))
    return found


# Leaving


def secured(state: State, record: Record, bounds: Bounds) -> bool:
    """`PrimaryTerm.is_secured`."""
    knowing = [
        other
        for other in record.witnesses
        if state.members[other].record == record
        and state.members[other].confirmed_on_disk
        and not state.members[other].leaving
    ]
    return len(knowing) >= bounds.copies(len(record.witnesses))


def _leave(state: State, number: int, bounds: Bounds) -> Iterator[Step]:
    """`Replica.stop`: SIGTERM for good, once a newcomer is a voter; the end, once the primary releases it."""
    member = state.members[number]
    if not member.leaving:
        record = member.record
        whole = record is not None and len(record.witnesses) > bounds.voters()
        settled = whole and all(state.members[other].status == "up" for other in record.witnesses)  # type: ignore[union-attr]
        if state.leaves and settled and number in record.witnesses:  # type: ignore[union-attr]
            told = _with_term(_with_attempt(state, number, None), number, None)
            leases = tuple(
                other._replace(lease=NOBODY) if other.lease == number else other for other in told.members
            )
            told = told._replace(members=leases, leaves=state.leaves - 1)
            yield (
                f"{number} is told to end",
                _with_member(told, number, told.members[number]._replace(leaving=True)),
            )
        return
    gone = Member("gone", 0, NOBODY, None, False, False, 0, (), NOBODY, False)
    if bounds.planted == "ends at once":
        yield f"{number} ends without a release", _with_member(state, number, gone)
        return
    for leader, term in enumerate(state.terms):
        if term is None or state.attempts[leader] is not None or number in term.record.witnesses:
            continue
        if secured(state, term.record, bounds) or bounds.planted == "released before it is known":
            yield f"{leader} releases {number}, which ends", _with_member(state, number, gone)


# Trouble


def _trouble(state: State, number: int, bounds: Bounds) -> Iterator[Step]:
    member = state.members[number]
    if member.status == "up":
        if member.confirmed and not member.confirmed_on_disk:
            flushed = member._replace(confirmed_on_disk=True)
            yield f"{number} syncs that its record is chosen", _with_member(state, number, flushed)
        if state.crashes:
            yield f"{number} loses power", _ended(state, number, bounds)._replace(crashes=state.crashes - 1)
        if state.wipes and not member.leaving:
            yield from _wipe(state, number, bounds)
        if member.record is None and member.promised == 0:
            return
    if member.status == "absent" and state.arrivals:
        new = Member("up", 0, NOBODY, None, False, False, 0, (), NOBODY, False)
        arrived = _with_member(state, number, new)._replace(arrivals=state.arrivals - 1)
        yield f"{number} comes with an empty disk", arrived
    if member.status == "down":
        record = member.record
        lease = record.primary if record is not None else NOBODY
        if bounds.planted == "no lease after a restart":
            lease = NOBODY
        back = member._replace(status="up", lease=lease)
        yield f"{number} starts again", _with_member(state, number, back)
        if lease != NOBODY and not _is_active(state, lease):
            waited = member._replace(status="up", lease=NOBODY)
            yield f"{number} starts again and waits out a lease", _with_member(state, number, waited)
    if member.status == "up" and member.lease != NOBODY and not _is_active(state, member.lease):
        free = _with_member(state, number, member._replace(lease=NOBODY))
        yield f"the lease that {number} granted ends", free


def _is_active(state: State, number: int) -> bool:
    term = state.terms[number]
    return term is not None and term.active


def _ended(state: State, number: int, bounds: Bounds) -> State:
    """The process ends: what was not synced is gone."""
    member = state.members[number]
    kept = member._replace(status="down", confirmed=member.confirmed_on_disk, lease=NOBODY)
    if bounds.planted == "promise in memory":
        known = member.record.epoch if member.record is not None else 0
        owner = member.record.primary if member.record is not None else NOBODY
        kept = kept._replace(promised=known, promised_to=owner)
    after = _with_member(state, number, kept)
    return _with_term(_with_attempt(after, number, None), number, None)


def _wipe(state: State, number: int, bounds: Bounds) -> Iterator[Step]:
    """The disk is lost; the machine comes back as a new identity, if the model has one left."""
    gone = Member("gone", 0, NOBODY, None, False, False, 0, (), NOBODY, False)
    after = _with_member(state, number, gone)._replace(wipes=state.wipes - 1)
    after = _with_term(_with_attempt(after, number, None), number, None)
    if bounds.planted == "no amnesia guard":
        forgot = Member("up", 0, NOBODY, state.members[number].record, False, False, 0, (), NOBODY, False)
        yield f"{number} forgets everything", _with_member(after, number, forgot)
        return
    for fresh, member in enumerate(after.members):
        if member.status == "absent":
            new = Member("up", 0, NOBODY, None, False, False, 0, (), NOBODY, False)
            yield f"{number} loses its disk and comes back as {fresh}", _with_member(after, fresh, new)
            return
    yield f"{number} is lost for good", after


def _late_messages(state: State, bounds: Bounds) -> Iterator[Step]:
    for message in sorted(state.late):
        if message.kind == "accept":
            after = accept(state, message.receiver, message.record)
        elif message.kind == "install":
            after = install(state, message.receiver, message.record, message.log)
        else:
            after = append(state, message.receiver, message.record, message.log, bounds)
        if after is not None and after != state:
            yield f"late {message.kind} of epoch {message.record.epoch} at {message.receiver}", after

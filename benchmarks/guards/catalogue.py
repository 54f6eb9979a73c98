"""The guards of the control side and of what follows it: a piece of text each, and what replaces it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Area(StrEnum):
    """Which tests a guard is looked for in."""

    REPLICATION = "replication"
    CONTROL_PLANE = "controlplane"
    REGISTRY = "registry"
    DATA_PLANE = "dataplane"


@dataclass(frozen=True, slots=True)
class Guard:
    """A condition that some promise rests on; without it, `text` reads `without`."""

    name: str
    area: Area
    file: str  # below arrowfold/
    text: str
    without: str


def _guards(area: Area, file: str, *rows: tuple[str, str, str]) -> tuple[Guard, ...]:
    return tuple(Guard(name, area, file, text, without) for name, text, without in rows)


MEMBER = _guards(
    Area.REPLICATION,
    "replication/member.py",
    ("a backup is current for a time", "and self.clock() < self._current_until", "and True"),
    ("a backup is current at a position", "and self.published.sequence == self.known_committed", "and True"),
    (
        "a backup is current in an epoch",
        "            and self.persisted.state_epoch == record.epoch\n            and self.published",
        "            and self.published",
    ),
    (
        "accepting forgets how far the log is committed",
        "self.known_committed = -1  # the new primary",
        "pass  # the new primary",
    ),
    (
        "a witness waits out a lease after a restart",
        "clock() + timings.lease_s if record is not None else 0.0",
        "0.0",
    ),
    ("a backup tells the age of its word", "return self.clock() - self._newest_echo", "return 0.0"),
    ("the newest word counts", "if echo > self._newest_echo:", "if True:"),
    (
        "a word counts where its position is held",
        "or self.published.sequence < self._committed_at_echo:",
        "or False:",
    ),
    (
        "authority only by an echo of this life",
        "request.echo is not None and request.echo in self._sent_clocks",
        "request.echo is not None",
    ),
    (
        "a promise refuses lower epochs",
        "if request.epoch <= self.highest_epoch and not is_repeat:",
        "if False:",
    ),
    (
        "a promise is checked again before it is written",
        "if request.epoch <= persisted.promised and not is_repeat:",
        "if False:",
    ),
    (
        "a promise waits for the lease",
        "if self.clock() < self._lease_until and self._lease_holder != request.candidate.member:",
        "if False:",
    ),
    (
        "no promise with a disk in trouble",
        'if not self.durable.is_healthy(self.timings.disk_s):\n            return "the disk',
        'if False:\n            return "the disk',
    ),
    ("a state is handed to the promised epoch only", "if request.epoch != persisted.promised:", "if False:"),
    (
        "a state is installed for the promised epoch only",
        "if (persisted.promised, persisted.promised_to) != (request.epoch, request.candidate):",
        "if False:",
    ),
    (
        "a state counts as held at its position only",
        "if request.state is None and persisted.position != request.position:",
        "if False:",
    ),
    (
        "a record below a promise is refused",
        "if record.epoch < max(persisted.promised, self._promising):",
        "if False:",
    ),
    (
        "a record of another candidate is refused",
        "if record.epoch == persisted.promised and record.primary != persisted.promised_to:",
        "if False:",
    ),
    (
        "entries of another epoch are refused",
        "if record is None or record.epoch != request.epoch or self.highest_epoch != request.epoch:",
        "if record is None:",
    ),
    (
        "entries follow on the state held",
        "if persisted.state_epoch != request.epoch or persisted.position != request.previous:",
        "if False:",
    ),
    (
        "an epoch that was handed over grants nothing",
        " and request.epoch != self._handed_over_epoch",
        "",
    ),
    (
        "a heartbeat is granted for the record's epoch only",
        "granted = is_primary and persisted.record is not None and persisted.record.epoch == request.epoch",
        "granted = is_primary and persisted.record is not None",
    ),
    ("what is published never goes back", "if state.sequence > self.published.sequence:", "if True:"),
)

PRIMARY = _guards(
    Area.REPLICATION,
    "replication/primary.py",
    (
        "a primary that promised another is none",
        "if self.ended or self._member.persisted.promised_to != self._member.info.member:",
        "if self.ended:",
    ),
    (
        "a group too small confirms nothing",
        "return self.has_lease() and self.is_complete()",
        "return self.has_lease()",
    ),
    ("a batch is answered under a lease", "if committed and self.is_active():", "if committed:"),
    ("a release waits for a secured record", "        return self.is_secured()\n", "        return True\n"),
    (
        "a record is secured on enough disks",
        "return own + self._peers.count_confirmed(self.record) >= needed",
        "return True",
    ),
    (
        "a leaver is out of the voters",
        "if votes and len(self.record.witnesses) > witnesses_required(self._tolerated_losses):",
        "if False:",
    ),
    ("a leaver is out of the group", " or member in self.record.group:", ":"),
    (
        "no release while members change",
        "if self._is_changing or self._target_membership is not None or member in",
        "if member in",
    ),
    (
        "a change follows on the own epoch",
        "if promises.record is None or promises.record.epoch != self.record.epoch:",
        "if False:",
    ),
    (
        "a change keeps enough copies",
        "if len(group) < copies or self._member.info.member not in group:",
        "if False:",
    ),
    (
        "no membership below the copies required",
        "if len(target.group) < copies_required(self._tolerated_losses, len(target.witnesses)):",
        "if False:",
    ),
    (
        "a late acceptance grants only the record in force",
        "verdict.done and record == self.record and",
        "verdict.done and",
    ),
    (
        "a primary with its disk in trouble ends",
        "if not self._member.durable.is_healthy(self._timings.disk_s):",
        "if False:",
    ),
)

EPOCHS = _guards(
    Area.REPLICATION,
    "replication/epochs.py",
    (
        "an unconfirmed record needs all its majorities",
        "record.quorums[-1:] if prepare_round.is_confirmed(record) else record.quorums",
        "record.quorums[-1:]",
    ),
    (
        "a record takes the majorities of both sets",
        "merged = merged_quorums(promises.quorums, witness_quorum)",
        "merged = (witness_quorum,)",
    ),
    (
        "a source is of the newest group",
        "if member in record.group and answer.state_epoch >= record.epoch",
        "if answer.state_epoch >= record.epoch",
    ),
    (
        "a source stored the starting state",
        "if member in record.group and answer.state_epoch >= record.epoch",
        "if member in record.group",
    ),
    ("a new epoch has enough copies", "if len(group) < composition.copies:", "if False:"),
    ("the candidate stored the state itself", "if self._member.info.member not in group:", "if False:"),
    (
        "candidates ask the voters of every set",
        "self._send_prepares(prepare_round, request, [voter.address for voter in record.voters()])",
        "self._send_prepares(prepare_round, request, [voter.address for voter in record.witnesses])",
    ),
    (
        "candidates ask members that leave",
        "self._send_prepares(prepare_round, request, self._leaving_members.addresses())",
        "pass",
    ),
    (
        "records go to all who promised",
        "for member, answer in promises.granted.items():\n            addresses",
        "for member, answer in ():\n            addresses",
    ),
    (
        "the candidate accepted its own record",
        "if self._member.info.member in votes and has_majorities(record.quorums, votes):",
        "if has_majorities(record.quorums, votes):",
    ),
    (
        "a fetched state is of the promised epoch",
        "if not isinstance(reply, StateImage) or reply.epoch != epoch:",
        "if not isinstance(reply, StateImage):",
    ),
    ("a candidate obeys its own promise", "if own is not None and not own.granted:", "if False:"),
)

MEMBERS = (
    *_guards(
        Area.REPLICATION,
        "replication/membership.py",
        (
            "members that leave go before silent ones",
            "dict.fromkeys((*leaving, *unresponsive))",
            "dict.fromkeys((*unresponsive, *leaving))",
        ),
        (
            "no witness goes below those required",
            "if len(witnesses) > witnesses_required(tolerated_losses):",
            "if True:",
        ),
        ("leavers leave enough copies behind", " and len(remaining) > min_copies:", ":"),
        (
            "a new identity replaces the old at its address",
            "[*(witness for witness in record.witnesses if witness.address not in addresses), *new]",
            "[*record.witnesses, *new]",
        ),
        ("only healthy members are in the group", "not peer.healthy or peer.silence_s", "peer.silence_s"),
        (
            "a member left out waits to come back",
            "return member in record.group or peer.can_rejoin",
            "return True",
        ),
    ),
    *_guards(
        Area.REPLICATION,
        "replication/peers.py",
        (
            "authority ends before a role passes on",
            "return self._clock() - last_extension > self._timings.lease_s * AUTHORITY_MARGIN",
            "return True",
        ),
        (
            "a member without an answer has no authority",
            "last_extension = min(peer.answered_at, max(peer.echoed_at, self._started_at))",
            "last_extension = max(peer.echoed_at, self._started_at)",
        ),
        (
            "a member that leaves holds no role",
            "or not peer.healthy or self.is_leaving(member):",
            "or not peer.healthy:",
        ),
        (
            "a disk that leaves secures nothing",
            "self.get(member).confirmed_epoch >= record.epoch and not self.is_leaving(member)",
            "self.get(member).confirmed_epoch >= record.epoch",
        ),
        ("the lease rests on a majority", "start = grants[len(voters) // 2]", "start = grants[0]"),
        (
            "the lease ends early for clocks of other speed",
            "return start + self._timings.lease_s * self._timings.lease_margin",
            "return start + self._timings.lease_s * 1.2",
        ),
    ),
)

ROLES = (
    *_guards(
        Area.REPLICATION,
        "replication/roles.py",
        (
            "a role passes on once its holder's authority ended",
            "(tenure.member in eligible or not authority_ended(tenure.member))",
            "tenure.member in eligible",
        ),
        (
            "a grant follows on the tenure it saw",
            "if state.roles.get(grant.role) != seen.roles.get(grant.role):",
            "if False:",
        ),
        ("a holder is current", "if tenure is None or not self._replica.is_current():", "if tenure is None:"),
        (
            "a new holder waits",
            "if now < tenure.since or now >= authority_until:",
            "if now >= authority_until:",
        ),
        (
            "a holder has authority",
            "if now < tenure.since or now >= authority_until:",
            "if now < tenure.since:",
        ),
    ),
    *_guards(
        Area.REPLICATION,
        "replication/replica.py",
        (
            "a primary vouches under its lease",
            "return 0.0 if self._term.is_current() else None",
            "return 0.0",
        ),
        (
            "a stopping primary proposes nothing",
            "if self._term is None or self._stopping:",
            "if self._term is None:",
        ),
        (
            "a stopping member claims no authority",
            "if self._stopping:\n            return 0.0",
            "if False:\n            return 0.0",
        ),
        (
            "a stopping member doesn't stand",
            "if self._stopping:\n            return\n",
            "if False:\n            return\n",
        ),
        (
            "a leaver doesn't join again",
            " and not self._leaving_members.is_leaving(request.member.member):",
            ":",
        ),
        ("only a first start founds", "return self._member.founder and ", "return "),
    ),
)

CONTROL_PLANE = (
    *_guards(
        Area.CONTROL_PLANE,
        "controlplane/changes.py",
        ("a change that was taken is confirmed again", "if accepted_version is not None:", "if False:"),
        (
            "a change too old to know is unclear",
            "return Proposal(_outcome_unknown() if is_unknown else _refused(prepared.err_value))",
            "return Proposal(_refused(prepared.err_value))",
        ),
        ("a document too large is refused", "if size_bytes > MAX_DOCUMENT_BYTES:", "if False:"),
        (
            "a patch leads to the same bytes",
            " or patched_document(stored_json, patch) != document_json:",
            ":",
        ),
    ),
    *_guards(
        Area.CONTROL_PLANE,
        "controlplane/registration.py",
        ("a departure is committed before its answer", "if record.state != AVAILABLE:", "if False:"),
        (
            "a notice of a later state stands",
            "_STATE_RANK.get(departure.state, 0) >= _STATE_RANK.get(notice_state, 0)",
            "_STATE_RANK.get(departure.state, 0) == _STATE_RANK.get(notice_state, 0)",
        ),
        (
            "a notice is decided on the committed state",
            "if already_committed(state, notice.instance, notice.state):",
            "if False:",
        ),
        (
            "a worker that is gone is told at once",
            "if notice.state == GONE and self._registry",
            "if False and self._registry",
        ),
    ),
    *_guards(
        Area.CONTROL_PLANE,
        "controlplane/primary_calls.py",
        ("a call moves on with the primary", "if self._replica.primary() != primary:", "if False:"),
    ),
    *_guards(
        Area.CONTROL_PLANE,
        "controlplane/placement_executor.py",
        (
            "an order is sent only under authority",
            "if self._lease.remaining_s() < MIN_LEASE_REMAINING_S:",
            "if False:",
        ),
        (
            "orders are planned only under authority",
            "can_order = self._lease.remaining_s() >= MIN_LEASE_REMAINING_S",
            "can_order = True",
        ),
        ("the work ends with the tenure", "while self._lease.is_tenured() and not", "while not"),
        (
            "the work ends at a higher fence",
            "while self._lease.is_tenured() and not (self._placer and self._placer.fenced):",
            "while self._lease.is_tenured():",
        ),
    ),
    *_guards(
        Area.CONTROL_PLANE,
        "controlplane/placement_notices.py",
        (
            "a new tenure starts its updates anew",
            "if notices is None or token > notices.token:",
            "if notices is None:",
        ),
        ("a puller of an older tenure gets everything", "if since <= notices.base_counter:", "if False:"),
        ("an origin is one life", "{ROLE_PREFIX}{service}@{self._incarnation}", "{ROLE_PREFIX}{service}"),
    ),
    *_guards(
        Area.CONTROL_PLANE,
        "controlplane/distribution.py",
        (
            "what is committed is urgent",
            "if self._replica.committed.sequence > request.vector.get(STATE_ORIGIN, 0):",
            "if False:",
        ),
    ),
)

REGISTRY = _guards(
    Area.REGISTRY,
    "registry/workers.py",
    (
        "a late call changes nothing",
        "if record.call_sequence < current.call_sequence or current.state == GONE:",
        "if current.state == GONE:",
    ),
    (
        "a worker that is gone stays gone",
        "if record.call_sequence < current.call_sequence or current.state == GONE:",
        "if record.call_sequence < current.call_sequence:",
    ),
    ("an update is taken once", " or update.counter <= self._vector.get(update.origin, 0):", ":"),
    (
        "an own record is not taken back",
        "if update.origin == self.origin or update.counter",
        "if update.counter",
    ),
    (
        "an older record doesn't replace a newer",
        "if known is None or _supersedes(update.record, known.update.record):",
        "if True:",
    ),
    (
        "a node that lacks what was heard is told",
        "if known.update.origin == self.origin and _supersedes(known.update.record, update.record):",
        "if False:",
    ),
    ("after a pause each worker has its whole time", "        if was_paused:", "        if False:"),
    (
        "another node's workers aren't called silent",
        "if silent_s > timeout_s and not self._is_owned_elsewhere(known.update.origin, is_live):",
        "if silent_s > timeout_s:",
    ),
    (
        "a worker is announced once",
        "if known is None or known.update.record.state == GONE:",
        "if known is None:",
    ),
)

DATA_PLANE = (
    *_guards(
        Area.DATA_PLANE,
        "dataplane/tables.py",
        (
            "a newcomer takes nothing from a minority",
            "if self.snapshot.configuration is None and not response.current:",
            "if False:",
        ),
        ("a lower token gives way", "if held is not None and held.token > update.token:", "if False:"),
        (
            "a placement update is taken once",
            "if held is not None and same_owner and held.counter >= update.counter:",
            "if False:",
        ),
        (
            "another owner's corrections are dropped",
            "held.corrections if held is not None and same_owner and update.since else {}",
            "held.corrections if held is not None and update.since else {}",
        ),
        (
            "a worker that drains doesn't come back",
            "if known.state in (DRAINING, REMOVED) and _SEVERITY[record.state] < _SEVERITY[known.state]:",
            "if False:",
        ),
        (
            "a late record of a worker changes nothing",
            "return record.call_sequence > known.call_sequence",
            "return True",
        ),
        (
            "a departure outlives later records",
            "if departure is not None and departure.state == REMOVED:",
            "if False:",
        ),
        (
            "a configuration never goes back",
            "if known is not None and update.sequence <= known.sequence:",
            "if False:",
        ),
        (
            "a step never goes back",
            "    if update.sequence <= known.sequence:\n        return known\n    changed",
            "    changed",
        ),
        (
            "a step needs its base",
            "if update.base_version != known.version or changed.is_err():",
            "if changed.is_err():",
        ),
        (
            "a step that was missed is asked for whole",
            "        if self.needs_full_configuration:\n",
            "        if False:\n",
        ),
        ("a view never goes back", "if known is None or view.epoch >= known.epoch:", "if True:"),
    ),
    *_guards(
        Area.DATA_PLANE,
        "dataplane/puller.py",
        (
            "an answer counts where its state is held",
            "if response.state_age_s is not None and self._tables.holds_state(response.vector):",
            "if response.state_age_s is not None:",
        ),
    ),
    *_guards(
        Area.DATA_PLANE,
        "dataplane/freshness.py",
        (
            "an answer counts from the asking",
            "asked_s - state_age_s + self._lease_s",
            "self._clock() + self._lease_s",
        ),
        ("the lease runs out", "return self._clock() < self._fresh_until", "return True"),
    ),
    *_guards(
        Area.DATA_PLANE,
        "dataplane/attempts.py",
        ("attempts are bounded", "if self.attempts_used >= self.route.max_attempts:", "if False:"),
        (
            "what may have run is not sent again",
            "return self.route.repeatable or not self.may_have_run",
            "return True",
        ),
    ),
    *_guards(
        Area.DATA_PLANE,
        "dataplane/attempts.py",
        (
            "a worker gets a try once",
            "return self.tried_instances | self.delivered_to",
            "return self.tried_instances",
        ),
    ),
    *_guards(
        Area.DATA_PLANE,
        "dataplane/forwarding.py",
        (
            "a second answer of a worker that was sent a try before is not believed",
            "return _is_stream(worker_answer) or (progress",
            "return True or (progress",
        ),
    ),
    *_guards(
        Area.DATA_PLANE,
        "dataplane/answer_heads.py",
        (
            "a head has one status line",
            "if _STATUS_LINE.search(head, 1) is not None:",
            "if False:",
        ),
        (
            "a head has each name once that decides whose answer it is",
            "if any(counts[name] > 1 for name in _SINGLE):",
            "if False:",
        ),
        (
            "no answer begins in a body",
            "if match is not None and match.start() < body_end:",
            "if False:",
        ),
    ),
    *_guards(
        Area.DATA_PLANE,
        "dataplane/answer_framing.py",
        (
            "what follows an answer is not passed on",
            "        return taken if self._body_bytes_left == 0 else None",
            "        return len(data) if self._body_bytes_left == 0 else None",
        ),
    ),
    *_guards(
        Area.DATA_PLANE,
        "dataplane/answer_protocol.py",
        (
            "nothing is read after an invalid answer",
            "        if self._is_invalid:",
            "        if False:",
        ),
    ),
    *_guards(
        Area.DATA_PLANE,
        "dataplane/connection_answer.py",
        (
            "an answer that is not whole drops its connection",
            "self._reusable and is_complete)",
            "self._reusable)",
        ),
        ("an answer without a length is never whole", "if not self._has_known_length:", "if False:"),
    ),
    *_guards(
        Area.DATA_PLANE,
        "dataplane/worker_connections.py",
        (
            "an answer is of the request under way",
            "if attempt_id == request.attempt_id:",
            "if True:",
        ),
        (
            "a connection with a foreign answer is dropped",
            "            reusable = False\n",
            "            pass\n",
        ),
        (
            "a connection with surplus bytes is dropped",
            "if not keep or not connection.is_clean() or connection",
            "if not keep or connection",
        ),
        (
            "a connection with surplus bytes isn't used",
            "return connection.is_clean() and now_s",
            "return now_s",
        ),
        (
            "connections to a worker are bounded",
            "if pool.open_count >= max_connections:",
            "if False:",
        ),
    ),
    *_guards(
        Area.DATA_PLANE,
        "dataplane/retry_budget.py",
        (
            "repeats are bounded",
            "if repeats.count(now_s) + 1 > self._allowance(service, now_s):",
            "if False:",
        ),
        (
            "a new life spends nothing of the extra",
            "if not self._edge_counts or now_s - self._started_s < self._window_s:",
            "if not self._edge_counts:",
        ),
        (
            "the most edges of a window share",
            "return self._extra / max(edges for _, edges in self._edge_counts)",
            "return self._extra / min(edges for _, edges in self._edge_counts)",
        ),
    ),
    *_guards(
        Area.DATA_PLANE,
        "dataplane/process_end.py",
        (
            "no request outlives its process",
            "return deadline_s <= self._answers_end_s or asyncio",
            "return True or asyncio",
        ),
        (
            "requests under way are bounded by the end",
            "if timeout_at_s is not None and timeout_at_s > self._answers_end_s:",
            "if False:",
        ),
    ),
)

GUARDS: tuple[Guard, ...] = (
    *MEMBER,
    *PRIMARY,
    *EPOCHS,
    *MEMBERS,
    *ROLES,
    *CONTROL_PLANE,
    *REGISTRY,
    *DATA_PLANE,
)

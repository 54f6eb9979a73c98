"""The time-outs of replication, in seconds by the steady clock."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timings:
    """How long members wait for one another.

    A witness that answered a heartbeat promises nothing to others for `lease_s`. The primary counts its
    lease from when it sent the heartbeat, and only for `lease_s` x `lease_margin`, so that clocks may run
    at slightly different speeds.
    """

    heartbeat_s: float = 0.2
    election_check_s: float = 0.1  # between a backup's looks at the primary's silence
    lease_s: float = 0.8
    lease_margin: float = 0.9
    current_s: float = 1.2  # how old at most the primary's word may be by which a backup's state is current
    election_timeout_s: float = 0.85  # without a heartbeat, before a backup stands for election
    election_stagger_s: float = 0.2  # more for each further member, so that they do not stand at once
    lease_loss_timeout_s: float = 1.0  # without its lease, before a primary gives up its term
    election_retry_s: float = 0.25
    promise_backoff_s: float = (
        0.5  # for a candidate that this member promised an epoch, before it stands itself
    )
    bootstrap_promise_backoff_s: float = 1.2  # the same, for a founder of the first group
    call_s: float = 0.5  # for an answer that needs no disk
    disk_s: float = 0.45  # for a write and sync, at the member that does it
    durable_call_s: float = 0.6  # for an answer that needs a write and sync
    bootstrap_wait_s: float = 0.4  # for further seeds, once a majority of them has answered
    join_retry_s: float = 0.4
    silent_s: float = 0.9  # without an answer to heartbeats, before a member leaves the group
    removal_timeout_s: float = 1.3  # silent for this long, a witness beyond those needed is removed
    rejoin_delay_s: float = 1.0  # after a member was left out, before it is taken into the group again
    leave_retry_s: float = 0.15  # between a stopping member's requests to be removed
    leaving_s: float = 1.0  # after its last request to be removed, a member counts as leaving
    complete_group_wait_s: float = 6.0  # how long a new group waits for as many members as the losses ask for

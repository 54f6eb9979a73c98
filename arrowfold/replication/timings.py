"""Timeouts and intervals of replication, in seconds by the steady clock."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timings:
    """Intervals and timeouts of replication.

    A witness that answered a heartbeat promises nothing to other candidates for `lease_s`. The primary counts
    its lease from the time at which it sent the heartbeat, and only for `lease_s` x `lease_margin`, so that
    clocks may run at slightly different speeds.
    """

    heartbeat_s: float = 0.2  # interval between heartbeats
    election_check_s: float = 0.1  # interval at which a backup checks the election timeout
    lease_s: float = 0.8
    lease_margin: float = 0.9
    current_s: float = 1.2  # maximum age of the primary's confirmation by which a backup's state is current
    election_timeout_s: float = 0.85  # time without a heartbeat before a backup starts an election
    election_stagger_s: float = 0.2  # added per rank, so that members do not start elections simultaneously
    lease_loss_timeout_s: float = 1.0  # time without its lease before a primary ends its term
    election_retry_s: float = 0.25  # mean delay after a failed election
    promise_backoff_s: float = 0.5  # wait after promising an epoch to another, before an own election
    bootstrap_promise_backoff_s: float = 1.2  # the same while bootstrapping the first group
    call_s: float = 0.5  # timeout of a call whose answer needs no disk
    disk_s: float = 0.45  # timeout of a write and sync on the member that performs it
    durable_call_s: float = 0.6  # timeout of a call whose answer needs a write and sync
    bootstrap_wait_s: float = 0.4  # further wait for seeds once a majority of them has answered
    join_retry_s: float = 0.4  # interval between a node's requests to join
    silent_s: float = 0.9  # time without an answer to heartbeats before a member is excluded from the group
    removal_timeout_s: float = 1.3  # unresponsive this long, a witness beyond the required ones is removed
    rejoin_delay_s: float = 1.0  # time after a member's exclusion before it can rejoin the group
    leave_retry_s: float = 0.15  # interval between a stopping member's requests to be removed
    leaving_s: float = 1.0  # time after its last such request for which a member counts as leaving
    complete_group_wait_s: float = 6.0  # how long a new group waits for the required number of witnesses

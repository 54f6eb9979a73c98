"""Retry-After: when a refused client should come back."""

from __future__ import annotations

import random

MAX_RETRY_AFTER_SHARE = 1 / 3  # clients honour Retry-After up to this share of the time they have left
RETRY_JITTER = 0.2  # clients that wait for the same event come back spread over this share of the wait


def retry_after_s(wait_s: float, client_left_s: float, rng: random.Random) -> float:
    """Returns Retry-After in seconds: the expected wait with jitter, limited to what clients honour.

    `client_left_s` is the time until the client stops waiting altogether.
    """
    jittered_s = max(0.0, wait_s) * (1.0 + RETRY_JITTER * rng.random())
    return min(jittered_s, MAX_RETRY_AFTER_SHARE * max(0.0, client_left_s))

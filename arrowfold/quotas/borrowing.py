"""How much a level may borrow of its siblings' unused quota, and how its debt is repaid.

`payback` is the part of a debtor's own share that repays its debt, 0 to 1. Times are in microseconds.
"""

from __future__ import annotations

import math

from arrowfold.quotas.accounts import Account
from arrowfold.quotas.tree import Level, Limit

MAX_INACTIVE_WINDOWS = 60  # without a request: a level is no longer listed as a sibling afterwards


def can_borrow(
        account: Account, number: int, cost: int, parent: Account, now_us: int, due_retry: bool,
        payback: float,
) -> bool:
    """Whether a level may borrow for a cost beyond its own limit.

    The parent's window must hold the cost beside the unused shares of the active siblings, and the level's
    loans must stay within its weighted part of the pool: the parent's limit less all active shares.
    A retry at its promised time (`due_retry`) may exceed that part.
    """
    if not account.level.borrow:
        return False
    limit = account.level.limits[number]
    parent_number = _matching_limit(parent.level, limit)
    if parent_number is None:
        return False
    window, span_us = parent.windows[parent_number], account.windows[number].span_us
    reserved, total_weight, shares = 0, 0.0, 0
    for path, sibling in list(parent.children.items()):
        if now_us - sibling.last_request_us > span_us:
            if sibling is not account and sibling.last_request_us + MAX_INACTIVE_WINDOWS * span_us < now_us:
                del parent.children[path]
            continue
        own = _matching_limit(sibling.level, limit)
        if own is None:
            continue
        shares += sibling.windows[own].limit
        if sibling is not account:
            reserved += max(0, sibling.windows[own].free_amount(now_us)
                            - withheld_for_debt(sibling, own, payback))
        if sibling.borrowed and (sibling is account or sibling.borrowed[own].free_amount(now_us) <
                                 sibling.borrowed[own].limit):
            total_weight += _borrowing_weight(sibling, own)
    if window.free_amount(now_us) - reserved < cost or due_retry:
        return window.free_amount(now_us) - reserved >= cost
    pool = max(0, window.limit - shares)
    borrowed_amount = account.borrowed[number].limit - account.borrowed[number].free_amount(now_us)
    return borrowed_amount + cost <= pool * _borrowing_weight(account, number) / max(total_weight, 1e-9)


def withheld_for_debt(account: Account, number: int, payback: float) -> int:
    """Returns the amount of a level's own share that is withheld to repay its debt."""
    debt = account.debt[number]
    return min(debt, int(payback * account.windows[number].limit)) if debt else 0


def reduce_debts(account: Account, now_us: int, payback: float) -> None:
    """Reduce an account's debts by what was withheld since the last call."""
    elapsed, account.debt_us = now_us - account.debt_us, now_us
    if elapsed <= 0 or not any(account.debt):
        return
    for number, debt in enumerate(account.debt):
        window = account.windows[number]
        paid = math.ceil(payback * window.limit * min(elapsed, 10**12) / window.span_us)
        account.debt[number] = max(0, debt - paid)


def _matching_limit(level: Level, limit: Limit) -> int | None:
    """Returns the index of the level's limit with the same resource and window length; None if none has."""
    return next((number for number, own in enumerate(level.limits)
                 if own.resource is limit.resource and own.per == limit.per), None)


def _borrowing_weight(account: Account, number: int) -> float:
    """Returns a borrower's part of the pool relative to others: its weight, reduced by its debt."""
    return account.level.weight / (1 + account.debt[number] / max(1, account.windows[number].limit))

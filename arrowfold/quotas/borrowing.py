"""What a level may borrow of what its siblings leave, and how its debt is paid.

`payback` is the part of a debtor's own share that pays its debt, 0 to 1. Times are microseconds.
"""

from __future__ import annotations

import math

from arrowfold.quotas.accounts import Account
from arrowfold.quotas.tree import Level, Limit

LONG_GONE = 60  # windows: a sibling that asked nothing for so long is forgotten as one


def may_borrow(
        account: Account, number: int, cost: int, parent: Account, now_us: int, told: bool, payback: float,
) -> bool:
    """Whether siblings leave so much: the window around has room for it and for what they are owed.

    One that was told to come back now may go beyond its level's part of what there is to borrow.
    """
    if not account.level.borrow:
        return False
    limit = account.level.limits[number]
    around = _same_limit(parent.level, limit)
    if around is None:
        return False
    window, span_us = parent.windows[around], account.windows[number].span_us
    owed, wanting, shares = 0, 0.0, 0
    for path, sibling in list(parent.children.items()):
        if now_us - sibling.seen_us > span_us:
            if sibling is not account and sibling.seen_us + LONG_GONE * span_us < now_us:
                del parent.children[path]
            continue
        own = _same_limit(sibling.level, limit)
        if own is None:
            continue
        shares += sibling.windows[own].limit
        if sibling is not account:
            owed += max(0, sibling.windows[own].room(now_us) - withheld_now(sibling, own, payback))
        if sibling.borrowed and (sibling is account or sibling.borrowed[own].room(now_us) <
                                 sibling.borrowed[own].limit):
            wanting += _pull(sibling, own)
    if window.room(now_us) - owed < cost or told:
        return window.room(now_us) - owed >= cost
    pool = max(0, window.limit - shares)
    lent = account.borrowed[number].limit - account.borrowed[number].room(now_us)
    return lent + cost <= pool * _pull(account, number) / max(wanting, 1e-9)


def withheld_now(account: Account, number: int, payback: float) -> int:
    """The part of a debtor's own share that pays its debt now."""
    debt = account.debt[number]
    return min(debt, int(payback * account.windows[number].limit)) if debt else 0


def pay_debt(account: Account, now_us: int, payback: float) -> None:
    """Debts shrink by what was withheld since."""
    elapsed, account.debt_us = now_us - account.debt_us, now_us
    if elapsed <= 0 or not any(account.debt):
        return
    for number, debt in enumerate(account.debt):
        window = account.windows[number]
        paid = math.ceil(payback * window.limit * min(elapsed, 10**12) / window.span_us)
        account.debt[number] = max(0, debt - paid)


def _same_limit(level: Level, limit: Limit) -> int | None:
    """Which of a level's limits is of the same resource over the same time."""
    return next((number for number, own in enumerate(level.limits)
                 if own.resource is limit.resource and own.per == limit.per), None)


def _pull(account: Account, number: int) -> float:
    """Who borrows first: by weight, and less the more it owes."""
    return account.level.weight / (1 + account.debt[number] / max(1, account.windows[number].limit))

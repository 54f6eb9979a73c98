"""One level's balances, the ticket of an admitted job, and the refusal of another."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, ClassVar, Literal

from arrowfold.quotas.comebacks import PromisedRetries
from arrowfold.quotas.tree import UNIT, Level, Limit, Resource
from arrowfold.quotas.window import Slot, Window

Path = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Refusal:
    """The limit that refuses a job, and when a retry would be admitted."""

    refused: ClassVar[Literal[True]] = True
    path: Path
    limit: Limit
    after: timedelta | None  # None: never, since the job costs more than the whole limit

    def as_text(self) -> str:
        """Returns the reason for the client."""
        level = "/".join(self.path) or "jobs without a tenant"
        if self.after is None:
            return f"quota of {level}: one job costs more than {self.limit.as_text()}"
        return f"quota of {level}: {self.limit.as_text()}"


class Account:
    """One level's balances: its windows, what it has borrowed and owes, and promised retries."""

    __slots__ = ("borrowed", "children", "debt", "debt_us", "last_request_us", "level", "open_tickets",
                 "path", "retries", "windows")

    def __init__(self, path: Path, level: Level, windows: list[Window]) -> None:
        self.path, self.level, self.windows = path, level, windows
        self.debt = [0] * len(windows)
        self.borrowed: list[Window] = [Window(w.limit, w.span_us) for w in windows] if level.borrow else []
        self.debt_us = 0  # when the debts were last reduced
        self.last_request_us = -1  # time of the last request
        self.open_tickets = 0  # tickets that are not settled
        self.retries: PromisedRetries | None = None  # set by the first refusal of a job charged here
        self.children: dict[Path, Account] = {}  # those with recent requests, the latest last

    def idle(self, now_us: int) -> bool:
        """Whether the account can be removed without changing any decision."""
        for window in (*self.windows, *self.borrowed):
            window.advance(now_us)
        if self.retries is not None:
            self.retries.expire(now_us)
        return not (self.open_tickets or any(self.debt) or self.children
                    or (self.retries and self.retries.times_us)
                    or any(w.total for w in (*self.windows, *self.borrowed)))

    def rows(self) -> list[Any]:
        """Returns balances and debts in JSON values, for `take_over` in another process."""
        return [[limit.resource.value, w.span_us, debt, [[s.number, s.amount] for s in w.slots]]
                for limit, w, debt in zip(self.level.limits, self.windows, self.debt, strict=True)]

    def take_over(self, rows: Iterable[Any]) -> None:
        """Set the balances and debts returned by `rows`, zero where missing.

        ValueError or TypeError if they are malformed.
        """
        held = {(str(resource), int(span_us)): (int(debt), slots)
                for resource, span_us, debt, slots in rows}
        for number, (limit, window) in enumerate(zip(self.level.limits, self.windows, strict=True)):
            debt, slots = held.get((limit.resource.value, window.span_us), (0, []))
            window.slots, window.total = [], 0
            for slot_number, amount in slots:
                slot = Slot(int(slot_number))
                slot.amount = int(amount)
                window.slots.append(slot)
                window.total += slot.amount
            self.debt[number] = debt

    def describe(self, now_us: int) -> list[str]:
        """Returns a text for each limit: its use, loans and debt."""
        texts = []
        for number, (limit, window) in enumerate(zip(self.level.limits, self.windows, strict=True)):
            loans = self.borrowed[number] if self.borrowed else None
            borrowed = loans.limit - loans.free_amount(now_us) if loans is not None else 0
            unit = UNIT[limit.resource]
            texts.append(f"{limit.as_text()}: used {(window.limit - window.free_amount(now_us)) / unit:g} of "
                         f"{window.limit / unit:g}, borrowed {borrowed / unit:g}, "
                         f"owes {self.debt[number] / unit:g}")
        return texts

    def reset(self) -> None:
        """Clear balances and debts. Open tickets can't refund into the cleared slots."""
        for window in (*self.windows, *self.borrowed):
            for slot in window.slots:
                slot.live = False
            window.slots.clear()
            window.total = 0
        self.debt = [0] * len(self.windows)
        self.retries = None


@dataclass(slots=True)
class Ticket:
    """The charges of an admitted job; settled once."""

    refused: ClassVar[Literal[False]] = False
    path: Path = ()
    request_class: str = ""
    at_us: int = 0
    charges: list[tuple[Account, Window, Slot, Resource, int]] = field(default_factory=list)
    settled: bool = False

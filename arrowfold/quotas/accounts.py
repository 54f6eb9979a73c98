"""One level's balances, the ticket of a job that was let in, and why one was not."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, ClassVar, Literal

from arrowfold.quotas.comebacks import Comebacks
from arrowfold.quotas.tree import UNIT, Level, Limit, Resource
from arrowfold.quotas.window import Slot, Window

Path = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a job does not come in, and when it would."""

    refused: ClassVar[Literal[True]] = True
    path: Path
    limit: Limit
    after: timedelta | None  # None: it never fits, for it costs more than a whole window holds

    def words(self) -> str:
        level = "/".join(self.path) or "jobs without a tenant"
        if self.after is None:
            return f"quota of {level}: one job costs more than {self.limit.words()}"
        return f"quota of {level}: {self.limit.words()}"


class Account:
    """One level's balances."""

    __slots__ = ("borrowed", "children", "comebacks", "debt", "debt_us", "level", "open", "path", "seen_us",
                 "windows")

    def __init__(self, path: Path, level: Level, windows: list[Window]) -> None:
        self.path, self.level, self.windows = path, level, windows
        self.debt = [0] * len(windows)
        self.borrowed: list[Window] = [Window(w.limit, w.span_us) for w in windows] if level.borrow else []
        self.debt_us = 0  # when the debts were last reduced
        self.seen_us = -1  # when it last asked
        self.open = 0  # tickets that are not settled
        self.comebacks: Comebacks | None = None  # once somebody was refused here or near
        self.children: dict[Path, Account] = {}  # those that asked lately, the latest last

    def idle(self, now_us: int) -> bool:
        """Whether forgetting it changes no decision."""
        for window in (*self.windows, *self.borrowed):
            window.advance(now_us)
        if self.comebacks is not None:
            self.comebacks.pass_by(now_us)
        return not (self.open or any(self.debt) or self.children or (self.comebacks and self.comebacks.times)
                    or any(w.total for w in (*self.windows, *self.borrowed)))

    def rows(self) -> list[Any]:
        """Balances and debts in plain values, for `take_over` of another process's account."""
        return [[limit.resource.value, w.span_us, debt, [[s.number, s.amount] for s in w.slots]]
                for limit, w, debt in zip(self.level.limits, self.windows, self.debt, strict=True)]

    def take_over(self, rows: Iterable[Any]) -> None:
        """Balances and debts as `rows` said, nothing where it did not; else ValueError or TypeError."""
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
        """A phrase for each limit."""
        said = []
        for number, (limit, window) in enumerate(zip(self.level.limits, self.windows, strict=True)):
            lent = self.borrowed[number] if self.borrowed else None
            borrowed = lent.limit - lent.room(now_us) if lent is not None else 0
            unit = UNIT[limit.resource]
            said.append(f"{limit.words()}: used {(window.limit - window.room(now_us)) / unit:g} of "
                        f"{window.limit / unit:g}, borrowed {borrowed / unit:g}, "
                        f"owes {self.debt[number] / unit:g}")
        return said

    def reset(self) -> None:
        """Forget what was used and is owed. Open tickets can't refund into it."""
        for window in (*self.windows, *self.borrowed):
            for slot in window.slots:
                slot.live = False
            window.slots.clear()
            window.total = 0
        self.debt = [0] * len(self.windows)
        self.comebacks = None


@dataclass(slots=True)
class Ticket:
    """What was charged for a job that was let in; settled once."""

    refused: ClassVar[Literal[False]] = False
    path: Path = ()
    request_class: str = ""
    at_us: int = 0
    charges: list[tuple[Account, Window, Slot, Resource, int]] = field(default_factory=list)
    settled: bool = False

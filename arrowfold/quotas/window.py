"""A sliding window of charges, in slots of time: at most the limit in any interval of the window's length.

A slot counts until its end is a whole window old, so no interval, whenever it begins, exceeds the limit.
Charges at the beginning of a slot expire late by up to a slot, so at most 1/SLOTS of the limit is unusable.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator

SLOTS = 40


class Slot:
    """The amount charged within one slot of time; `live` while it is in the window."""

    __slots__ = ("amount", "live", "number")

    def __init__(self, number: int) -> None:
        self.number, self.amount, self.live = number, 0, True


class Window:
    """Charges against one limit. Times are integer microseconds and must not decrease."""

    __slots__ = ("limit", "slot_us", "slots", "span_us", "total")

    def __init__(self, limit: int, span_us: int) -> None:
        self.limit, self.span_us = limit, span_us
        self.slot_us = max(1, span_us // SLOTS)
        self.slots: list[Slot] = []  # at most SLOTS + 2; a deque would take six times the memory
        self.total = 0

    def advance(self, now_us: int) -> None:
        """Remove slots that are a whole window old."""
        slots = self.slots
        while slots and now_us >= (slots[0].number + 1) * self.slot_us + self.span_us:
            slot = slots.pop(0)
            slot.live = False
            self.total -= slot.amount

    def free_amount(self, now_us: int) -> int:
        """Returns what may still be charged now; negative if more was used than reserved."""
        self.advance(now_us)
        return self.limit - self.total

    def charge(self, amount: int, now_us: int) -> Slot:
        """Charge an amount, even beyond the limit; returns the slot, for `refund`."""
        self.advance(now_us)
        number = now_us // self.slot_us
        if not self.slots or self.slots[-1].number < number:
            self.slots.append(Slot(number))
        slot = self.slots[-1]
        slot.amount += amount
        self.total += amount
        return slot

    def adjust(self, amount: int, at_us: int, now_us: int) -> None:
        """Charge an amount at an earlier time, or refund a part of such a charge if it is negative."""
        self.advance(now_us)
        number = at_us // self.slot_us
        index = bisect_left(self.slots, number, key=lambda slot: slot.number)
        if index == len(self.slots) or self.slots[index].number != number:
            if amount <= 0 or now_us >= (number + 1) * self.slot_us + self.span_us:
                return  # the charge has expired or is unknown
            self.slots.insert(index, Slot(number))
        slot = self.slots[index]
        amount = max(amount, -slot.amount)  # prevents refunding more than the slot holds
        slot.amount += amount
        self.total += amount

    def refund(self, slot: Slot, amount: int) -> None:
        """Refund a part of a charge; a charge that has expired needs no refund."""
        if slot.live:
            slot.amount -= amount
            self.total -= amount

    def expirations(self, now_us: int) -> Iterator[tuple[int, int]]:
        """Yields the time when each slot expires, and its amount."""
        self.advance(now_us)
        for slot in self.slots:
            yield (slot.number + 1) * self.slot_us + self.span_us, slot.amount

    def remaining_at(self, at_us: int) -> tuple[int, int]:
        """Returns the amount charged now that will remain at `at_us`, and when its first slot expires."""
        if not self.slots or (self.slots[-1].number + 1) * self.slot_us + self.span_us <= at_us:
            return 0, at_us
        for index, slot in enumerate(self.slots):
            expires_us = (slot.number + 1) * self.slot_us + self.span_us
            if expires_us > at_us:
                return sum(later.amount for later in self.slots[index:]), expires_us
        return 0, at_us

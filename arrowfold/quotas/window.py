"""One sliding window: what was charged lately, in slots; at most its limit in any time of its length.

A slot counts until its last moment is a whole window old, so no window, whenever it begins, holds more than
the limit; what a slot's first moments could have given back sooner is under-used, at most one part in SLOTS.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator

SLOTS = 40


class Slot:
    """What was charged within one slot's time. `live` while it counts."""

    __slots__ = ("amount", "live", "number")

    def __init__(self, number: int) -> None:
        self.number, self.amount, self.live = number, 0, True


class Window:
    """Charges against one limit. Times are whole microseconds, which may stand still but not go back."""

    __slots__ = ("limit", "slot_us", "slots", "span_us", "total")

    def __init__(self, limit: int, span_us: int) -> None:
        self.limit, self.span_us = limit, span_us
        self.slot_us = max(1, span_us // SLOTS)
        self.slots: list[Slot] = []  # at most SLOTS and two; a deque would take six times the room
        self.total = 0

    def advance(self, now_us: int) -> None:
        """Forget what is a whole window old."""
        slots = self.slots
        while slots and now_us >= (slots[0].number + 1) * self.slot_us + self.span_us:
            slot = slots.pop(0)
            slot.live = False
            self.total -= slot.amount

    def room(self, now_us: int) -> int:
        """What may still be charged now; below zero where more was used than reserved."""
        self.advance(now_us)
        return self.limit - self.total

    def charge(self, amount: int, now_us: int) -> Slot:
        """Charge it, whether or not there is room; the slot is what a refund needs."""
        self.advance(now_us)
        number = now_us // self.slot_us
        if not self.slots or self.slots[-1].number < number:
            self.slots.append(Slot(number))
        slot = self.slots[-1]
        slot.amount += amount
        self.total += amount
        return slot

    def adjust(self, amount: int, at_us: int, now_us: int) -> None:
        """The same for a charge at an earlier time, or, below zero, a part of one given back."""
        self.advance(now_us)
        number = at_us // self.slot_us
        place = bisect_left(self.slots, number, key=lambda slot: slot.number)
        if place == len(self.slots) or self.slots[place].number != number:
            if amount <= 0 or now_us >= (number + 1) * self.slot_us + self.span_us:
                return  # it has left the window, or was never here
            self.slots.insert(place, Slot(number))
        slot = self.slots[place]
        amount = max(amount, -slot.amount)  # guards against giving back what was forgotten since
        slot.amount += amount
        self.total += amount

    def refund(self, slot: Slot, amount: int) -> None:
        """Give back a part of what was charged in a slot; what has left the window is given back already."""
        if slot.live:
            slot.amount -= amount
            self.total -= amount

    def leaving(self, now_us: int) -> Iterator[tuple[int, int]]:
        """When what counts now will have left, and how much each time."""
        self.advance(now_us)
        for slot in self.slots:
            yield (slot.number + 1) * self.slot_us + self.span_us, slot.amount

    def live(self, at_us: int) -> tuple[int, int]:
        """What counts now and still will at a later time, and when the first of it will have left."""
        if not self.slots or (self.slots[-1].number + 1) * self.slot_us + self.span_us <= at_us:
            return 0, at_us
        for place, slot in enumerate(self.slots):
            leaves_us = (slot.number + 1) * self.slot_us + self.span_us
            if leaves_us > at_us:
                return sum(later.amount for later in self.slots[place:]), leaves_us
        return 0, at_us

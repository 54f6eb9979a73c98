"""What a market holds: tokens, the tables of their classes, and what is measured of a class. Decides nothing.

Times are whole microseconds on the host's clock, which only goes forward.
"""

from __future__ import annotations

import math
from typing import Any, Generic, Protocol, TypeVar

from arrowfold.market.blocks import Blocks

SECOND = 1_000_000


class TokenHolder(Protocol):
    """A worker that may hold tokens; it equals only itself."""

    tokens: list[Any]


HolderT = TypeVar("HolderT", bound=TokenHolder)


class Token(Generic[HolderT]):
    """A fixed part of one class's workload; its table and the worker that holds it each list it."""

    __slots__ = ("block", "holder", "table")

    def __init__(self, table: TokenTable[HolderT], holder: HolderT) -> None:
        self.table, self.holder = table, holder
        self.block: list[object] | None = None  # where it stands in its table
        table.tokens.append(self)
        holder.tokens.append(self)

    def move(self, holder: HolderT) -> None:
        """Give it to another holder."""
        self.holder.tokens.remove(self)
        self.holder = holder
        holder.tokens.append(self)

    def recall(self) -> None:
        """Take it out of its table and from its holder."""
        self.table.tokens.remove(self)
        self.holder.tokens.remove(self)


class Rate:
    """A measured rate, events a second, that forgets within `memory_us`."""

    __slots__ = ("at_us", "memory_us", "value")

    def __init__(self, memory_us: int) -> None:
        self.value, self.at_us, self.memory_us = 0.0, 0, memory_us

    def now(self, now: int) -> float:
        """The rate at a time not before the last event."""
        return self.value * math.exp(-(now - self.at_us) / self.memory_us)

    def count(self, now: int) -> None:
        """One event more."""
        self.value, self.at_us = self.now(now) + SECOND / self.memory_us, now


class TokenTable(Generic[HolderT]):
    """The tokens of one class, and the measures that its workload and its prices come from."""

    __slots__ = ("memory", "rate", "run_us", "seen", "slots", "tokens")

    def __init__(self, run_us: float, memory_us: int) -> None:
        self.tokens: Blocks[Token[HolderT]] = Blocks()
        self.rate = Rate(memory_us)  # R_i
        self.run_us = run_us  # C_i; a guess until one is measured
        self.slots, self.memory, self.seen = 1.0, 0.0, 0  # J_w^k; how many runs were measured

    def workload(self, now: int) -> float:
        """L_i = R_i x C_i: the slots that this class keeps busy."""
        return self.rate.now(now) * self.run_us * self.slots / SECOND

"""The data of a token market: tokens, their tables by class, and measurements of a class. Decides nothing.

Times are whole microseconds of a monotonic clock.
"""

from __future__ import annotations

import math
from typing import Any, Generic, Protocol, TypeVar

from arrowfold.market.blocks import Blocks

SECOND = 1_000_000


class TokenHolder(Protocol):
    """A worker that may hold tokens, compared by identity."""

    tokens: list[Any]


HolderT = TypeVar("HolderT", bound=TokenHolder)


class Token(Generic[HolderT]):
    """A fixed part of one class's workload, listed by its table and by the worker that holds it."""

    __slots__ = ("block", "holder", "table")

    def __init__(self, table: TokenTable[HolderT], holder: HolderT) -> None:
        self.table, self.holder = table, holder
        self.block: list[object] | None = None  # its block of the table's tokens; see `Blocks`
        table.tokens.append(self)
        holder.tokens.append(self)

    def move(self, holder: HolderT) -> None:
        """Moves the token to another holder."""
        self.holder.tokens.remove(self)
        self.holder = holder
        holder.tokens.append(self)

    def recall(self) -> None:
        """Removes the token from its table and its holder."""
        self.table.tokens.remove(self)
        self.holder.tokens.remove(self)


class Rate:
    """A measured rate in events per second that decays exponentially with the time constant `memory_us`."""

    __slots__ = ("memory_us", "updated_us", "value")

    def __init__(self, memory_us: int) -> None:
        self.value, self.updated_us, self.memory_us = 0.0, 0, memory_us

    def now(self, now: int) -> float:
        """Returns the rate at a time, which must not precede the last event."""
        return self.value * math.exp(-(now - self.updated_us) / self.memory_us)

    def record_event(self, now: int) -> None:
        """Adds one event to the rate."""
        self.value, self.updated_us = self.now(now) + SECOND / self.memory_us, now


class TokenTable(Generic[HolderT]):
    """The tokens of one class, and the measurements behind its workload and its prices."""

    __slots__ = ("memory", "rate", "run_us", "seen", "slots", "tokens")

    def __init__(self, run_us: float, memory_us: int) -> None:
        self.tokens: Blocks[Token[HolderT]] = Blocks()
        self.rate = Rate(memory_us)  # R_i: requests per second
        self.run_us = run_us  # C_i: mean run time; an estimate until a run is measured
        self.slots, self.memory, self.seen = 1.0, 0.0, 0  # J_w^k; number of measured runs

    def workload(self, now: int) -> float:
        """L_i = R_i x C_i: the mean number of slots that this class occupies."""
        return self.rate.now(now) * self.run_us * self.slots / SECOND

"""A sequence in the order of arrival that gives up any item at the cost of its block. Decides nothing.

A list looks through all that stand before an item to remove it: among the tokens of a large fleet that was
most of a market's work. Here an item knows its block. With n items in blocks of B: an item by number costs
log(n / B), an append nothing more, a removal B comparisons by identity; the first look after a change
counts n / B blocks.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from itertools import accumulate, chain
from typing import Generic, Protocol, TypeVar

BLOCK = 256


class Item(Protocol):
    """What a sequence holds: it keeps its block, and equals only itself."""

    block: list[object] | None


T = TypeVar("T", bound=Item)


class Blocks(Generic[T]):
    """See the module's docstring. An item stands in at most one such sequence, and there once."""

    __slots__ = ("_blocks", "_count", "_ends")

    def __init__(self) -> None:
        self._blocks: list[list[T]] = []
        self._ends: list[int] = []  # how many stand up to each block's end; empty where it has to be counted
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[T]:
        return chain.from_iterable(self._blocks)

    def __getitem__(self, number: int) -> T:
        if number < 0:
            number += self._count
        if not 0 <= number < self._count:
            raise IndexError(number)
        if not self._ends:
            self._ends = list(accumulate(map(len, self._blocks)))
        at = bisect_right(self._ends, number)
        return self._blocks[at][number - self._ends[at]]

    def in_order(self, items: Iterable[T]) -> list[T]:
        """Some of its items in their order here; costs the number of blocks, and a look into each item's."""
        rank = {id(block): at for at, block in enumerate(self._blocks)}

        def place(item: T) -> tuple[int, int]:
            block = item.block
            assert block is not None
            return rank[id(block)], block.index(item)

        return sorted(items, key=place)

    def append(self, item: T) -> None:
        if not self._blocks or len(self._blocks[-1]) >= BLOCK:
            self._blocks.append([])
        block = self._blocks[-1]
        block.append(item)
        item.block = block  # type: ignore[assignment]
        self._count += 1
        self._ends = []

    def remove(self, item: T) -> None:
        """Raises ValueError where the item does not stand here."""
        block: list[T] = item.block  # type: ignore[assignment]
        if block is None:
            raise ValueError("it stands in no sequence")
        block.remove(item)
        item.block = None
        self._count -= 1
        self._ends = []
        if not block:
            self._blocks = [kept for kept in self._blocks if kept]

"""An ordered sequence with cheap removal of any item. Decides nothing.

Removal from a list scans all items before it, which was most of a market's work with many workers. Here an
item refers to its block. With n items in blocks of B: access by index costs log(n / B), an append nothing
more, a removal B comparisons by identity; the first access after a change sums up n / B block sizes.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from itertools import accumulate, chain
from typing import Generic, Protocol, TypeVar

BLOCK = 256  # items per block


class Item(Protocol):
    """An item of a sequence: refers to its block and is compared by identity."""

    block: list[object] | None


T = TypeVar("T", bound=Item)


class Blocks(Generic[T]):
    """A sequence in order of insertion. An item may be in one sequence only, and once."""

    __slots__ = ("_blocks", "_count", "_ends")

    def __init__(self) -> None:
        self._blocks: list[list[T]] = []
        self._ends: list[int] = []  # number of items up to each block's end; empty when outdated
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
        index = bisect_right(self._ends, number)
        return self._blocks[index][number - self._ends[index]]

    def in_order(self, items: Iterable[T]) -> list[T]:
        """Returns the given items in sequence order; scans all blocks, and each item's block."""
        rank = {id(block): index for index, block in enumerate(self._blocks)}

        def sort_key(item: T) -> tuple[int, int]:
            block = item.block
            assert block is not None
            return rank[id(block)], block.index(item)

        return sorted(items, key=sort_key)

    def append(self, item: T) -> None:
        if not self._blocks or len(self._blocks[-1]) >= BLOCK:
            self._blocks.append([])
        block = self._blocks[-1]
        block.append(item)
        item.block = block  # type: ignore[assignment]
        self._count += 1
        self._ends = []

    def remove(self, item: T) -> None:
        """Removes an item. Raises ValueError if it is in no sequence."""
        block: list[T] = item.block  # type: ignore[assignment]
        if block is None:
            raise ValueError("it stands in no sequence")
        block.remove(item)
        item.block = None
        self._count -= 1
        self._ends = []
        if not block:
            self._blocks = [kept for kept in self._blocks if kept]

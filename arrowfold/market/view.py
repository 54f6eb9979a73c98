"""What the market asks of the program that it runs in: workers' loads, sizes and prices. Decides nothing."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import MutableMapping
from random import Random
from typing import Any, Generic, TypeVar

from arrowfold.market.tokens import HolderT, TokenTable

TableT = TypeVar("TableT", bound=TokenTable[Any])


class MarketView(ABC, Generic[HolderT, TableT]):
    """The workers as one program sees them; loads are fractions of a worker's size, one each of `mean`."""

    now: int  # microseconds
    random: Random
    tables: MutableMapping[Any, TableT]
    mean: list[float]  # L_avg^k
    spread: float  # how far loads lie from their mean, on average
    fleet: int  # how many workers serve
    tokens_per_worker: int = 24  # gives L_g; so many that each worker has some of every usual class
    trade_threshold: float = 1.0  # T_s = -T_r = T, in spreads

    @abstractmethod
    def _load(self, worker: HolderT, k: int) -> float:
        """L_j^k: the worker's load in a resource."""

    @abstractmethod
    def _size(self, worker: HolderT) -> list[float]:
        """R_j^k: how much of each resource the worker has."""

    @abstractmethod
    def _cost(self, worker: HolderT, table: TableT) -> float:
        """C_j(w): the price of one of the class's tokens at the worker."""

    @abstractmethod
    def _sample(self, table: TableT, count: int) -> list[HolderT]:
        """A few workers that may hold the class's tokens, each once."""

    @abstractmethod
    def _may_hold(self, worker: HolderT, table: TableT) -> bool:
        """Whether the worker may hold the class's tokens."""

    @abstractmethod
    def _may_receive(self, worker: HolderT) -> bool:
        """Whether trades may bring tokens to the worker now."""

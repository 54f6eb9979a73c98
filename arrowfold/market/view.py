"""The interface of the token market to its program: loads, sizes and prices of workers. Decides nothing."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import MutableMapping
from random import Random
from typing import Any, Generic, TypeVar

from arrowfold.market.tokens import HolderT, TokenTable

TableT = TypeVar("TableT", bound=TokenTable[Any])


class MarketView(ABC, Generic[HolderT, TableT]):
    """A program's view of its workers and classes.

    Resources are numbered from 0, with one entry of `mean` for each. A load is a fraction of a worker's size.
    """

    now: int  # microseconds
    random: Random
    tables: MutableMapping[Any, TableT]
    mean: list[float]  # L_avg^k, by resource
    spread: float  # mean deviation of loads from their mean
    worker_count: int  # number of workers in service
    tokens_per_worker: int = 24  # on average; determines L_g. Enough for some tokens of every usual class
    trade_threshold: float = 1.0  # T_s = -T_r = T, as a multiple of `spread`, times the number of resources

    @abstractmethod
    def _load(self, worker: HolderT, k: int) -> float:
        """L_j^k: the worker's load of resource `k`."""

    @abstractmethod
    def _size(self, worker: HolderT) -> list[float]:
        """R_j^k: the worker's capacity of each resource."""

    @abstractmethod
    def _cost(self, worker: HolderT, table: TableT) -> float:
        """C_j(w): the price of one of the class's tokens at the worker."""

    @abstractmethod
    def _sample(self, table: TableT, count: int) -> list[HolderT]:
        """Returns at most `count` distinct workers that may hold the class's tokens."""

    @abstractmethod
    def _may_hold(self, worker: HolderT, table: TableT) -> bool:
        """Returns whether the worker may hold the class's tokens."""

    @abstractmethod
    def _may_receive(self, worker: HolderT) -> bool:
        """Returns whether trades may move tokens to the worker now."""

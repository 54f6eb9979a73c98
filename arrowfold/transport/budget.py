"""Who may hold how many of the process's descriptors."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Budget:
    """Clients share what there is with connections to backend servers, which have a part kept for them.

    Guards both against a crowd: clients that ask nothing give way when a server has to be reached.
    """

    def __init__(self, most: int) -> None:
        self.most, self.clients, self.servers = most, 0, 0
        self.sheds: list[Callable[[], bool]] = []  # who can give up what is idle, in this order

    def resize(self, most: int) -> None:
        """Another limit from now on; what is idle beyond it is given up."""
        self.most = most
        while self.clients + self.servers > self.most and any(shed() for shed in self.sheds):
            pass

    def most_clients(self) -> int:
        """At least half, at most three quarters; in between, an eighth more than servers have is kept."""
        return self.most - min(max(self.most // 4, self.servers + self.most // 8), self.most // 2)

    def room_for_server(self) -> bool:
        """Whether one more connection to a server may be opened, something idle given up if need be."""
        return self.clients + self.servers < self.most or any(shed() for shed in self.sheds)


class House(Protocol):
    """How many connections one listener may hold."""

    def has_room(self) -> bool: ...

    def take(self) -> None: ...

    def release(self) -> None: ...


class ClientShare:
    """One listener's part of what clients may hold."""

    def __init__(self, budget: Budget, part: float) -> None:
        self.budget, self.part, self.held = budget, part, 0

    def has_room(self) -> bool:
        most = self.budget.most_clients()
        return self.budget.clients < most and self.held < most * self.part

    def crowded(self) -> bool:
        """Whether half of it is taken."""
        return self.held * 2 > self.budget.most_clients() * self.part

    def take(self) -> None:
        self.held += 1
        self.budget.clients += 1

    def release(self) -> None:
        self.held -= 1
        self.budget.clients -= 1


class Reserve:
    """A few descriptors for one listener alone, whatever the others hold."""

    def __init__(self, most: int) -> None:
        self.most, self.held = most, 0

    def has_room(self) -> bool:
        return self.held < self.most

    def take(self) -> None:
        self.held += 1

    def release(self) -> None:
        self.held -= 1

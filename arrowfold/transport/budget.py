"""Limits on the connections, and so the file descriptors, that each part of the process may hold."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class ConnectionBudget:
    """Divides a maximum number of connections between clients and backend servers.

    A part is reserved for connections to servers, and idle connections of clients are closed when a server
    must be reached, so that many clients can't prevent this, nor the servers' connections exclude clients.
    """

    def __init__(self, limit: int) -> None:
        self.limit, self.clients, self.servers = limit, 0, 0
        # Called in this order; each closes an idle connection and returns whether there was one.
        self.idle_closers: list[Callable[[], bool]] = []

    def resize(self, limit: int) -> None:
        """Changes the maximum and closes idle connections above it."""
        self.limit = limit
        while self.clients + self.servers > self.limit and any(close() for close in self.idle_closers):
            pass

    def max_clients(self) -> int:
        """Returns the maximum for clients: between half and three quarters of all.

        In between, an eighth more than the servers' current connections is reserved for servers.
        """
        return self.limit - min(max(self.limit // 4, self.servers + self.limit // 8), self.limit // 2)

    def can_open_server_connection(self) -> bool:
        """Returns whether one more connection to a server may be opened; closes an idle one if necessary."""
        return self.clients + self.servers < self.limit or any(close() for close in self.idle_closers)


class ConnectionQuota(Protocol):
    """Limit on the connections that one listener may hold."""

    def has_capacity(self) -> bool:
        """Returns whether one more connection may be accepted."""
        ...

    def take(self) -> None:
        """Counts an accepted connection."""
        ...

    def release(self) -> None:
        """Counts a closed connection."""
        ...


class ClientShare:
    """A listener's share of the maximum for clients."""

    def __init__(self, budget: ConnectionBudget, share: float) -> None:
        self.budget, self.share, self.held = budget, share, 0

    def has_capacity(self) -> bool:
        max_clients = self.budget.max_clients()
        return self.budget.clients < max_clients and self.held < max_clients * self.share

    def crowded(self) -> bool:
        """Returns whether more than half of the share is in use."""
        return self.held * 2 > self.budget.max_clients() * self.share

    def take(self) -> None:
        self.held += 1
        self.budget.clients += 1

    def release(self) -> None:
        self.held -= 1
        self.budget.clients -= 1


class Reserve:
    """A fixed number of connections for one listener, independent of all others."""

    def __init__(self, limit: int) -> None:
        self.limit, self.held = limit, 0

    def has_capacity(self) -> bool:
        return self.held < self.limit

    def take(self) -> None:
        self.held += 1

    def release(self) -> None:
        self.held -= 1

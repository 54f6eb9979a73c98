"""Long polls to every control node, so that what one of them learns is here a round trip later."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from arrowfold.dataplane.tables import FleetTables
from arrowfold.internal.channel import ChannelClient
from arrowfold.internal.messages import NodeIdentity, PullRequest, PullResponse
from arrowfold.node.logs import RateLimitedLog

POLL_S = 1.0  # how long a control node may hold a pull
ANSWER_SLACK_S = 0.7  # beyond POLL_S: the connection is given up and dialled anew
RETRY_PAUSE_S = 0.1  # after the first failure; grows with each
LONGEST_RETRY_PAUSE_S = 0.5


class ControlPuller:
    """Keeps one pull open to every control node and applies what comes."""

    def __init__(
        self,
        client: ChannelClient,
        tables: FleetTables,
        identity: NodeIdentity,
        seeds: tuple[str, ...],
        changed: Callable[[], None],
        log: RateLimitedLog,
    ) -> None:
        self._client = client
        self._tables = tables
        self._identity = identity
        self._seeds = seeds
        self._changed = changed
        self._log = log
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def start(self) -> None:
        """Pull from the seeds and from all that they name."""
        self._follow()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take the seeds of a new settings file."""
        self._seeds = seeds
        self._follow()

    def stop(self) -> None:
        """End all pulls."""
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()

    def _addresses(self) -> set[str]:
        view = self._tables.snapshot.view
        members = {member.address for member in view.members} if view is not None else set()
        return members | set(self._seeds)

    def _follow(self) -> None:
        wanted = self._addresses()
        for address in [known for known in self._tasks if known not in wanted]:
            self._tasks.pop(address).cancel()
        for address in wanted:
            if address not in self._tasks:
                self._tasks[address] = asyncio.create_task(self._pull_from(address))

    async def _pull_from(self, address: str) -> None:
        failures = 0
        while True:
            request = PullRequest(self._identity, dict(self._tables.vector), POLL_S)
            answer = await self._client.call(address, request, POLL_S + ANSWER_SLACK_S)
            if answer.is_err() or not isinstance(answer.unwrap(), PullResponse):
                failures += 1
                if failures == 1:
                    self._log.info("control_node_lost", address=address, reason=str(answer))
                await asyncio.sleep(min(LONGEST_RETRY_PAUSE_S, RETRY_PAUSE_S * failures))
                continue
            if failures:
                self._log.info("control_node_back", address=address, failures=failures)
                failures = 0
            if self._tables.take(answer.unwrap()):
                self._changed()
                self._follow()

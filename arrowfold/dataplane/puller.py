"""Long polls to every known control node: an update arrives one round trip after any of them has it.

One node, preferably in this zone, sends the updates themselves. Owners of roles do so too, because only they
distribute their decisions. All other nodes only send a notice that they have updates. If the first node does
not deliver the updates shortly after a notice, they are pulled from the node that sent the notice. A node
that is partitioned or hangs therefore causes no delay, and each update is transferred once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from arrowfold.dataplane.freshness import StateFreshness
from arrowfold.dataplane.tables import FleetTables
from arrowfold.internal.channel import ChannelClient
from arrowfold.internal.messages import ClusterView, NodeIdentity, PullRequest, PullResponse, view_checksum
from arrowfold.node.logs import RateLimitedLog

POLL_S = 1.0  # maximum time for which a control node may hold a pull
ANSWER_SLACK_S = 0.7  # response timeout beyond the hold time; after it the connection is opened anew
NOTICE_PAUSE_S = 0.3  # between a notice and the next request for one
UPDATE_HEAD_START_S = 0.03  # for the node that sends updates, after a notice of another node
RETRY_BACKOFF_S = 0.05  # after the first failure; grows by this much with each consecutive failure
MAX_RETRY_BACKOFF_S = 0.5


@dataclass(slots=True)
class _Source:
    """A control node that this edge pulls from."""

    address: str
    task: asyncio.Task[None] | None = None
    is_responding: bool = False  # the last response arrived in time
    is_current: bool = False  # as of the last response, the node had recent contact with the primary
    failures: int = 0  # consecutive
    polls_without_hold: bool = False  # the current pull is to be answered immediately


class ControlPuller:
    """Keeps one pull open to every control node and applies the updates."""

    def __init__(
        self,
        client: ChannelClient,
        tables: FleetTables,
        identity: NodeIdentity,
        seeds: tuple[str, ...],
        on_change: Callable[[], None],
        log: RateLimitedLog,
        freshness: StateFreshness | None = None,
    ) -> None:
        """`on_change` is called after each change of the tables; `freshness` is extended by the responses.

        Without `freshness`, nothing depends on the age of the tables.
        """
        self._client = client
        self._freshness = freshness or StateFreshness(None)
        self._tables = tables
        self._identity = identity
        self._seeds = seeds
        self._on_change = on_change
        self._log = log
        self._sources: dict[str, _Source] = {}
        self._view_and_mark: tuple[ClusterView | None, int] = (None, 0)

    def start(self) -> None:
        """Starts to pull from the seeds and from all members that they list."""
        self._update_sources()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replaces the seeds, after the settings file has changed."""
        self._seeds = seeds
        self._update_sources()

    def stop(self) -> None:
        """Cancels all pulls."""
        for address in list(self._sources):
            self._remove_source(address)

    def _update_sources(self) -> None:
        view = self._tables.snapshot.view
        members = [member.address for member in view.members] if view is not None else []
        addresses = dict.fromkeys([*members, *self._seeds])
        for address in [known for known in self._sources if known not in addresses]:
            self._remove_source(address)
        for address in addresses:
            if address not in self._sources:
                source = self._sources[address] = _Source(address)
                source.task = asyncio.create_task(self._pull_from(source))

    def _remove_source(self, address: str) -> None:
        task = self._sources.pop(address).task
        if task is not None:
            task.cancel()

    def _sends_updates(self, source: _Source) -> bool:
        """Returns whether this node is to send updates and not only notices.

        That is the preferred one of the current nodes that respond and each owner of a role; every node as
        long as there is no such node or no configuration.
        """
        current = [known for known in self._sources.values() if known.is_responding and known.is_current]
        if not current or self._tables.snapshot.configuration is None or self._owns_role(source):
            return True
        return source is min(current, key=lambda known: (not self._is_near(known), known.address))

    def _owns_role(self, source: _Source) -> bool:
        view = self._tables.snapshot.view
        if view is None:
            return False
        owners = {role.member for role in view.roles}
        return any(m.address == source.address and m.member in owners for m in view.members)

    def _is_near(self, source: _Source) -> bool:
        view = self._tables.snapshot.view
        members = view.members if view is not None else ()
        return any(m.address == source.address and m.zone == self._identity.zone for m in members)

    async def _pull_from(self, source: _Source) -> None:
        while True:
            if self._sends_updates(source):
                await self._pull(source, self._max_hold_s(source))
            else:
                await self._await_notice(source)

    def _max_hold_s(self, source: _Source) -> float:
        """Returns the time in seconds for which a node may hold the next pull.

        While the freshness lease has expired, every other pull is to be answered immediately. Not every one,
        so that nodes which cannot confirm how recent their state is are not polled continuously.
        """
        source.polls_without_hold = not source.polls_without_hold and not self._freshness.is_fresh()
        return 0.0 if source.polls_without_hold else POLL_S

    async def _pull(self, source: _Source, wait_s: float) -> None:
        asked_s = self._freshness.read_clock()
        response = await self._call(source, wait_s, notice_only=False)
        if response is None:
            return
        if self._tables.apply(response):
            self._on_change()
            self._update_sources()
        self._extend_freshness(asked_s, response)
        if self._tables.needs_full_configuration:
            await asyncio.sleep(RETRY_BACKOFF_S)

    async def _await_notice(self, source: _Source) -> None:
        asked_s = self._freshness.read_clock()
        response = await self._call(source, self._max_hold_s(source), notice_only=True)
        if response is None:
            return
        self._extend_freshness(asked_s, response)
        if self._tables.is_behind(response.vector):
            await asyncio.sleep(UPDATE_HEAD_START_S)
            if self._tables.is_behind(response.vector):
                await self._pull(source, 0.0)
        await asyncio.sleep(NOTICE_PAUSE_S)

    def _extend_freshness(self, asked_s: float, response: PullResponse) -> None:
        """Extends the lease if the state that the response confirms is held here, its updates applied."""
        if response.state_age_s is not None and self._tables.holds_state(response.vector):
            self._freshness.answered(asked_s, response.state_age_s)

    def _known_view_mark(self) -> int:
        """Returns the mark of the view held, 0 for none."""
        view = self._tables.snapshot.view
        if view is not self._view_and_mark[0]:
            self._view_and_mark = (view, view_checksum(view) if view is not None else 0)
        return self._view_and_mark[1]

    async def _call(self, source: _Source, wait_s: float, notice_only: bool) -> PullResponse | None:
        request = PullRequest(
            self._identity, dict(self._tables.vector), wait_s, notice_only, self._known_view_mark()
        )
        answer = await self._client.call(source.address, request, wait_s + ANSWER_SLACK_S)
        response = answer.unwrap() if answer.is_ok() else None
        if isinstance(response, PullResponse):
            if source.failures:
                self._log.info("control_node_back", address=source.address, failures=source.failures)
            source.is_responding, source.is_current, source.failures = True, response.current, 0
            return response
        source.is_responding = source.polls_without_hold = False
        source.failures += 1
        if source.failures == 1:
            self._log.info("control_node_lost", address=source.address, reason=str(answer))
        await asyncio.sleep(min(MAX_RETRY_BACKOFF_S, RETRY_BACKOFF_S * source.failures))
        return None

"""Pulls between control nodes, in virtual time."""

from __future__ import annotations

import asyncio
from typing import Any, cast

from result import Ok, Result

from arrowfold.controlplane.peers import PeerPulls
from arrowfold.controlplane.presence import EdgePresence
from arrowfold.internal.channel import ChannelError
from arrowfold.internal.messages import (
    Acknowledgement,
    ClusterView,
    MemberInfo,
    NodeIdentity,
    PullRequest,
    PullResponse,
)
from arrowfold.registry.workers import WorkerRegistry
from tests.system.virtual_time import run_virtual

PEER = MemberInfo("b", "core-b", "10.0.0.2:7660", "10.0.0.2:8146", "east")


class _PlacementOwner:
    """Owns a placement; answers a pull immediately if its version vector lacks an update."""

    def __init__(self) -> None:
        self.pulls = 0
        self.vector = {"placement/models": 7, "state": 3}

    async def call(self, address: str, request: Any, timeout_s: float) -> Result[Any, ChannelError]:
        if not isinstance(request, PullRequest):
            return Ok(Acknowledgement())
        self.pulls += 1
        if all(request.vector.get(origin, 0) >= count for origin, count in self.vector.items()):
            await asyncio.sleep(request.wait_s)
        else:
            await asyncio.sleep(0.001)
        return Ok(PullResponse(True, ClusterView(1, "b", (PEER,), 0), self.vector))


class _Replica:
    member = "a"

    def members(self) -> tuple[MemberInfo, ...]:
        return (PEER,)


def test_a_placement_that_peers_ignore_does_not_make_them_pull_in_a_tight_loop() -> None:
    # Given a control node that owns a placement, whose updates other control nodes ignore
    owner = _PlacementOwner()

    async def scenario() -> None:
        clock = asyncio.get_running_loop().time
        identity = NodeIdentity("core-a", "a", "east", "10.0.0.1:7660")
        registry = WorkerRegistry("a.1", clock, 1.2)
        presence = EdgePresence(clock, 10.0)
        replica = cast(Any, _Replica())
        pulls = PeerPulls(identity, replica, registry, presence, cast(Any, owner), clock, lambda: None)
        # When another control node pulls from it for twenty seconds
        pulls.follow_members()
        await asyncio.sleep(20.0)
        pulls.close()

    run_virtual(scenario())
    # Then each pull except the first stays open for its two seconds
    assert owner.pulls <= 12

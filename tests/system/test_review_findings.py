"""Regression tests for faults of keys, freshness and fencing; each fails on the code that was reviewed."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
from typing import Any

import pytest

from arrowfold.configuration.routes import Limits
from arrowfold.configuration.validity import check_value
from arrowfold.controlplane.placement_service import PlacementService
from arrowfold.dataplane.exchange import ClientAnswer, ClientRequest
from arrowfold.dataplane.freshness import StateFreshness
from arrowfold.dataplane.front import EdgeFront
from arrowfold.dataplane.headers import find
from arrowfold.dataplane.process_end import ProcessEnd
from arrowfold.dataplane.tables import FleetTables
from arrowfold.internal.messages import STATE_ORIGIN, ConfigurationDelta, ConfigurationUpdate
from arrowfold.node.logs import RateLimitedLog
from arrowfold.node.settings import Bounds
from arrowfold.placement.options import PlacementOptions
from arrowfold.replication.roles import HeldRole
from arrowfold.replication.state import ControlState
from tests.system.configurations import configuration, tenant
from tests.system.edge_loopback import RawClient, run_on_loopback
from tests.system.edge_stories import ROUTES, configuration_update, response
from tests.system.edge_stories import configuration as edge_configuration
from tests.system.placement_world import SERVICE
from tests.system.test_placement_executor import LoopbackWorker, demand_for_missing, record

CHUNKED_WITH_TRAILER = (
    b"POST /pay/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: first\r\n"
    b"Authorization: Bearer first-key\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n%s\r\n\r\n"
)
NEXT = b"POST /pay/2 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: second\r\nContent-Length: 0\r\n\r\n"


async def _requests_read(*sent: bytes) -> list[ClientRequest]:
    """Returns the requests that the front reads from one client connection until it closes the connection."""
    requests: list[ClientRequest] = []

    async def forward(request: ClientRequest, answer: ClientAnswer) -> None:
        requests.append(request)
        await answer.send_complete(200, [], b"done")

    front = EdgeFront(forward, Limits, ProcessEnd())
    client = await RawClient.connect(await front.start("127.0.0.1:0"))
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        for data in sent:
            await client.send(data)
            await client.read()
    client.close()
    await front.stop(0.1)
    return requests


# Guards against the last trailer of a request becoming the first header of the next one on its connection. It
# adds a key that the request lacks (ROUTE, UNASKED), a second key (DENIED), or another id (UNASKED).
@pytest.mark.parametrize("trailer", [b"Authorization: Bearer stray", b"X-Attempt-Id: stray"])
def test_given_a_trailer_then_it_is_not_added_to_the_next_request(trailer: bytes) -> None:
    async def scenario() -> None:
        first, *later = await _requests_read(CHUNKED_WITH_TRAILER % trailer, NEXT)
        assert find(first.headers, b"x-attempt-id") == "first"
        assert not later, "a connection on which trailers came is read no further"

    run_on_loopback(scenario)


def test_given_a_chunked_request_without_trailers_then_its_connection_is_reused() -> None:
    async def scenario() -> None:
        plain = CHUNKED_WITH_TRAILER.replace(b"%s\r\n\r\n", b"\r\n")
        first, second = await _requests_read(plain, NEXT)
        assert find(first.headers, b"x-attempt-id") == "first"
        assert find(second.headers, b"authorization") is None
        assert find(second.headers, b"x-attempt-id") == "second"

    run_on_loopback(scenario)


# Guards against a tenant name that a worker reads as another header or another tenant (UNASKED).
@pytest.mark.parametrize("name", ["acme\r\nX-Tenant: other", "acme\n", "acme\x00", " acme "])
def test_given_a_tenant_whose_name_is_no_header_value_then_it_is_refused(name: str) -> None:
    assert check_value(configuration(tenants=[tenant(name, "key")])).is_err()


# Guards against an edge whose clock is 10 % slow accepting a revoked key for longer than `revokeMs` (CONFIG).
def test_given_a_clock_that_is_a_tenth_slow_then_keys_expire_in_time() -> None:
    true_s = 0.0
    freshness = StateFreshness(5.0, lambda: 0.9 * true_s)
    freshness.answered(freshness.read_clock(), 0.0)
    true_s = 5.001
    assert not freshness.is_fresh()


# Guards against an edge that could not read a configuration being treated as holding it, so that its state
# counts as fresh while it still uses the previous keys (CONFIG).
def test_given_a_whole_configuration_that_cannot_be_read_then_its_state_is_not_held() -> None:
    tables = FleetTables()
    tables.apply(response(configuration_update(edge_configuration(ROUTES, version=3), 3), state=3))
    tables.apply(response(ConfigurationUpdate(4, 4, b'{"version":4,'), state=4))
    assert tables.snapshot.configuration is not None and tables.snapshot.configuration.version == 3
    assert not tables.holds_state({STATE_ORIGIN: 4})


# Guards against an answer that was in flight when a change was missed marking that change as held (CONFIG).
def test_given_a_missed_change_then_a_later_answer_without_it_does_not_make_its_state_held() -> None:
    tables = FleetTables()
    tables.apply(response(configuration_update(edge_configuration(ROUTES, version=3), 3), state=3))
    tables.apply(response(ConfigurationDelta(6, 5, 7, b'{"version":7}'), state=6))
    assert not tables.holds_state({STATE_ORIGIN: 6})
    tables.apply(response(state=7))  # the pull carried a vector with 6
    assert not tables.holds_state({STATE_ORIGIN: 7})


class _Tenured:
    """A member that permanently holds every role with authority."""

    holder = "node"

    def tenure(self, role: str) -> HeldRole:
        return HeldRole(role, 7, 0.0, 0.0)

    def held(self, role: str) -> HeldRole:
        return HeldRole(role, 7, 0.0, math.inf)

    def is_tenured(self, role: str, token: int) -> bool:
        return True


class _Replica:
    def __init__(self) -> None:
        engine = {
            "capacitySlots": 8,
            "kvCacheTokens": 1000,
            "models": [{"name": "m1", "weightsMb": 10.0, "loadTimeS": 0.1}],
            "weightsMb": 100.0,
            "adapterCapacity": 1,
            "loadRateS": 1000.0,
        }
        document = {"version": 1, "services": [{"name": SERVICE, "engine": engine}]}
        text = json.dumps(document).encode()
        self.committed = ControlState(1, text, 1, 1)


# Guards against further orders under a token that a worker has refused as too low (ONE, Duty).
def test_given_an_order_that_was_fenced_then_no_more_leave_under_its_token() -> None:
    async def scenario() -> None:
        worker = LoopbackWorker(*[412] * 1000)
        known = record(await worker.start())
        authority: Any = _Tenured()
        replica: Any = _Replica()
        notices: Any = type("Notices", (), {"publish": lambda *_: None})()
        service = PlacementService(
            replica,
            authority,
            lambda: [known],
            notices,
            Bounds(),
            asyncio.get_running_loop().time,
            RateLimitedLog("node"),
            PlacementOptions(),
        )
        running = asyncio.create_task(service.run())
        for _ in range(200):
            await service.on_demand(demand_for_missing("m1"))
            await asyncio.sleep(0.01)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        await worker.stop()
        assert len(worker.orders) == 1, [order["fenceToken"] for order in worker.orders]

    run_on_loopback(scenario)

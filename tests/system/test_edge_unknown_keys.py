"""A request with a key that is in no configuration never runs at a worker.

ROUTE is the name of the guarantee on the pages about tenants.
"""

from __future__ import annotations

import pytest

from tests.system.configurations import tenant
from tests.system.edge_stories import (
    ROUTES,
    EdgeHarness,
    RecordedAnswer,
    answers,
    configuration,
    configuration_update,
    route,
    whole,
    worker,
)
from tests.system.virtual_time import run_virtual

KNOWN_KEY = "held-9f2c"
UNKNOWN_KEY = "never-held-51ab"
PUBLIC = route("open", "/open/", "cards", "idempotent", publicAccess=True)


async def _send_request(path: str, *headers: tuple[bytes, bytes]) -> tuple[RecordedAnswer, list[str]]:
    """Returns a request's answer and the workers that ran it; a tenant with KNOWN_KEY is configured."""
    edge = EdgeHarness(ROUTES, (worker("w1", "cards"),))
    edge.workers.scripts["w1"] = answers(whole())
    with_tenants = configuration([*ROUTES, PUBLIC], 2) | {"tenants": [tenant("acme", KNOWN_KEY)]}
    edge.tell(configuration_update(with_tenants, 2), state=2)
    return await edge.ask(path, *headers), edge.workers.receivers()


# Guards against ROUTE: a request ran with a key that was in no configuration.
@pytest.mark.parametrize("path", ["/pay/1", "/open/1"])
def test_given_a_key_that_is_in_no_configuration_then_no_worker_runs_the_request(path: str) -> None:
    authorization = (b"Authorization", f"Bearer {UNKNOWN_KEY}".encode())
    answer, receivers = run_virtual(_send_request(path, authorization))
    assert receivers == []
    assert answer.status == 401


# Guards against ROUTE: a request without a key ran on a route that requires one.
def test_given_no_key_then_no_worker_runs_the_request() -> None:
    answer, receivers = run_virtual(_send_request("/pay/1"))
    assert receivers == []
    assert answer.status == 401

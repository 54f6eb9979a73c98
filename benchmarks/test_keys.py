"""Cost of checking a request's API key at an edge node: its digest and its owner among 10,000 keys.

make benchmark
"""

from __future__ import annotations

import itertools
from typing import Any

from arrowfold.configuration.routes import RouteTable
from arrowfold.configuration.tenants import without_keys
from arrowfold.dataplane.credentials import admit, read_credentials

TENANTS = 1_000
KEYS_PER_TENANT = 10
VALUE = {
    "version": 1,
    "services": [{"name": "cards"}],
    "routes": [
        {
            "name": "pay",
            "hostname": "shop.example",
            "pathPrefix": "/pay/",
            "timeoutMs": 4000,
            "targetService": "cards",
        }
    ],
    "tenants": [
        {"name": f"tenant-{tenant}", "apiKeys": [f"key-{tenant}-{key}" for key in range(KEYS_PER_TENANT)]}
        for tenant in range(TENANTS)
    ],
}
TABLE = RouteTable.from_value(without_keys(VALUE))
ROUTE = TABLE.routes[0]
REQUESTS = [
    (
        (b"Host", b"shop.example"),
        (b"X-Attempt-Id", b"9c41d07be2a35f68"),
        (b"X-Model", b"m1"),
        (b"X-Token-Usage", b"1460,80"),
        (b"X-Prompt-Prefix", b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
        (b"X-Deadline-Ms", b"5220"),
        (b"Authorization", b"Bearer key-%d-%d" % (tenant, tenant % KEYS_PER_TENANT)),
    )
    for tenant in range(TENANTS)
]


def test_a_request_on_arrival(benchmark: Any) -> None:
    """Searches the headers, computes the key's digest and looks up its owner."""
    headers = itertools.cycle(REQUESTS)

    def check() -> None:
        admitted = admit(read_credentials(next(headers)), TABLE.tenants, ROUTE, lambda: True)
        assert admitted.unwrap() is not None

    benchmark(check)


def test_a_check_before_another_attempt(benchmark: Any) -> None:
    """Looks up the owner again with the known digest."""
    credentials = itertools.cycle([read_credentials(headers) for headers in REQUESTS])

    def check() -> None:
        assert admit(next(credentials), TABLE.tenants, ROUTE, lambda: True).unwrap() is not None

    benchmark(check)

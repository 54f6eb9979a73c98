"""Configurations for tests: a small valid one and a Hypothesis strategy for valid ones."""

from __future__ import annotations

import json
from typing import Any

from hypothesis import strategies as st

NAMES = st.text(alphabet="abcxyz-0é", min_size=1, max_size=4)
HOSTS = st.sampled_from(["a.example", "B.Example", "c.example"])
PREFIXES = st.sampled_from(["/", "/a/", "/a/b/", "/a/b/c/", "/long-name/"])
WEIGHTS = st.one_of(st.integers(0, 100), st.floats(0, 100, allow_nan=False))
TEXT = st.text(alphabet='a"\\/é\n\u2028😀', max_size=5)  # small, as generating from all characters is slow
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False, allow_infinity=False) | TEXT,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXT, inner, max_size=3),
    max_leaves=5,
)
# Few, so that keys move between tenants.
KEYS = st.text(alphabet="abc", min_size=1, max_size=2).map("secret-{}".format)
UNKNOWN_MEMBERS = st.dictionaries(st.sampled_from(["xNote", "xOwner"]), JSON_VALUES, max_size=2)


def route(name: str = "r", **members: Any) -> dict[str, Any]:
    """Returns a valid route to service `s`, with some members replaced."""
    return {
        "name": name,
        "hostname": "a.example",
        "pathPrefix": f"/{name}/",
        "routeKind": "idempotent",
        "timeoutMs": 5000,
        "targetLatencyMs": 800,
        "priority": 1,
        "targetService": "s",
        "maxAttempts": 2,
    } | members


def configuration(version: int = 7, **members: Any) -> dict[str, Any]:
    """Returns a valid configuration with route `r`, services `s` and `t`, and some members replaced."""
    return {
        "version": version,
        "routes": [route()],
        "services": [{"name": "s", "healthPath": "/healthz", "maxConnections": 5}, {"name": "t"}],
        "limits": {"maxHeaderBytes": 16384, "idleTimeoutMs": 15000},
    } | members


def tenant(name: str, *keys: str, **members: Any) -> dict[str, Any]:
    """Returns a tenant with these API keys."""
    return {"name": name, "apiKeys": list(keys)} | members


def text_of(value: Any) -> bytes:
    """Returns the JSON text of a value."""
    return json.dumps(value).encode()


@st.composite
def valid_configurations(draw: st.DrawFn, version: int = 1) -> dict[str, Any]:
    """Draws a valid configuration, with unknown members."""
    service_names = draw(st.lists(NAMES, min_size=1, max_size=4, unique=True))
    services = [{"name": name} | draw(UNKNOWN_MEMBERS) for name in service_names]
    locations = draw(
        st.lists(
            st.tuples(HOSTS, PREFIXES),
            max_size=6,
            unique_by=lambda location: (location[0].lower(), location[1]),
        )
    )
    route_names = draw(st.lists(NAMES, min_size=len(locations), max_size=len(locations), unique=True))
    routes = [
        draw(_valid_route(name, host, prefix, service_names))
        for name, (host, prefix) in zip(route_names, locations, strict=True)
    ]
    members = draw(UNKNOWN_MEMBERS)
    if draw(st.booleans()):
        members["limits"] = draw(st.fixed_dictionaries({}, optional={"idleTimeoutMs": st.integers(0, 9)}))
    if draw(st.booleans()):
        members["tenants"] = draw(st.none() | tenant_lists())
    return members | {"version": version, "routes": routes, "services": services}


@st.composite
def tenant_lists(draw: st.DrawFn) -> list[dict[str, Any]]:
    """Draws a valid list of tenants: names are unique and no key belongs to two tenants."""
    names = draw(st.lists(NAMES, max_size=4, unique=True))
    keys = draw(st.lists(KEYS, max_size=6, unique=True))
    owners = [draw(st.integers(0, len(names))) for _ in keys]
    return [
        tenant(name, *(key for key, owner in zip(keys, owners, strict=True) if owner == index))
        | draw(st.fixed_dictionaries({}, optional={"priority": st.none() | st.integers(0, 5)}))
        | draw(UNKNOWN_MEMBERS)
        for index, name in enumerate(names)
    ]


@st.composite
def _valid_route(
    draw: st.DrawFn, name: str, host: str, prefix: str, service_names: list[str]
) -> dict[str, Any]:
    kinds = st.sampled_from(["idempotent", "non_idempotent", "streaming"])
    item = {"name": name, "hostname": host, "pathPrefix": prefix, "routeKind": draw(kinds)}
    item["timeoutMs"] = draw(st.one_of(st.integers(1, 10_000), st.floats(0.5, 10_000)))
    if draw(st.booleans()):
        item["targetService"] = draw(st.sampled_from(service_names))
    else:
        part = st.fixed_dictionaries({"targetService": st.sampled_from(service_names), "weight": WEIGHTS})
        parts = st.lists(part, min_size=1, max_size=3)
        item["trafficSplit"] = draw(parts.filter(lambda split: sum(part["weight"] for part in split) > 0))
    if draw(st.booleans()):
        item["publicAccess"] = draw(st.booleans())
    return item | draw(UNKNOWN_MEMBERS)

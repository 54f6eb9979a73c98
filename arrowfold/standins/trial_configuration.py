"""The configuration of trials on loopback: kinds of requests, their routes, services and tenants."""

from __future__ import annotations

from typing import Any

from arrowfold.standins.trial_client import RequestKind

HOST = "trial.example"
MODEL = "small-model"
CHAT = RequestKind("chat stream", "/chat/", streams=True, repeatable=True, model=MODEL)
LOOKUP = RequestKind("lookup", "/lookup/", repeatable=True)
RECORD = RequestKind("record", "/record/")
TENANT, TENANT_KEY = "guests", "key-of-the-guests"
REMOVED_TENANT, REMOVED_TENANT_KEY = "leavers", "key-of-the-leavers"
ADDED = RequestKind("added route", "/added/", repeatable=True)


def trial_configuration() -> dict[str, Any]:
    """Returns a configuration of three routes to two services, without a version."""
    engine = {
        "capacitySlots": 8,
        "kvCacheTokens": 100_000,
        "kvTokenBytes": 1000,
        "linkMbps": 1000,
        "stride": 1,
        "models": [{"name": MODEL, "weightsMb": 100, "loadTimeS": 0.1, "adapters": 0, "adapterSizeMb": 1}],
        "weightsMb": 200,
        "adapterCapacity": 4,
        "loadRateS": 1,
    }
    service = {"healthPath": "/healthz", "maxConnections": 64, "protocol": "h1", "tls": False}
    return {
        "routes": [
            trial_route("chat", CHAT, "streaming", resumable=True, sessionAffinity=True, gap_aim_ms=500),
            trial_route("lookup", LOOKUP, "idempotent"),
            trial_route("record", RECORD, "non_idempotent"),
        ],
        "services": [{"name": "chat", **service, "engine": engine}, {"name": "lookup", **service}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def trial_tenants() -> list[dict[str, Any]]:
    """Returns a tenant that stays and one that the trial removes, and its key with it."""
    return [
        {"name": TENANT, "apiKeys": [TENANT_KEY]},
        {"name": REMOVED_TENANT, "apiKeys": [REMOVED_TENANT_KEY], "priority": 0},
    ]


def trial_route(name: str, kind: RequestKind, route_kind: str, **members: Any) -> dict[str, Any]:
    """Returns the route document of a kind of request; `members` are added to it or replace its values."""
    return {
        "name": name,
        "hostname": HOST,
        "pathPrefix": kind.path,
        "routeKind": route_kind,
        "timeoutMs": 10_000,
        "targetLatencyMs": 5000,
        "priority": 1,
        "targetService": "chat" if kind.streams else "lookup",
        "maxAttempts": 2,
        **members,
    }

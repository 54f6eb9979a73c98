"""Costs of the operators' configuration, whole and as a delta, by models, adapters and routes."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

from result import Ok

from arrowfold.configuration.changes import prepare_patch, prepare_put
from arrowfold.configuration.diffs import delta
from arrowfold.configuration.validity import parse_configuration
from arrowfold.dataplane.tables import FleetTables
from arrowfold.internal.codec import encode
from arrowfold.internal.messages import ConfigurationDelta, ConfigurationUpdate, PullResponse
from arrowfold.replication.state import ConfigurationStep, ControlState, apply_entry
from benchmarks.capacity.results import Figures
from benchmarks.capacity.system import target
from benchmarks.capacity.system.measuring import MEGABYTE, MILLISECOND, held_bytes, processor_s
from benchmarks.capacity.system.population import cluster_view, configuration, route

DIGEST = bytes(32)


def document_text(models: int, adapters: int, routes: int, version: int = 1) -> bytes:
    """Returns the JSON text of a configuration of this size."""
    return json.dumps(configuration(models, adapters, routes, version), separators=(",", ":")).encode()


def change_of_one_route(version: int) -> bytes:
    """Returns the body of a PATCH that changes the timeout of one route."""
    changed: dict[str, Any] = {**route(0), "timeoutMs": 10_000 + version}
    return json.dumps({"version": version, "upsert": {"routes": [changed]}}, separators=(",", ":")).encode()


def document(models: int, adapters: int, routes: int, seed: int) -> Figures:
    """Measures one change: checked and committed at the primary, applied at an edge, whole and as a delta."""
    del seed
    text = document_text(models, adapters, routes)
    parsed = parse_configuration(text)
    assert isinstance(parsed, Ok)
    current = parsed.ok_value
    patch = change_of_one_route(2)
    prepared = prepare_patch(current, "1", patch)
    assert isinstance(prepared, Ok)
    changed = prepared.ok_value
    step = delta(current, changed)
    put = json.dumps(
        {**configuration(models, adapters, routes), "version": 2}, separators=(",", ":")
    ).encode()
    entry = ConfigurationStep(2, DIGEST, None, step)
    view = cluster_view(target.CONTROL_MACHINES, target.NODES)
    whole = PullResponse(True, view, {"state": 1}, (ConfigurationUpdate(1, 1, text),))
    tables = FleetTables()
    tables.apply(whole)
    base = tables.snapshot
    delta_update = ConfigurationDelta(2, 1, 2, step)

    def take_whole() -> None:
        FleetTables().apply(whole)

    def take_delta() -> None:
        tables.snapshot = base
        tables.apply(PullResponse(True, view, {"state": 2}, (delta_update,)))

    def tables_with_configuration() -> FleetTables:
        fresh = FleetTables()
        fresh.apply(replace(whole, updates=(ConfigurationUpdate(1, 1, bytes(bytearray(text))),)))
        return fresh

    state = ControlState(configuration=text, configuration_version=1, sequence=1)
    return {
        "whole_bytes": float(len(text)),
        "delta_bytes": float(len(step)),
        "entry_bytes": float(len(encode(entry))),
        "put_ms": processor_s(lambda: prepare_put(current, "1", put)) / MILLISECOND,
        "patch_ms": processor_s(lambda: prepare_patch(current, "1", patch)) / MILLISECOND,
        "write_ms": processor_s(lambda: (changed.to_json(), delta(current, changed))) / MILLISECOND,
        "apply_entry_ms": processor_s(lambda: apply_entry(state, entry)) / MILLISECOND,
        "edge_whole_ms": processor_s(take_whole) / MILLISECOND,
        "edge_delta_ms": processor_s(take_delta) / MILLISECOND,
        "edge_megabytes": held_bytes(tables_with_configuration) / MEGABYTE,
    }

"""Costs of heartbeats and of a control node's registry: processor time, bytes and memory by size."""

from __future__ import annotations

import random
from dataclasses import replace

from result import Ok

from arrowfold.controlplane.registration import parse_registration
from arrowfold.internal.codec import decode, encode
from arrowfold.internal.messages import WorkerRecord, WorkerUpdate
from arrowfold.registry.workers import WorkerRegistry
from benchmarks.capacity.results import Figures
from benchmarks.capacity.system import target
from benchmarks.capacity.system.measuring import (
    MEGABYTE,
    MICROSECOND,
    MILLISECOND,
    held_bytes,
    processor_once_s,
    processor_s,
)
from benchmarks.capacity.system.population import (
    origin_name,
    registration_body,
    worker_record,
    worker_records,
)


def heartbeat(adapters: int, seed: int) -> Figures:
    """Measures one worker's heartbeat with so many adapters on three models."""
    record = worker_record(seed, random.Random(seed), adapters)
    body = registration_body(record)
    parsed = parse_registration(record.instance, body)
    assert isinstance(parsed, Ok)
    update = WorkerUpdate(origin_name(0), 700, parsed.ok_value)
    encoded = encode(update)
    registry = WorkerRegistry(origin_name(0), lambda: 0.0, target.HEARTBEAT_S)
    sequence = 1

    def register_heartbeat() -> None:
        nonlocal sequence
        sequence += 1
        registry.apply_call(replace(record, call_sequence=sequence))

    return {
        "body_bytes": float(len(body)),
        "record_bytes": float(len(encoded)),
        "parse_us": processor_s(lambda: parse_registration(record.instance, body)) / MICROSECOND,
        "heard_us": processor_s(register_heartbeat) / MICROSECOND,
        "encode_us": processor_s(lambda: encode(update)) / MICROSECOND,
        "decode_us": processor_s(lambda: decode(encoded)) / MICROSECOND,
    }


def filled_registry(records: list[WorkerRecord], origins: int = target.CONTROL_MACHINES) -> WorkerRegistry:
    """Returns a registry with its own share of the workers, and the others merged from other origins."""
    registry = WorkerRegistry(origin_name(0), lambda: 0.0, target.HEARTBEAT_S)
    counters: dict[str, int] = {}
    updates = []
    for number, record in enumerate(records):
        origin = origin_name(number % origins)
        if origin == registry.origin:
            registry.apply_call(record)
            continue
        counters[origin] = counters.get(origin, 0) + 1
        updates.append(WorkerUpdate(origin, counters[origin], record))
    registry.merge(tuple(updates), counters)
    return registry


def registry(workers: int, seed: int) -> Figures:
    """Measures the registry of one of eight control nodes with so many workers."""
    records = worker_records(workers, seed)
    filled = filled_registry(records)
    whole = filled.missing({})
    newest = {**filled.vector(), filled.origin: filled.vector()[filled.origin] - 1}
    zone = tuple(update for update in whole if update.record.zone == records[0].zone)
    figures = {
        "megabytes": held_bytes(lambda: filled_registry(worker_records(workers, seed))) / MEGABYTE,
        "sweep_ms": processor_s(lambda: filled.sweep(lambda origin: True)) / MILLISECOND,
        "missing_one_ms": processor_s(lambda: filled.missing(newest)) / MILLISECOND,
        "whole_bytes": float(len(encode(whole))),
        "whole_encode_ms": processor_s(lambda: encode(whole)) / MILLISECOND,
        "zone_bytes": float(len(encode(zone))),
        "zone_records": float(len(zone)),
    }
    counters = filled.vector()

    def empty_registry() -> WorkerRegistry:
        return WorkerRegistry(origin_name(9_999), lambda: 0.0, target.HEARTBEAT_S)

    def prepare() -> object:
        other = empty_registry()
        return lambda: other.merge(whole, counters)

    figures["merge_whole_ms"] = processor_once_s(prepare) / MILLISECOND  # type: ignore[arg-type]
    return figures

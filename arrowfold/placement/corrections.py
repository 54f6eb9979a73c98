"""Corrected records of workers: what the owner of the placement knows ahead of the next heartbeat."""

from __future__ import annotations

import math
from dataclasses import replace

from arrowfold.internal.messages import ArrivingModel, HeldModel, WorkerRecord
from arrowfold.placement.orders import Operation
from arrowfold.placement.worker_state import OrderPhase, WorkerState


def corrected_record(record: WorkerRecord, worker: WorkerState) -> WorkerRecord | None:
    """The record as it should read, numbered as the next correction; None if it reads so already."""
    models = _ready_models(record, worker)
    arriving = _arriving(worker)
    if _as_sets(models) == _as_sets(record.models) and _names(arriving) == _names(record.arriving):
        return None
    return replace(record, models=models, arriving=arriving, correction=record.correction + 1)


def _ready_models(record: WorkerRecord, worker: WorkerState) -> tuple[HeldModel, ...]:
    versions = {model.name: model.version for model in record.models}
    return tuple(
        HeldModel(name, versions.get(name, 1), _ready_adapters(worker, name))
        for name in sorted(worker.holdings)
        if worker.holds(name)
    )


def _ready_adapters(worker: WorkerState, model: str) -> tuple[str, ...]:
    return tuple(name for name in sorted(worker.holdings[model].adapters) if worker.holds(model, name))


def _arriving(worker: WorkerState) -> tuple[ArrivingModel, ...]:
    pending = worker.pending
    if pending is None or pending.phase is not OrderPhase.RUNNING:
        return ()
    if pending.order.operation is not Operation.LOAD or math.isinf(pending.expected_done_s):
        return ()
    ready_in_s = pending.expected_done_s - pending.accepted_s
    return (ArrivingModel(pending.order.model, pending.order.adapter, ready_in_s),)


def _as_sets(models: tuple[HeldModel, ...]) -> dict[str, frozenset[str]]:
    return {model.name: frozenset(model.adapters) for model in models}


def _names(arriving: tuple[ArrivingModel, ...]) -> set[tuple[str, str]]:
    return {(model.model, model.adapter) for model in arriving}

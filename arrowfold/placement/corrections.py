"""Corrections of worker records: state that the placement owner knows before the next heartbeat."""

from __future__ import annotations

import math
from collections.abc import Iterable

from arrowfold.internal.messages import ArrivingModel, HeldModel, WorkerCorrection, WorkerRecord
from arrowfold.placement.orders import Operation
from arrowfold.placement.worker_state import OrderPhase, WorkerState


def correction_of(record: WorkerRecord, worker: WorkerState, now_s: float) -> WorkerCorrection | None:
    """Returns the corrected state of a worker.

    None if the record is correct, nothing is being loaded and the worker is not failing.
    """
    models = _ready_models(record, worker)
    arriving = _arriving(worker, now_s)
    troubled = worker.is_failing
    if not (arriving or troubled) and _as_sets(models) == _as_sets(record.models):
        return None
    return WorkerCorrection(record.instance, models, arriving, troubled)


def same_corrections(first: Iterable[WorkerCorrection], second: Iterable[WorkerCorrection]) -> bool:
    """Returns True if both are equal, apart from the remaining times of loads."""
    return {_comparable(item) for item in first} == {_comparable(item) for item in second}


def _comparable(correction: WorkerCorrection) -> tuple[object, ...]:
    arriving = tuple((item.model, item.adapter) for item in correction.arriving)
    return correction.instance, correction.models, arriving, correction.troubled


def _ready_models(record: WorkerRecord, worker: WorkerState) -> tuple[HeldModel, ...]:
    versions = {model.name: model.version for model in record.models}
    return tuple(
        HeldModel(name, versions.get(name, 1), _ready_adapters(worker, name))
        for name in sorted({*worker.holdings, worker.loading_model() or ""})
        if worker.holds(name)
    )


def _ready_adapters(worker: WorkerState, model: str) -> tuple[str, ...]:
    holding = worker.holdings.get(model)
    if holding is None:
        return ()
    return tuple(name for name in sorted(holding.adapters) if worker.holds(model, name))


def _arriving(worker: WorkerState, now_s: float) -> tuple[ArrivingModel, ...]:
    pending = worker.pending
    if pending is None or pending.phase is not OrderPhase.RUNNING or pending.is_presumed_done:
        return ()
    if pending.order.operation is not Operation.LOAD or math.isinf(pending.expected_done_s):
        return ()
    ready_in_s = max(0.0, pending.expected_done_s - now_s)
    return (ArrivingModel(pending.order.model, pending.order.adapter, ready_in_s),)


def _as_sets(models: tuple[HeldModel, ...]) -> dict[str, frozenset[str]]:
    return {model.name: frozenset(model.adapters) for model in models}

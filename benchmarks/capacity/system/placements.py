"""Costs of a service's placement owner by workers and models: planning steps, demand reports, memory."""

from __future__ import annotations

import random
import time

from arrowfold.configuration.json_text import read_object
from arrowfold.internal.codec import decode, encode
from arrowfold.internal.messages import ClassDemand, DemandReport, WorkerRecord
from arrowfold.placement.catalogue import ModelCatalogue, parse_catalogue
from arrowfold.placement.ceiling import LoadRateLimiter
from arrowfold.placement.orders import WorkerReport
from arrowfold.placement.placer import ServicePlacer
from benchmarks.capacity.results import Figures
from benchmarks.capacity.system import target
from benchmarks.capacity.system.documents import document_text
from benchmarks.capacity.system.measuring import MEGABYTE, MICROSECOND, MILLISECOND, held_bytes, processor_s
from benchmarks.capacity.system.population import (
    SERVICE,
    adapter_name,
    edge_identity,
    model_name,
    worker_records,
)

WINDOW_S = 5.0
OVERAGE = 1.1
RUN_S = 4.0
LEAST_LOAD_RATE_S = target.LOADS_PER_HOUR / 3_600
ASKED_SHARE = 0.1  # share of the classes that get requests


def model_catalogue(models: int) -> ModelCatalogue:
    """Returns the service's catalogue from a configuration of so many models."""
    document = read_object(document_text(models, target.ADAPTERS, 1)).ok()
    assert document is not None
    found = parse_catalogue(document["services"][0])
    assert found is not None
    return found


def demand_report(edge: int, classes: int, draw: random.Random) -> DemandReport:
    """Draws one edge's report of half a second, with one request for each of so many classes."""
    adapters_per_model = target.ADAPTERS // target.MODELS
    demand = tuple(
        ClassDemand(
            SERVICE,
            model_name(draw.randrange(target.MODELS)),
            adapter_name(draw.randint(1, adapters_per_model)),
            1.0,
            RUN_S,
        )
        for _ in range(classes)
    )
    return DemandReport(edge_identity(edge), target.REPORT_INTERVAL_S, demand)


def settled_placer(records: list[WorkerRecord], now_s: float) -> ServicePlacer:
    """Returns an owner that has processed every worker's report and has no demand."""
    ceiling = LoadRateLimiter(LEAST_LOAD_RATE_S, WINDOW_S, OVERAGE, now_s - 60.0)
    placer = ServicePlacer(model_catalogue(target.MODELS), ceiling)
    placer.apply_workers(records, now_s)
    for record in records:
        placer.report_answered(record.instance, WorkerReport(record.models, False, 0), now_s)
    return placer


def _apply_demand(placer: ServicePlacer, draw: random.Random, now_s: float) -> None:
    """Applies one demand report from each edge, with the edge's share of the requests."""
    for edge in range(target.NODES):
        placer.apply_demand(demand_report(edge, 2, draw), now_s)


def quiet_plan(workers: int, seed: int) -> Figures:
    """Measures the steps without demand: applying the list of workers, and a plan with nothing to do."""
    records = worker_records(workers, seed)
    placer = settled_placer(records, 100.0)
    return {
        "apply_workers_ms": processor_s(lambda: placer.apply_workers(records, 100.0)) / MILLISECOND,
        "quiet_ms": processor_s(lambda: placer.actions(100.0)) / MILLISECOND,
        "corrections_ms": processor_s(lambda: placer.corrections(100.0)) / MILLISECOND,
        "megabytes": held_bytes(lambda: settled_placer(records, 100.0)) / MEGABYTE,
    }


def busy_plan(workers: int, seed: int) -> Figures:
    """Measures two planning steps with demand for many classes, most of which are loaded nowhere."""
    records = worker_records(workers, seed)
    placer = settled_placer(records, 100.0)
    _apply_demand(placer, random.Random(seed), 100.0)
    started = time.process_time()
    placer.actions(100.1)
    first_s = time.process_time() - started
    started = time.process_time()
    placer.actions(100.2)
    return {
        "step_ms": first_s / MILLISECOND,
        "next_step_ms": (time.process_time() - started) / MILLISECOND,
    }


def reports(classes: int, seed: int) -> Figures:
    """Measures one edge's demand report with so many classes."""
    draw = random.Random(seed)
    report = demand_report(1, classes, draw)
    encoded = encode(report)
    placer = settled_placer(worker_records(10, seed), 100.0)
    return {
        "report_bytes": float(len(encoded)),
        "encode_us": processor_s(lambda: encode(report)) / MICROSECOND,
        "decode_us": processor_s(lambda: decode(encoded)) / MICROSECOND,
        "apply_us": processor_s(lambda: placer.apply_demand(report, 100.0)) / MICROSECOND,
    }

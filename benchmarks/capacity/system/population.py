"""Generates workers, members and configurations of any size from a seed."""

from __future__ import annotations

import json
import random
from typing import Any

from arrowfold.internal.messages import (
    ClusterView,
    HeldModel,
    MemberInfo,
    NodeIdentity,
    RoleOwner,
    WorkerRecord,
)
from benchmarks.capacity.system import target

SERVICE = "llm-pool"
MODEL_MEGABYTES = 72_700.0


def model_name(number: int) -> str:
    """Returns a model's name, ten characters long as in the known deployments."""
    return f"mo{number:08x}"


def adapter_name(number: int) -> str:
    """Returns the name of a model's adapter, counted from 1."""
    return f"a{number}"


def zone_name(number: int) -> str:
    """Returns the name of a zone."""
    return f"zone-{number % target.ZONES:02d}"


def adapters_per_model_of(adapters: int, models: int) -> int:
    """Returns the number of adapters per model, at least one."""
    return max(1, adapters // models)


def held_models(
    draw: random.Random, models: int = target.MODELS_PER_WORKER, adapters: int = target.ADAPTERS_PER_WORKER
) -> tuple[HeldModel, ...]:
    """Draws the models of one worker, with so many adapters in all."""
    names = draw.sample(range(target.MODELS), models)
    adapters_per_model = adapters_per_model_of(target.ADAPTERS, target.MODELS)
    held = []
    for position, number in enumerate(names):
        count = adapters // models + (1 if position < adapters % models else 0)
        chosen = sorted(draw.sample(range(1, adapters_per_model + 1), min(count, adapters_per_model)))
        held.append(HeldModel(model_name(number), 1, tuple(adapter_name(adapter) for adapter in chosen)))
    return tuple(held)


def worker_address(number: int) -> str:
    """Returns a worker's address on loopback, so that real control nodes can call it."""
    return f"127.{30 + number // 62_500}.{number // 250 % 250}.{number % 250 + 1}:8080"


def worker_record(
    number: int, draw: random.Random, adapters: int = target.ADAPTERS_PER_WORKER
) -> WorkerRecord:
    """Draws the record of one worker."""
    return WorkerRecord(
        instance=f"i-{draw.getrandbits(32):08x}",
        service=SERVICE,
        address=worker_address(number),
        zone=zone_name(number),
        version="v1",
        capacity_slots=64,
        state="available",
        models=held_models(draw, adapters=adapters),
        call_sequence=1,
    )


def worker_records(workers: int, seed: int) -> list[WorkerRecord]:
    """Draws the records of so many workers."""
    draw = random.Random(seed)
    return [worker_record(number, draw) for number in range(workers)]


def registration_body(record: WorkerRecord) -> bytes:
    """Returns the body of a heartbeat with this record."""
    models = [
        {"name": held.name, "version": held.version, "adapters": list(held.adapters)}
        for held in record.models
    ]
    body = {
        "targetService": record.service,
        "address": record.address,
        "zone": record.zone,
        "version": record.version,
        "capacitySlots": record.capacity_slots,
        "state": record.state,
        "coldLeftMs": 0,
        "stage": record.stage,
        "models": models,
        "callSeq": record.call_sequence,
    }
    return json.dumps(body, separators=(",", ":")).encode()


def member_name(number: int) -> str:
    """Returns a control node's identity: 16 hexadecimal digits."""
    return f"{number:016x}"


def origin_name(number: int) -> str:
    """Returns the origin name of one incarnation of a control node."""
    return f"{member_name(number)}.{number % 0x1000000:06x}"


def cluster_view(members: int, edges: int) -> ClusterView:
    """Returns the group's view as pulls carry it."""
    infos = tuple(
        MemberInfo(
            member_name(n), f"core-{zone_name(n)}-{n}", f"10.1.{n}.35:7660", f"10.1.{n}.35:8146", zone_name(n)
        )
        for n in range(members)
    )
    roles = (RoleOwner(f"placement/{SERVICE}", member_name(0), 1),)
    return ClusterView(3, member_name(0), infos, edges, roles)


def edge_identity(number: int) -> NodeIdentity:
    """Returns the identity that an edge node sends."""
    zone = zone_name(number)
    return NodeIdentity(
        f"edge-{zone}-{number}", member_name(number), zone, f"10.2.{number % 256}.35:7660", ("edge",)
    )


def vector(origins: int) -> dict[str, int]:
    """Returns a version vector with so many origins besides the replicated state."""
    return {"state": 1_500, **{origin_name(n): 700 + n for n in range(origins)}}


def route(number: int, service: str = SERVICE) -> dict[str, Any]:
    """Returns a route with all its fields."""
    return {
        "name": f"r-{number:07x}",
        "hostname": "models.example",
        "pathPrefix": f"/p{number:06x}/",
        "routeKind": "streaming",
        "timeoutMs": 15_000,
        "targetLatencyMs": 1_600,
        "priority": number % 3,
        "targetService": service,
        "maxAttempts": 2,
        "sessionAffinity": True,
        "resumable": True,
        "gap_aim_ms": 78,
    }


def configuration(models: int, adapters: int, routes: int, version: int = 1) -> dict[str, Any]:
    """Returns a whole configuration with one service."""
    per_model = adapters_per_model_of(adapters, models)
    listed = [
        {
            "name": model_name(n),
            "weightsMb": MODEL_MEGABYTES,
            "loadTimeS": 3.2,
            "adapters": per_model,
            "adapterSizeMb": 66.0,
        }
        for n in range(models)
    ]
    engine = {
        "capacitySlots": 64,
        "kvCacheTokens": 256_290,
        "kvTokenBytes": 163_840,
        "linkMbps": 180_000.0,
        "stride": target.TOKENS_PER_EVENT,
        "models": listed,
        "weightsMb": 230_000.0,
        "adapterCapacity": target.ADAPTERS_PER_WORKER,
        "loadRateS": 2.1,
    }
    service = {"name": SERVICE, "healthPath": "/healthz", "maxConnections": 360, "engine": engine}
    limits = {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 4_194_304,
        "headerTimeoutMs": 3_000,
        "idleTimeoutMs": 15_000,
    }
    return {
        "version": version,
        "routes": [route(n) for n in range(routes)],
        "services": [service],
        "limits": limits,
    }

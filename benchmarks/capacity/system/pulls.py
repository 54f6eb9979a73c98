"""Costs of pulls between edges and control nodes: codec, one change to many edges, an edge's tables."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace

from result import Result

from arrowfold.controlplane.distribution import MAX_ANSWER_SPACING_S, Distributor
from arrowfold.controlplane.placement_notices import PlacementNotices
from arrowfold.controlplane.presence import EdgePresence
from arrowfold.dataplane.tables import FleetTables
from arrowfold.internal.codec import decode, encode
from arrowfold.internal.messages import (
    STATE_ORIGIN,
    ConfigurationUpdate,
    MemberInfo,
    PullRequest,
    PullResponse,
    WorkerRecord,
    WorkerUpdate,
    view_checksum,
)
from arrowfold.replication.proposals import AnswerT, Decide, ReplicaPort, ReplicationFault
from arrowfold.replication.state import ControlState
from benchmarks.capacity.results import Figures
from benchmarks.capacity.system import target
from benchmarks.capacity.system.documents import document_text
from benchmarks.capacity.system.measuring import MEGABYTE, MICROSECOND, MILLISECOND, held_bytes, processor_s
from benchmarks.capacity.system.population import (
    cluster_view,
    edge_identity,
    member_name,
    origin_name,
    vector,
    worker_records,
)
from benchmarks.capacity.system.registries import filled_registry

FRAME_BYTES = 4 + 6  # the frame's length field, and its header
EDGE_EXPIRY_S = 3_600.0
SEQUENTIAL_CHANGES = 10  # changes made one after the other
BURST = 20  # changes made at once


def rest_bytes(origins: int) -> int:
    """Returns the bytes of one pull without updates, in both directions, without framing."""
    request = PullRequest(edge_identity(7), vector(origins), target.EDGE_PULL_S)
    response = PullResponse(True, cluster_view(target.CONTROL_MACHINES, target.NODES), vector(origins))
    return len(encode(request)) + len(encode(response))


def pull(origins: int, seed: int) -> Figures:
    """Measures one pull without updates, by the length of the version vector."""
    del seed
    request = PullRequest(edge_identity(7), vector(origins), target.EDGE_PULL_S)
    response = PullResponse(True, cluster_view(target.CONTROL_MACHINES, target.NODES), vector(origins))
    sent, answered = encode(request), encode(response)
    codec_s = (
        processor_s(lambda: encode(request))
        + processor_s(lambda: decode(sent))
        + processor_s(lambda: encode(response))
        + processor_s(lambda: decode(answered))
    )
    return {
        "request_bytes": float(len(sent) + FRAME_BYTES),
        "response_bytes": float(len(answered) + FRAME_BYTES),
        "codec_us": codec_s / MICROSECOND,
        "server_us": (processor_s(lambda: decode(sent)) + processor_s(lambda: encode(response)))
        / MICROSECOND,
    }


class FixedReplica:
    """A member with a fixed committed state, which is always the primary."""

    def __init__(self, members: int) -> None:
        self.committed = ControlState(sequence=1_500)
        self.member = member_name(0)
        self.epoch = 3
        self._members = cluster_view(members, 0).members

    def members(self) -> tuple[MemberInfo, ...]:
        """Returns the whole group."""
        return self._members

    def primary(self) -> MemberInfo | None:
        """Returns the first member."""
        return self._members[0]

    def is_primary(self) -> bool:
        """Returns True."""
        return True

    def is_current(self) -> bool:
        """Returns True."""
        return True

    def state_age_s(self) -> float | None:
        """Returns 0: the state is current."""
        return 0.0

    async def propose(self, decide: Decide[AnswerT]) -> Result[AnswerT, ReplicationFault]:
        """Raises NotImplementedError, since the benchmarks propose nothing."""
        raise NotImplementedError


def _changed(record: WorkerRecord) -> WorkerRecord:
    return replace(record, capacity_slots=record.capacity_slots + 1, call_sequence=record.call_sequence + 1)


async def answer_all(
    edges: int, records: list[WorkerRecord], changes: int, together: bool, notice_only: bool = False
) -> Figures:
    """Makes changes at one control node and answers all edges.

    With `together` all changes come at once; with `notice_only` the answers carry no updates.
    """
    registry = filled_registry(records)
    presence = EdgePresence(time.monotonic, EDGE_EXPIRY_S)
    replica: ReplicaPort = FixedReplica(target.CONTROL_MACHINES)
    notices = PlacementNotices(lambda: None, time.monotonic)
    distributor = Distributor(replica, registry, presence, lambda: (), notices)
    sent = answers = 0
    vectors = [distributor.vector() for _ in range(edges)]
    known_view = view_checksum(distributor.view())

    async def follow(edge: int) -> None:
        nonlocal sent, answers
        while True:
            request = PullRequest(
                edge_identity(edge), vectors[edge], target.EDGE_PULL_S, notice_only, known_view
            )
            answer = await distributor.pull(request)
            sent += len(encode(answer))
            answers += 1
            vectors[edge] = answer.vector

    tasks = [asyncio.create_task(follow(edge)) for edge in range(edges)]
    await asyncio.sleep(0)
    sent = answers = 0
    own = [record for record in records if registry.records()[record.instance] is record][:changes]
    started = time.process_time()
    for record in own:
        registry.apply_call(_changed(record))
        distributor.wake()
        if not together:
            await _settle()
    await _settle()
    used_s = time.process_time() - started
    for task in tasks:
        task.cancel()
    count = len(own)
    return {
        "change_ms": used_s / count / MILLISECOND,
        "answers_a_change": answers / count,
        "bytes_a_change": sent / count,
    }


async def _settle() -> None:
    """Waits until all changes are answered; an answer may be delayed by the spacing after the last one."""
    await asyncio.sleep(MAX_ANSWER_SPACING_S)
    for _ in range(6):
        await asyncio.sleep(0)


def distribution(edges: int, workers: int, seed: int) -> Figures:
    """Measures worker updates to edges with pending pulls at one control node: sequential, then at once."""
    records = worker_records(workers, seed)
    apart = asyncio.run(answer_all(edges, records, SEQUENTIAL_CHANGES, together=False))
    burst = asyncio.run(answer_all(edges, records, BURST, together=True))
    notices = asyncio.run(answer_all(edges, records, SEQUENTIAL_CHANGES, together=False, notice_only=True))
    return {
        **apart,
        "notice_ms": notices["change_ms"],
        "notice_bytes": notices["bytes_a_change"],
        "burst_change_ms": burst["change_ms"],
        "burst_answers_a_change": burst["answers_a_change"],
    }


def first_answer(records: list[WorkerRecord]) -> PullResponse:
    """Returns the answer to an edge without any state: the configuration and all workers."""
    registry = filled_registry(records)
    document = document_text(target.MODELS, target.ADAPTERS, target.ROUTES)
    counters = {**registry.vector(), STATE_ORIGIN: 1}
    whole = ConfigurationUpdate(1, 1, document)
    view = cluster_view(target.CONTROL_MACHINES, target.NODES)
    return PullResponse(True, view, counters, (whole, *registry.missing({})))


def edge_tables(workers: int, seed: int) -> Figures:
    """Measures an edge's tables: the first answer, an answer without updates, one change, memory."""
    records = worker_records(workers, seed)
    first = first_answer(records)
    encoded = encode(first)
    tables = FleetTables()
    tables.apply(first)
    idle = PullResponse(True, first.view, first.vector)
    changed = _changed(records[0])

    def take_change() -> None:
        nonlocal changed
        changed = replace(changed, call_sequence=changed.call_sequence + 1)
        update = WorkerUpdate(origin_name(0), changed.call_sequence, changed)
        tables.apply(PullResponse(True, first.view, first.vector, (update,)))

    def take_first() -> FleetTables:
        empty = FleetTables()
        empty.apply(first)
        return empty

    def decoded_tables() -> Callable[[], object]:
        fresh = FleetTables()
        fresh.apply(decode(encoded))
        return lambda: fresh

    return {
        "first_bytes": float(len(encoded)),
        "first_ms": (processor_s(lambda: decode(encoded)) + processor_s(take_first)) / MILLISECOND,
        "idle_us": processor_s(lambda: tables.apply(idle)) / MICROSECOND,
        "change_us": processor_s(take_change) / MICROSECOND,
        "megabytes": held_bytes(decoded_tables) / MEGABYTE,
    }

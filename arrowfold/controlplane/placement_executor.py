"""Executes the decisions of the placement: sends orders to workers and reads their reports, under a lease.

An order is sent only while the lease has enough time left for it to arrive. A connection that gave no answer
is reset, which drops bytes that are still in flight; a later owner starts only after that time.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

import aiohttp
from loguru import logger

from arrowfold.controlplane.client_sessions import resetting_session
from arrowfold.internal.messages import DemandReport, HeldModel, WorkerCorrection, WorkerRecord
from arrowfold.node.settings import Bounds
from arrowfold.node.traces import TraceWriter
from arrowfold.placement.catalogue import ModelCatalogue
from arrowfold.placement.ceiling import MAX_ORDER_DELAY_S, LoadRateLimiter
from arrowfold.placement.corrections import same_corrections
from arrowfold.placement.load_trace import KIND as LOAD_KIND
from arrowfold.placement.options import PlacementOptions
from arrowfold.placement.orders import (
    Action,
    Operation,
    Order,
    OrderAnswer,
    ReadReport,
    SendOrder,
    WorkerReport,
)
from arrowfold.placement.placer import ServicePlacer

CONNECT_TIMEOUT_S = 0.5
ANSWER_TIMEOUT_S = MAX_ORDER_DELAY_S
MIN_LEASE_REMAINING_S = (
    0.15  # remaining lease time required to send an order, so that it arrives under the lease
)
UNLOAD_NOTICE_S = 0.02  # edges are notified of an unload this long before the worker gets the order
IDLE_CONNECTION_TIMEOUT_S = 2.0  # long enough to reuse the connection for the next report of a chain
CORRECTION_RENEWAL_INTERVAL_S = 1.0  # edges drop corrections that are not renewed for some seconds
MIN_WAIT_S = 0.005
PAUSE_TO_STEP_RATIO = 3.0  # limits planning to a quarter of the processor time
MAX_PAUSE_AFTER_STEP_S = 0.05
ATTEMPT_ID_HEADER = "X-Attempt-Id"
_ANSWER_BY_STATUS = {
    200: OrderAnswer.ALREADY,
    202: OrderAnswer.ACCEPTED,
    409: OrderAnswer.CONFLICT,
    412: OrderAnswer.FENCED,
    421: OrderAnswer.MISDIRECTED,
}


class RoleLease(Protocol):
    """Ownership of a role by this node."""

    @property
    def token(self) -> int:
        """Fencing token, higher than that of every earlier owner."""

    @property
    def holder(self) -> str:
        """Name of the owner that is sent with its orders."""

    def is_tenured(self) -> bool:
        """Returns whether, as far as this node knows, it still holds the role under this token."""

    def remaining_s(self) -> float:
        """Returns for how long this node is certain to have authority.

        0 while it has none, for example during a change of the primary.
        """


class PlacementPorts(Protocol):
    """Interface of the control plane to the executor."""

    def workers(self) -> Iterable[WorkerRecord]:
        """Returns all known workers."""

    def catalogue(self, service: str) -> ModelCatalogue | None:
        """Returns the model catalogue of a service from the current configuration."""

    def publish(self, service: str, token: int, corrections: tuple[WorkerCorrection, ...]) -> None:
        """Distributes the corrections to all edges, replacing the previous ones."""


@dataclass(frozen=True, slots=True)
class WorkerSessions:
    """Client sessions for calls to workers, whose connections are reset on close.

    An order has a connection of its own: an answer that a worker sends twice may arrive in the place of the
    next one on its connection, where nothing tells it from the answer to the order. A report that arrives in
    the place of a later one is only older, which its revision shows.
    """

    orders: aiohttp.ClientSession
    reports: aiohttp.ClientSession

    async def close(self) -> None:
        """Close all connections."""
        await self.orders.close()
        await self.reports.close()


def open_worker_sessions() -> WorkerSessions:
    """Returns the client sessions for orders and reports."""
    return WorkerSessions(
        orders=resetting_session(CONNECT_TIMEOUT_S, ANSWER_TIMEOUT_S, None),
        reports=resetting_session(CONNECT_TIMEOUT_S, ANSWER_TIMEOUT_S, IDLE_CONNECTION_TIMEOUT_S),
    )


class PlacementExecutor:
    """Runs the placement of one service for the duration of one tenure of its role.

    Before this node has authority under the role, the executor already collects demand and reads reports, so
    that it can plan as soon as it has authority.
    """

    def __init__(
        self,
        service: str,
        lease: RoleLease,
        ports: PlacementPorts,
        bounds: Bounds,
        sessions: WorkerSessions,
        clock: Callable[[], float],
        options: PlacementOptions | None = None,
        traces: TraceWriter | None = None,
    ) -> None:
        """Creates an executor; `traces` receives a record of each load."""
        self._options = options or PlacementOptions()
        self._traces = traces
        self._service = service
        self._lease = lease
        self._ports = ports
        self._bounds = bounds
        self._sessions = sessions
        self._clock = clock
        self._changed = asyncio.Event()
        self._placer: ServicePlacer | None = None
        self._published: tuple[WorkerCorrection, ...] | None = None  # None: the previous owner's apply
        self._published_s = -math.inf
        self._tasks: set[asyncio.Task[None]] = set()

    def wake(self) -> None:
        """Triggers a step after a change of the workers or of the configuration."""
        self._changed.set()

    def take_demand(self, report: DemandReport) -> None:
        """Applies a demand report of an edge."""
        if self._placer is not None:
            self._placer.apply_demand(report, self._clock())
            self._changed.set()

    async def run(self) -> None:
        """Runs until the lease is lost or a worker reports a later owner."""
        try:
            while self._lease.is_tenured() and not (self._placer and self._placer.fenced):
                started_s = self._clock()
                self._step()
                await asyncio.sleep(
                    min(MAX_PAUSE_AFTER_STEP_S, PAUSE_TO_STEP_RATIO * (self._clock() - started_s))
                )
                await self._wait_for_change()
        finally:
            await self._cancel_tasks()

    def _step(self) -> None:
        catalogue = self._ports.catalogue(self._service)
        if catalogue is None:
            return
        now_s = self._clock()
        if self._placer is None:
            ceiling = LoadRateLimiter(
                catalogue.load_rate_per_s, self._bounds.ceilingWindowS, self._bounds.ceilingOverage, now_s
            )
            self._placer = ServicePlacer(catalogue, ceiling, self._options)
        self._placer.apply_catalogue(catalogue)
        self._placer.apply_workers(self._ports.workers(), now_s)
        can_order = self._lease.remaining_s() >= MIN_LEASE_REMAINING_S
        actions = self._placer.actions(now_s, can_order)
        self._publish(self._placer.corrections(now_s))
        for action in actions:
            self._start_action(self._placer, action)
        self._write_traces(self._placer)

    def _write_traces(self, placer: ServicePlacer) -> None:
        if self._traces is None:
            return
        for trace in placer.take_load_traces():
            self._traces.write(LOAD_KIND, trace.record())

    def _publish(self, corrections: tuple[WorkerCorrection, ...]) -> None:
        now_s = self._clock()
        is_renewal_due = bool(corrections) and now_s - self._published_s >= CORRECTION_RENEWAL_INTERVAL_S
        if is_renewal_due or self._published is None or not same_corrections(corrections, self._published):
            self._published, self._published_s = corrections, now_s
            self._ports.publish(self._service, self._lease.token, corrections)

    def _start_action(self, placer: ServicePlacer, action: Action) -> None:
        execution = self._execute(placer, action)
        task = asyncio.get_running_loop().create_task(execution)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _execute(self, placer: ServicePlacer, action: Action) -> None:
        if isinstance(action, SendOrder):
            answer = await self._send_order(action.order)
            self._log_answer(action.order, answer)
            placer.order_answered(action.order, answer, self._clock())
        else:
            report = await self._read_report(action)
            placer.report_answered(action.instance, report, self._clock())
        self._changed.set()

    async def _wait_for_change(self) -> None:
        now_s = self._clock()
        wakeup_s = self._placer.next_wakeup_s(now_s) if self._placer else now_s + ANSWER_TIMEOUT_S
        wait_s = max(MIN_WAIT_S, wakeup_s - now_s)
        try:
            async with asyncio.timeout(wait_s):
                await self._changed.wait()
        except TimeoutError:
            pass
        self._changed.clear()

    async def _cancel_tasks(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send_order(self, order: Order) -> OrderAnswer:
        if order.operation is Operation.UNLOAD:
            await asyncio.sleep(UNLOAD_NOTICE_S)
        if self._lease.remaining_s() < MIN_LEASE_REMAINING_S:
            return OrderAnswer.UNSENT
        try:
            async with self._sessions.orders.post(
                f"http://{order.address}/order",
                json=order_body(order, self._lease),
                headers={"X-Target-Instance": order.instance},
            ) as response:
                await response.read()
                if _is_for_request(response):
                    return OrderAnswer.UNANSWERED
                return _ANSWER_BY_STATUS.get(response.status, OrderAnswer.REFUSED)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return OrderAnswer.UNSENT
        except (aiohttp.ClientError, TimeoutError, OSError):
            return OrderAnswer.UNANSWERED

    async def _read_report(self, action: ReadReport) -> WorkerReport | None:
        try:
            async with self._sessions.reports.get(
                f"http://{action.address}/report", headers={"X-Target-Instance": action.instance}
            ) as response:
                if response.status != 200 or _is_for_request(response):
                    return None
                return parse_report(await response.json(content_type=None))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError, TypeError):
            return None

    def _log_answer(self, order: Order, answer: OrderAnswer) -> None:
        logger.debug(
            "order {} {} {} at {} revision {}: {}",
            order.operation.value,
            order.model,
            order.adapter,
            order.instance,
            order.if_revision,
            answer.value,
        )


def _is_for_request(response: aiohttp.ClientResponse) -> bool:
    """Whether a worker's answer is one to a client's request, which alone have an attempt id."""
    return ATTEMPT_ID_HEADER in response.headers


def order_body(order: Order, lease: RoleLease) -> dict[str, str | int]:
    """Returns the JSON body of `POST /order`."""
    body: dict[str, str | int] = {"operation": order.operation.value, "model": order.model}
    if order.adapter:
        body["adapter"] = order.adapter
    body["ifRevision"] = order.if_revision
    body["holder"] = lease.holder
    body["fenceToken"] = lease.token
    return body


def parse_report(document: dict[str, Any]) -> WorkerReport:
    """Parses the JSON document of `GET /report`.

    Raises KeyError, TypeError or ValueError if the document is malformed.
    """
    models = tuple(
        HeldModel(str(model["name"]), int(model.get("version", 1)), tuple(model.get("adapters", ())))
        for model in document["models"]
    )
    return WorkerReport(
        models=models,
        busy=bool(document["busy"]),
        revision=int(document["callSeq"]),
        queued=int(document.get("queued", 0)),
        active=int(document.get("active", 0)),
        kv_used=int(document.get("kvUsed", 0)),
        kv_total=int(document.get("kvTotal", 0)),
    )

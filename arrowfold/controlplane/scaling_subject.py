"""Orders the workers of one service in one zone for the duration of one tenure of that duty."""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Callable
from dataclasses import dataclass

from arrowfold.controlplane.duty_pace import CallRateLimiter
from arrowfold.controlplane.placement_executor import RoleLease
from arrowfold.controlplane.platform_client import DutyAnswer, DutyCall, DutyPlatform
from arrowfold.node.logs import RateLimitedLog
from arrowfold.scaling.options import ScalingOptions
from arrowfold.scaling.zone_scaler import Reason, Situation, TargetCount, ZoneScaler

SCALING_PATH = "/scaling"
MIN_LEASE_REMAINING_S = 0.3  # required to make a call, so that it arrives under the lease
RETRY_DELAY_S = 1.0  # after a call that was not accepted, or whose answer was lost
REFUSED_RETRY_DELAY_S = 10.0  # after any other refusal, which gives no sign that it ends soon


@dataclass(frozen=True, slots=True)
class ServiceZone:
    """The service and zone of one duty."""

    service: str
    zone: str


@dataclass(frozen=True, slots=True)
class ScalingPorts:
    """Dependencies that all tenures share. `holder`: name of this node."""

    platform: DutyPlatform
    rate_limiter: CallRateLimiter
    holder: str
    clock: Callable[[], float]
    log: RateLimitedLog


class ScalingTenure:
    """One tenure of a duty: calls the platform when the wanted worker count changes, one call at a time.

    A call sets an absolute count, so a call whose answer was lost may be followed by any other one. After a
    409 no further calls are made, because the current holder of the duty has a higher token.
    """

    def __init__(
        self, service_zone: ServiceZone, lease: RoleLease, ports: ScalingPorts, options: ScalingOptions
    ) -> None:
        """Creates a tenure; `lease`: ownership of the duty by this node."""
        self._service_zone = service_zone
        self._lease = lease
        self._ports = ports
        self._scaler = ZoneScaler(options)
        self._call: asyncio.Task[None] | None = None
        self._next_call_s = -math.inf
        self._has_unconfirmed_call = False  # the platform may have accepted a call whose answer was lost
        self.is_fenced = False

    @property
    def token(self) -> int:
        """Fencing token of this tenure."""
        return self._lease.token

    def step(self, situation: Situation) -> None:
        """Evaluates the situation and starts a call if one is due."""
        wanted = self._scaler.evaluate(situation)
        if wanted is None and self._has_unconfirmed_call:
            wanted = TargetCount(self._scaler.count(situation.bounds), Reason.REPEAT)
        if wanted is None or not self._can_call(situation.now_s):
            return
        if self._ports.rate_limiter.try_acquire(situation.now_s):
            self._call = asyncio.get_running_loop().create_task(self._order(wanted))

    def close(self) -> None:
        """Cancels a call in progress."""
        if self._call is not None:
            self._call.cancel()

    def _can_call(self, now_s: float) -> bool:
        is_calling = self._call is not None and not self._call.done()
        if self.is_fenced or is_calling or now_s < self._next_call_s:
            return False
        return self._lease.remaining_s() >= MIN_LEASE_REMAINING_S

    async def _order(self, wanted: TargetCount) -> None:
        answer = await self._ports.platform.send(self._duty_call(wanted))
        self._apply_answer(wanted, answer)
        self._ports.log.info(
            "scaling.ordered",
            holder=self._ports.holder,
            token=self._lease.token,
            service=self._service_zone.service,
            zone=self._service_zone.zone,
            count=wanted.count,
            why=wanted.reason.value,
            answer=answer.value,
        )

    def _duty_call(self, wanted: TargetCount) -> DutyCall:
        document = {
            "targetService": self._service_zone.service,
            "zone": self._service_zone.zone,
            "desiredCount": wanted.count,
        }
        body = json.dumps(document, separators=(",", ":")).encode()
        return DutyCall(SCALING_PATH, body, self._ports.holder, self._lease.token)

    def _apply_answer(self, wanted: TargetCount, answer: DutyAnswer) -> None:
        if answer is DutyAnswer.ACCEPTED:
            self._scaler.accepted(wanted.count)
            self._has_unconfirmed_call = False
            return
        if answer is DutyAnswer.FENCED:
            self.is_fenced = True
            return
        if answer is DutyAnswer.UNANSWERED:
            self._has_unconfirmed_call = True
        delay_s = REFUSED_RETRY_DELAY_S if answer is DutyAnswer.REFUSED else RETRY_DELAY_S
        self._next_call_s = self._ports.clock() + delay_s

"""The stand-in workers of a soak: they come, drain and leave while requests run."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from arrowfold.standins.local_system import LocalSystem
from arrowfold.standins.model_workers import RequestRun, StandInWorker, WorkerProfile
from arrowfold.standins.trial_configuration import MODEL

BEAT_INTERVAL_S = 0.5
SERVES_ON_S = 2.0  # after its notice of leaving was acknowledged
WORK_S = (0.005, 0.05, 0.4)
EVENT_PAUSES_S = (0.1, 0.6, 0.6)  # in turn: the longer streams outlive the listener of an edge that ends
SLOTS = 64


@dataclass
class WorkerFleet:
    """Workers of both services; those that left are kept for what they ran."""

    system: LocalSystem
    draw: random.Random
    present: list[StandInWorker] = field(default_factory=list)
    gone: list[StandInWorker] = field(default_factory=list)
    _numbers: int = 0

    async def start(self, count: int) -> None:
        """Start so many, half of them for streams."""
        for number in range(count):
            await self._add(streams=number % 2 == 0)

    async def _add(self, streams: bool) -> None:
        self._numbers += 1
        profile = WorkerProfile(
            f"i-{self._numbers}",
            "chat" if streams else "lookup",
            f"zone-{self._numbers % 3 + 1}",
            streams,
            [MODEL] if streams else [],
            capacity_slots=SLOTS,
            work_s=self.draw.choice(WORK_S),
            event_pause_s=EVENT_PAUSES_S[self._numbers % len(EVENT_PAUSES_S)],
        )
        controls = [self.system.control_address(node) for node in self.system.controls]
        self.draw.shuffle(controls)
        worker = StandInWorker(profile, controls, BEAT_INTERVAL_S)
        await worker.start(self.system.worker_host)
        self.present.append(worker)

    async def replace(self) -> None:
        """A new worker comes, then one of the same service drains and leaves."""
        if not self.present:
            return
        worker = self.draw.choice(self.present)
        self.present.remove(worker)
        await self._add(worker.profile.streams)
        await worker.drain()
        await asyncio.sleep(SERVES_ON_S)
        await worker.leave()
        self.gone.append(worker)

    async def stop(self) -> None:
        """End them all."""
        await asyncio.gather(*(worker.stop() for worker in [*self.present, *self.gone]))

    def runs(self) -> list[RequestRun]:
        """Every run of every worker."""
        return [run for worker in [*self.present, *self.gone] for run in worker.runs]

    def run_counts(self) -> Counter[str]:
        """How often each attempt ran."""
        return Counter(run.attempt for run in self.runs())

"""Control processes with real folders: each has a loopback address of its own, and is ended by its id."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
CONTROL_PORT = 8_146
INTERNAL_PORT = 7_660
GRACE_S = 8.0
POLL_S = 0.02
_SETTINGS = """\
nodeName = "core-{number}"
role = "control"
machineClass = "core"
serves = ["control_plane"]
ipAddress = "{address}"
zone = "zone-{number}"
region = "loopback"
internalPorts = [{internal}, {internal}]
seedNodes = {seeds}
firstStart = {first}
countsForQuorum = true
dataDirectory = "{folder}"

[listenAddresses]
control = "{address}:{control}"

[faultTolerance]
machineLosses = {losses}

[bounds]
graceS = {grace}
"""


@dataclass
class ControlProcess:
    """One control node; `process` is its newest start."""

    number: int
    address: str
    home: Path
    process: subprocess.Popen[bytes] | None = None
    starts: int = 0

    @property
    def url(self) -> str:
        """Where operators call it."""
        return f"http://{self.address}:{CONTROL_PORT}"

    def running(self) -> bool:
        """Whether its process has not ended."""
        return self.process is not None and self.process.poll() is None

    def start(self, seeds: list[str], losses: int, first: bool) -> None:
        """Start it on its folder."""
        self.home.mkdir(exist_ok=True)
        settings = self.home / "boot.toml"
        settings.write_text(
            _SETTINGS.format(
                number=self.number,
                address=self.address,
                internal=INTERNAL_PORT,
                control=CONTROL_PORT,
                seeds=json.dumps(seeds),
                first=str(first).lower(),
                folder=self.home / "data",
                losses=losses,
                grace=GRACE_S,
            )
        )
        self.starts += 1
        environment = {**os.environ, "ARROWFOLD_NODE_FILE": str(settings)}
        command = [sys.executable, "-m", "arrowfold.programs.control", "--log-level=INFO"]
        with (self.home / "log").open("ab") as output:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if it runs."""
        if self.running() and self.process is not None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """SIGKILL, and wait for the end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    async def terminate(self) -> bool:
        """SIGTERM, and SIGKILL after the grace time; whether it ended by itself."""
        self.signal(signal.SIGTERM)
        for _ in range(int(GRACE_S / POLL_S)):
            if not self.running():
                return True
            await asyncio.sleep(POLL_S)
        self.kill()
        return False


@dataclass
class ControlProcesses:
    """All control nodes of one run."""

    folder: Path
    members: int
    losses: int
    network: str = field(default_factory=lambda: f"127.{random.randint(60, 200)}.{random.randint(0, 250)}")
    nodes: list[ControlProcess] = field(default_factory=list)
    _next: int = 0

    def seeds(self) -> list[str]:
        """The control addresses of three nodes."""
        return [f"{node.address}:{CONTROL_PORT}" for node in self.nodes[:3]]

    def add(self) -> ControlProcess:
        """A node with an empty folder, not started."""
        self._next += 1
        node = ControlProcess(
            self._next, f"{self.network}.{self._next % 250 + 1}", self.folder / f"core-{self._next}"
        )
        self.nodes.append(node)
        return node

    def start_all(self) -> None:
        """The first start of the whole system."""
        for _ in range(self.members):
            self.add()
        for node in self.nodes:
            node.start(self.seeds(), self.losses, first=True)

    def restart(self, node: ControlProcess) -> None:
        """Start a node again on its folder, or a new one."""
        node.start(self.seeds(), self.losses, first=False)

    def take_away(self, node: ControlProcess) -> None:
        """A node has ended for good."""
        self.nodes.remove(node)

    def close(self) -> None:
        """End all."""
        for node in self.nodes:
            node.kill()


@contextlib.contextmanager
def control_processes(folder: Path, members: int, losses: int) -> Iterator[ControlProcesses]:
    """A running group; all its processes end with the block."""
    group = ControlProcesses(folder, members, losses)
    try:
        group.start_all()
        yield group
    finally:
        group.close()

"""Control processes with real data folders, each with its own loopback address."""

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
    """One control node; `process` is its most recently started process."""

    number: int
    address: str
    home: Path
    process: subprocess.Popen[bytes] | None = None
    starts: int = 0

    @property
    def url(self) -> str:
        """The base URL of the control API."""
        return f"http://{self.address}:{CONTROL_PORT}"

    def is_running(self) -> bool:
        """Returns whether the process has been started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def start(self, seeds: list[str], losses: int, is_first_start: bool) -> None:
        """Writes the settings and starts the process on its folder; a first start bootstraps the group."""
        self.home.mkdir(exist_ok=True)
        settings = self.home / "boot.toml"
        settings.write_text(
            _SETTINGS.format(
                number=self.number,
                address=self.address,
                internal=INTERNAL_PORT,
                control=CONTROL_PORT,
                seeds=json.dumps(seeds),
                first=str(is_first_start).lower(),
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
        """Sends a signal if the process is running."""
        if self.is_running() and self.process is not None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Sends SIGKILL and waits for the process to end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    async def terminate(self) -> bool:
        """Sends SIGTERM, and SIGKILL after the grace time; returns whether SIGTERM was enough."""
        self.signal(signal.SIGTERM)
        for _ in range(int(GRACE_S / POLL_S)):
            if not self.is_running():
                return True
            await asyncio.sleep(POLL_S)
        self.kill()
        return False


@dataclass
class ControlProcesses:
    """The control nodes of one run, which tolerate the loss of `losses` of them."""

    folder: Path
    members: int
    losses: int
    network: str = field(default_factory=lambda: f"127.{random.randint(60, 200)}.{random.randint(0, 250)}")
    nodes: list[ControlProcess] = field(default_factory=list)
    _last_number: int = 0

    def seeds(self) -> list[str]:
        """Returns the control addresses of the first three nodes."""
        return [f"{node.address}:{CONTROL_PORT}" for node in self.nodes[:3]]

    def add(self) -> ControlProcess:
        """Adds and returns a node with an empty folder, not yet started."""
        self._last_number += 1
        node = ControlProcess(
            self._last_number,
            f"{self.network}.{self._last_number % 250 + 1}",
            self.folder / f"core-{self._last_number}",
        )
        self.nodes.append(node)
        return node

    def start_all(self) -> None:
        """Adds all members and starts them for the first time."""
        for _ in range(self.members):
            self.add()
        for node in self.nodes:
            node.start(self.seeds(), self.losses, is_first_start=True)

    def restart(self, node: ControlProcess) -> None:
        """Starts a node that has ended or was added, without bootstrapping a group."""
        node.start(self.seeds(), self.losses, is_first_start=False)

    def remove_node(self, node: ControlProcess) -> None:
        """Removes a node that has ended permanently."""
        self.nodes.remove(node)

    def close(self) -> None:
        """Kills all processes."""
        for node in self.nodes:
            node.kill()


@contextlib.contextmanager
def control_processes(folder: Path, members: int, losses: int) -> Iterator[ControlProcesses]:
    """Provides a running group, whose processes are killed at the end of the block."""
    group = ControlProcesses(folder, members, losses)
    try:
        group.start_all()
        yield group
    finally:
        group.close()

"""Runs the system's programs as processes on loopback: writes settings files, starts and stops nodes.

Each node has an address of its own in 127.0.0.0/8, as each machine has; all nodes use the same ports.
Processes are stopped by process id.
"""

from __future__ import annotations

import os
import random
import re
import socket
import subprocess
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

CONTROL_NODES = 3
MACHINE_LOSSES = 1
GRACE_S = 6
END_TIMEOUT_S = GRACE_S + 30.0
_PRIMARY_ACTIVE_PATTERN = re.compile(r"event=primary\.active .*\bepoch=(\d+)")
_SETTINGS_TEMPLATE = """\
nodeName = "{name}"
role = "{role}"
machineClass = "{machine_class}"
serves = ["{serves}"]
ipAddress = "{host}"
zone = "zone-{zone}"
region = "loopback"
internalPorts = [{internal_port}, {internal_port}]
seedNodes = [{seeds}]
firstStart = {first_start}
countsForQuorum = {counted}
{data_directory}
beatIntervalMs = 500
contracts = ["base", "drain", "config", "retry", "recover", "tenants", "fleet", "stream", "engine"]

[listenAddresses]
{listen}

[limits]
memoryMb = 300
fileDescriptors = 4096

[faultTolerance]
machineLosses = {losses}

[bounds]
drainMs = 1000
graceS = {grace}
configApplyMs = 2000
contactMs = 2000
"""


@dataclass(frozen=True)
class SystemPorts:
    """The ports that every node uses on its own address."""

    front: int
    readiness: int
    control: int
    internal: int


@dataclass
class LocalNode:
    """One program on one loopback address; `process` is the process that was started last."""

    name: str
    role: str
    host: str
    zone: int
    settings_file: Path
    process: subprocess.Popen[bytes] | None = None

    @property
    def running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.poll() is None


class LocalSystem:
    """Control and edge nodes on loopback, with their settings, data and logs in one folder.

    Call `terminate_all` to stop every process that was started.
    """

    def __init__(
        self, folder: Path, edges: int, log_level: str = "INFO", checkout: Path | None = None
    ) -> None:
        """`checkout`: the folder of another version of the programs; None runs the installed one."""
        self._checkout = checkout
        self._folder = folder
        self._log_level = log_level
        network = f"127.{random.randint(10, 250)}.{random.randint(0, 250)}"
        self.worker_host = f"{network}.200"
        control_hosts = [f"{network}.{number}" for number in range(1, CONTROL_NODES + 1)]
        edge_hosts = [f"{network}.{100 + number}" for number in range(edges)]
        self.ports = _free_ports([*control_hosts, *edge_hosts])
        self.controls = [self._new_node("control", number, host) for number, host in enumerate(control_hosts)]
        self.edges = [self._new_node("edge", number, host) for number, host in enumerate(edge_hosts)]
        for node in [*self.controls, *self.edges]:
            node.settings_file.write_text(self._settings_text(node, first_start=True), encoding="utf-8")

    def control_address(self, node: LocalNode) -> str:
        """Returns the address at which workers and the operator call a control node."""
        return f"{node.host}:{self.ports.control}"

    def front_address(self, node: LocalNode) -> str:
        """Returns the address at which clients call an edge node."""
        return f"{node.host}:{self.ports.front}"

    def readiness_address(self, node: LocalNode) -> str:
        """Returns the address of an edge node's readiness endpoint."""
        return f"{node.host}:{self.ports.readiness}"

    def start(self, node: LocalNode) -> None:
        """Start a node's program; its log goes to a file next to its settings file."""
        module = f"arrowfold.programs.{node.role}"
        environment = {**os.environ, "ARROWFOLD_NODE_FILE": str(node.settings_file)}
        with self.log_file(node).open("ab") as log:
            node.process = subprocess.Popen(
                [sys.executable, "-m", module, f"--log-level={self._log_level}"],
                env=environment,
                cwd=self._checkout,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def restart(self, node: LocalNode) -> None:
        """Start a node that has ended again, with its data directory as it is."""
        node.settings_file.write_text(self._settings_text(node, first_start=False), encoding="utf-8")
        self.start(node)

    def kill(self, node: LocalNode) -> None:
        """Kill a node's process with SIGKILL and wait for its end."""
        if node.process is not None:
            node.process.kill()
            node.process.wait()

    def terminate_all(self) -> list[int | None]:
        """Send SIGTERM to all nodes and kill those that don't end in time.

        Returns the exit codes, edge nodes first; None for a node that was never started.
        """
        nodes = [*self.edges, *self.controls]
        for node in nodes:
            if node.process is not None and node.running:
                node.process.terminate()
        return [self._wait_for_end(node) for node in nodes]

    def primary(self) -> LocalNode:
        """Returns the control node that became the primary in the highest epoch, according to the logs."""
        return max(self.controls, key=self._newest_epoch)

    def _newest_epoch(self, node: LocalNode) -> int:
        log = self.log_file(node).read_text(encoding="utf-8", errors="replace")
        return max((int(epoch) for epoch in _PRIMARY_ACTIVE_PATTERN.findall(log)), default=0)

    def log_file(self, node: LocalNode) -> Path:
        """Returns the path of a node's log, which all its starts share."""
        return self._folder / f"{node.name}.log"

    def _wait_for_end(self, node: LocalNode) -> int | None:
        if node.process is None:
            return None
        try:
            return node.process.wait(END_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            node.process.kill()
            return node.process.wait()

    def _new_node(self, role: str, number: int, host: str) -> LocalNode:
        name = f"{role}-{number + 1}"
        return LocalNode(name, role, host, number % CONTROL_NODES + 1, self._folder / f"{name}.toml")

    def _settings_text(self, node: LocalNode, first_start: bool) -> str:
        is_control = node.role == "control"
        data_directory = self._folder / f"{node.name}.data"
        if is_control:
            data_directory.mkdir(exist_ok=True)
            listen = f'control = "{self.control_address(node)}"'
        else:
            front, readiness = self.front_address(node), self.readiness_address(node)
            listen = f'front = "{front}"\nreadiness = "{readiness}"'
        return _SETTINGS_TEMPLATE.format(
            name=node.name,
            role=node.role,
            machine_class="core" if is_control else "edge",
            serves="control_plane" if is_control else "edge",
            host=node.host,
            zone=node.zone,
            internal_port=self.ports.internal,
            seeds=", ".join(f'"{self.control_address(control)}"' for control in self._seed_nodes()),
            first_start=str(first_start).lower(),
            counted=str(is_control).lower(),
            data_directory=f'dataDirectory = "{data_directory}"' if is_control else "",
            listen=listen,
            losses=MACHINE_LOSSES,
            grace=GRACE_S,
        )

    def _seed_nodes(self) -> list[LocalNode]:
        return self.controls


def _free_ports(hosts: Iterable[str]) -> SystemPorts:
    """Returns four ports that are free on every host, below the ephemeral range of outgoing connections."""
    hosts = list(hosts)
    ports: list[int] = []
    while len(ports) < 4:
        port = random.randint(15_000, 32_000)
        if port not in ports and all(_is_free(host, port) for host in hosts):
            ports.append(port)
    return SystemPorts(*ports)


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True

"""Real control nodes as processes on loopback, and the resource use of processes."""

from __future__ import annotations

import contextlib
import json
import os
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.capacity.results import ROOT
from benchmarks.capacity.system import target
from benchmarks.capacity.system.documents import document_text
from benchmarks.capacity.system.population import zone_name

NETWORK = "127.20.0"  # each control node has its own address in it
CONTROL_PORT = 8_146
INTERNAL_PORT = 7_660
START_TIMEOUT_S = 40.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KILOBYTE = 1024


@dataclass(frozen=True, slots=True)
class ProcessUse:
    """A process's resource use: processor time, and resident bytes now and at the peak.

    `own_s` is the user time; the rest of `processor_s` is system time.
    """

    processor_s: float
    own_s: float
    resident_bytes: int
    peak_bytes: int


def process_use(pid: int) -> ProcessUse:
    """Reads the resource use of a process from /proc."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    status = dict(
        line.split(":", 1) for line in Path(f"/proc/{pid}/status").read_text().splitlines() if ":" in line
    )
    return ProcessUse(
        (int(fields[11]) + int(fields[12])) / TICKS_PER_S,
        int(fields[11]) / TICKS_PER_S,
        int(status["VmRSS"].split()[0]) * KILOBYTE,
        int(status["VmHWM"].split()[0]) * KILOBYTE,
    )


def settings_text(address: str, number: int, seeds: list[str], role: str, folder: Path, losses: int) -> str:
    """Returns the settings file of one process: edges listen for clients, control nodes for workers."""
    zone = zone_name(number)
    serves = "edge" if role == "edge" else "control_plane"
    lines = [
        f'nodeName = "{role}-{zone}-{number}"',
        f'role = "{role}"',
        f'machineClass = "{"edge" if role == "edge" else "core"}"',
        f'serves = ["{serves}"]',
        f'ipAddress = "{address}"',
        f'zone = "{zone}"',
        'region = "region"',
        f"internalPorts = [{INTERNAL_PORT}, {INTERNAL_PORT + 15}]",
        f"seedNodes = {json.dumps(seeds)}",
        "firstStart = true",
        f"beatIntervalMs = {int(target.HEARTBEAT_S * 1000)}",
    ]
    if role == "control":
        lines.append("countsForQuorum = true")
        lines.append(f'dataDirectory = "{folder / f"data-{number}"}"')
    lines.append("[listenAddresses]")
    if role == "control":
        lines.append(f'control = "{address}:{CONTROL_PORT}"')
    else:
        lines.extend([f'front = "{address}:8144"', f'readiness = "{address}:8140"'])
    lines.extend(["[faultTolerance]", f"machineLosses = {losses}"])
    return "\n".join(lines) + "\n"


@dataclass
class ControlGroup:
    """A group of running control nodes."""

    folder: Path
    addresses: list[str]
    processes: list[subprocess.Popen[bytes]] = field(default_factory=list)

    @property
    def seeds(self) -> list[str]:
        """The control addresses for a settings file."""
        return [f"{address}:{CONTROL_PORT}" for address in self.addresses[:3]]

    def uses(self) -> list[ProcessUse]:
        """Returns the resource use of each control node."""
        return [process_use(process.pid) for process in self.processes]

    def elections(self) -> int:
        """Counts the primaries' starts and ends in the logs; many of them indicate an overloaded machine."""
        texts = [path.read_text(errors="replace") for path in self.folder.glob("control-*.log")]
        return sum(text.count("event=election.won") + text.count("event=primary.ended") for text in texts)

    def put_configuration(self, text: bytes, if_match: int) -> None:
        """Sends the operators' configuration until a node accepts it; raises TimeoutError."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            for address in self.addresses:
                request = urllib.request.Request(
                    f"http://{address}:{CONTROL_PORT}/configuration",
                    data=text,
                    method="PUT",
                    headers={"If-Match": str(if_match), "Content-Type": "application/json"},
                )
                with contextlib.suppress(OSError), urllib.request.urlopen(request, timeout=2) as answer:
                    if answer.status == 200:
                        return
            time.sleep(0.2)
        raise TimeoutError("no control node accepted the configuration")


def start_process(module: str, settings: Path, log: Path) -> subprocess.Popen[bytes]:
    """Starts one program of the system with its settings file."""
    environment = {**os.environ, "ARROWFOLD_NODE_FILE": str(settings)}
    with log.open("wb") as output:
        return subprocess.Popen(
            [sys.executable, "-m", module], cwd=ROOT, env=environment, stdout=output, stderr=output
        )


@contextlib.contextmanager
def control_group(
    members: int = target.CONTROL_MACHINES, routes: int = target.ROUTES
) -> Iterator[ControlGroup]:
    """Runs so many control nodes with a configuration in force; kills them at the end of the block."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        group = ControlGroup(folder, [f"{NETWORK}.{number + 1}" for number in range(members)])
        losses = 0 if members < 3 else 1
        try:
            for number, address in enumerate(group.addresses):
                path = folder / f"control-{number}.toml"
                path.write_text(settings_text(address, number, group.seeds, "control", folder, losses))
                log = folder / f"control-{number}.log"
                group.processes.append(start_process("arrowfold.programs.control", path, log))
            group.put_configuration(document_text(target.MODELS, target.ADAPTERS, routes), 0)
            yield group
        finally:
            for process in group.processes:
                process.kill()
            for process in group.processes:
                process.wait()

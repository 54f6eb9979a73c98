"""The settings of one process, read from the TOML file that `ARROWFOLD_NODE_FILE` names.

Field names are the keys of the file. The type of every key is checked, and errors name the key's path.
Unknown keys are ignored, so that a newer platform can add keys.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from result import Err, Ok, Result

from arrowfold.node.typed_tables import MINIMUM, TableError, read_table


class SettingsError(Exception):
    """The settings file is not usable; the text is one line with the file and the key's path."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ListenAddresses:
    """Listening addresses of this role, as HOST:PORT; None for what it does not serve."""

    front: str | None = None
    readiness: str | None = None
    control: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessLimits:
    """Resources of the machine that this process may use."""

    cpuShare: float = 1.0
    cpuCores: int = 1
    memoryMb: int = 256
    fileDescriptors: int = 1024
    linkMbps: float = 1000.0
    diskMb: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class FaultTolerance:
    """Simultaneous losses that the system must tolerate while it keeps every operating rule."""

    machineLosses: int = field(default=0, metadata={MINIMUM: 0})
    zones: int = 0
    regionLosses: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Limits in the operating rules, in the units of the names."""

    seedLagS: float = 3
    addressReuseS: float = 2
    contactMs: float = 3000
    ackMs: float = 4000
    catchUpS: float = 4
    drainMs: float = 2000
    graceS: float = 8
    lossSlackMs: float = 200
    configApplyMs: float = 2000
    revertSlackMs: float = 250
    maxStretchMs: float = 5000
    retryBudgetRatio: float = 0.2
    budgetWindowS: float = 10
    budgetExtra: float = 50
    recoveryS: float = 12
    pass_ms: float = 120
    again_s: float = 0
    fencingChecked: bool = True
    leaseMs: float = 3000
    thawSlackMs: float = 300
    ceilingWindowS: float = 5
    ceilingOverage: float = 1.1
    revocationClosed: bool = False
    revokeMs: float = 5000
    usageWindowS: float = 5
    usageError: float = 0.05
    usageDelayS: float = 10


@dataclass(frozen=True, slots=True, kw_only=True)
class CloudApi:
    """The platform's API, and the duties: calls to it that one node at a time is responsible for."""

    address: str
    ratePerS: float = 50.0
    duties: tuple[str, ...] = ()
    dutyRateS: float = 50.0


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """The settings file of one process."""

    nodeName: str
    role: str = ""
    machineClass: str = ""
    serves: tuple[str, ...] = ()
    ipAddress: str
    zone: str = ""
    region: str = ""
    internalPorts: tuple[int, int]
    seedNodes: tuple[str, ...] = ()
    firstStart: bool = False
    countsForQuorum: bool = False
    dataDirectory: str | None = None
    beatIntervalMs: float = 1200
    contracts: tuple[str, ...] = ()
    zones: dict[str, str] = field(default_factory=dict)
    listenAddresses: ListenAddresses = field(default_factory=ListenAddresses)
    limits: ProcessLimits = field(default_factory=ProcessLimits)
    faultTolerance: FaultTolerance = field(default_factory=FaultTolerance)
    bounds: Bounds = field(default_factory=Bounds)
    cloudApi: CloudApi | None = None

    @property
    def internal_port(self) -> int:
        """The TCP port of the internal protocol; the same on every machine."""
        return self.internalPorts[0]

    @property
    def internal_address(self) -> str:
        """The address of this process for the internal protocol, as HOST:PORT."""
        return f"{self.ipAddress}:{self.internal_port}"

    def seed_internal_addresses(self) -> tuple[str, ...]:
        """Returns the internal addresses of the seed nodes, in the order of the file."""
        return tuple(f"{seed.rsplit(':', 1)[0]}:{self.internal_port}" for seed in self.seedNodes)


def parse_settings(text: str, source: str) -> Result[NodeSettings, SettingsError]:
    """Parse and check the text of a settings file; errors name it as `source`."""
    try:
        return Ok(read_table(NodeSettings, tomllib.loads(text)))
    except tomllib.TOMLDecodeError as error:
        return Err(SettingsError(f"{source}: not TOML: {error}"))
    except TableError as error:
        return Err(SettingsError(f"{source}: {error}"))


def load_settings(path: Path) -> Result[NodeSettings, SettingsError]:
    """Read and check the settings file at `path`."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(SettingsError(f"{path}: can't be read: {error}"))
    return parse_settings(text, str(path))

"""The settings of one process: the TOML file that `ARROWFOLD_NODE_FILE` names, checked by pydantic.

Unknown keys are skipped, so that a newer platform can add some. A fault is reported with the key's path.
"""

from __future__ import annotations

import tomllib
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result


class SettingsError(Exception):
    """The settings file can't be used; the text is one line that names the file and the key's path."""


class _Section(BaseModel):
    """A part of the file; frozen, since settings are swapped whole."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class ListenAddresses(_Section):
    """The addresses of what this role serves, as HOST:PORT; None where it does not serve it."""

    front: str | None = None
    readiness: str | None = None
    control: str | None = None


class ProcessLimits(_Section):
    """What the machine gives this process."""

    cpuShare: float = 1.0
    cpuCores: int = 1
    memoryMb: int = 256
    fileDescriptors: int = 1024
    linkMbps: float = 1000.0
    diskMb: int = 0


class FaultTolerance(_Section):
    """What may be lost at one time while every rule is still kept."""

    machineLosses: int = Field(default=0, ge=0)
    zones: int = 0
    regionLosses: int = 0


class Bounds(_Section):
    """The figures of the operating rules, in the units that the names carry."""

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


class NodeSettings(_Section):
    """The whole settings file of one process."""

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
    zones: dict[str, str] = Field(default_factory=dict)
    listenAddresses: ListenAddresses = ListenAddresses()
    limits: ProcessLimits = ProcessLimits()
    faultTolerance: FaultTolerance = FaultTolerance()
    bounds: Bounds = Bounds()

    @property
    def internal_port(self) -> int:
        """The TCP port on which nodes speak the internal protocol; the same on every machine."""
        return self.internalPorts[0]

    @property
    def internal_address(self) -> str:
        """Where this process takes internal calls, as HOST:PORT."""
        return f"{self.ipAddress}:{self.internal_port}"

    def seed_internal_addresses(self) -> tuple[str, ...]:
        """The internal addresses of the seed nodes, in the order of the file."""
        return tuple(f"{seed.rsplit(':', 1)[0]}:{self.internal_port}" for seed in self.seedNodes)


def parse_settings(text: str, source: str) -> Result[NodeSettings, SettingsError]:
    """Read and check the text of a settings file; `source` names it in errors."""
    try:
        return Ok(NodeSettings.model_validate(tomllib.loads(text)))
    except tomllib.TOMLDecodeError as error:
        return Err(SettingsError(f"{source}: not TOML: {error}"))
    except ValidationError as error:
        first = error.errors()[0]
        path = ".".join(str(part) for part in first["loc"])
        return Err(SettingsError(f"{source}: {path}: {first['msg']}"))


def load_settings(path: Path) -> Result[NodeSettings, SettingsError]:
    """Read and check the settings file at `path`."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(SettingsError(f"{path}: can't be read: {error}"))
    return parse_settings(text, str(path))

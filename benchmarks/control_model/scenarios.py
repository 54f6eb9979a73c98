"""The checked scenarios without a fault, and for each planted fault the scenario that exposes it."""

from __future__ import annotations

from benchmarks.control_model.actions import Bounds
from benchmarks.control_model.checker import Scenario

_NO_DISK_LOST = Scenario(wipes=0, newcomers=0)
_A_DISK_LOST = Scenario()
_LEAVING = Scenario(newcomer_joined=True, newcomers=2, crashes=0, wipes=1, leaves=1)

CLEAN: dict[str, tuple[Scenario, Bounds]] = {
    "3 / 1, a crash": (_NO_DISK_LOST, Bounds(max_epochs=3)),
    "3 / 1, a lost disk": (Scenario(crashes=0), Bounds(max_epochs=3)),
    "3 / 1, a crash and a lost disk": (_A_DISK_LOST, Bounds(max_epochs=2)),
    "3 / 1, a crash, late messages": (Scenario(wipes=0, newcomers=0, drops=1), Bounds(max_epochs=2)),
    "3 / 1, a fourth, one leaves": (_LEAVING, Bounds(max_epochs=2)),
    "5 / 2, a crash": (
        Scenario(members=5, wipes=0, newcomers=0),
        Bounds(losses=2, max_epochs=2, max_entries=0),
    ),
    "5 / 2, two lost disks": (
        Scenario(members=5, newcomers=2, crashes=0, wipes=2),
        Bounds(losses=2, max_epochs=2, max_entries=0),
    ),
    "5 / 2, a crash and a lost disk": (
        Scenario(members=5, newcomers=1, crashes=1, wipes=1),
        Bounds(losses=2, max_epochs=2, max_entries=0),
    ),
    "3 / 1, a fourth, one leaves, a crash": (
        Scenario(newcomer_joined=True, newcomers=1, crashes=1, wipes=0, leaves=1),
        Bounds(max_epochs=2),
    ),
    "3 / 1, a fourth comes, one leaves": (
        Scenario(newcomers=1, crashes=0, wipes=0, leaves=1, arrivals=1),
        Bounds(max_epochs=3, max_entries=0),
    ),
    "3 / 1, two replacements one after the other": (
        Scenario(newcomers=2, crashes=0, wipes=0, leaves=2, arrivals=2),
        Bounds(max_epochs=5, max_entries=0),
    ),
}

# For each fault: the scenario, and the number of epochs that exposing it takes.
PLANTED: dict[str, tuple[Scenario, int]] = {
    "ends at once": (_LEAVING, 2),
    "released before it is known": (_LEAVING, 2),
    "one copy is enough": (_A_DISK_LOST, 3),
    "commit without backups": (_A_DISK_LOST, 2),
    "accept before install": (Scenario(newcomers=0), 3),
    "witness without lease": (_NO_DISK_LOST, 2),
    "primary without lease": (_NO_DISK_LOST, 2),
    "no lease after a restart": (_NO_DISK_LOST, 2),
    "promise in memory": (_NO_DISK_LOST, 3),
    "no amnesia guard": (Scenario(newcomers=0), 3),
}

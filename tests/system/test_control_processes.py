"""Kills, stops and terminations of real control processes on loopback lose no acknowledged change."""

from __future__ import annotations

import asyncio
from pathlib import Path

from benchmarks.control_kills.run import run_with_faults

FAULTS = 6


def test_given_real_processes_and_faults_then_nothing_acknowledged_is_lost(tmp_path: Path) -> None:
    figures = asyncio.run(run_with_faults(tmp_path, members=3, losses=1, faults=FAULTS, seed=4))
    assert figures["wrong"] == []
    assert sum(figures["faults"].values()) == FAULTS
    assert figures["acknowledged"] > 0 and figures["reads"] > 0

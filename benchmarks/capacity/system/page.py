"""Generates the tables of docs/CAPACITY.md from results."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from benchmarks.capacity import page as service_page
from benchmarks.capacity.fitting import Results, fit_all, write_fits
from benchmarks.capacity.results import FOLDER, ROOT, load_results
from benchmarks.capacity.system import mechanisms, role_table, tables, verdict
from benchmarks.capacity.system.fits import FITS, SPECS

PAGE = ROOT / "docs" / "CAPACITY.md"
TABLES: dict[str, Callable[[Results], str]] = {
    "verdict": verdict.verdict,
    "breaks": mechanisms.breaks,
    "mechanisms": mechanisms.mechanisms,
    "roles": role_table.roles,
    "fits": tables.fits,
    "heartbeats": tables.heartbeats,
    "registry": tables.registry,
    "pulls": tables.pulls,
    "distribution": tables.distribution,
    "documents": tables.documents,
    "edge_tables": tables.edge_tables,
    "selection": tables.selection,
    "placement": tables.placement,
    "reports": tables.reports,
    "monitoring": tables.monitoring,
    "failover": tables.failover,
    "fleets": tables.fleets,
    "demand": tables.demand,
    "mass_restart": tables.mass_restart,
    "changes": tables.changes,
    "streams": tables.streams,
}


def fill_tables(text: str, folder: Path = FOLDER) -> str:
    """Returns the page's text with all tables regenerated."""
    return service_page.fill_tables(text, folder, TABLES)


def fit(folder: Path = FOLDER) -> None:
    """Fits all lines and writes them beside the results."""
    write_fits(fit_all(SPECS, Results(load_results(folder))), FITS)

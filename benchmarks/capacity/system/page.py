"""docs/CAPACITY.md and its tables."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from benchmarks.capacity import page as tables_of_pages
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


def filled(text: str, folder: Path = FOLDER) -> str:
    """The page with its tables made anew."""
    return tables_of_pages.filled(text, folder, TABLES)


def fit(folder: Path = FOLDER) -> None:
    """Lines through the results, written beside them."""
    write_fits(fit_all(SPECS, Results(load_results(folder))), FITS)

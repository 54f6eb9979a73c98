"""Formats extrapolated figures for the tables, and marks missing results."""

from __future__ import annotations

from collections.abc import Callable

from benchmarks.capacity.fitting import Results, read_fits
from benchmarks.capacity.page import MISSING, number
from benchmarks.capacity.system.fits import FITS, Lines, Unmeasured
from benchmarks.capacity.system.worked_out import Scaled

KILO = 1_000.0
MEGA = 1e6
MILLI = 1e-3
PERCENT = 100.0
Cell = Callable[[Scaled], str]


def scaled(results: Results, factor: float = 1.0) -> Scaled:
    """Returns the costs at a factor of the operators' size, from the stored fits."""
    return Scaled(Lines(read_fits(FITS)), results, factor)


def say(cell: Cell, at: Scaled) -> str:
    """Returns a cell's text, or `MISSING` if one of its figures is not measured yet."""
    try:
        return cell(at)
    except Unmeasured:
        return MISSING


def core(share: float) -> str:
    """Formats a share of a core; from one core on, the number of cores."""
    return f"{number(share * PERCENT)} % of a core" if share < 1 else f"{number(share)} cores"


def rate(bytes_a_second: float) -> str:
    """Formats bytes a second as KB/s."""
    return f"{number(bytes_a_second / KILO)} KB/s"


def milliseconds(value: float) -> str:
    """Formats milliseconds, from 1,000 on as seconds."""
    return f"{number(value)} ms" if value < KILO else f"{number(value * MILLI)} s"


def amount(value: float, unit: str) -> str:
    """Formats a figure with its unit."""
    if unit == "of a core":
        return core(value)
    if unit == "bytes a second":
        return rate(value)
    if unit == "bytes":
        return f"{number(value / KILO)} KB"
    return f"{number(value)} {unit}"

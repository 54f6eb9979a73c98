"""How worked-out figures are written, and what is written where a result is missing."""

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
    """The costs at a factor of the operators' size, by the fits that are kept."""
    return Scaled(Lines(read_fits(FITS)), results, factor)


def say(cell: Cell, at: Scaled) -> str:
    """A text made of figures, or that they are not measured yet."""
    try:
        return cell(at)
    except Unmeasured:
        return MISSING


def core(share: float) -> str:
    """A share of a core; of more than one, how many."""
    return f"{number(share * PERCENT)} % of a core" if share < 1 else f"{number(share)} cores"


def rate(bytes_a_second: float) -> str:
    """Bytes a second."""
    return f"{number(bytes_a_second / KILO)} KB/s"


def milliseconds(value: float) -> str:
    """Milliseconds, or seconds where there are many."""
    return f"{number(value)} ms" if value < KILO else f"{number(value * MILLI)} s"


def amount(value: float, unit: str) -> str:
    """A figure in its unit."""
    if unit == "of a core":
        return core(value)
    if unit == "bytes a second":
        return rate(value)
    if unit == "bytes":
        return f"{number(value / KILO)} KB"
    return f"{number(value)} {unit}"

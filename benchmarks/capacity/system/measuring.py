"""Measures processor time and memory of functions in this process."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

BATCHES = 5
MIN_BATCH_S = 0.02  # processor time of a batch, so that the clock's resolution does not matter
MEGABYTE = 1e6
MICROSECOND = 1e-6
MILLISECOND = 1e-3


def processor_s(work: Callable[[], Any], repeats: int = 0) -> float:
    """Returns the processor seconds of one call, as the minimum over some batches.

    The minimum is used since other programs share the processor's caches. Without `repeats` the
    calls per batch are chosen by `MIN_BATCH_S`.
    """
    if repeats == 0:
        repeats = _repeats_per_batch(work)
    best = float("inf")
    for _ in range(BATCHES):
        started_s = time.process_time()
        for _ in range(repeats):
            work()
        best = min(best, (time.process_time() - started_s) / repeats)
    return best


def _repeats_per_batch(work: Callable[[], Any]) -> int:
    repeats = 1
    while True:
        started_s = time.process_time()
        for _ in range(repeats):
            work()
        if time.process_time() - started_s >= MIN_BATCH_S:
            return repeats
        repeats *= 2


def processor_once_s(prepare: Callable[[], Callable[[], Any]], times: int = 3) -> float:
    """Returns the processor seconds of work that can run only once after each `prepare()`; the minimum."""
    best = float("inf")
    for _ in range(times):
        work = prepare()
        gc.collect()
        started_s = time.process_time()
        work()
        best = min(best, time.process_time() - started_s)
    return best


def held_bytes(make: Callable[[], Any]) -> int:
    """Returns the bytes allocated by the value that `make` returns."""
    gc.collect()
    tracemalloc.start()
    try:
        value = make()
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        del value
    finally:
        tracemalloc.stop()
    return size

"""Processor time and memory of a piece of work in this process."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

BATCHES = 5
LEAST_BATCH_S = 0.02  # of processor time, so that the clock's steps don't count
MEGABYTE = 1e6
MICROSECOND = 1e-6
MILLISECOND = 1e-3


def processor_s(work: Callable[[], Any], repeats: int = 0) -> float:
    """Processor seconds of one call: the least of some batches, since other programs share the caches."""
    if repeats == 0:
        repeats = _repeats(work)
    best = float("inf")
    for _ in range(BATCHES):
        started = time.process_time()
        for _ in range(repeats):
            work()
        best = min(best, (time.process_time() - started) / repeats)
    return best


def _repeats(work: Callable[[], Any]) -> int:
    repeats = 1
    while True:
        started = time.process_time()
        for _ in range(repeats):
            work()
        if time.process_time() - started >= LEAST_BATCH_S:
            return repeats
        repeats *= 2


def processor_once_s(prepare: Callable[[], Callable[[], Any]], times: int = 3) -> float:
    """Processor seconds of work that can run only once on what `prepare` makes; the least of some."""
    best = float("inf")
    for _ in range(times):
        work = prepare()
        gc.collect()
        started = time.process_time()
        work()
        best = min(best, time.process_time() - started)
    return best


def held_bytes(make: Callable[[], Any]) -> int:
    """Bytes that the value which `make` builds keeps allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = make()
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        del kept
    finally:
        tracemalloc.stop()
    return size

"""Signals that come while a program still loads, before its node handles them."""

from __future__ import annotations

import os
import signal
from types import FrameType


def guard_start() -> None:
    """Until the node handles signals, SIGHUP changes nothing and SIGTERM ends the process with code 0."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _end_at_once)


def _end_at_once(number: int, frame: FrameType | None) -> None:
    del number, frame
    os._exit(0)

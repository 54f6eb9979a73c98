"""Replays a recording made before routes existed: without routes, the same actions must follow."""

from __future__ import annotations

import hashlib
import json
import re
from pathlib import Path

from arrowfold import Dispatcher
from arrowfold import interface as api

RECORDING = Path(__file__).parent / "data" / "stretch.jsonl"
NAMES = {name: getattr(api, name) for name in dir(api) if name[0].isupper()}


def read(text: str) -> object:
    """Evaluates a recorded repr; that of an enum member is rewritten to an expression first."""
    return eval(re.sub(r"<(\w+\.\w+): [^>]+>", r"\1", text), dict(NAMES))


def test_the_recorded_events_yield_the_recorded_actions() -> None:
    head, *rows = [json.loads(line) for line in RECORDING.read_text(encoding="utf-8").splitlines()]
    settings = read(head)
    assert isinstance(settings, api.Settings)
    dispatcher, sent = Dispatcher(settings, 7), 0
    for number, (now, events, digest) in enumerate(rows):
        actions = dispatcher.handle(now, read(events))  # type: ignore[arg-type]
        sent += sum(isinstance(action, api.Send) for action in actions)
        assert hashlib.sha256(repr(actions).encode()).hexdigest()[:24] == digest, f"row {number}: {events}"
    assert sent > 500 and len(rows) > 2000

"""Without routes the module acts as it did before there were any: a recorded stretch, replayed."""

from __future__ import annotations

import hashlib
import json
import re
from pathlib import Path

from arrowfold import Dispatcher
from arrowfold import interface as api

STRETCH = Path(__file__).parent / "data" / "stretch.jsonl"
NAMES = {name: getattr(api, name) for name in dir(api) if name[0].isupper()}


def read(text: str) -> object:
    """A recorded repr; an enum's is not the expression for it."""
    return eval(re.sub(r"<(\w+\.\w+): [^>]+>", r"\1", text), dict(NAMES))


def test_the_recorded_stretch_brings_the_recorded_actions() -> None:
    head, *rows = [json.loads(line) for line in STRETCH.read_text(encoding="utf-8").splitlines()]
    settings = read(head)
    assert isinstance(settings, api.Settings)
    module, sent = Dispatcher(settings, 7), 0
    for number, (now, events, digest) in enumerate(rows):
        actions = module.handle(now, read(events))  # type: ignore[arg-type]
        sent += sum(isinstance(action, api.Send) for action in actions)
        assert hashlib.sha256(repr(actions).encode()).hexdigest()[:24] == digest, f"row {number}: {events}"
    assert sent > 500 and len(rows) > 2000

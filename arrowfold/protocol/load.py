"""Load reports as backend servers word them, in the module's terms."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from typing import Any

from arrowfold import interface as api

_FIELDS = {
    "rif": "held", "inflight": "held", "q": "waiting", "queue": "waiting", "busy": "busy", "util": "busy",
    "eps": "errors", "fail_rate": "errors",
}


def said_fetches(row: Mapping[str, Any]) -> float | None:
    """`index_fetches` beside a result: how often the server took something from the index for this job."""
    count = row.get("index_fetches")
    if isinstance(count, bool) or not isinstance(count, int | float) or not 0 <= count < math.inf:
        return None  # said nothing, or nothing that can be meant
    return float(count)


class LoadReader:
    """Reads reports; what x0 and x1 mean comes from the settings."""

    def __init__(self, meanings: Mapping[str, str]) -> None:
        self.fields: Mapping[str, str] = {}
        self.learn(meanings)

    def learn(self, meanings: Mapping[str, str]) -> None:
        self.fields = {**_FIELDS, **meanings}

    def from_object(self, row: object) -> api.LoadReport | None:
        """A JSON object of figures; fields that are unknown or no numbers are passed over."""
        if not isinstance(row, dict):
            return None
        named: dict[str, Any] = {}
        for name, value in row.items():
            known = self.fields.get(name)
            if known and isinstance(value, int | float) and not isinstance(value, bool):
                named[known] = float(value)
        return api.LoadReport(**named) if named else None

    def from_text(self, text: str) -> api.LoadReport | None:
        """`TEXT name=figure, ...` or `JSON {...}`; the format's name may be left out."""
        text = text.strip()
        for prefix in ("TEXT", "JSON"):
            text = text.removeprefix(prefix).strip()
        if text.startswith("{"):
            try:
                return self.from_object(json.loads(text))
            except ValueError:
                return None
        row: dict[str, float] = {}
        for pair in text.split(","):
            name, _, figure = pair.partition("=")
            try:
                row[name.strip()] = float(figure)
            except ValueError:
                continue
        return self.from_object(row)

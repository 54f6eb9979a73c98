"""Parser of the workers' load reports."""

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


def reported_fetches(row: Mapping[str, Any]) -> float | None:
    """Returns `index_fetches` of a result, the worker's fetches from the index; None if absent or invalid."""
    count = row.get("index_fetches")
    if isinstance(count, bool) or not isinstance(count, int | float) or not 0 <= count < math.inf:
        return None
    return float(count)


class LoadReader:
    """Parses load reports; the settings map further names, such as x0 and x1, to fields."""

    def __init__(self, meanings: Mapping[str, str]) -> None:
        self.fields: Mapping[str, str] = {}
        self.set_field_names(meanings)

    def set_field_names(self, meanings: Mapping[str, str]) -> None:
        """Set the settings' names of fields."""
        self.fields = {**_FIELDS, **meanings}

    def from_object(self, row: object) -> api.LoadReport | None:
        """Parse a JSON object; ignores unknown fields and those that are no numbers. None if none is left."""
        if not isinstance(row, dict):
            return None
        named: dict[str, Any] = {}
        for name, value in row.items():
            known = self.fields.get(name)
            if known and isinstance(value, int | float) and not isinstance(value, bool):
                named[known] = float(value)
        return api.LoadReport(**named) if named else None

    def from_text(self, text: str) -> api.LoadReport | None:
        """Parse `TEXT name=number, ...` or `JSON {...}`; the format's name may be absent. None if invalid."""
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

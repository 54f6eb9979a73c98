"""The path of the settings file, in a module of its own that can be imported before the settings are."""

from __future__ import annotations

import os
from pathlib import Path

SETTINGS_VARIABLE = "ARROWFOLD_NODE_FILE"


def settings_path(named: str | None = None) -> Path | None:
    """Returns the given path, else the one in the environment variable, else None."""
    name = named or os.environ.get(SETTINGS_VARIABLE)
    return Path(name) if name else None

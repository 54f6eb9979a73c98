"""Where the settings file is; apart from the settings, so that it is known before they are loaded."""

from __future__ import annotations

import os
from pathlib import Path

SETTINGS_VARIABLE = "ARROWFOLD_NODE_FILE"


def settings_path(named: str | None = None) -> Path | None:
    """The path that is named, else the one that the environment names, if it names one."""
    name = named or os.environ.get(SETTINGS_VARIABLE)
    return Path(name) if name else None

"""arrowfold: a request router that picks a worker for each job by trading load tokens between workers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from arrowfold.choice import Dispatcher
    from arrowfold.interface import Settings

__all__ = ["Dispatcher", "Settings"]
__version__ = "0.1.0"


def __getattr__(name: str) -> Any:
    """Imports the public classes on first use, so that programs without them start faster."""
    if name == "Dispatcher":
        from arrowfold.choice import Dispatcher

        return Dispatcher
    if name == "Settings":
        from arrowfold.interface import Settings

        return Settings
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")

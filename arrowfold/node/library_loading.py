"""Shortens the import of a program's libraries, which delays the restart of a fleet after a power loss.

Garbage collection is disabled during the import, and the machine's certificate store is not read. The HTTP
library would read it when it is imported, but nodes, workers and clients use plain HTTP.
"""

from __future__ import annotations

import contextlib
import gc
import os
from collections.abc import Iterator

CERTIFICATES_VARIABLE = "SSL_CERT_FILE"


@contextlib.contextmanager
def loading_libraries() -> Iterator[None]:
    """Context for imports; objects created in it are excluded from later garbage collections."""
    os.environ.setdefault(CERTIFICATES_VARIABLE, os.devnull)
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()

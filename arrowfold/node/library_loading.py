"""Loads a program's libraries faster: a fleet that starts anew after a loss of power waits for it.

Left out is what is of no use while libraries load, or ever: collections of garbage, and the machine's
store of certificates. The HTTP library reads that when it is loaded, and nodes, workers and clients speak
plain HTTP.
"""

from __future__ import annotations

import contextlib
import gc
import os
from collections.abc import Iterator

CERTIFICATES_VARIABLE = "SSL_CERT_FILE"


@contextlib.contextmanager
def loading_libraries() -> Iterator[None]:
    """Import within this; what was loaded is left out of later collections of garbage."""
    os.environ.setdefault(CERTIFICATES_VARIABLE, os.devnull)
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()

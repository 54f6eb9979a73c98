"""Starts a node and runs it until it ends."""

from __future__ import annotations

import os
import sys
from pathlib import Path

from arrowfold.program.config import ConfigError, read_config
from arrowfold.program.node import Node
from arrowfold.program.signals import Signals
from arrowfold.protocol.descriptions import DescriptionError

EXIT_BAD_CONFIGURATION = 2


def run_node(edge_file: Path | None, signals: Signals) -> int:
    """Runs a node and returns its exit code; an invalid configuration is one line on stderr and code 2."""
    try:
        return _run(edge_file, signals)
    finally:
        signals.ignore_further()


def _run(edge_file: Path | None, signals: Signals) -> int:
    try:
        node = Node(read_config(os.environ, edge_file), signals)
    except (ConfigError, DescriptionError) as error:
        print(f"arrowfold: configuration: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    except OSError as error:
        print(f"arrowfold: configuration: listen: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    return node.run()

"""`python -m arrowfold [EDGE_FILE]`: one node. EDGE_FILE turns on the Faktory front and the descriptions."""

from __future__ import annotations

import os
import sys

from arrowfold.program.signals import Signals


def main(arguments: list[str]) -> int:
    """Run a node; a bad configuration ends it with one line and exit code 2."""
    # Guards the start: a signal that comes while the rest is loaded waits until the loop turns.
    signals = Signals()
    from pathlib import Path

    from arrowfold.program.config import ConfigError, read_config
    from arrowfold.program.node import Node
    from arrowfold.protocol.descriptions import DescriptionError

    if len(arguments) > 1:
        print("usage: python -m arrowfold [EDGE_FILE]", file=sys.stderr)
        return 2
    try:
        node = Node(read_config(os.environ, Path(arguments[0]) if arguments else None), signals)
    except (ConfigError, DescriptionError) as error:
        print(f"arrowfold: configuration: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"arrowfold: configuration: listen: {error}", file=sys.stderr)
        return 2
    return node.run()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

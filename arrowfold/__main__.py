"""Entry point of `python -m arrowfold`: runs a node, or the command that is given."""

from __future__ import annotations

import sys

from arrowfold.program.signals import Signals


def main(arguments: list[str]) -> int:
    """Runs a node if there are no arguments, else the command line. Returns the exit code."""
    # Install the handlers before the slow imports, so that a signal received during startup is queued.
    signals = Signals() if not arguments or arguments[0] == "run" else None
    if not arguments:
        from arrowfold.program.start import run_node

        assert signals is not None
        return run_node(None, signals)
    if arguments[0] == "system":
        from arrowfold.programs import system

        return system.main(arguments[1:])
    if arguments[0] == "state":
        from arrowfold.programs import state

        return state.main(arguments[1:])
    from arrowfold.program import commands

    return commands.main(arguments, signals)


def script() -> None:
    """Entry point of the console script `arrowfold`."""
    sys.exit(main(sys.argv[1:]))


if __name__ == "__main__":
    script()

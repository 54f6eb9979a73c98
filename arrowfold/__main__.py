"""`python -m arrowfold`: a node, as the platform starts it. With a command (`run FILE`): that command."""

from __future__ import annotations

import sys

from arrowfold.program.signals import Signals


def main(arguments: list[str]) -> int:
    """A node, where nothing is named; else what the command line says."""
    # Guards the start of a node: a signal that comes while the rest is loaded waits until the loop turns.
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
    """The console script."""
    sys.exit(main(sys.argv[1:]))


if __name__ == "__main__":
    script()

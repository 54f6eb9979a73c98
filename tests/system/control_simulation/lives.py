"""An event loop whose callbacks belong to process runs of nodes, so that runs can be killed or frozen."""

from __future__ import annotations

import contextvars

from tests.system.virtual_time import Handle, VirtualTimeLoop


class Life:
    """One run of a node's process, from its start to its end."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.dead = False
        self.frozen = False
        self.held: list[Handle] = []
        self.context = contextvars.copy_context()
        self.context.run(CURRENT_LIFE.set, self)


CURRENT_LIFE: contextvars.ContextVar[Life | None] = contextvars.ContextVar("CURRENT_LIFE", default=None)


class LivesLoop(VirtualTimeLoop):
    """Drops the callbacks of ended runs and holds those of frozen ones until they are thawed."""

    def run_handle(self, handle: Handle) -> None:
        """Run one callback, unless its run has ended or is frozen."""
        life = handle.context.get(CURRENT_LIFE)
        if life is None or not (life.dead or life.frozen):
            super().run_handle(handle)
        elif not life.dead:
            life.held.append(handle)

    def kill(self, life: Life) -> None:
        """End a run at once: none of its callbacks run again, not even clean-up."""
        life.dead = True
        life.held.clear()

    def freeze(self, life: Life) -> None:
        """Stop running the callbacks of a run."""
        life.frozen = True

    def thaw(self, life: Life) -> None:
        """Resume a run; all callbacks that became due meanwhile run now."""
        life.frozen = False
        self._ready.extend(life.held)
        life.held = []

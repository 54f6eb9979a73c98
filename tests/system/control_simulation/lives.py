"""An event loop whose callbacks belong to lives of machines, so that lives can be killed or frozen."""

from __future__ import annotations

import contextvars

from tests.system.virtual_time import Handle, VirtualTimeLoop


class Life:
    """One run of the processes of a machine."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.dead = False
        self.frozen = False
        self.held: list[Handle] = []
        self.context = contextvars.copy_context()
        self.context.run(CURRENT_LIFE.set, self)


CURRENT_LIFE: contextvars.ContextVar[Life | None] = contextvars.ContextVar("CURRENT_LIFE", default=None)


class LivesLoop(VirtualTimeLoop):
    """Drops the callbacks of dead lives, and holds those of frozen ones until they wake."""

    def run_handle(self, handle: Handle) -> None:
        """Run one callback, unless its life has ended or stands still."""
        life = handle.context.get(CURRENT_LIFE)
        if life is None or not (life.dead or life.frozen):
            super().run_handle(handle)
        elif not life.dead:
            life.held.append(handle)

    def kill(self, life: Life) -> None:
        """End a life at once: nothing of it runs again, not even its clean-up."""
        life.dead = True
        life.held.clear()

    def freeze(self, life: Life) -> None:
        """Let a life stand still."""
        life.frozen = True

    def thaw(self, life: Life) -> None:
        """Let a life go on; everything that came due meanwhile happens now."""
        life.frozen = False
        self._ready.extend(life.held)
        life.held = []

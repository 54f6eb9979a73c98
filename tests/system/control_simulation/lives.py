"""An event loop whose callbacks belong to lives of machines, so that lives can be killed or frozen."""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Callable
from typing import Any

from tests.system.virtual_time import VirtualTimeLoop


class Life:
    """One run of the processes of a machine."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.dead = False
        self.frozen = False
        self.held: list[Callable[[], None]] = []
        self.context = contextvars.copy_context()
        self.context.run(CURRENT_LIFE.set, self)


CURRENT_LIFE: contextvars.ContextVar[Life | None] = contextvars.ContextVar("CURRENT_LIFE", default=None)


class LivesLoop(VirtualTimeLoop):
    """Drops the callbacks of dead lives, and holds those of frozen ones until they wake."""

    def call_soon(self, callback: Any, *args: Any, context: Any = None) -> asyncio.Handle:
        if self.is_closed():  # the clean-up of tasks of killed lives, which nobody waits for
            return asyncio.Handle(callback, args, self, context)
        context = contextvars.copy_context() if context is None else context
        life = context.get(CURRENT_LIFE)
        if life is None:
            return super().call_soon(callback, *args, context=context)
        return super().call_soon(self._guarded, life, callback, args, context, context=context)

    def call_at(self, when: float, callback: Any, *args: Any, context: Any = None) -> asyncio.TimerHandle:
        context = contextvars.copy_context() if context is None else context
        life = context.get(CURRENT_LIFE)
        if life is None:
            return super().call_at(when, callback, *args, context=context)
        return super().call_at(when, self._guarded, life, callback, args, context, context=context)

    def _guarded(self, life: Life, callback: Any, args: Any, context: Any) -> None:
        if life.dead:
            return
        if life.frozen:
            life.held.append(lambda: self._resume(life, callback, args, context))
            return
        callback(*args)

    def _resume(self, life: Life, callback: Any, args: Any, context: Any) -> None:
        super().call_soon(self._guarded, life, callback, args, context, context=context)

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
        held, life.held = life.held, []
        for resume in held:
            resume()

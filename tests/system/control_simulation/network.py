"""A simulated network in memory: delays, losses, resets, and partitions in one or both directions."""

from __future__ import annotations

import asyncio
import contextvars
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from arrowfold.internal.channel import ChannelError
from arrowfold.internal.codec import decode, encode
from tests.system.control_simulation.lives import Life

Handlers = dict[type[Any], Callable[[Any], Awaitable[Any]]]
CallResult = Result[Any, ChannelError]
NETWORK = contextvars.Context()  # messages in flight belong to no node, so they outlive their sender


@dataclass(slots=True)
class _Call:
    """A call in progress, with the future of the caller's result."""

    sender: str
    address: str
    request: Any
    reply: asyncio.Future[CallResult]

    def end(self, result: CallResult) -> None:
        """Resolve the caller's result, unless it is resolved."""
        if not self.reply.done():
            self.reply.set_result(result)

    def fail(self, reason: str) -> None:
        """Resolve the caller's result with a connection error."""
        self.end(Err(ChannelError(f"{self.address}: {reason}")))


class SimulatedNetwork:
    """The listeners by address, and the links that are cut."""

    def __init__(self, draw: random.Random, delay_s: float = 0.001) -> None:
        self.draw = draw
        self.delay_s = delay_s
        self.loss = 0.0
        self.slow_share = 0.0  # share of messages that are delayed by up to `slow_s`
        self.slow_s = 0.4
        self.reset_share = 0.0  # share of calls whose connection is reset before, during or after handling
        self.answer_loss: dict[str, float] = {}  # by caller's address: share of answers that are lost
        self.late_s: dict[tuple[str, str], float] = {}  # additional delay by sender and receiver
        self.encodes = True  # send messages as bytes; else as immutable objects, which is a third cheaper
        self._cuts: set[tuple[str, str]] = set()
        self._listeners: dict[str, tuple[Life, Handlers]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    def listen(self, address: str, life: Life, handlers: Handlers) -> None:
        """Let a process run handle calls to an address."""
        self._listeners[address] = (life, handlers)

    def cut(self, sender: str, receiver: str) -> None:
        """Drop all messages from one address to another."""
        self._cuts.add((sender, receiver))

    def restore(self, cuts: list[tuple[str, str]]) -> None:
        """Remove these cuts."""
        self._cuts.difference_update(cuts)

    def heal(self) -> None:
        """Remove all cuts."""
        self._cuts.clear()

    async def call(self, sender: str, address: str, request: Any, timeout_s: float) -> CallResult:
        """Make a call, with the same results as `ChannelClient`."""
        loop = asyncio.get_running_loop()
        call = _Call(sender, address, self._packed(request), loop.create_future())
        expiry = loop.call_later(timeout_s, call.fail, f"no answer in {timeout_s} s")
        self._transmit(sender, address, lambda: self._deliver(call))
        try:
            return await call.reply
        finally:
            expiry.cancel()

    def _packed(self, value: Any) -> Any:
        return encode(value) if self.encodes else value

    def _unpacked(self, value: Any) -> Any:
        return decode(value) if self.encodes else value

    def _transmit(self, sender: str, receiver: str, arrive: Callable[[], object]) -> None:
        """Call `arrive` after a delay, unless the link is cut at that time or the message is lost."""
        delay_s = self.delay_s * (0.5 + self.draw.random())
        delay_s += self.late_s.get((sender, receiver), 0.0)
        if self.draw.random() < self.slow_share:
            delay_s += self.slow_s * self.draw.random()

        def arrive_if_connected() -> None:
            if (sender, receiver) not in self._cuts and self.draw.random() >= self.loss:
                arrive()

        asyncio.get_running_loop().call_later(delay_s, arrive_if_connected, context=NETWORK)

    def _is_reset(self) -> bool:
        return bool(self.reset_share) and self.draw.random() < self.reset_share / 3

    def _deliver(self, call: _Call) -> None:
        listener = self._listeners.get(call.address)
        if self._is_reset():
            call.fail("connection reset")
        elif listener is None or listener[0].dead:
            call.fail("connection refused")
        else:
            life, handlers = listener
            work = self._serve(call, handlers)
            task = asyncio.get_running_loop().create_task(work, context=life.context)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            if self._is_reset():
                call.fail("connection reset")

    async def _serve(self, call: _Call, handlers: Handlers) -> None:
        request = self._unpacked(call.request)
        try:
            answer = self._packed(await handlers[type(request)](request))
        except Exception as error:  # like the channel's answer for a failed handler
            call.fail(f"{type(error).__name__}: {error}")
            return
        if self._is_reset():
            call.fail("connection reset")
        elif not call.reply.done():
            self._transmit(call.address, call.sender, lambda: self._answer(call, answer))

    def _answer(self, call: _Call, answer: Any) -> None:
        if self.draw.random() < self.answer_loss.get(call.sender, 0.0):
            call.fail("the answer was lost")
        else:
            call.end(Ok(self._unpacked(answer)))


class SimulatedCaller:
    """The `Caller` of the node at one address."""

    def __init__(self, network: SimulatedNetwork, address: str) -> None:
        self._network = network
        self._address = address

    async def call(self, address: str, request: Any, timeout_s: float) -> CallResult:
        return await self._network.call(self._address, address, request, timeout_s)

"""Admin interface for operators, on its own address: one line in, one line out, `ok ...` or `fail ...`."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from arrowfold.routing.session import Logging
from arrowfold.transport.budget import Reserve
from arrowfold.transport.loop import Loop, Steps, Task
from arrowfold.transport.stream import Address, Listener, Stream, StreamBroken, TimedOut

MAX_CALLERS = 16
MAX_LINE_BYTES = 256
LINE_TIMEOUT = timedelta(seconds=3)  # from accept to the line's end
ANSWER_TIMEOUT = timedelta(seconds=1)
LINGER_TIME = timedelta(milliseconds=300)
ARGUMENTS = {"status": 0, "maint-on": 1, "maint-off": 1, "standby": 0, "active": 0,
             "quota": 1, "quota-reset": 1}


class Refused(Exception):
    """A call that is answered with `fail` and the text."""


class Call:
    """A parsed call: its name and argument. Refused if the line is malformed."""

    __slots__ = ("argument", "name")

    def __init__(self, line: bytes) -> None:
        words = line.decode("utf-8", "replace").split()
        self.name, given = (words[0] if words else ""), words[1:]
        if self.name not in ARGUMENTS:
            raise Refused(f"unknown call {self.name[:40]!r}; known are {', '.join(ARGUMENTS)}")
        if len(given) != ARGUMENTS[self.name]:
            expected = "the id of a backend server" if ARGUMENTS[self.name] else "no argument"
            expected = "the path of a tenant" if self.name.startswith("quota") else expected
            raise Refused(f"{self.name} takes {expected}")
        self.argument = given[0] if given else ""

    def __str__(self) -> str:
        return f"{self.name} {self.argument}".rstrip()


class Admin:
    """Listens for operators, with priority over clients; `execute` runs a call and returns its result."""

    def __init__(
            self, loop: Loop, address: Address, execute: Callable[[Call], Steps[str]], counters: Counter[str],
            log: Logging,
    ) -> None:
        self.loop, self.execute, self.counters, self.log = loop, execute, counters, log
        self.callers: dict[Stream, Task] = {}  # those that have not sent a complete line, the oldest first
        self.listener = Listener(
            loop, address, Reserve(MAX_CALLERS), self._accepted, self._close_oldest, urgent=True)
        self.listener.open()

    def _accepted(self, stream: Stream) -> None:
        self.callers[stream] = self.loop.spawn(self._serve(stream), "admin call", urgent=True)

    def _close_oldest(self) -> bool:
        """Close the oldest connection without a complete line, so that idle callers don't exclude others."""
        for stream, task in list(self.callers.items())[:1]:
            self.counters["admin_closed_for_room"] += 1
            task.stop()
            self._close(stream)
            return True
        return False

    def _close(self, stream: Stream) -> None:
        """Close a connection, once."""
        self.callers.pop(stream, None)
        if not stream.closed:
            stream.close()
            self.listener.released()

    def _serve(self, stream: Stream) -> Steps[None]:
        """Serve one call, from its connection to its answer."""
        try:
            line = b""
            try:
                line = yield from self._read_line(stream)
                self.callers.pop(stream, None)
                call = Call(line)
                result = yield from self.execute(call)
                self.counters[f"admin_{call.name}"] += 1
                answer = f"ok {result}"
            except Refused as error:
                self.counters["admin_refused"] += 1
                answer = f"fail {error}"
            self.log("admin", call=line.decode("utf-8", "replace")[:80], answer=answer)
            until = self.loop.now() + ANSWER_TIMEOUT
            yield from stream.write(f"{' '.join(answer.split())}\n".encode(), until)
            yield from stream.linger(self.loop.now() + LINGER_TIME, LINGER_TIME)
        except (StreamBroken, TimedOut):
            self.counters["admin_broken"] += 1
        finally:
            self._close(stream)

    def _read_line(self, stream: Stream) -> Steps[bytes]:
        """Read the line; Refused if its end is not received in time.

        Prevents applying a truncated call: a truncated id may be another worker's.
        """
        until, buffered = self.loop.now() + LINE_TIMEOUT, bytearray()
        while b"\n" not in buffered[:MAX_LINE_BYTES + 1]:
            if len(buffered) > MAX_LINE_BYTES:
                raise Refused(f"the line is over {MAX_LINE_BYTES} bytes")
            try:
                data = yield from stream.read(until)
            except TimedOut:
                raise Refused("no whole line came in time") from None
            if not data:
                raise Refused("the line has no end: it may be cut off")
            buffered += data
        return bytes(buffered[:buffered.index(b"\n")])

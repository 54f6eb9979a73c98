"""The second address: operators' calls. One line in, one line out that begins with `ok` or `fail`."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from arrowfold.routing.session import Logging
from arrowfold.transport.budget import Reserve
from arrowfold.transport.loop import Loop, Steps, Task
from arrowfold.transport.stream import Address, Broken, Late, Listener, Stream

MOST_CALLERS = 16
MOST_LINE = 256
LINE_LIMIT = timedelta(seconds=3)  # from accept to the line's end
ANSWER_LIMIT = timedelta(seconds=1)
LINGER = timedelta(milliseconds=300)
ARGUMENTS = {"status": 0, "maint-on": 1, "maint-off": 1, "standby": 0, "active": 0,
             "quota": 1, "quota-reset": 1}


class Refused(Exception):
    """A call that is answered with `fail` and this reason."""


class Call:
    """What a line says, or Refused."""

    __slots__ = ("argument", "name")

    def __init__(self, line: bytes) -> None:
        words = line.decode("utf-8", "replace").split()
        self.name, given = (words[0] if words else ""), words[1:]
        if self.name not in ARGUMENTS:
            raise Refused(f"unknown call {self.name[:40]!r}; known are {', '.join(ARGUMENTS)}")
        if len(given) != ARGUMENTS[self.name]:
            wants = "the id of a backend server" if ARGUMENTS[self.name] else "no argument"
            wants = "the path of a tenant" if self.name.startswith("quota") else wants
            raise Refused(f"{self.name} takes {wants}")
        self.argument = given[0] if given else ""

    def __str__(self) -> str:
        return f"{self.name} {self.argument}".rstrip()


class Admin:
    """Listens for operators, ahead of all clients; `obey` does what a call says, and words its yes."""

    def __init__(
            self, loop: Loop, address: Address, obey: Callable[[Call], Steps[str]], counters: Counter[str],
            log: Logging,
    ) -> None:
        self.loop, self.obey, self.counters, self.log = loop, obey, counters, log
        self.callers: dict[Stream, Task] = {}  # who has not said a whole line yet, longest here first
        self.listener = Listener(
            loop, address, Reserve(MOST_CALLERS), self._accepted, self._make_room, urgent=True)
        self.listener.open()

    def _accepted(self, stream: Stream) -> None:
        self.callers[stream] = self.loop.spawn(self._serve(stream), "admin call", urgent=True)

    def _make_room(self) -> bool:
        """Guards operators against callers that stay and say nothing: of too many, the first goes."""
        for stream, task in list(self.callers.items())[:1]:
            self.counters["admin_closed_for_room"] += 1
            task.stop()
            self._end(stream)
            return True
        return False

    def _end(self, stream: Stream) -> None:
        """Close a connection, once."""
        self.callers.pop(stream, None)
        if not stream.closed:
            stream.close()
            self.listener.released()

    def _serve(self, stream: Stream) -> Steps[None]:
        """One call, from its connection to its answer."""
        try:
            line = b""
            try:
                line = yield from self._line(stream)
                self.callers.pop(stream, None)
                call = Call(line)
                said = yield from self.obey(call)
                self.counters[f"admin_{call.name}"] += 1
                answer = f"ok {said}"
            except Refused as error:
                self.counters["admin_refused"] += 1
                answer = f"fail {error}"
            self.log("admin", call=line.decode("utf-8", "replace")[:80], answer=answer)
            until = self.loop.now() + ANSWER_LIMIT
            yield from stream.write(f"{' '.join(answer.split())}\n".encode(), until)
            yield from stream.linger(self.loop.now() + LINGER, LINGER)
        except (Broken, Late):
            self.counters["admin_broken"] += 1
        finally:
            self._end(stream)

    def _line(self, stream: Stream) -> Steps[bytes]:
        """The line, however it is cut, or Refused if its end does not come.

        Guards against half a call: an id that was cut off may be another server's.
        """
        until, said = self.loop.now() + LINE_LIMIT, bytearray()
        while b"\n" not in said[:MOST_LINE + 1]:
            if len(said) > MOST_LINE:
                raise Refused(f"the line is over {MOST_LINE} bytes")
            try:
                data = yield from stream.read(until)
            except Late:
                raise Refused("no whole line came in time") from None
            if not data:
                raise Refused("the line has no end: it may be cut off")
            said += data
        return bytes(said[:said.index(b"\n")])

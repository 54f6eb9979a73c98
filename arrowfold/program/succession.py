"""Replacing the process: the newcomer gets the listening sockets and what operators have said.

Two processes of one node meet at a Unix socket in $TMPDIR. While both run, each tells the other of operators'
calls and of its open sessions; the end of their connection says that the other has gone.
"""

from __future__ import annotations

import contextlib
import hashlib
import json
import os
import socket
import struct
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from typing import Any

from arrowfold.routing.session import Logging
from arrowfold.transport.loop import Loop, Steps, Task
from arrowfold.transport.stream import Address, Broken, Stream

ANSWER_LIMIT = timedelta(seconds=1)  # a predecessor that says nothing for this long is left to itself
CONFIRM_LIMIT = timedelta(milliseconds=700)  # an operator's answer is due within a second
LONGEST_PATH = 100  # a Unix socket's path may hold 107 bytes
MOST_LINKS = 4
MOST_FDS = 8
MOST_BACKLOG = 4 * 1024 * 1024
Message = dict[str, Any]


def place_of(name: str, listen: Address) -> Path:
    """Where the processes of this node meet."""
    mark = hashlib.sha256(f"{name} {listen[0]}:{listen[1]}".encode()).hexdigest()[:16]
    return Path(tempfile.gettempdir()) / f"arrowfold-{mark}"


@contextlib.contextmanager
def _short(path: Path) -> Any:
    """The path, or a shorter way to it where a Unix socket's address can't hold it."""
    if len(os.fsencode(path)) <= LONGEST_PATH:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def _same_user(sock: socket.socket) -> bool:
    """Guards against others on the machine, who may write to a shared folder for temporary files."""
    row = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    return bool(struct.unpack("3i", row)[1] == os.getuid())


@dataclass(slots=True)
class Inheritance:
    """What a newcomer got from its predecessor."""

    sock: socket.socket
    listeners: dict[Address, socket.socket] = field(default_factory=dict)
    state: Message = field(default_factory=dict)
    ahead: bytes = b""  # messages that came right behind

    def listener(self, address: Address) -> socket.socket | None:
        return self.listeners.pop(address, None)

    def close_rest(self) -> None:
        """Guards a queue that nobody would accept from: what is not used here is not kept."""
        for sock in self.listeners.values():
            sock.close()
        self.listeners.clear()


def inherit(place: Path) -> Inheritance | None:
    """Ask a predecessor, if one runs and answers; what a dead one left behind refuses connections."""
    try:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    except OSError:  # a platform that has no such sockets: nobody is there
        return None
    got: list[int] = []
    try:
        until = time.monotonic() + ANSWER_LIMIT.total_seconds()
        sock.settimeout(ANSWER_LIMIT.total_seconds())
        with _short(place) as path:
            sock.connect(path)
        if not _same_user(sock):
            raise OSError("somebody else listens there")
        sock.sendall(json.dumps({"successor": os.getpid()}).encode() + b"\n")
        data = b""
        while b"\n" not in data:
            sock.settimeout(max(0.001, until - time.monotonic()))
            part, fds, _, _ = socket.recv_fds(sock, 65536, MOST_FDS)
            got += fds
            if not part:
                raise OSError("it ended")
            data += part
        line, _, ahead = data.partition(b"\n")
        state = json.loads(line)
        if not isinstance(state, dict):
            raise ValueError("no object")
    except (OSError, ValueError):
        sock.close()
        for fd in got:
            os.close(fd)
        return None
    inheritance = Inheritance(sock, state=state, ahead=ahead)
    for fd in got:
        listener = socket.socket(fileno=fd)
        listener.setblocking(False)
        host, port = listener.getsockname()[:2]
        inheritance.listeners[host, port] = listener
    return inheritance


class Link:
    """The connection to another process of this node; messages are lines of JSON."""

    def __init__(
            self, loop: Loop, sock: socket.socket, ahead: bytes, on_message: Callable[[Link, Message], None],
            on_end: Callable[[Link], None],
    ) -> None:
        sock.setblocking(False)
        self.loop, self.on_message, self.on_end = loop, on_message, on_end
        self.stream = Stream(loop, sock, connected=True, urgent=True)
        self.backlog, self.ahead = bytearray(), ahead
        self.sessions: set[str] = set()  # what the other has open
        self.is_successor = self.ready = self.told = False
        self.confirmed: set[int] = set()
        self.waiting: dict[int, Task] = {}
        self.reader = loop.spawn(self._read(), "succession", urgent=True)
        self.writer = loop.spawn(self._write(), "succession", urgent=True)

    def send(self, message: Message, fds: tuple[int, ...] = ()) -> None:
        """Say something; descriptors go along with the first byte."""
        data = json.dumps(message, separators=(",", ":")).encode() + b"\n"
        if fds:
            with contextlib.suppress(BlockingIOError):
                data = data[socket.send_fds(self.stream.sock, [data], fds):]
        self.backlog += data
        self.writer.wake()

    def close(self) -> None:
        if not self.stream.closed:
            self.stream.close()
            self.on_end(self)
            for task in self.waiting.values():
                task.wake()

    def _write(self) -> Steps[None]:
        try:
            while not self.stream.closed:
                if not self.backlog:
                    yield from self.loop.park()
                    continue
                if len(self.backlog) > MOST_BACKLOG:
                    break  # guards the memory against another process that hangs
                data, self.backlog = bytes(self.backlog), bytearray()
                yield from self.stream.write(data)
        except Broken:
            pass
        self.close()

    def _read(self) -> Steps[None]:
        buffered = bytearray(self.ahead)
        try:
            while True:
                while (end := buffered.find(b"\n")) >= 0:
                    line = bytes(buffered[:end])
                    del buffered[:end + 1]
                    message = json.loads(line)
                    if isinstance(message, dict):
                        self.on_message(self, message)
                data = yield from self.stream.read()
                if not data:
                    break
                buffered += data
        except (Broken, ValueError):
            pass
        self.close()


class Succession:
    """This process's links to others of the same node, and the place where the next one finds it."""

    def __init__(
            self, loop: Loop, place: Path, describe: Callable[[], tuple[Message, tuple[int, ...]]],
            obey: Callable[[str, str], None], on_change: Callable[[], None], log: Logging,
    ) -> None:
        self.loop, self.place, self.describe, self.obey = loop, place, describe, obey
        self.on_change, self.log = on_change, log
        self.links: list[Link] = []
        self.sock: socket.socket | None = None
        self.mark: tuple[int, int] | None = None  # device and inode of the socket's file
        self.calls = 0
        self.on_charge: Callable[[Any], None] = lambda row: None  # what the other has charged to quotas

    @property
    def succeeded(self) -> bool:
        """Whether a newcomer serves already."""
        return any(link.is_successor and link.ready for link in self.links)

    @property
    def awaits(self) -> bool:
        """Whether a newcomer is about to serve."""
        return any(link.is_successor and not link.ready for link in self.links)

    def holds(self, job_id: str) -> bool:
        """Whether another process of this node has this session open."""
        return any(job_id in link.sessions for link in self.links)

    def meet(self, inheritance: Inheritance) -> None:
        """Follow what the predecessor says from now on."""
        link = self._link(inheritance.sock, inheritance.ahead)
        link.sessions.update(map(str, inheritance.state.get("sessions") or ()))
        link.told = True
        self.on_change()

    def publish(self) -> None:
        """From now on the next process finds this one; told to predecessors, whose place this takes."""
        self.withdraw()
        temporary = self.place.with_name(f"{self.place.name}.{os.getpid()}")
        sock: socket.socket | None = None
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            with contextlib.suppress(FileNotFoundError):
                temporary.unlink()
            before = os.umask(0o177)
            try:
                with _short(temporary) as path:
                    sock.bind(path)
            finally:
                os.umask(before)
            sock.listen(MOST_LINKS)
            status = temporary.stat()
            temporary.replace(self.place)  # at once: there is no moment without a place
        except OSError as error:
            # Guards the service against a platform without such sockets or without a folder for one: a node
            # that can't be replaced while it runs serves all the same.
            if sock is not None:
                sock.close()
            self.log("succession_no_place", error=str(error))
        else:
            self.sock, self.mark = sock, (status.st_dev, status.st_ino)
            self.loop.watch(sock.fileno(), self, urgent=True)
        for link in self.links:
            if not link.is_successor:
                link.send({"ready": True})

    def withdraw(self) -> None:
        """Leave the place, unless a newcomer has taken it."""
        if self.sock is None:
            return
        self.loop.unwatch(self.sock.fileno())
        self.sock.close()
        self.sock = None
        if self.in_place():
            with contextlib.suppress(OSError):
                self.place.unlink()

    def in_place(self) -> bool:
        """Whether the next process would find this one."""
        try:
            status = self.place.stat()
        except OSError:
            return False
        return (status.st_dev, status.st_ino) == self.mark

    def on_ready(self, mask: int) -> None:
        del mask
        while self.sock is not None:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            if len(self.links) >= MOST_LINKS or not _same_user(sock):
                sock.close()
                continue
            self._link(sock, b"").is_successor = True

    def note_session(self, job_id: str, opened: bool) -> None:
        for link in self.links:
            if link.told:
                link.send({"opened" if opened else "closed": job_id})

    def note_charge(self, row: Any) -> None:
        for link in self.links:
            if link.told:
                link.send({"charged": row})

    def tell(self, name: str, argument: str) -> Steps[bool]:
        """Pass an operator's call on; whether everybody has confirmed it, or is gone."""
        self.calls += 1
        number, until = self.calls, self.loop.now() + CONFIRM_LIMIT
        links = [link for link in self.links if link.told]
        task = self.loop.current
        assert task is not None
        for link in links:
            link.waiting[number] = task
            link.send({"call": name, "argument": argument, "number": number})
        try:
            while any(number not in link.confirmed and not link.stream.closed for link in links):
                if self.loop.now() >= until:
                    return False
                yield from self.loop.park(until)
            return True
        finally:
            for link in links:
                link.waiting.pop(number, None)
                link.confirmed.discard(number)

    def _link(self, sock: socket.socket, ahead: bytes) -> Link:
        link = Link(self.loop, sock, ahead, self._heard, self._ended)
        self.links.append(link)
        return link

    def _heard(self, link: Link, message: Message) -> None:
        if "successor" in message and not link.told:
            state, fds = self.describe()
            link.send(state, fds)
            link.told = True
            self.log("succession_to_follow", process=message["successor"])
            self.on_change()
        elif "ready" in message:
            link.ready = True
            self.log("succession_newcomer_serves")
            self.on_change()
        elif "call" in message:
            self.obey(str(message["call"]), str(message.get("argument") or ""))
            link.send({"done": message.get("number")})
            for other in self.links:
                if other is not link and other.told:
                    other.send({"call": message["call"], "argument": message.get("argument"), "number": 0})
        elif "done" in message:
            if message["done"] in link.waiting:
                link.confirmed.add(message["done"])
                link.waiting[message["done"]].wake()
        elif "opened" in message:
            link.sessions.add(str(message["opened"]))
        elif "closed" in message:
            link.sessions.discard(str(message["closed"]))
        elif "charged" in message:
            self.on_charge(message["charged"])

    def _ended(self, link: Link) -> None:
        if link in self.links:
            self.links.remove(link)
            self.log("succession_gone", who="newcomer" if link.is_successor else "predecessor")
            self.on_change()

"""Replaces a node's process without downtime: a successor takes over the listening sockets and the state.

The two processes connect over a Unix socket in $TMPDIR and exchange JSON lines. While both run, each forwards
operators' commands, quota charges and changes of its open sessions to the other. The end of the connection
means that the other process has ended.
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
from arrowfold.transport.stream import Address, Stream, StreamBroken

HANDSHAKE_TIMEOUT = timedelta(seconds=1)  # a predecessor that does not answer in this time is ignored
CONFIRM_TIMEOUT = timedelta(milliseconds=700)  # an operator's command must be answered within a second
MAX_SOCKET_PATH_BYTES = 100  # the limit of the kernel is 107 bytes
MAX_LINKS = 4
MAX_DESCRIPTORS = 8
MAX_BACKLOG_BYTES = 4 * 1024 * 1024
Message = dict[str, Any]


def socket_path(name: str, listen: Address) -> Path:
    """Returns the path of the Unix socket over which the processes of this node connect."""
    digest = hashlib.sha256(f"{name} {listen[0]}:{listen[1]}".encode()).hexdigest()[:16]
    return Path(tempfile.gettempdir()) / f"arrowfold-{digest}"


@contextlib.contextmanager
def _short_path(path: Path) -> Any:
    """Yields the path, or a shorter one through /proc where it exceeds the limit for Unix sockets."""
    if len(os.fsencode(path)) <= MAX_SOCKET_PATH_BYTES:
        yield str(path)
        return
    directory = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{directory}/{path.name}"
    finally:
        os.close(directory)


def _is_same_user(sock: socket.socket) -> bool:
    """Checks the peer's user: a shared directory for temporary files is writable by other users."""
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    return bool(struct.unpack("3i", credentials)[1] == os.getuid())


@dataclass(slots=True)
class Handover:
    """What a successor received from its predecessor: connection, listening sockets and state."""

    sock: socket.socket
    listeners: dict[Address, socket.socket] = field(default_factory=dict)
    state: Message = field(default_factory=dict)
    unread: bytes = b""  # bytes received behind the state message

    def listener(self, address: Address) -> socket.socket | None:
        """Removes and returns the listening socket of an address; None if there is none."""
        return self.listeners.pop(address, None)

    def close_unused(self) -> None:
        """Closes the listening sockets that were not taken, since nobody would accept from their backlog."""
        for sock in self.listeners.values():
            sock.close()
        self.listeners.clear()


def request_handover(path: Path) -> Handover | None:
    """Requests the handover from a running predecessor. Returns None if there is none or it does not answer.

    The socket file of a predecessor that was killed refuses connections.
    """
    try:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    except OSError:  # the platform has no Unix sockets, so there is no predecessor
        return None
    descriptors: list[int] = []
    try:
        deadline = time.monotonic() + HANDSHAKE_TIMEOUT.total_seconds()
        sock.settimeout(HANDSHAKE_TIMEOUT.total_seconds())
        with _short_path(path) as short_path:
            sock.connect(short_path)
        if not _is_same_user(sock):
            raise OSError("the socket belongs to another user")
        sock.sendall(json.dumps({"successor": os.getpid()}).encode() + b"\n")
        data = b""
        while b"\n" not in data:
            sock.settimeout(max(0.001, deadline - time.monotonic()))
            part, fds, _, _ = socket.recv_fds(sock, 65536, MAX_DESCRIPTORS)
            descriptors += fds
            if not part:
                raise OSError("the predecessor closed the connection")
            data += part
        line, _, unread = data.partition(b"\n")
        state = json.loads(line)
        if not isinstance(state, dict):
            raise ValueError("the state is not a JSON object")
    except (OSError, ValueError):
        sock.close()
        for fd in descriptors:
            os.close(fd)
        return None
    handover = Handover(sock, state=state, unread=unread)
    for fd in descriptors:
        listener = socket.socket(fileno=fd)
        listener.setblocking(False)
        host, port = listener.getsockname()[:2]
        handover.listeners[host, port] = listener
    return handover


class Link:
    """The connection to another process of this node. Messages are JSON objects, one a line."""

    def __init__(
            self, loop: Loop, sock: socket.socket, unread: bytes, on_message: Callable[[Link, Message], None],
            on_end: Callable[[Link], None],
    ) -> None:
        sock.setblocking(False)
        self.loop, self.on_message, self.on_end = loop, on_message, on_end
        self.stream = Stream(loop, sock, connected=True, urgent=True)
        self.backlog, self.unread = bytearray(), unread
        self.sessions: set[str] = set()  # ids of the requests that the other process has open
        # is_synced: the state was sent or received, so that changes are forwarded over this link.
        self.is_successor = self.is_serving = self.is_synced = False
        self.confirmed_calls: set[int] = set()
        self.waiting_tasks: dict[int, Task] = {}  # by the number of the forwarded command
        self.reader = loop.spawn(self._read(), "succession", urgent=True)
        self.writer = loop.spawn(self._write(), "succession", urgent=True)

    def send(self, message: Message, fds: tuple[int, ...] = ()) -> None:
        """Queues a message; file descriptors are passed along with its first byte."""
        data = json.dumps(message, separators=(",", ":")).encode() + b"\n"
        if fds:
            with contextlib.suppress(BlockingIOError):
                data = data[socket.send_fds(self.stream.sock, [data], fds):]
        self.backlog += data
        self.writer.wake()

    def close(self) -> None:
        """Closes the connection and wakes the tasks that wait for a confirmation."""
        if not self.stream.closed:
            self.stream.close()
            self.on_end(self)
            for task in self.waiting_tasks.values():
                task.wake()

    def _write(self) -> Steps[None]:
        try:
            while not self.stream.closed:
                if not self.backlog:
                    yield from self.loop.park()
                    continue
                if len(self.backlog) > MAX_BACKLOG_BYTES:
                    break  # bounds the memory used when the other process hangs
                data, self.backlog = bytes(self.backlog), bytearray()
                yield from self.stream.write(data)
        except StreamBroken:
            pass
        self.close()

    def _read(self) -> Steps[None]:
        buffered = bytearray(self.unread)
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
        except (StreamBroken, ValueError):
            pass
        self.close()


class Succession:
    """Links to other processes of this node, and the published socket to which a successor connects."""

    def __init__(
            self, loop: Loop, path: Path, export_state: Callable[[], tuple[Message, tuple[int, ...]]],
            apply_command: Callable[[str, str], None], on_change: Callable[[], None], log: Logging,
    ) -> None:
        self.loop, self.path, self.export_state, self.apply_command = loop, path, export_state, apply_command
        self.on_change, self.log = on_change, log
        self.links: list[Link] = []
        self.sock: socket.socket | None = None
        self.socket_file_id: tuple[int, int] | None = None  # device and inode of the published socket file
        self.call_count = 0
        # Called with each quota charge of the other process.
        self.on_charge: Callable[[Any], None] = lambda row: None

    @property
    def has_serving_successor(self) -> bool:
        """Whether a successor is connected and serves."""
        return any(link.is_successor and link.is_serving for link in self.links)

    @property
    def has_starting_successor(self) -> bool:
        """Whether a successor is connected and does not serve yet."""
        return any(link.is_successor and not link.is_serving for link in self.links)

    def is_session_open(self, job_id: str) -> bool:
        """Whether another process of this node has the request with this id open."""
        return any(job_id in link.sessions for link in self.links)

    def attach_predecessor(self, handover: Handover) -> None:
        """Links to the predecessor and processes its messages from now on."""
        link = self._add_link(handover.sock, handover.unread)
        link.sessions.update(map(str, handover.state.get("sessions") or ()))
        link.is_synced = True
        self.on_change()

    def publish(self) -> None:
        """Publishes this process's socket in place of a predecessor's, and reports that this process serves.

        A failure to publish is only logged.
        """
        self.withdraw()
        temporary = self.path.with_name(f"{self.path.name}.{os.getpid()}")
        sock: socket.socket | None = None
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            with contextlib.suppress(FileNotFoundError):
                temporary.unlink()
            previous_umask = os.umask(0o177)
            try:
                with _short_path(temporary) as short_path:
                    sock.bind(short_path)
            finally:
                os.umask(previous_umask)
            sock.listen(MAX_LINKS)
            status = temporary.stat()
            temporary.replace(self.path)  # atomic: the path always names a listening socket
        except OSError as error:
            # The platform may lack Unix sockets or a writable directory. The node serves without them, but
            # cannot be replaced while it runs.
            if sock is not None:
                sock.close()
            self.log("succession_no_place", error=str(error))
        else:
            self.sock, self.socket_file_id = sock, (status.st_dev, status.st_ino)
            self.loop.watch(sock.fileno(), self, urgent=True)
        for link in self.links:
            if not link.is_successor:
                link.send({"ready": True})

    def withdraw(self) -> None:
        """Closes the published socket; removes its file unless a successor has replaced it."""
        if self.sock is None:
            return
        self.loop.unwatch(self.sock.fileno())
        self.sock.close()
        self.sock = None
        if self.is_published():
            with contextlib.suppress(OSError):
                self.path.unlink()

    def is_published(self) -> bool:
        """Whether the socket file is still the one of this process."""
        try:
            status = self.path.stat()
        except OSError:
            return False
        return (status.st_dev, status.st_ino) == self.socket_file_id

    def on_ready(self, mask: int) -> None:
        """Accepts connections of successors."""
        del mask
        while self.sock is not None:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            if len(self.links) >= MAX_LINKS or not _is_same_user(sock):
                sock.close()
                continue
            self._add_link(sock, b"").is_successor = True

    def send_session_change(self, job_id: str, opened: bool) -> None:
        """Reports a request that was opened or closed here to the other processes."""
        for link in self.links:
            if link.is_synced:
                link.send({"opened" if opened else "closed": job_id})

    def send_charge(self, row: Any) -> None:
        """Reports a quota charge to the other processes."""
        for link in self.links:
            if link.is_synced:
                link.send({"charged": row})

    def forward_call(self, name: str, argument: str) -> Steps[bool]:
        """Forwards an operator's command. Returns whether each other process confirmed it or has ended."""
        self.call_count += 1
        number, deadline = self.call_count, self.loop.now() + CONFIRM_TIMEOUT
        links = [link for link in self.links if link.is_synced]
        task = self.loop.current
        assert task is not None
        for link in links:
            link.waiting_tasks[number] = task
            link.send({"call": name, "argument": argument, "number": number})
        try:
            while any(number not in link.confirmed_calls and not link.stream.closed for link in links):
                if self.loop.now() >= deadline:
                    return False
                yield from self.loop.park(deadline)
            return True
        finally:
            for link in links:
                link.waiting_tasks.pop(number, None)
                link.confirmed_calls.discard(number)

    def _add_link(self, sock: socket.socket, unread: bytes) -> Link:
        link = Link(self.loop, sock, unread, self._on_message, self._on_link_end)
        self.links.append(link)
        return link

    def _on_message(self, link: Link, message: Message) -> None:
        if "successor" in message and not link.is_synced:
            state, fds = self.export_state()
            link.send(state, fds)
            link.is_synced = True
            self.log("succession_to_follow", process=message["successor"])
            self.on_change()
        elif "ready" in message:
            link.is_serving = True
            self.log("succession_newcomer_serves")
            self.on_change()
        elif "call" in message:
            self.apply_command(str(message["call"]), str(message.get("argument") or ""))
            link.send({"done": message.get("number")})
            for other in self.links:
                if other is not link and other.is_synced:
                    other.send({"call": message["call"], "argument": message.get("argument"), "number": 0})
        elif "done" in message:
            if message["done"] in link.waiting_tasks:
                link.confirmed_calls.add(message["done"])
                link.waiting_tasks[message["done"]].wake()
        elif "opened" in message:
            link.sessions.add(str(message["opened"]))
        elif "closed" in message:
            link.sessions.discard(str(message["closed"]))
        elif "charged" in message:
            self.on_charge(message["charged"])

    def _on_link_end(self, link: Link) -> None:
        if link in self.links:
            self.links.remove(link)
            self.log("succession_gone", who="newcomer" if link.is_successor else "predecessor")
            self.on_change()

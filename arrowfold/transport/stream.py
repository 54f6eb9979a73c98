"""Byte streams on non-blocking TCP sockets, and the listener that accepts them."""

from __future__ import annotations

import errno
import select
import socket
from collections.abc import Callable
from datetime import timedelta

from arrowfold.transport.budget import ConnectionQuota
from arrowfold.transport.loop import ZERO, Loop, Steps, Task

READ_BYTES = 65536
MAX_LINGER_BYTES = 96 * 1024 * 1024  # discarded by one `Stream.linger`
LINGER_BYTES_PER_TURN = 1024 * 1024  # discarded before other tasks run
MAX_BURST_BYTES = 256 * 1024  # read from one stream before other tasks run
MAX_ACCEPTS_PER_TURN = 32  # connections accepted before other tasks run
_DISCARD_BUFFER = bytearray(256 * 1024)  # never written to, see `Stream.linger`
Address = tuple[str, int]
ACCEPT_RETRY_DELAY = timedelta(milliseconds=50)


class StreamBroken(Exception):
    """The connection broke or could not be established."""


class TimedOut(Exception):
    """An operation exceeded its deadline."""


class Stream:
    """One connection, read by at most one task and written by at most one.

    A write waits while the socket's send buffer is full, so that no data is buffered here.
    """

    __slots__ = (
        "burst", "closed", "connected", "loop", "on_idle_event", "peer", "reader", "sock", "writer")

    def __init__(
            self, loop: Loop, sock: socket.socket, connected: bool, urgent: bool = False,
    ) -> None:
        self.loop, self.sock, self.connected = loop, sock, connected
        self.closed = False
        self.burst = 0  # bytes read since the reading task was last suspended
        self.peer: str | None = None  # the client's address, for an accepted connection
        self.reader: Task | None = None
        self.writer: Task | None = None
        self.on_idle_event: Callable[[], None] | None = None
        loop.watch(sock.fileno(), self, urgent)

    def on_ready(self, mask: int) -> None:
        """Wakes the reading and writing tasks, or calls `on_idle_event` if it is set."""
        if self.on_idle_event is not None and mask & ~select.EPOLLOUT:
            self.on_idle_event()
            return
        if mask & ~select.EPOLLOUT and self.reader is not None:
            self.reader.wake()
        if mask & ~select.EPOLLIN and self.writer is not None:
            self.writer.wake()

    def try_read(self, max_bytes: int = READ_BYTES) -> bytes | None:
        """Returns received bytes, empty bytes at the end of the stream, or None if nothing is available."""
        if self.closed:
            raise StreamBroken("connection closed locally")
        try:
            return self.sock.recv(max_bytes)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError as error:
            raise StreamBroken(str(error)) from error

    def quiet(self) -> bool:
        """Returns whether nothing is waiting to be read.

        Checked before an idle connection is closed, since a request may have arrived but not been read yet.
        """
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            pass
        return False

    def read(self, until: timedelta | None = None) -> Steps[bytes]:
        """Returns the next bytes, empty at the end of the stream; raises TimedOut after `until`."""
        while True:
            if self.burst >= MAX_BURST_BYTES:
                # A peer that sends without end must not keep other tasks and timers from running.
                self.burst = 0
                yield from self.loop.turn()
            data = self.try_read()
            if data is not None:
                self.burst += len(data)
                return data
            if until is not None and self.loop.now() >= until:
                raise TimedOut("no data received before the deadline")
            yield from self.wait_readable(until)

    def wait_readable(self, until: timedelta | None = None) -> Steps[None]:
        """Waits for data or the end of the stream; wake-ups may be spurious."""
        self.burst, self.reader = 0, self.loop.current
        try:
            yield from self.loop.park(until)
        finally:
            self.reader = None

    def write(self, data: bytes, until: timedelta | None = None) -> Steps[None]:
        """Passes all bytes to the kernel; raises StreamBroken, or TimedOut if `until` passes before."""
        rest = memoryview(data)
        while rest:
            if self.closed:
                raise StreamBroken("connection closed locally")
            try:
                rest = rest[self.sock.send(rest):]
                continue
            except (BlockingIOError, InterruptedError):
                pass
            except OSError as error:
                raise StreamBroken(str(error)) from error
            if until is not None and self.loop.now() >= until:
                raise TimedOut("no data accepted by the peer before the deadline")
            self.writer = self.loop.current
            try:
                yield from self.loop.park(until)
            finally:
                self.writer = None

    def linger(self, until: timedelta, silence: timedelta) -> Steps[None]:
        """Ends sending and discards further input until none has arrived for the time `silence`.

        Closing a connection with unread input resets it, and the client could lose the end of an answer.
        """
        try:
            self.sock.shutdown(socket.SHUT_WR)
            left, last_input = MAX_LINGER_BYTES, self.loop.now()
            turn = left - LINGER_BYTES_PER_TURN
            while left > 0 and not self.closed and self.loop.now() < min(until, last_input + silence):
                try:
                    # With MSG_TRUNC the kernel discards the data without copying it.
                    count = self.sock.recv_into(_DISCARD_BUFFER, 0, socket.MSG_TRUNC)
                except (BlockingIOError, InterruptedError):
                    yield from self.wait_readable(min(until, last_input + silence))
                    continue
                if not count:
                    return
                left, last_input = left - count, self.loop.now()
                if left < turn:
                    turn = left - LINGER_BYTES_PER_TURN
                    yield from self.loop.turn()
        except OSError:
            return

    def close(self) -> None:
        """Closes the connection and wakes the tasks that wait on it; idempotent."""
        if not self.closed:
            self.closed = True
            self.loop.unwatch(self.sock.fileno())
            self.sock.close()
            for task in (self.reader, self.writer):
                if task is not None:
                    task.wake()


def connect(loop: Loop, address: Address, until: timedelta) -> Steps[Stream]:
    """Returns an established connection, or raises StreamBroken."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    except OSError as error:
        raise StreamBroken(str(error)) from error
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex(address)
    except OSError as error:
        sock.close()
        raise StreamBroken(str(error)) from error
    if code not in (0, errno.EINPROGRESS):
        sock.close()
        raise StreamBroken(errno.errorcode.get(code, str(code)))
    stream = Stream(loop, sock, connected=code == 0)
    try:
        while not stream.connected:
            stream.writer = loop.current
            try:
                yield from loop.park(until)
            finally:
                stream.writer = None
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise StreamBroken(errno.errorcode.get(code, str(code)))
            try:
                sock.getpeername()
                stream.connected = True
            except OSError as error:
                if loop.now() >= until:
                    raise StreamBroken("connection not established before the deadline") from error
    except BaseException:
        stream.close()
        raise
    return stream


class Listener:
    """Accepts connections while its quota allows; further ones wait in the kernel's backlog.

    `on_full` is called when the quota is used up; it returns whether it has released a connection.
    """

    def __init__(
            self, loop: Loop, address: Address, quota: ConnectionQuota,
            on_stream: Callable[[Stream], None], on_full: Callable[[], bool] = lambda: False,
            urgent: bool = False, sock: socket.socket | None = None,
    ) -> None:
        self.loop, self.quota, self.urgent = loop, quota, urgent
        self.on_stream, self.on_full = on_stream, on_full
        self.retry_scheduled = False
        if sock is None:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            # A process that replaces a hanging one must be able to listen on the same address.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            sock.bind(address)
        self.sock = sock  # bound here or inherited from this node's previous process

    def open(self) -> None:
        """Starts accepting connections."""
        self.sock.listen(1024)
        self.loop.watch(self.sock.fileno(), self, self.urgent)
        self.accept()

    @property
    def address(self) -> Address:
        """The bound host and port."""
        host, port = self.sock.getsockname()
        return host, port

    def on_ready(self, mask: int) -> None:
        """Accepts waiting connections."""
        del mask
        self.accept()

    def accept(self) -> None:
        """Accepts waiting connections; retries later when the quota or the descriptors are used up."""
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if not self.quota.has_capacity() and not self.on_full():
                self._schedule_retry(ACCEPT_RETRY_DELAY)
                return
            try:
                sock, address = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionError:
                continue
            except OSError:
                # E.g. EMFILE: edge-triggered epoll does not report the waiting connection a second time.
                self.on_full()
                self._schedule_retry(ACCEPT_RETRY_DELAY)
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.quota.take()
            stream = Stream(self.loop, sock, connected=True, urgent=self.urgent)
            stream.peer = address[0]
            self.on_stream(stream)
        self._schedule_retry(ZERO)  # lets accepted clients be served during a burst of connections

    def released(self) -> None:
        """Must be called once for each accepted stream that has been closed."""
        self.quota.release()

    def _schedule_retry(self, delay: timedelta) -> None:
        if not self.retry_scheduled:
            self.retry_scheduled = True
            self.loop.call_later(delay, self.retry)

    def retry(self) -> None:
        """Accepts waiting connections unless the listener is closed."""
        self.retry_scheduled = False
        if self.sock.fileno() >= 0:
            self.accept()

    def close(self) -> None:
        """Stops listening; idempotent."""
        if self.sock.fileno() >= 0:
            self.loop.unwatch(self.sock.fileno())
            self.sock.close()

"""Byte streams on non-blocking TCP sockets, and the listener that accepts them."""

from __future__ import annotations

import errno
import select
import socket
from collections.abc import Callable
from datetime import timedelta

from arrowfold.transport.budget import House
from arrowfold.transport.loop import ZERO, Loop, Steps, Task

CHUNK = 65536
MOST_LINGER = 96 * 1024 * 1024
LINGER_TURN = 1024 * 1024  # discarded in one turn of the loop
BURST = 256 * 1024  # read from one stream before others have their turn
MOST_ACCEPTED = 32  # connections taken in one turn of the loop
_WASTE = bytearray(256 * 1024)  # MSG_TRUNC leaves it as it is
Address = tuple[str, int]
RETRY_ACCEPT = timedelta(milliseconds=50)


class Broken(Exception):
    """The connection broke, or never came up."""


class Late(Exception):
    """What was waited for did not come in time."""


class Stream:
    """One connection. One task reads; writes wait for room, so that nothing piles up here."""

    __slots__ = (
        "burst", "closed", "connected", "loop", "on_idle_event", "peer", "reader", "sock", "writer")

    def __init__(
            self, loop: Loop, sock: socket.socket, connected: bool, urgent: bool = False,
    ) -> None:
        self.loop, self.sock, self.connected = loop, sock, connected
        self.closed = False
        self.burst = 0  # bytes read since this stream's reader last waited
        self.peer: str | None = None  # the other side's address, of a connection that was accepted
        self.reader: Task | None = None
        self.writer: Task | None = None
        self.on_idle_event: Callable[[], None] | None = None
        loop.watch(sock.fileno(), self, urgent)

    def on_ready(self, mask: int) -> None:
        if self.on_idle_event is not None and mask & ~select.EPOLLOUT:
            self.on_idle_event()
            return
        if mask & ~select.EPOLLOUT and self.reader is not None:
            self.reader.wake()
        if mask & ~select.EPOLLIN and self.writer is not None:
            self.writer.wake()

    def try_read(self, most: int = CHUNK) -> bytes | None:
        """What has come in; empty at the end, None while nothing is there."""
        if self.closed:
            raise Broken("closed here")
        try:
            return self.sock.recv(most)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError as error:
            raise Broken(str(error)) from error

    def quiet(self) -> bool:
        """Whether nothing waits to be read. Guards a request that has come, and was not looked at yet."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            pass
        return False

    def read(self, until: timedelta | None = None) -> Steps[bytes]:
        """The next bytes; empty once the peer has ended its sending."""
        while True:
            if self.burst >= BURST:
                # Guards all others, and every timer, against a peer that sends without end.
                self.burst = 0
                yield from self.loop.turn()
            data = self.try_read()
            if data is not None:
                self.burst += len(data)
                return data
            if until is not None and self.loop.now() >= until:
                raise Late("nothing came")
            yield from self.wait_readable(until)

    def wait_readable(self, until: timedelta | None = None) -> Steps[None]:
        """Wait for bytes or an end; wakes may be spurious."""
        self.burst, self.reader = 0, self.loop.current
        try:
            yield from self.loop.park(until)
        finally:
            self.reader = None

    def write(self, data: bytes, until: timedelta | None = None) -> Steps[None]:
        """Hand every byte to the system, or raise."""
        rest = memoryview(data)
        while rest:
            if self.closed:
                raise Broken("closed here")
            try:
                rest = rest[self.sock.send(rest):]
                continue
            except (BlockingIOError, InterruptedError):
                pass
            except OSError as error:
                raise Broken(str(error)) from error
            if until is not None and self.loop.now() >= until:
                raise Late("the peer takes nothing")
            self.writer = self.loop.current
            try:
                yield from self.loop.park(until)
            finally:
                self.writer = None

    def linger(self, until: timedelta, quiet: timedelta) -> Steps[None]:
        """End our sending, and discard what the peer still sends, until it has been quiet for a while.

        Guards an answer's last bytes: closing with something unread would reset the connection under them.
        """
        try:
            self.sock.shutdown(socket.SHUT_WR)
            left, heard = MOST_LINGER, self.loop.now()
            turn = left - LINGER_TURN
            while left > 0 and not self.closed and self.loop.now() < min(until, heard + quiet):
                try:
                    count = self.sock.recv_into(_WASTE, 0, socket.MSG_TRUNC)  # the system copies nothing
                except (BlockingIOError, InterruptedError):
                    yield from self.wait_readable(min(until, heard + quiet))
                    continue
                if not count:
                    return
                left, heard = left - count, self.loop.now()
                if left < turn:
                    turn = left - LINGER_TURN
                    yield from self.loop.turn()
        except OSError:
            return

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.loop.unwatch(self.sock.fileno())
            self.sock.close()
            for task in (self.reader, self.writer):
                if task is not None:
                    task.wake()


def connect(loop: Loop, address: Address, until: timedelta) -> Steps[Stream]:
    """A connection that is up, or Broken."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    except OSError as error:
        raise Broken(str(error)) from error
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex(address)
    except OSError as error:
        sock.close()
        raise Broken(str(error)) from error
    if code not in (0, errno.EINPROGRESS):
        sock.close()
        raise Broken(errno.errorcode.get(code, str(code)))
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
                raise Broken(errno.errorcode.get(code, str(code)))
            try:
                sock.getpeername()
                stream.connected = True
            except OSError as error:
                if loop.now() >= until:
                    raise Broken("never came up") from error
    except BaseException:
        stream.close()
        raise
    return stream


class Listener:
    """Accepts connections while there is room for them; those beyond wait in the system's backlog."""

    def __init__(
            self, loop: Loop, address: Address, house: House,
            on_stream: Callable[[Stream], None], on_full: Callable[[], bool] = lambda: False,
            urgent: bool = False, sock: socket.socket | None = None,
    ) -> None:
        self.loop, self.house, self.urgent = loop, house, urgent
        self.on_stream, self.on_full = on_stream, on_full
        self.waiting = False
        if sock is None:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            # A process that replaces one which hangs has to listen beside it.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            sock.bind(address)
        self.sock = sock  # bound here, or inherited from this node's process before

    def open(self) -> None:
        """Accept from now on."""
        self.sock.listen(1024)
        self.loop.watch(self.sock.fileno(), self, self.urgent)
        self.accept()

    @property
    def address(self) -> Address:
        host, port = self.sock.getsockname()
        return host, port

    def on_ready(self, mask: int) -> None:
        del mask
        self.accept()

    def accept(self) -> None:
        """Take what waits. A full house or table of descriptors is looked at again a little later."""
        for _ in range(MOST_ACCEPTED):
            if not self.house.has_room() and not self.on_full():
                self._again(RETRY_ACCEPT)
                return
            try:
                sock, address = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionError:
                continue
            except OSError:
                # Guards against EMFILE: edge-triggered epoll won't say a second time that somebody waits.
                self.on_full()
                self._again(RETRY_ACCEPT)
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.house.take()
            stream = Stream(self.loop, sock, connected=True, urgent=self.urgent)
            stream.peer = address[0]
            self.on_stream(stream)
        self._again(ZERO)  # guards who is served already against a crowd that comes all at once

    def released(self) -> None:
        """One accepted stream has been closed."""
        self.house.release()

    def _again(self, delay: timedelta) -> None:
        if not self.waiting:
            self.waiting = True
            self.loop.call_later(delay, self.retry)

    def retry(self) -> None:
        """Take what waits now, unless this one is closed."""
        self.waiting = False
        if self.sock.fileno() >= 0:
            self.accept()

    def close(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.unwatch(self.sock.fileno())
            self.sock.close()

"""Framing of the Faktory work protocol: command lines in, RESP replies out; password check."""

from __future__ import annotations

import hashlib
import hmac
import json
import secrets
from datetime import timedelta
from typing import Any

from arrowfold.transport.loop import Steps
from arrowfold.transport.stream import Stream, StreamBroken

MAX_LINE_BYTES = 96 * 1024  # fits an escaped job of 64 KiB and its other fields
COMMAND_TIMEOUT = timedelta(milliseconds=2700)  # from a command's first byte to its last
HASH_ITERATIONS = 1500
OK = b"+OK\r\n"
NIL = b"$-1\r\n"


class CommandError(Exception):
    """A command that is answered with -ERR and the text; `fatal` ends the connection afterwards."""

    def __init__(self, text: str, fatal: bool = False) -> None:
        super().__init__(text)
        self.fatal = fatal


def error_reply(text: str) -> bytes:
    """Returns an -ERR reply, with the text on one line."""
    return f"-ERR {' '.join(text.split())}\r\n".encode()


def bulk_reply(value: object) -> bytes:
    """Returns a value as a RESP bulk_reply string of JSON."""
    data = json.dumps(value, separators=(",", ":")).encode()
    return b"$%d\r\n%s\r\n" % (len(data), data)


def parse_object(text: str, command: str) -> dict[str, Any]:
    """Parse a command's JSON object; CommandError if it is none."""
    try:
        value = json.loads(text)
    except (ValueError, RecursionError):
        raise CommandError(f"{command}: its argument is no JSON") from None
    if not isinstance(value, dict):
        raise CommandError(f"{command}: its argument is no JSON object")
    return value


class Greeting:
    """The node's HI, with a salt for each connection, and the check of the client's HELLO against it."""

    def __init__(self, password: str | None) -> None:
        self.password, self.salt = password, secrets.token_hex(8)

    def line(self) -> bytes:
        """Returns the HI line."""
        hi: dict[str, Any] = {"v": 2}
        if self.password is not None:
            hi |= {"i": HASH_ITERATIONS, "s": self.salt}
        return f"+HI {json.dumps(hi, separators=(',', ':'))}\r\n".encode()

    def check(self, hello: dict[str, Any]) -> None:
        """Check version and password; a fatal CommandError if one is wrong."""
        if hello.get("v") != 2:
            raise CommandError("HELLO: v must be 2", fatal=True)
        if self.password is None:
            return
        digest = hash_password(self.password, self.salt, HASH_ITERATIONS)
        if not hmac.compare_digest(digest.encode(), str(hello.get("pwdhash")).encode()):
            raise CommandError("HELLO: invalid password", fatal=True)


def hash_password(password: str, salt: str, rounds: int) -> str:
    """Returns the hexadecimal SHA-256 of password and salt, iterated `rounds` times."""
    data = (password + salt).encode()
    for _ in range(rounds):
        data = hashlib.sha256(data).digest()
    return data.hex()


class CommandStream:
    """Reads command lines from one connection."""

    def __init__(self, stream: Stream) -> None:
        self.stream, self.buffered = stream, bytearray()
        self.has_overrun = False  # pipelined data beyond the bound was discarded

    def command(self, until: timedelta) -> Steps[tuple[str, str] | None]:
        """Returns the next command's name and argument; None if the peer closes between two commands.

        A peer may be idle between two commands, but has COMMAND_TIMEOUT within one. A fatal CommandError if
        the line is malformed, StreamBroken or TimedOut if it is incomplete.
        """
        if self.has_overrun:
            raise CommandError(f"more than {MAX_LINE_BYTES} bytes were sent ahead", fatal=True)
        begun = bool(self.buffered)
        until = min(until, self.stream.loop.now() + COMMAND_TIMEOUT) if begun else until
        while (end := self.buffered.find(b"\n")) < 0:
            if len(self.buffered) > MAX_LINE_BYTES:
                raise CommandError(f"a command is over {MAX_LINE_BYTES} bytes", fatal=True)
            data = yield from self.stream.read(until)
            if not data:
                if self.buffered:
                    raise StreamBroken("ended within a command")
                return None
            self.buffered += data
            if not begun:
                begun, until = True, min(until, self.stream.loop.now() + COMMAND_TIMEOUT)
        if end > MAX_LINE_BYTES:
            raise CommandError(f"a command is over {MAX_LINE_BYTES} bytes", fatal=True)
        line = bytes(self.buffered[:end]).rstrip(b"\r")
        del self.buffered[:end + 1]
        try:
            word, _, argument = line.decode().strip().partition(" ")
        except UnicodeDecodeError:
            raise CommandError("a command is no UTF-8", fatal=True) from None
        if not word:
            raise CommandError("an empty command", fatal=True)
        return word.upper(), argument.strip()

    def poll_disconnect(self) -> bool | None:
        """Buffer pipelined data; True after the peer's disconnect, None if nothing is there to read."""
        data = self.stream.try_read()
        if data is None:
            return None
        # Bounds memory: data beyond the bound is discarded, but read, as the end of the stream follows it.
        self.has_overrun = self.has_overrun or len(self.buffered) + len(data) > 2 * MAX_LINE_BYTES
        if not self.has_overrun:
            self.buffered += data
        return not data

"""The Faktory work protocol's framing: command lines in, RESP replies out; passwords."""

from __future__ import annotations

import hashlib
import hmac
import json
import secrets
from datetime import timedelta
from typing import Any

from arrowfold.transport.loop import Steps
from arrowfold.transport.stream import Broken, Stream

MOST_LINE = 96 * 1024  # a job of 64 KiB, escaped, and its other fields
COMMAND_LIMIT = timedelta(milliseconds=2700)  # from a command's first byte to its last
HASH_ROUNDS = 1500
OK = b"+OK\r\n"
NIL = b"$-1\r\n"


class CommandError(Exception):
    """Answered with -ERR; `fatal` ends the connection after it."""

    def __init__(self, text: str, fatal: bool = False) -> None:
        super().__init__(text)
        self.fatal = fatal


def error_reply(text: str) -> bytes:
    return f"-ERR {' '.join(text.split())}\r\n".encode()


def bulk(value: object) -> bytes:
    data = json.dumps(value, separators=(",", ":")).encode()
    return b"$%d\r\n%s\r\n" % (len(data), data)


def parse_object(text: str, command: str) -> dict[str, Any]:
    """The JSON object that a command carries."""
    try:
        value = json.loads(text)
    except (ValueError, RecursionError):
        raise CommandError(f"{command}: its argument is no JSON") from None
    if not isinstance(value, dict):
        raise CommandError(f"{command}: its argument is no JSON object")
    return value


class Greeting:
    """What HI asks of a client, and whether its HELLO meets it."""

    def __init__(self, password: str | None) -> None:
        self.password, self.salt = password, secrets.token_hex(8)

    def line(self) -> bytes:
        hi: dict[str, Any] = {"v": 2}
        if self.password is not None:
            hi |= {"i": HASH_ROUNDS, "s": self.salt}
        return f"+HI {json.dumps(hi, separators=(',', ':'))}\r\n".encode()

    def check(self, hello: dict[str, Any]) -> None:
        if hello.get("v") != 2:
            raise CommandError("HELLO: v must be 2", fatal=True)
        if self.password is None:
            return
        digest = hash_password(self.password, self.salt, HASH_ROUNDS)
        if not hmac.compare_digest(digest.encode(), str(hello.get("pwdhash")).encode()):
            raise CommandError("HELLO: invalid password", fatal=True)


def hash_password(password: str, salt: str, rounds: int) -> str:
    data = (password + salt).encode()
    for _ in range(rounds):
        data = hashlib.sha256(data).digest()
    return data.hex()


class CommandStream:
    """Command lines from one connection."""

    def __init__(self, stream: Stream) -> None:
        self.stream, self.buffered = stream, bytearray()
        self.overrun = False  # more was sent ahead than is kept

    def command(self, until: timedelta) -> Steps[tuple[str, str] | None]:
        """The next command's word and argument; None once the peer has ended between two.

        A peer may idle between two commands, but not dawdle within one.
        """
        if self.overrun:
            raise CommandError(f"more than {MOST_LINE} bytes were sent ahead", fatal=True)
        begun = bool(self.buffered)
        until = min(until, self.stream.loop.now() + COMMAND_LIMIT) if begun else until
        while (end := self.buffered.find(b"\n")) < 0:
            if len(self.buffered) > MOST_LINE:
                raise CommandError(f"a command is over {MOST_LINE} bytes", fatal=True)
            data = yield from self.stream.read(until)
            if not data:
                if self.buffered:
                    raise Broken("ended within a command")
                return None
            self.buffered += data
            if not begun:
                begun, until = True, min(until, self.stream.loop.now() + COMMAND_LIMIT)
        if end > MOST_LINE:
            raise CommandError(f"a command is over {MOST_LINE} bytes", fatal=True)
        line = bytes(self.buffered[:end]).rstrip(b"\r")
        del self.buffered[:end + 1]
        try:
            word, _, argument = line.decode().strip().partition(" ")
        except UnicodeDecodeError:
            raise CommandError("a command is no UTF-8", fatal=True) from None
        if not word:
            raise CommandError("an empty command", fatal=True)
        return word.upper(), argument.strip()

    def peer_gone(self) -> bool | None:
        """Take in what comes ahead of its turn; True once the peer has gone, None while nothing is there."""
        data = self.stream.try_read()
        if data is None:
            return None
        # Guards the memory, and still hears of its end, which lies behind all that a peer has sent.
        self.overrun = self.overrun or len(self.buffered) + len(data) > 2 * MOST_LINE
        if not self.overrun:
            self.buffered += data
        return not data

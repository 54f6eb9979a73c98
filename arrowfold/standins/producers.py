"""A stand-in for Faktory's clients: a producer, and with a `wid` a worker."""

from __future__ import annotations

import hashlib
import json
import socket
from typing import Any

from arrowfold.standins.servers import LONG


class Client:
    """One Faktory connection: a producer, and with a wid a worker."""

    def __init__(self, port: int, wid: str | None = None, password: str | None = None, **hello: Any) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=LONG)
        self.lines = self.sock.makefile("rb")
        self.hi = json.loads(self.lines.readline().removeprefix(b"+HI "))
        fields: dict[str, Any] = {"v": 2, **hello}
        if wid is not None:
            fields["wid"] = wid
        if password is not None:
            digest = (password + self.hi["s"]).encode()
            for _ in range(self.hi["i"]):
                digest = hashlib.sha256(digest).digest()
            fields["pwdhash"] = digest.hex()
        self.greeted = self.call("HELLO", fields)

    def call(self, word: str, argument: object = None) -> Any:
        """A command's reply: text of +OK or -ERR, a bulk's JSON, or None."""
        text = argument if isinstance(argument, str) else json.dumps(argument) if argument is not None else ""
        self.sock.sendall(f"{word} {text}".strip().encode() + b"\r\n")
        return self.reply()

    def reply(self) -> Any:
        line = self.lines.readline().decode().rstrip("\r\n")
        if not line.startswith("$"):
            return line
        size = int(line[1:])
        return None if size < 0 else json.loads(self.lines.read(size + 2))

    def fetch(self) -> dict[str, Any]:
        """The next job, however many empty answers come before it."""
        while (job := self.call("FETCH", "default")) is None:
            pass
        assert isinstance(job, dict), job
        return job

    def push(self, jid: str, name: str = "search", **fields: Any) -> str:
        reply = self.call("PUSH", {"jid": jid, "jobtype": name, "args": [jid], **fields})
        assert isinstance(reply, str)
        return reply

    def close(self) -> None:
        self.lines.close()
        self.sock.close()

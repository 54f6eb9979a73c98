"""A stand-in for Faktory's clients: a producer, or a worker if it has a `wid`."""

from __future__ import annotations

import hashlib
import json
import socket
from typing import Any

from arrowfold.standins.servers import TIMEOUT_S


class Client:
    """One Faktory connection, of a worker if it has a `wid` and of a producer otherwise.

    `greeting` holds the fields of the server's greeting and `hello_reply` its reply to HELLO.
    """

    def __init__(self, port: int, wid: str | None = None, password: str | None = None, **hello: Any) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S)
        self.lines = self.sock.makefile("rb")
        self.greeting = json.loads(self.lines.readline().removeprefix(b"+HI "))
        fields: dict[str, Any] = {"v": 2, **hello}
        if wid is not None:
            fields["wid"] = wid
        if password is not None:
            digest = (password + self.greeting["s"]).encode()
            for _ in range(self.greeting["i"]):
                digest = hashlib.sha256(digest).digest()
            fields["pwdhash"] = digest.hex()
        self.hello_reply = self.call("HELLO", fields)

    def call(self, command: str, argument: object = None) -> Any:
        """Sends a command and returns its parsed reply."""
        text = argument if isinstance(argument, str) else json.dumps(argument) if argument is not None else ""
        self.sock.sendall(f"{command} {text}".strip().encode() + b"\r\n")
        return self.reply()

    def reply(self) -> Any:
        """Read a reply; returns the text of +OK or -ERR, or a bulk reply as a JSON value (None for null)."""
        line = self.lines.readline().decode().rstrip("\r\n")
        if not line.startswith("$"):
            return line
        size = int(line[1:])
        return None if size < 0 else json.loads(self.lines.read(size + 2))

    def fetch(self) -> dict[str, Any]:
        """Fetch until there is a job; returns it."""
        while (job := self.call("FETCH", "default")) is None:
            pass
        assert isinstance(job, dict), job
        return job

    def push(self, jid: str, name: str = "search", **fields: Any) -> str:
        """Push a job of a class; returns the text of the reply."""
        reply = self.call("PUSH", {"jid": jid, "jobtype": name, "args": [jid], **fields})
        assert isinstance(reply, str)
        return reply

    def close(self) -> None:
        self.lines.close()
        self.sock.close()

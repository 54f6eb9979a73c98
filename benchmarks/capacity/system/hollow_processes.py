"""Child processes with simulated edges or workers: the parent writes command lines and reads JSON answers."""

from __future__ import annotations

import asyncio
import json
import resource
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any

from benchmarks.capacity.results import ROOT

Answer = dict[str, Any]


class ChildProcess:
    """The parent's side of one child process."""

    def __init__(self, module: str, **arguments: Any) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", module, json.dumps(arguments)],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    @property
    def pid(self) -> int:
        """The child's process id."""
        return self._process.pid

    def send(self, command: str) -> None:
        """Sends a command without waiting for the answer."""
        assert self._process.stdin is not None
        self._process.stdin.write(command + "\n")
        self._process.stdin.flush()

    def read(self) -> Answer:
        """Reads the answer to the oldest unanswered command; raises RuntimeError if the child has ended."""
        assert self._process.stdout is not None
        line = self._process.stdout.readline()
        if not line:
            raise RuntimeError("a child process has ended")
        answer: Answer = json.loads(line)
        return answer

    def ask(self, command: str) -> Answer:
        """Sends a command and waits for its answer."""
        self.send(command)
        return self.read()

    def close(self) -> None:
        """Kills the child."""
        self._process.kill()
        self._process.wait()


async def serve_commands(handle: Callable[[str], Awaitable[Answer]]) -> None:
    """The child's side: answers commands on standard input until it is closed."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        answer = await handle(line.decode().strip())
        usage = resource.getrusage(resource.RUSAGE_SELF)
        answer.update(processor_s=usage.ru_utime + usage.ru_stime, at_s=time.monotonic())
        print(json.dumps(answer), flush=True)

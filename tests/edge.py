"""Base class for tests of a running node: starts stand-ins and the real program and stops them."""

from __future__ import annotations

import tempfile
import threading
import unittest
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from arrowfold.standins.process import ROOT, SETTINGS, Node, request_class
from arrowfold.standins.servers import (
    LOAD,
    TIMEOUT_S,
    Discovery,
    QuietHandler,
    Server,
    Worker,
    eventually,
    free_port,
)

__all__ = [
    "LOAD",
    "QUICK",
    "ROOT",
    "SETTINGS",
    "TIMEOUT_S",
    "Discovery",
    "EdgeCase",
    "Node",
    "QuietHandler",
    "Server",
    "Worker",
    "eventually",
    "free_port",
    "in_threads",
    "request_class",
]

QUICK = {**SETTINGS, "permissions": {**SETTINGS["permissions"], "connectTimeoutUs": 250_000}, "classes": [
    request_class("search", objective_ms=300), request_class("once", "unsafe", objective_ms=300)]}


class EdgeCase(unittest.TestCase):
    """Starts workers, discovery and nodes for a test and closes them afterwards."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def worker(self, uid: str, behave: Callable[[str, int], str | int] = lambda job, nth: "done") -> Worker:
        worker = Worker(uid, behave)
        self.addCleanup(worker.close)
        self.addCleanup(worker.release.set)
        return worker

    def discovery(self, *workers: Worker) -> Discovery:
        discovery = Discovery([worker.row() for worker in workers])
        self.addCleanup(discovery.close)
        return discovery

    def node(self, *workers: Worker, **options: Any) -> Node:
        rows = [worker.row() for worker in workers]
        node = Node(self.folder, rows, **options)
        self.addCleanup(node.close)
        return node


def in_threads(calls: list[Callable[[], Any]]) -> Iterator[Any]:
    """Makes calls concurrently; yields their results, or the exceptions raised, in their order."""
    results: list[Any] = [None] * len(calls)

    def run(index: int) -> None:
        try:
            results[index] = calls[index]()
        except Exception as error:
            results[index] = error

    threads = [threading.Thread(target=run, args=(index,)) for index in range(len(calls))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(TIMEOUT_S)
    yield from results

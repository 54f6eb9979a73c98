"""The node program with a faulty discovery service: it sheds calls, lags, or sends empty lists."""

from __future__ import annotations

import itertools
from typing import Any

from arrowfold.standins.servers import QuietHandler, Server, Worker, eventually
from tests.edge import EdgeCase


class Scripted(Server):
    """A discovery service that answers each call by the next step; the last one is repeated.

    A step is an HTTP error status, the bytes of a line, or a message.
    """

    def __init__(self, *steps: int | bytes | dict[str, Any]) -> None:
        self.asked: list[str] = []
        outer = self

        class Handler(QuietHandler):
            def do_GET(self) -> None:
                step = steps[min(len(outer.asked), len(steps) - 1)]
                outer.asked.append(self.path)
                self.close_connection = True
                if isinstance(step, int):
                    self.send_response(step)
                    self.send_header("Content-Length", "0")
                    self.end_headers()
                    return
                self.send_response(200)
                self.send_header("Transfer-Encoding", "chunked")
                self.end_headers()
                if isinstance(step, bytes):
                    self.send_bytes(b"%x\r\n%s\r\n" % (len(step), step))
                else:
                    self.chunk(step)

        super().__init__(Handler)


def listing(revision: int, *rows: dict[str, Any], whole: bool = True) -> dict[str, Any]:
    return {"rev": revision, "all": whole, "targets": list(rows)}


class InTrouble(EdgeCase):
    def follow(self, *steps: int | bytes | dict[str, Any]) -> Scripted:
        discovery = Scripted(*steps)
        self.addCleanup(discovery.close)
        return discovery

    def serves(self, worker: Worker, *steps: int | bytes | dict[str, Any]) -> None:
        """The node serves with its last list until discovery has recovered, and then with the new one."""
        other = self.worker("s2")
        discovery = self.follow(*steps, listing(9, worker.row(), other.row()))
        node = self.node(worker, discovery=discovery.address)
        for number in itertools.count():
            self.assertEqual(node.post(f"t{number}")[0], 200)
            if node.counters().get("discovery_messages", 0) > 1 and len(discovery.asked) > len(steps):
                break
        eventually(lambda: any(
            node.post(f"u{n}", path=f"/search?key=k{n}")[1].startswith(b"s2") for n in range(12)))

    def test_calls_answered_503(self) -> None:
        self.serves(self.worker("s1"), 503, 503, 503)

    def test_an_incomplete_line(self) -> None:
        self.serves(self.worker("s1"), b'{"rev":8,"all":true,"targ')

    def test_malformed_messages(self) -> None:
        self.serves(self.worker("s1"), b"once upon a time\n", b"[]\n", b'{"rev":8,"targets":7}\n')

    def test_an_empty_list(self) -> None:
        self.serves(self.worker("s1"), listing(8), listing(8), listing(8))

    def test_an_older_list_brings_back_no_server_that_drains(self) -> None:
        one, two = self.worker("s1"), self.worker("s2", lambda job, nth: 503)
        discovery = self.follow(
            listing(5, one.row("DRAINING"), two.row()), listing(3, one.row(), two.row()))
        node = self.node(one, two, discovery=discovery.address)
        eventually(lambda: len(discovery.asked) > 6)  # refused, and then accepted
        for number in range(4):  # the other worker is full, so the draining one would be the only choice
            self.assertIn(node.post(f"t{number}", expires="400m")[0], (429, 503))
        self.assertEqual(one.jobs, [])

    def test_an_empty_list_that_stays_is_believed(self) -> None:
        worker = self.worker("s1")
        node = self.node(worker, discovery=self.follow(listing(8)).address)
        eventually(lambda: node.counters()["discovery_messages"] == 2)  # the first is its initial list
        self.assertEqual(node.readiness_status(), 503)
        self.assertGreaterEqual(node.counters()["discovery_doubted"], 3)

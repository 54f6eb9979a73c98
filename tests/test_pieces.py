"""Messages that arrive byte by byte, in every protocol."""

from __future__ import annotations

import json
import socket

from tests.edge import TIMEOUT_S, EdgeCase, eventually, free_port
from tests.test_bad_clients import answer_of
from tests.test_node import post


def send_bytewise(sock: socket.socket, data: bytes) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for n in range(len(data)):
        sock.sendall(data[n:n + 1])


class Pieces(EdgeCase):
    def test_requests_and_chunked_bodies_come_byte_by_byte(self) -> None:
        worker = self.worker("s1")
        node = self.node(worker)
        rows = ("Transfer-Encoding: chunked", "Connection: close")
        for job, data in (
                ("plain", post("plain", "Connection: close", length=4) + b"body"),
                ("parts", post("parts", *rows, length=None) + b"2\r\nbo\r\n2;x=y\r\ndy\r\n0\r\n\r\n")):
            with socket.create_connection(("127.0.0.1", node.port), timeout=TIMEOUT_S) as sock:
                send_bytewise(sock, data)
                self.assertIn(b"s1:" + job.encode(), answer_of(sock))
        self.assertEqual([row[3] for row in worker.jobs], [b"body", b"body"])

    def test_answers_and_the_list_come_byte_by_byte(self) -> None:
        one, two = self.worker("s1"), self.worker("s2")
        discovery = self.discovery(one)
        for server in (one, two, discovery):
            server.handler.writes_single_bytes = True  # type: ignore[attr-defined]
        node = self.node(one, discovery=discovery.address)
        eventually(lambda: node.counters().get("discovery_messages", 0) >= 2)
        for n in range(3):
            self.assertEqual(node.post(f"t{n}")[:2], (200, b"s1:t%d" % n))
        discovery.send_changes(one.row("DRAINING"), two.row())
        eventually(lambda: node.post("moved")[1] == b"s2:moved")
        counted = node.counters()
        for name in ("resets", "discovery_failures", "faults"):
            self.assertNotIn(name, counted)

    def test_faktory_commands_come_byte_by_byte(self) -> None:
        port = free_port()
        node = self.node(self.worker("s1"), edge=f'faktory {{\n listen "127.0.0.1:{port}"\n}}\n')
        with socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S) as sock:
            replies = sock.makefile("rb")
            self.assertTrue(replies.readline().startswith(b"+HI"))
            for line in ('HELLO {"v":2}', "PUSH " + json.dumps(
                    {"jid": "j1", "jobtype": "search", "args": ["caf\u00e9"]}, ensure_ascii=False)):
                send_bytewise(sock, line.encode() + b"\r\n")
                self.assertEqual(replies.readline(), b"+OK\r\n")
            self.assertEqual(node.counters()["answered_served"], 1)
            # In standby an idle producer's connection is closed; the node keeps running.
            node.call("standby")
            self.assertEqual(replies.readline(), b"")
        self.assertEqual(node.call("active"), "ok active\n")
        with socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S) as sock:
            self.assertTrue(sock.makefile("rb").readline().startswith(b"+HI"))

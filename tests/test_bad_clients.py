"""Malformed, oversize, slow and idle clients: each gets an error or is disconnected in time."""

from __future__ import annotations

import http.client
import socket
import threading
import time

from tests.edge import TIMEOUT_S, EdgeCase, Node, eventually, in_threads
from tests.test_node import post


def answer_of(sock: socket.socket) -> bytes:
    """Read until the node closes the connection; a reset raises."""
    with sock:
        return b"".join(iter(lambda: sock.recv(65536), b""))


class Unreadable(EdgeCase):
    def refused(self, node: Node, data: bytes, status: int, names: bytes) -> None:
        answer = node.raw(data)
        self.assertEqual(answer[:12], b"HTTP/1.1 %d" % status, data[:300])
        self.assertIn(names, answer)

    def test_request_smuggling_is_refused(self) -> None:
        """Guards rule 2: h11 prefers Transfer-Encoding, other parsers Content-Length; both unfold lines."""
        worker = self.worker("s1")
        node = self.node(worker)
        hidden = post("inner")
        chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(hidden), hidden)
        for rows, status, names in (
                (("Content-Length: 4", "Transfer-Encoding: chunked"), 400, b"Content-Length"),
                (("Transfer-Encoding: chunked", "Content-Length: 4"), 400, b"Content-Length"),
                (("Content-Length: 4", f"Content-Length: {len(chunks)}"), 400, b"Content-Length"),
                (("X-Other: a", " Transfer-Encoding: chunked", "Content-Length: 4"), 400, b"folded"),
                (("X-Other: a\r\n\tb", "Content-Length: 4"), 400, b"folded"),
                (("X-Trace-Id: other", "Content-Length: 4"), 400, b"x-trace-id")):
            self.refused(node, post("outer", *rows, length=None) + chunks, status, names)
        old = post("outer", "Transfer-Encoding: chunked", length=None).replace(b"HTTP/1.1", b"HTTP/1.0")
        self.refused(node, old + chunks, 400, b"Transfer-Encoding")
        self.assertEqual((worker.jobs, node.counters().get("taken", 0)), ([], 0))
        # A line that looks folded is valid in a body.
        self.assertEqual(node.post("fine", body=b"a\r\n b")[0], 200)

    def test_invalid_lengths_deadlines_and_ids_reach_no_worker(self) -> None:
        worker = self.worker("s1")
        node = self.node(worker)
        self.refused(node, post("a", length=None), 411, b"Content-Length")
        for length in ("-4", "4x", "9" * 30):
            self.refused(node, post("a", f"Content-Length: {length}", length=None), 400, b"Content-Length")
        for span in ("-5m", "0m", "1e3m", "m", "5", "1_0m", "infm", "+5m"):
            data = post("a").replace(b"20000m", span.encode())
            self.refused(node, data, 400, b"X-Expires-In")
        for job in ("", "a b", "x" * 300):
            self.refused(node, post(job), 400, b"X-Trace-Id")
        self.assertEqual((worker.jobs, node.counters().get("taken", 0)), ([], 0))

    def test_a_fault_in_the_head_is_answered_before_the_body_is_received(self) -> None:
        node = self.node(self.worker("s1"))
        for data, status in (
                (post("a", length=60_000_000), b"413"), (post("a", path="/none", length=60_000), b"404"),
                (post("a", "Expect: 100-continue", length=60_000_000), b"413")):
            sock = socket.create_connection(("127.0.0.1", node.port), timeout=TIMEOUT_S)
            sock.sendall(data)  # and no byte of the body
            self.assertEqual(answer_of(sock)[9:12], status)

    def test_an_error_is_delivered_to_a_client_that_sends_sixty_megabytes(self) -> None:
        """Guards the error's bytes: closing with unread input resets the connection before they arrive."""
        node = self.node(self.worker("s1"))
        for size, rows in ((60_000_000, ("Content-Length: 60000000",)),
                           (60_000_000, ("Transfer-Encoding: chunked",))):
            sock = socket.create_connection(("127.0.0.1", node.port), timeout=TIMEOUT_S)
            sock.sendall(post("a", *rows, length=None) + (b"%x\r\n" % size if "chunked" in rows[0] else b""))
            for _ in range(60):
                sock.sendall(bytes(1_000_000))
            self.assertEqual(answer_of(sock)[9:12], b"413")


class Dawdling(EdgeCase):
    def test_incomplete_requests_time_out_while_a_connection_may_be_idle_between_requests(self) -> None:
        """Each incomplete request is answered with an error or a close without further input."""
        node = self.node(self.worker("s1"))
        begun = time.monotonic()
        for data, status in ((b"", b""), (b"POST /search HTTP/1.1\r\nX-A: b", b"408"),
                             (post("a", length=50) + b"half", b"408")):
            sock = socket.create_connection(("127.0.0.1", node.port), timeout=TIMEOUT_S)
            sock.sendall(data)
            self.assertEqual(answer_of(sock)[9:12], status)
        self.assertGreater(time.monotonic() - begun, 1, "closed before the timeout")
        kept = http.client.HTTPConnection("127.0.0.1", node.port, timeout=TIMEOUT_S)
        self.assertEqual(node.post("t1", connection=kept)[0], 200)
        first = kept.sock
        time.sleep(3)
        self.assertEqual(node.post("t2", connection=kept)[0], 200)
        self.assertIs(kept.sock, first, "a connection may be idle between two requests")
        kept.close()


class Crowding(EdgeCase):
    def test_hundreds_of_connections_without_a_request_are_closed_for_clients_with_jobs(self) -> None:
        node = self.node(self.worker("s1"), limits={"sockets": 128})
        idle_sockets = [socket.create_connection(("127.0.0.1", node.port)) for _ in range(520)]
        try:
            for answer in in_threads([lambda n=n: node.post(f"t{n}") for n in range(20)]):  # type: ignore[misc]
                self.assertEqual(answer[0], 200)
            counted = node.counters()
            self.assertGreater(counted["connections_closed_for_room"], 0)
            self.assertEqual(counted["answered_served"], 20)
        finally:
            for sock in idle_sockets:
                sock.close()

    def test_who_is_owed_an_answer_is_never_shed(self) -> None:
        worker = self.worker("s1", lambda job, nth: "hold" if job == "owed" else "done")
        node = self.node(worker, limits={"sockets": 64})
        sock = socket.create_connection(("127.0.0.1", node.port), timeout=TIMEOUT_S)
        sock.sendall(post("owed", "Connection: close"))
        idle_sockets = [socket.create_connection(("127.0.0.1", node.port)) for _ in range(60)]
        self.assertEqual(node.post("t")[0], 200)
        worker.release.set()
        self.assertIn(b"s1:owed", answer_of(sock))
        for other in idle_sockets:
            other.close()

    def test_connections_for_status_pages_are_closed_before_one_between_two_jobs(self) -> None:
        """Guards clients with jobs: when the longest idle was closed first, it was one between two jobs."""
        node = self.node(self.worker("s1"), limits={"sockets": 128})
        kept = http.client.HTTPConnection("127.0.0.1", node.port, timeout=TIMEOUT_S)
        self.assertEqual(node.post("t1", connection=kept)[0], 200)
        sock, other_clients = kept.sock, []
        for _ in range(200):
            other_clients.append(socket.create_connection(("127.0.0.1", node.port), timeout=TIMEOUT_S))
            other_clients[-1].sendall(b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n")
        # With half of the connections in use, those for status pages are closed after their answers. Closing
        # connections for the last clients may have left fewer than half: a few more reach it again.
        answer = b""
        for _ in range(60):
            other_clients.append(socket.create_connection(("127.0.0.1", node.port), timeout=TIMEOUT_S))
            other_clients[-1].sendall(b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = other_clients[-1].recv(65536)
            self.assertIn(b"live", answer)
            if b"Connection: close" in answer:
                break
        self.assertIn(b"Connection: close", answer)
        self.assertEqual(node.post("t2", connection=kept)[0], 200)
        self.assertIs(kept.sock, sock)
        for other in (kept, *other_clients):
            other.close()

    def test_a_slow_writer_is_served_among_clients_that_stopped_within_a_request(self) -> None:
        """Guards slow writers: counted from its first byte, such a connection was closed for a new one."""
        node = self.node(self.worker("s1"), limits={"sockets": 128})
        slow, other_clients = socket.create_connection(("127.0.0.1", node.port), timeout=TIMEOUT_S), []
        with slow:
            for byte in post("slow", "Connection: close"):
                slow.sendall(bytes([byte]))
                other_clients.append(socket.create_connection(("127.0.0.1", node.port), timeout=TIMEOUT_S))
                other_clients[-1].sendall(b"POST /sea")
                time.sleep(0.015)
            self.assertIn(b"s1:slow", answer_of(slow))
        self.assertGreater(node.counters()["connections_closed_for_room"], 0)
        for other in other_clients:
            other.close()

    def test_abandoned_idle_connections_are_closed(self) -> None:
        """Guards clients at their connection limit: abandoned idle connections blocked their next request."""
        node = self.node(self.worker("s1"), limits={"sockets": 128})
        abandoned = [socket.create_connection(("127.0.0.1", node.port), timeout=TIMEOUT_S) for _ in range(20)]
        for n, sock in enumerate(abandoned):
            sock.sendall(post(f"t{n}"))
            self.assertEqual(sock.recv(65536)[9:12], b"200")
        kept = http.client.HTTPConnection("127.0.0.1", node.port, timeout=TIMEOUT_S)
        eventually(lambda: node.post("t", connection=kept)[0] == 200
                   and node.counters().get("connections_closed_as_idle", 0) >= 5)
        self.assertEqual(answer_of(abandoned[0]), b"", "the longest idle connection was not closed")
        for sock in (kept, *abandoned[1:]):
            sock.close()

    def test_workers_are_reachable_while_clients_hold_all_their_descriptors(self) -> None:
        """Guards attempts: idle clients that connected first must leave descriptors for workers."""
        def behave(job: str, nth: int) -> str:
            return "hold" if job[0] == "t" else "done"

        workers = [self.worker(f"s{n}", behave) for n in range(4)]
        node = self.node(*workers, limits={"sockets": 112})
        for n in range(40):  # so that the node knows how long a job runs
            node.post(f"warm{n}", "once")
        other_clients = [
            socket.create_connection(("127.0.0.1", node.port), timeout=TIMEOUT_S) for _ in range(45)]
        for sock in other_clients:
            sock.sendall(b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n")
        time.sleep(0.3)  # new connections are not closed at once
        calls = [lambda n=n: node.post(f"t{n}", "once") for n in range(30)]  # type: ignore[misc]
        threading.Timer(1, lambda: [worker.release.set() for worker in workers]).start()
        self.assertEqual([answer[0] for answer in in_threads(calls)], [200] * 30)
        self.assertNotIn("connections_no_room", node.counters())
        for sock in other_clients:
            sock.close()

    def test_incomplete_bodies_hold_only_a_bounded_part_of_memory(self) -> None:
        node = self.node(self.worker("s1"), limits={"sockets": 512, "memory_mb": 16})
        slow = [socket.create_connection(("127.0.0.1", node.port), timeout=TIMEOUT_S) for _ in range(60)]
        for n, sock in enumerate(slow):
            sock.sendall(post(f"slow{n}", length=60_000) + bytes(50_000))
        answers = [answer_of(sock)[9:12] for sock in slow]
        self.assertEqual(set(answers), {b"408", b"503"})
        self.assertEqual(node.post("t", body=bytes(60_000))[0], 200)

"""Replacement of the process under load: the successor takes over and no request is lost."""

from __future__ import annotations

import http.client
import signal
import socket
import threading
from typing import Any

from tests.edge import TIMEOUT_S, EdgeCase, Node, eventually
from tests.test_node import post


class Replacing(EdgeCase):
    def start_successor(self, node: Node, *workers: Any, **options: Any) -> Node:
        """Starts a second process of the node at the same client address and waits until it is ready."""
        successor = self.node(*workers, port=node.port, wait=False, **options)
        eventually(lambda: self.reports_ready(successor))
        return successor

    def reports_ready(self, node: Node) -> bool:
        self.assertIsNone(node.process.poll(), node.process.returncode)
        try:
            return node.call("status").startswith("ok")
        except OSError:
            return False

    def test_every_request_during_a_replacement_under_load_is_answered(self) -> None:
        worker = self.worker("s1", lambda job, nth: "hold" if job == "open" else "done")
        other = self.worker("s2")
        discovery = self.discovery(worker, other)
        old = self.node(worker, other, discovery=discovery.address)
        eventually(lambda: old.counters().get("discovery_messages", 0) >= 2)
        old.call("maint-on s2")
        replies: list[Any] = []
        client = threading.Thread(target=lambda: replies.append(old.post("open", "once")))
        client.start()
        eventually(lambda: any(row[0] == "open" for row in worker.jobs))
        failures: list[object] = []
        stop = threading.Event()

        def send_requests(name: str, keep_alive: bool) -> None:
            """Sends requests one by one. A kept connection may close between two; a new one must not fail."""
            connection, n = http.client.HTTPConnection("127.0.0.1", old.port, timeout=TIMEOUT_S), 0
            while not stop.is_set():
                n += 1
                try:
                    headers = {"X-Trace-Id": f"{name}-{n}", "X-Qos": "search", "X-Expires-In": "20000m"}
                    connection.request("POST", "/search", b"q", headers)
                    answer = connection.getresponse()
                    answer.read()
                    if answer.status != 200:
                        failures.append(answer.status)
                except (OSError, http.client.HTTPException) as error:
                    if not keep_alive or connection.sock is None:
                        failures.append(error)
                    connection.close()
                if not keep_alive:
                    connection.close()

        threads = [threading.Thread(target=send_requests, args=(f"h{k}", k % 2 == 0)) for k in range(6)]
        for thread in threads:
            thread.start()
        successor = self.start_successor(old, worker, other, discovery=discovery.address)
        self.assertEqual(successor.call("status"), "ok ready; in maintenance: s2\n")
        # A command at either process applies to both; a request id open in one is refused by the other.
        self.assertEqual(successor.call("maint-off s2"), "ok maint-off s2\n")
        self.assertEqual(old.call("status"), "ok ready; in maintenance: none\n")
        old.call("maint-on s2")
        self.assertEqual(successor.call("status"), "ok ready; in maintenance: s2\n")
        jobs_before = len(other.jobs)
        old.process.send_signal(signal.SIGTERM)
        eventually(lambda: old.call("status").startswith("fail"))
        eventually(lambda: old.raw(post("open", "Connection: close"))[:12] == b"HTTP/1.1 409")
        worker.release.set()
        client.join(TIMEOUT_S)
        self.assertEqual(replies[0][:2], (200, b"s1:open"))
        self.assertEqual(old.process.wait(TIMEOUT_S), 0)
        taken = successor.counters()["taken"]
        eventually(lambda: successor.counters()["taken"] > taken + 50)
        stop.set()
        for thread in threads:
            thread.join(TIMEOUT_S)
        self.assertEqual(failures, [])
        self.assertEqual(len(other.jobs), jobs_before)
        self.assertEqual(successor.call("maint-off s2"), "ok maint-off s2\n")
        self.assertEqual(successor.terminate(), 0)

    def test_standby_is_handed_over_and_ended_for_both(self) -> None:
        worker = self.worker("s1")
        old = self.node(worker)
        old.call("standby")
        successor = self.node(worker, port=old.port, wait=False)
        eventually(lambda: self.status_or_empty(successor) == "fail not ready: standby\n")
        successor.call("active")
        self.assertEqual((old.call("status")[:8], successor.call("status")[:8]), ("ok ready", "ok ready"))

    def status_or_empty(self, node: Node) -> str:
        try:
            return node.call("status")
        except OSError:
            return ""

    def test_a_killed_predecessor_does_not_prevent_a_start(self) -> None:
        worker = self.worker("s1")
        for _ in range(2):
            old = self.node(worker)
            old.call("maint-on s1")
            old.process.kill()
            old.process.wait()
            successor = self.start_successor(old, worker)
            self.assertEqual(successor.call("status"), "ok ready; in maintenance: none\n")
            self.assertEqual(successor.post("t")[0], 200)
            successor.process.kill()

    def test_a_predecessor_that_hangs_is_ignored(self) -> None:
        worker = self.worker("s1")
        old = self.node(worker)
        old.process.send_signal(signal.SIGSTOP)
        self.start_successor(old, worker)
        old.process.kill()
        self.assertEqual(old.process.wait(), -signal.SIGKILL)
        self.assertEqual(old.post("t")[0], 200)

    def test_a_killed_successor_changes_nothing_and_the_next_one_finds_the_old(self) -> None:
        worker, other = self.worker("s1"), self.worker("s2")
        old = self.node(worker, other)
        old.call("maint-on s1")
        first = self.node(worker, other, port=old.port, wait=False)
        eventually(lambda: "maintenance: s1" in self.status_or_empty(first))
        first.process.kill()
        first.process.wait()
        second = self.node(worker, other, port=old.port, wait=False)
        eventually(lambda: "maintenance: s1" in self.status_or_empty(second))
        self.assertEqual(second.call("maint-off s1"), "ok maint-off s1\n")
        self.assertEqual(old.call("status"), "ok ready; in maintenance: none\n")
        old.process.send_signal(signal.SIGTERM)
        self.assertEqual(old.process.wait(TIMEOUT_S), 0)
        self.assertEqual(second.post("t")[0], 200)

    def test_the_socket_is_private_and_removed_at_the_end(self) -> None:
        node = self.node(self.worker("s1"))
        (socket_file,) = [path for path in self.folder.iterdir() if path.is_socket()]
        self.assertEqual(socket_file.stat().st_mode & 0o777, 0o600)
        with socket.socket(socket.AF_UNIX) as stranger:
            stranger.connect(str(socket_file))
            stranger.sendall(b"nonsense\n")
            self.assertEqual(stranger.recv(10), b"")
        self.assertEqual(node.terminate(), 0)
        self.assertFalse(socket_file.exists())

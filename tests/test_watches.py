"""Watches and lists of discovery: unresponsive, closed or trickling; refused, indented or pushed."""

from __future__ import annotations

import threading
from datetime import timedelta
from typing import Any

from arrowfold.protocol import discovery as watches
from arrowfold.standins.door import WATCH_HEAD, ManualServer, ServerConnection
from arrowfold.standins.process import SETTINGS, Node
from arrowfold.standins.servers import Worker, eventually
from tests.edge import EdgeCase

# The dispatcher calls again after minutes only, so that earlier calls are the watch's own retries.
SLOW_POLLING: dict[str, Any] = {
    **SETTINGS, "contract": {**SETTINGS["contract"], "askWithinUs": 3_000_000_000}}
PUSHED = {**SETTINGS, "discovery": "automatic"}


def listing(revision: int, *rows: dict[str, Any], whole: bool = True) -> dict[str, Any]:
    return {"rev": revision, "all": whole, "targets": list(rows)}


class Watches(EdgeCase):
    def door(self) -> ManualServer:
        door = ManualServer()
        self.addCleanup(door.close)
        return door

    def watched(self, door: ManualServer, *workers: Worker, **options: Any) -> tuple[Node, ServerConnection]:
        """A node with an open watch that has sent its list; the dispatcher calls once after the start."""
        node = self.node(*workers, discovery=door.address, **options)
        peer = door.accept()
        peer.request()
        peer.send_bytes(WATCH_HEAD)
        peer.chunk(listing(5, *(worker.row() for worker in workers)))
        return node, peer

    def served_by(self, node: Node, job: str) -> bytes:
        return node.post(job, path=f"/search?key={job}")[1].partition(b":")[0]

    def reopened(self, door: ManualServer, node: Node, worker: Worker) -> None:
        """The node reopens the watch at its last version, and applies the next message."""
        peer = door.accept()
        self.assertIn("since=5", peer.request()[0])
        peer.send_bytes(WATCH_HEAD)
        peer.chunk(listing(6, worker.row("DRAINING"), whole=False))
        eventually(lambda: node.readiness_status() == 503)
        self.assertEqual(node.counters()["discovery_silences"], 1)


class Silence(Watches):
    """The dispatcher's first call comes within a quarter of `askWithinUs`, here a tenth of a second."""

    def setUp(self) -> None:
        super().setUp()
        self.watcher, self.server = self.door(), self.worker("s1")
        self.running, self.peer = self.watched(self.watcher, self.server)
        eventually(lambda: self.running.counters()["discovery_messages"] == 2)
        # From here on the dispatcher waits for minutes.
        self.running.reload(settings=SLOW_POLLING)
        eventually(lambda: self.running.counters().get("reloads_settings") == 1)

    def test_an_unresponsive_watch_is_reopened_at_once(self) -> None:
        self.reopened(self.watcher, self.running, self.server)

    def test_a_watch_that_stops_within_a_line_is_reopened(self) -> None:
        self.peer.send_bytes(b'10\r\n{"rev":6,"all":f\r\n')
        self.reopened(self.watcher, self.running, self.server)

    def test_a_watch_that_trickles_bytes_without_a_message_is_reopened(self) -> None:
        over = threading.Event()
        self.addCleanup(over.set)

        def dribble() -> None:
            while not over.wait(0.05):
                try:
                    self.peer.send_bytes(b"1\r\n \r\n")
                except OSError:
                    return

        threading.Thread(target=dribble, daemon=True).start()
        self.reopened(self.watcher, self.running, self.server)

    def test_a_call_that_fails_while_an_update_is_due_is_retried(self) -> None:
        for _ in range(2):
            refused_call = self.watcher.accept()
            refused_call.request()
            refused_call.send_bytes(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
        self.reopened(self.watcher, self.running, self.server)

    def test_a_new_address_that_resets_the_first_call_is_called_again(self) -> None:
        fresh = self.door()
        self.running.reload(discovery=fresh.address)
        refused_call = fresh.accept()
        refused_call.request()
        refused_call.reset()
        peer = fresh.accept()
        self.assertNotIn("since", peer.request()[0])
        peer.send_bytes(WATCH_HEAD)
        peer.chunk(listing(1, self.server.row("DRAINING")))
        eventually(lambda: self.running.readiness_status() == 503)

    def test_an_update_missed_by_an_unresponsive_watch_arrives_in_time(self) -> None:
        """By the contract, such an update counts as known 6 s after the watch's last message."""
        latest = watches.WATCH_IDLE_TIMEOUT + watches.WATCH_IDLE_TIMEOUT_JITTER + watches.CALL_TIMEOUT
        self.assertLessEqual(latest, timedelta(seconds=6))
        self.assertGreater(watches.WATCH_IDLE_TIMEOUT, timedelta(seconds=2))  # an empty line comes every 2 s


class Pushed(Watches):
    def test_a_watch_is_opened_at_the_start_and_reopened(self) -> None:
        agent, one, two = self.door(), self.worker("s1"), self.worker("s2")
        node, peer = self.watched(agent, one, two, settings=PUSHED)
        peer.chunk(listing(6, one.row("DRAINING"), whole=False))
        eventually(lambda: node.counters()["discovery_messages"] == 3)
        self.assertEqual({self.served_by(node, f"t{n}") for n in range(6)}, {b"s2"})
        for end in (ServerConnection.reset, ServerConnection.close):
            end(peer)
            peer = agent.accept()
            self.assertIn("since=6", peer.request()[0])
            peer.send_bytes(WATCH_HEAD)
        peer.chunk(listing(7, two.row("DRAINING"), whole=False))
        eventually(lambda: node.readiness_status() == 503)

    def test_an_agent_that_accepts_the_call_and_does_not_answer_is_called_again(self) -> None:
        agent, worker = self.door(), self.worker("s1")
        node = self.node(worker, discovery=agent.address, settings=PUSHED)
        for _ in range(3):  # while discovery is down the agent does not answer
            self.assertIn("follow=1", agent.accept().request()[0])
        peer = agent.accept()
        peer.request()
        peer.send_bytes(WATCH_HEAD)
        peer.chunk(listing(9, worker.row("DRAINING")))
        eventually(lambda: node.readiness_status() == 503)


class Lists(Watches):
    def test_indented_lists_are_parsed(self) -> None:
        door, worker = self.door(), self.worker("s1")
        node, peer = self.watched(door, worker)
        odd = {**worker.row(), "az": 'a } "quoted" { [ \\'}
        peer.chunk(listing(6, odd, worker.row("DRAINING"), whole=False), indent=2)
        eventually(lambda: node.readiness_status() == 503)
        peer.chunk(listing(7, {**worker.row(), "boot_ms": 5}, whole=False), indent=1)
        eventually(lambda: node.readiness_status() == 200)
        self.assertNotIn("discovery_failures", node.counters())

    def test_a_drain_in_a_refused_list_is_applied_and_the_list_accepted_in_time(self) -> None:
        door, one, two = self.door(), self.worker("s1"), self.worker("s2")
        node, peer = self.watched(door, one, two)
        if self.served_by(node, "t") == b"s2":
            one, two = two, one
        left = {two.uid.encode()}
        peer.chunk(listing(3, one.row("DRAINING"), whole=False))  # older than the last list
        eventually(lambda: node.counters().get("discovery_doubted") == 1)
        self.assertEqual({self.served_by(node, f"t{n}") for n in range(6)}, left)
        door.accept().request()  # the node calls again, without an answer
        eventually(lambda: node.counters()["discovery_messages"] == 3)  # accepted all the same
        self.assertEqual({self.served_by(node, f"u{n}") for n in range(6)}, left)

    def test_an_empty_list_is_accepted_without_a_further_answer(self) -> None:
        door, worker = self.door(), self.worker("s1")
        node, peer = self.watched(door, worker)
        peer.chunk(listing(6))
        door.accept()  # the node calls again, without an answer
        eventually(lambda: node.readiness_status() == 503)

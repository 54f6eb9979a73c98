"""Crossings at discovery: watches that fall silent, close or dribble; lists doubted, indented or pushed."""

from __future__ import annotations

import threading
from datetime import timedelta
from typing import Any

from arrowfold.protocol import discovery as watches
from arrowfold.standins.door import WATCH_HEAD, Door, Peer
from arrowfold.standins.process import SETTINGS, Node
from arrowfold.standins.servers import Worker, eventually
from tests.edge import EdgeCase

# The module would call again after minutes: what comes sooner is the watch's own doing.
PATIENT: dict[str, Any] = {
    **SETTINGS, "contract": {**SETTINGS["contract"], "askWithinUs": 3_000_000_000}}
PUSHED = {**SETTINGS, "discovery": "automatic"}


def listing(revision: int, *rows: dict[str, Any], whole: bool = True) -> dict[str, Any]:
    return {"rev": revision, "all": whole, "targets": list(rows)}


class Watches(EdgeCase):
    def door(self) -> Door:
        door = Door()
        self.addCleanup(door.close)
        return door

    def watched(self, door: Door, *workers: Worker, **options: Any) -> tuple[Node, Peer]:
        """A node whose watch stands and has told its list; the module asks once, in its first moments."""
        node = self.node(*workers, discovery=door.address, **options)
        peer = door.accept()
        peer.request()
        peer.say(WATCH_HEAD)
        peer.chunk(listing(5, *(worker.row() for worker in workers)))
        return node, peer

    def served_by(self, node: Node, job: str) -> bytes:
        return node.post(job, path=f"/search?key={job}")[1].partition(b":")[0]

    def reopened(self, door: Door, node: Node, worker: Worker) -> None:
        """The node calls again by itself, from where it was, and obeys what it then hears."""
        peer = door.accept()
        self.assertIn("since=5", peer.request()[0])
        peer.say(WATCH_HEAD)
        peer.chunk(listing(6, worker.row("DRAINING"), whole=False))
        eventually(lambda: node.answers_ready() == 503)
        self.assertEqual(node.counters()["discovery_silences"], 1)


class Silence(Watches):
    """The module's first call is drawn from a quarter of `askWithinUs`: here a tenth of a second."""

    def setUp(self) -> None:
        super().setUp()
        self.watcher, self.server = self.door(), self.worker("s1")
        self.running, self.peer = self.watched(self.watcher, self.server)
        eventually(lambda: self.running.counters()["discovery_messages"] == 2)
        # From here on the module would wait for minutes.
        self.running.reload(settings=PATIENT)
        eventually(lambda: self.running.counters().get("reloads_settings") == 1)

    def test_a_watch_that_falls_silent_is_opened_anew_at_once(self) -> None:
        self.reopened(self.watcher, self.running, self.server)

    def test_one_that_stops_within_a_line(self) -> None:
        self.peer.say(b'10\r\n{"rev":6,"all":f\r\n')
        self.reopened(self.watcher, self.running, self.server)

    def test_one_that_goes_on_with_bytes_that_are_no_message(self) -> None:
        over = threading.Event()
        self.addCleanup(over.set)

        def dribble() -> None:
            while not over.wait(0.05):
                try:
                    self.peer.say(b"1\r\n \r\n")
                except OSError:
                    return

        threading.Thread(target=dribble, daemon=True).start()
        self.reopened(self.watcher, self.running, self.server)

    def test_a_call_that_fails_while_the_list_is_due_is_made_again(self) -> None:
        for _ in range(2):
            shed = self.watcher.accept()
            shed.request()
            shed.say(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
        self.reopened(self.watcher, self.running, self.server)

    def test_a_new_address_that_sheds_the_first_call_is_called_again(self) -> None:
        fresh = self.door()
        self.running.reload(discovery=fresh.address)
        shed = fresh.accept()
        shed.request()
        shed.reset()
        peer = fresh.accept()
        self.assertNotIn("since", peer.request()[0])
        peer.say(WATCH_HEAD)
        peer.chunk(listing(1, self.server.row("DRAINING")))
        eventually(lambda: self.running.answers_ready() == 503)

    def test_the_latest_word_after_a_silence_comes_in_time(self) -> None:
        """By the page: what a silent watch misses is told 6 s after its last word."""
        latest = watches.WATCH_IDLE_TIMEOUT + watches.WATCH_IDLE_TIMEOUT_JITTER + watches.CALL_TIMEOUT
        self.assertLessEqual(latest, timedelta(seconds=6))
        self.assertGreater(watches.WATCH_IDLE_TIMEOUT, timedelta(seconds=2))  # an empty line comes every 2 s


class Pushed(Watches):
    def test_a_watch_is_open_from_the_first_moment_and_opened_again(self) -> None:
        agent, one, two = self.door(), self.worker("s1"), self.worker("s2")
        node, peer = self.watched(agent, one, two, settings=PUSHED)
        peer.chunk(listing(6, one.row("DRAINING"), whole=False))
        eventually(lambda: node.counters()["discovery_messages"] == 3)
        self.assertEqual({self.served_by(node, f"t{n}") for n in range(6)}, {b"s2"})
        for end in (Peer.reset, Peer.close):
            end(peer)
            peer = agent.accept()
            self.assertIn("since=6", peer.request()[0])
            peer.say(WATCH_HEAD)
        peer.chunk(listing(7, two.row("DRAINING"), whole=False))
        eventually(lambda: node.answers_ready() == 503)

    def test_an_agent_that_takes_the_call_and_says_nothing_is_called_again(self) -> None:
        agent, worker = self.door(), self.worker("s1")
        node = self.node(worker, discovery=agent.address, settings=PUSHED)
        for _ in range(3):  # while discovery is down the agent is silent
            self.assertIn("follow=1", agent.accept().request()[0])
        peer = agent.accept()
        peer.request()
        peer.say(WATCH_HEAD)
        peer.chunk(listing(9, worker.row("DRAINING")))
        eventually(lambda: node.answers_ready() == 503)


class Lists(Watches):
    def test_indented_lists_are_read_whole(self) -> None:
        door, worker = self.door(), self.worker("s1")
        node, peer = self.watched(door, worker)
        odd = {**worker.row(), "az": 'a } "quoted" { [ \\'}
        peer.chunk(listing(6, odd, worker.row("DRAINING"), whole=False), indent=2)
        eventually(lambda: node.answers_ready() == 503)
        peer.chunk(listing(7, {**worker.row(), "boot_ms": 5}, whole=False), indent=1)
        eventually(lambda: node.answers_ready() == 200)
        self.assertNotIn("discovery_failures", node.counters())

    def test_a_drain_in_a_doubted_list_is_obeyed_and_the_list_believed_in_time(self) -> None:
        door, one, two = self.door(), self.worker("s1"), self.worker("s2")
        node, peer = self.watched(door, one, two)
        if self.served_by(node, "t") == b"s2":
            one, two = two, one
        left = {two.uid.encode()}
        peer.chunk(listing(3, one.row("DRAINING"), whole=False))  # older than what was told
        eventually(lambda: node.counters().get("discovery_doubted") == 1)
        self.assertEqual({self.served_by(node, f"t{n}") for n in range(6)}, left)
        door.accept().request()  # it is asked again, and does not answer
        eventually(lambda: node.counters()["discovery_messages"] == 3)  # believed all the same
        self.assertEqual({self.served_by(node, f"u{n}") for n in range(6)}, left)

    def test_an_empty_list_is_believed_though_nothing_more_is_heard(self) -> None:
        door, worker = self.door(), self.worker("s1")
        node, peer = self.watched(door, worker)
        peer.chunk(listing(6))
        door.accept()  # asked again: not a word
        eventually(lambda: node.answers_ready() == 503)

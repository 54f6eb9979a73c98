"""Races between two events, each forced by a stand-in; docs/acceptance.md lists them."""

from __future__ import annotations

import contextlib
import os
import select
import signal
import socket
import threading
import unittest
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from arrowfold.program.node import shutdown_times
from arrowfold.standins.door import NEVER_RAN, WATCH_HEAD, ManualServer, ServerConnection
from arrowfold.standins.process import SETTINGS, request_class
from arrowfold.standins.servers import TIMEOUT_S, eventually, free_port
from arrowfold.transport.loop import Loop
from arrowfold.transport.pool import REST
from arrowfold.transport.stream import Stream
from tests.edge import EdgeCase, Node, in_threads
from tests.test_node import post
from tests.test_pool import Idling

ALLOWED = {**SETTINGS["permissions"], "probes": False}
# Without the dispatcher's permission to cancel, the core still cancels attempts that have not been sent.
NO_CANCEL = {**SETTINGS, "permissions": {**ALLOWED, "cancel": False}}
PLAIN = {**SETTINGS, "permissions": ALLOWED}


class RaceCase(EdgeCase):
    def door(self, uid: str = "s1", shut: bool = False) -> ManualServer:
        door = ManualServer(uid, shut)
        self.addCleanup(door.close)
        return door

    def among(self, *doors: Any, **options: Any) -> Node:
        node = Node(self.folder, [door.row() for door in doors], **{"settings": PLAIN, **options})
        self.addCleanup(node.close)
        return node

    def client(self, node: Node, data: bytes = b"") -> socket.socket:
        sock = socket.create_connection(("127.0.0.1", node.port), timeout=TIMEOUT_S)
        self.addCleanup(sock.close)
        sock.sendall(data)
        return sock

    def wait_for_count(self, node: Node, name: str, count: int = 1) -> None:
        eventually(lambda: node.counters().get(name, 0) >= count)

    def next_connection(self, *doors: ManualServer) -> ServerConnection:
        """Returns the next connection of the node to any of the doors."""
        ready = select.select([door.sock for door in doors], [], [], TIMEOUT_S)[0]
        return next(door for door in doors if door.sock in ready).accept()

    @contextlib.contextmanager
    def paused(self, node: Node) -> Any:
        """Pauses the node, so that all that happens meanwhile is pending when it continues."""
        node.process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, node.process.pid, os.WSTOPPED | os.WNOWAIT)
        try:
            yield
        finally:
            node.process.send_signal(signal.SIGCONT)


class CancelledWhileConnecting(RaceCase):
    """An attempt waits for its connection and is cancelled by an event before it is established."""

    def setUp(self) -> None:
        super().setUp()
        self.shut, self.other = self.door("s1", shut=True), self.worker("s2")
        self.agent = self.door("discovery")
        self.running = self.among(
            self.shut, discovery=self.agent.address, settings={**NO_CANCEL, "discovery": "automatic"})
        self.watch = self.agent.accept()
        self.watch.request()
        self.watch.send_bytes(WATCH_HEAD)
        self.watch.chunk({"rev": 1, "all": True, "targets": [self.shut.row()]})
        self.wait_for_count(self.running, "discovery_messages", 2)

    def send_job(self) -> tuple[threading.Thread, list[Any]]:
        got: list[Any] = []
        thread = threading.Thread(target=lambda: got.append(self.running.post("t1", "once")))
        thread.start()
        self.wait_for_count(self.running, "dispatched")
        return thread, got

    def assert_nothing_sent(self) -> None:
        """Checks that the attempt was cancelled and sent no byte once connections are accepted."""
        self.wait_for_count(self.running, "outcome_moot")
        self.assertNotIn("outcome_connect_failed", self.running.counters())
        self.shut.open()
        while self.shut.asked(0.0):
            self.assertTrue(self.shut.accept().wait_until_closed())
        self.assertEqual([peer.read for peer in self.shut.peers], [b""] * len(self.shut.peers))

    def test_the_client_leaves(self) -> None:
        client = self.client(self.running, post("t1"))
        self.wait_for_count(self.running, "dispatched")
        client.close()
        self.wait_for_count(self.running, "client_left")
        self.assert_nothing_sent()

    def test_the_deadline_passes(self) -> None:
        client = self.client(self.running, post("t1").replace(b"20000m", b"300m"))
        self.assertIn(client.recv(65536)[:12], (b"HTTP/1.1 502", b"HTTP/1.1 503"))
        self.assert_nothing_sent()

    def test_all_clients_of_one_run_leave(self) -> None:
        """The run continues while a client waits for it and is cancelled when the last one leaves."""
        agent = self.door("discovery")
        document = 'repeats {\n    class "search" keep=(s)60\n}\n'
        node = self.among(self.shut, discovery=agent.address, edge=document,
                          settings={**NO_CANCEL, "discovery": "automatic"})
        clients = [self.client(node, post(f"try{n}", "Idempotency-Key: k")) for n in range(2)]
        self.wait_for_count(node, "repeats_joined")
        self.wait_for_count(node, "dispatched")
        clients[0].close()
        self.wait_for_count(node, "client_left")
        self.assertNotIn("outcome_moot", node.counters())
        clients[1].close()
        self.running = node
        self.assert_nothing_sent()

    def served_by_the_other(self, event: Callable[[], Any]) -> None:
        thread, got = self.send_job()
        event()
        thread.join(TIMEOUT_S)
        self.assertEqual(got[0][:2], (200, b"s2:t1"))
        self.assert_nothing_sent()

    def test_the_server_drains(self) -> None:
        self.served_by_the_other(lambda: self.watch.chunk(
            {"rev": 2, "all": False, "targets": [self.shut.row("DRAINING"), self.other.row()]}))

    def test_the_server_is_removed(self) -> None:
        self.served_by_the_other(
            lambda: self.watch.chunk({"rev": 2, "all": True, "targets": [self.other.row()]}))

    def test_the_server_enters_maintenance(self) -> None:
        def call() -> None:
            self.watch.chunk({"rev": 2, "all": False, "targets": [self.other.row()]})
            self.wait_for_count(self.running, "discovery_messages", 3)
            self.assertTrue(self.running.call("maint-on s1").startswith("ok"))

        self.served_by_the_other(call)

    def test_the_server_has_restarted(self) -> None:
        """A server chosen while it was warm is chosen anew after it has restarted and is cold."""
        thread, _ = self.send_job()
        self.watch.chunk({"rev": 2, "all": False, "targets": [self.shut.row(boot_ms=1)]})
        self.wait_for_count(self.running, "outcome_moot")
        self.shut.open()
        peer = self.shut.accept()
        while True:  # the first attempt's connection ends without a byte, the next one carries the job
            try:
                peer.request()
                break
            except EOFError:
                self.assertEqual(peer.read, b"")
                peer = self.shut.accept()
        peer.send_result("t1")
        thread.join(TIMEOUT_S)


class Leaving(RaceCase):
    def test_a_client_leaves_before_its_request_is_read(self) -> None:
        worker = self.worker("s1")
        node = self.node(worker)
        ahead = [b"", post("junk") * 900]
        with self.paused(node):
            for n, more in enumerate(ahead):
                self.client(node, post(f"gone{n}") + more).close()
        self.wait_for_count(node, "client_left_unheard", len(ahead))
        self.assertEqual(node.post("t2")[0], 200)
        self.assertEqual([job[0] for job in worker.jobs], ["t2"])

    def test_a_client_that_sent_much_ahead_leaves(self) -> None:
        door = self.door()
        node = self.among(door)
        for count, ahead in enumerate((20_000, 100_000, 1_000_000), 1):
            client = self.client(node, post(f"t{ahead}"))
            peer = door.accept()
            peer.request()
            client.sendall(b"x" * ahead)
            client.close()
            self.wait_for_count(node, "client_left", count)
            self.assertTrue(peer.wait_until_closed())  # its attempt is cancelled

    def test_an_answer_is_complete_in_spite_of_input_sent_ahead(self) -> None:
        """Input over the limit is not read; closing after the answer must not reset the connection."""
        door = self.door()
        node = self.among(door)
        client = self.client(node, post("t1"))
        peer = door.accept()
        peer.request()
        client.sendall(post("ahead") + b"x" * 1_000_000)
        self.wait_for_count(node, "sent_ahead_unheard")
        with self.paused(node):  # it reads the server's answer first and closes with this input unread
            peer.send_result("t1", "whole")
            client.sendall(b"x" * 100_000)
        answer = b"".join(iter(lambda: client.recv(65536), b""))
        self.assertTrue(answer.endswith(b"whole"), answer)
        self.assertIn(b"Connection: close", answer)

    def test_a_producer_that_sent_much_ahead_leaves(self) -> None:
        door = self.door()
        port = free_port()
        node = self.among(door, edge=f'faktory {{\n    listen "127.0.0.1:{port}"\n}}\n')
        client = socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S)
        self.addCleanup(client.close)
        client.sendall(b'HELLO {"v":2}\r\nPUSH {"jid":"j1","jobtype":"search","args":[]}\r\n')
        peer = door.accept()
        peer.request()
        client.sendall(b"x" * 500_000)
        client.close()
        self.wait_for_count(node, "client_left")
        self.assertTrue(peer.wait_until_closed())


class Answers(RaceCase):
    def test_an_endless_answer_does_not_block_other_jobs(self) -> None:
        doors = self.door("s1"), self.door("s2")
        node = self.among(*doors)
        client = self.client(node, post("t1"))
        peer = self.next_connection(*doors)
        peer.request()

        def flood() -> None:
            line = b'{"id":"t1","state":"running","share":0.1}\n'
            with contextlib.suppress(OSError):
                peer.send_bytes(WATCH_HEAD)
                while True:
                    peer.send_bytes(b"%x\r\n%s\r\n" % (len(line) * 500, line * 500))

        thread = threading.Thread(target=flood, daemon=True)
        thread.start()
        thread.join(TIMEOUT_S)  # the node closes the connection: the answer exceeds the limit
        self.assertFalse(thread.is_alive())
        second = self.next_connection(*doors)  # safe to repeat
        second.request()
        second.send_result("t1", "after all")
        self.assertIn(b"after all", client.recv(65536))

    def test_a_stream_that_never_pauses_lets_others_run(self) -> None:
        """Fairness of the loop: a reader with endless input must not keep another task from running."""
        faults: list[BaseException] = []
        loop = Loop(lambda _, error: faults.append(error))
        left, right = socket.socketpair()
        self.addCleanup(left.close)
        self.addCleanup(right.close)
        left.setblocking(False)
        turns = 0

        class Endless(Stream):
            def try_read(self, max_bytes: int = 0) -> bytes:
                nonlocal turns
                turns += 1
                assert turns < 1000, "no other task has run"
                return b"x" * 65536

        stream = Endless(loop, left, connected=True)

        def reads() -> Any:
            while True:
                yield from stream.read()

        def ends() -> Any:
            loop.stopping = True
            yield

        loop.spawn(reads(), "reads")
        loop.spawn(ends(), "ends")
        loop.run()
        self.assertEqual(faults, [])

    def test_a_refusal_without_its_body_is_a_refusal(self) -> None:
        door, other = self.door(), self.worker("s2", lambda job, nth: "done")
        agent = self.door("discovery")
        node = self.among(door, discovery=agent.address, settings={**PLAIN, "discovery": "automatic"})
        watch = agent.accept()
        watch.request()
        watch.send_bytes(WATCH_HEAD)
        client = self.client(node, post("t1", path="/once").replace(b"Qos: search", b"Qos: once"))
        peer = door.accept()
        peer.request()
        watch.chunk({"rev": 2, "all": False, "targets": [other.row()]})
        self.wait_for_count(node, "discovery_messages", 2)
        peer.send_bytes(NEVER_RAN.replace(b"Content-Length: 0", b"Content-Length: 9"))
        self.assertIn(b"s2:t1", client.recv(65536))

    def test_a_late_answer_to_another_job_is_discarded(self) -> None:
        """A second answer to a job arrives while the next job is in progress on the same connection."""
        one, two = self.door("s1"), self.door("s2")
        agent = self.door("discovery")
        node = self.among(one, discovery=agent.address, settings={**PLAIN, "discovery": "automatic"})
        watch = agent.accept()
        watch.request()
        watch.send_bytes(WATCH_HEAD)
        first = self.client(node, post("t1"))
        peer = one.accept()
        peer.request()
        peer.send_result("t1", "one")
        self.assertIn(b"one", first.recv(65536))
        threading.Event().wait(4 * REST.total_seconds())  # the connection may be reused now
        second = self.client(node, post("t2"))
        peer.request()
        watch.chunk({"rev": 2, "all": False, "targets": [two.row()]})
        self.wait_for_count(node, "discovery_messages", 2)
        peer.send_result("t1", "one, once more")
        again = two.accept()
        again.request()
        again.send_result("t2", "two")
        self.assertTrue(second.recv(65536).endswith(b"two"))
        self.assertEqual(node.counters()["answers_misplaced"], 1)


class ReuseDelay(Idling):
    def test_a_connection_that_carried_a_job_is_not_reused_at_once(self) -> None:
        """A late second answer that consists of a status alone can't be assigned to a job."""
        self.pool.budget.idle_closers.clear()  # the connection must not be closed to open another
        connection: Any = self.idle(0, rest=REST)
        self.assertIsNone(self.reused())
        self.clock.time += REST
        self.assertIs(self.reused(), connection)


class Unsafe(RaceCase):
    def once(self, node: Node) -> tuple[int, bytes]:
        return node.post("t1", "once")[:2]

    def test_a_connection_established_late_carries_no_second_attempt(self) -> None:
        """The job goes to another server after the connect timeout; the late connection is closed unused."""
        shut, other = self.door("s1", shut=True), self.worker("s2")
        agent = self.door("discovery")
        settings = {**PLAIN, "discovery": "automatic",
                    "permissions": {**ALLOWED, "connectTimeoutUs": 250_000}}
        node = self.among(shut, discovery=agent.address, settings=settings)
        watch = agent.accept()
        watch.request()
        watch.send_bytes(WATCH_HEAD)
        got: list[Any] = []
        thread = threading.Thread(target=lambda: got.append(self.once(node)))
        thread.start()
        self.wait_for_count(node, "dispatched")
        watch.chunk({"rev": 2, "all": False, "targets": [other.row()]})
        thread.join(TIMEOUT_S)
        self.assertEqual(got[0], (200, b"s2:t1"))
        shut.open()
        while shut.asked(0.0):
            self.assertTrue(shut.accept().wait_until_closed())
        self.assertEqual([peer.read for peer in shut.peers], [b""] * len(shut.peers))

    def test_a_reset_of_a_started_unsafe_job_is_final(self) -> None:
        door, other = self.door(), self.door("s2")
        node = self.among(door, other)
        results = in_threads([lambda: self.once(node), lambda: self._reset(door, other)])
        self.assertEqual(next(results)[0], 502)
        self.assertFalse(door.asked(0.0) or other.asked(0.0))

    def _reset(self, *doors: ManualServer) -> None:
        peer = self.next_connection(*doors)
        peer.request()
        peer.send_bytes(WATCH_HEAD)
        peer.chunk({"id": "t1", "state": "started"})
        ServerConnection.reset(peer)


class Closing(RaceCase):
    def test_a_client_whose_request_has_arrived_is_not_closed_for_another(self) -> None:
        """The node is full and the client idle longest has sent a request that has not been read yet."""
        node = self.among(self.worker("s1"), limits={"cores": 1.0, "memory_mb": 192, "sockets": 64})
        first, *silent = [self.client(node) for _ in range(9)]
        threading.Event().wait(0.4)  # all are idle long enough to be closed for another
        with self.paused(node):
            late = [self.client(node) for _ in range(6)]  # accepted before the request is read
            first.sendall(post("t1"))
        self.assertIn(b"s1:t1", first.recv(65536))
        for sock in silent + late:
            sock.close()

    def test_an_excess_idle_client_with_a_new_request_is_not_closed(self) -> None:
        """Of more than 16 idle clients the oldest is closed, unless it has sent a request."""
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 128}
        node = self.among(self.worker("s1"), self.worker("s2"), limits=limits)
        closed, clients = -1, list[socket.socket]()
        while node.counters().get("connections_closed_as_idle", 0) != closed:  # until none was closed
            for client in clients:
                client.close()
            closed = node.counters().get("connections_closed_as_idle", 0)
            clients = [self.client(node, post(f"t{n}")) for n in range(17)]
            for client in clients:
                client.recv(65536)
        threading.Event().wait(0.4)
        with self.paused(node):
            looker = self.client(node, b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n")  # handled first
            clients[0].sendall(post("again"))
        self.assertIn(b"live", looker.recv(65536))
        self.assertIn(b":again", clients[0].recv(65536))

    def test_a_class_made_stricter_between_head_and_body_applies(self) -> None:
        worker = self.worker("s1")
        node = self.node(worker)
        client = self.client(node, post("t1", length=1))
        strict = {**SETTINGS, "classes": [request_class("search", "keyed")]}
        eventually(lambda: node.counters() is not None)
        node.reload(settings=strict)
        self.wait_for_count(node, "reloads_settings")
        client.sendall(b"x")
        self.assertIn(b"Idempotency-Key is missing", client.recv(65536))
        self.assertEqual(worker.jobs, [])


class Ending(RaceCase):
    def test_open_requests_are_answered_completely_at_the_end_in_spite_of_unread_input(self) -> None:
        door = self.door()
        short = {**PLAIN, "classes": [request_class("search", limit_ms=700)]}
        node = self.among(door, settings=short)
        client = self.client(node, post("t1").replace(b"20000m", b"9000m"))
        door.accept().request()
        node.process.send_signal(signal.SIGTERM)
        self.wait_for_count(node, "terminations")
        with self.paused(node):  # until the last moment: the answer is sent while input is unread
            client.sendall(post("ahead") * 8000)
            threading.Event().wait(shutdown_times(timedelta(milliseconds=700))[2].total_seconds())
        answer = b"".join(iter(lambda: client.recv(65536), b""))
        self.assertEqual(answer[:12], b"HTTP/1.1 502")
        self.assertEqual(node.process.wait(TIMEOUT_S), 0)

    def test_connections_not_yet_accepted_at_the_end_are_answered(self) -> None:
        """A hundred connections with a request each, which the kernel has accepted but the node has not."""
        door = self.door()
        node = self.among(door, settings={**PLAIN, "classes": [request_class("search", limit_ms=700)]})
        owed = self.client(node, post("t1").replace(b"20000m", b"9000m"))
        door.accept().request()
        node.process.send_signal(signal.SIGTERM)
        self.wait_for_count(node, "terminations")
        with self.paused(node):
            threading.Event().wait(shutdown_times(timedelta(milliseconds=700))[2].total_seconds())
            late = [self.client(node, post(f"late{n}")) for n in range(100)]
        for client in [owed, *late]:
            self.assertIn(client.recv(65536)[:12], (b"HTTP/1.1 502", b"HTTP/1.1 503"))
        self.assertEqual(node.process.wait(TIMEOUT_S), 0)

    def test_repeated_signals_lose_no_request(self) -> None:
        door = self.door()
        node = self.among(door)
        client = self.client(node, post("t1"))
        peer = door.accept()
        peer.request()
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            node.process.send_signal(number)
        peer.send_result("t1", "in time")
        self.assertIn(b"in time", client.recv(65536))
        client.close()
        self.assertEqual(node.process.wait(TIMEOUT_S), 0)

    def test_the_end_comes_before_sigkill_whatever_the_deadlines(self) -> None:
        for limit in (50, 100, 250, 300, 700, 3000, 60_000):
            longest = timedelta(milliseconds=limit)
            least, leave, stop = shutdown_times(longest)
            kill = min(longest, timedelta(seconds=3)) + timedelta(milliseconds=700)
            self.assertLess(max(least, stop), kill)
            self.assertGreater(leave, timedelta(0))


class Timers(unittest.TestCase):
    def test_a_timer_cancelled_in_the_turn_in_which_it_is_due_does_not_fire(self) -> None:
        loop, fired = Loop(lambda *_: None), list[str]()
        due = loop.now()

        def first() -> None:
            fired.append("first")
            second.cancel()

        def last() -> None:
            loop.stopping = True

        loop.call_at(due, first)
        second = loop.call_at(due, lambda: fired.append("second"))
        loop.call_at(due, last)
        loop.run()
        self.assertEqual(fired, ["first"])


class Descriptors(unittest.TestCase):
    def test_an_event_of_a_closed_descriptor_does_not_reach_its_successor(self) -> None:
        loop = Loop(lambda *_: None)
        received: list[str] = []
        pairs = [socket.socketpair() for _ in range(2)]
        fresh: list[socket.socket] = []

        class First:
            def on_ready(self, mask: int) -> None:
                received.append("first")
                if not fresh:
                    number = pairs[1][0].fileno()
                    loop.unwatch(number)
                    pairs[1][0].close()
                    fresh.extend(socket.socketpair())
                    assert fresh[0].fileno() == number
                    loop.watch(number, Next())
                    loop.stopping = True

        class Next:
            def on_ready(self, mask: int) -> None:
                received.append("next")

        loop.watch(pairs[0][0].fileno(), First(), urgent=True)
        loop.watch(pairs[1][0].fileno(), Next())
        for _, far in pairs:
            far.send(b"x")
        loop.run()
        self.assertEqual(received, ["first"])
        for sock in [*fresh, pairs[0][0], pairs[0][1], pairs[1][1]]:
            sock.close()

"""The operators' acceptance criteria: lists, leaving clients, cold servers, idle clients, starts."""

from __future__ import annotations

import contextlib
import heapq
import math
import os
import socket
import threading
import time
import unittest
from collections import Counter
from datetime import timedelta
from itertools import pairwise
from random import Random
from typing import Any

from arrowfold import Dispatcher
from arrowfold import interface as api
from arrowfold.protocol import discovery as watches
from arrowfold.standins.door import NEVER_RAN, WATCH_HEAD, ManualServer, ServerConnection
from arrowfold.standins.process import SETTINGS, Node
from arrowfold.standins.servers import TIMEOUT_S, Discovery, QuietHandler, Server, eventually, free_port
from arrowfold.transport.loop import Loop
from tests.edge import EdgeCase
from tests.field import MS, SECOND, settings

# The dispatcher would fetch the list again after 10 s: earlier calls are the watch's own.
SLOW_TO_ASK: dict[str, Any] = {
    **SETTINGS, "contract": {**SETTINGS["contract"], "askWithinUs": 10_000_000}}
SHED = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"


def listing(revision: int, *rows: dict[str, Any]) -> dict[str, Any]:
    return {"rev": revision, "all": True, "targets": list(rows)}


class FirstList(EdgeCase):
    """Criterion 1 at a start: changes that discovery has had for 6 s apply from the start of the process."""

    def setUp(self) -> None:
        super().setUp()
        self.agent, self.removed, self.listed = (
            ManualServer("discovery"), ManualServer("s1"), self.worker("s2"))
        self.addCleanup(self.agent.close)
        self.addCleanup(self.removed.close)
        self.answers: list[Any] = []

    def start_node(self, address: str, settings: dict[str, Any] = SLOW_TO_ASK) -> Node:
        """Starts a node whose configured list has only a server that no longer exists."""
        node = Node(self.folder, [self.removed.row()], discovery=address, settings=settings)
        self.addCleanup(node.close)
        return node

    def send_job(self, node: Node) -> threading.Thread:
        thread = threading.Thread(target=lambda: self.answers.append(node.post("early")))
        thread.start()
        eventually(lambda: node.counters().get("taken") == 1)
        return thread

    def assert_served_from_the_list(
            self, peer: ServerConnection, node: Node, thread: threading.Thread) -> None:
        self.assertEqual(node.readiness_status(), 503)
        peer.send_bytes(WATCH_HEAD)
        peer.chunk(listing(7, self.listed.row()))
        thread.join(TIMEOUT_S)
        self.assertEqual(self.answers[0][:2], (200, b"s2:early"))
        self.assertFalse(self.removed.asked())
        self.assertNotIn("discovery_unheard", node.counters())

    def test_jobs_wait_for_a_slow_first_call(self) -> None:
        node = self.start_node(self.agent.address)
        thread = self.send_job(node)
        peer = self.agent.accept()
        self.assertIn("since=1", peer.request()[0])
        self.assert_served_from_the_list(peer, node, thread)

    def test_failed_first_calls_are_retried_before_any_job_is_sent(self) -> None:
        node = self.start_node(self.agent.address)
        thread = self.send_job(node)
        for way in (SHED, SHED, b"", WATCH_HEAD, SHED):
            peer = self.agent.accept()
            peer.request()
            peer.send_bytes(way)
            peer.reset()
        peer = self.agent.accept()
        peer.request()
        self.assert_served_from_the_list(peer, node, thread)

    def test_a_job_that_waits_for_the_list_ends_at_its_deadline_or_when_its_client_leaves(self) -> None:
        node = self.start_node(self.agent.address)
        status, _, _ = node.post("short", expires="60m")
        self.assertEqual(status, 503)
        with socket.create_connection(("127.0.0.1", node.port), timeout=TIMEOUT_S) as client:
            client.sendall(b"POST /search HTTP/1.1\r\nHost: x\r\nX-Trace-Id: left\r\nX-Qos: search\r\n"
                           b"X-Expires-In: 20000m\r\nContent-Length: 0\r\n\r\n")
            eventually(lambda: node.counters().get("taken") == 2)
        eventually(lambda: node.counters().get("client_left") == 1)
        peer = self.agent.accept()
        peer.request()
        peer.send_bytes(WATCH_HEAD)
        peer.chunk(listing(7, self.listed.row()))
        eventually(lambda: node.readiness_status() == 200)
        self.assertEqual(node.counters().get("dispatched", 0), 0)

    def test_a_node_that_cannot_reach_discovery_serves_from_its_configured_list(self) -> None:
        away = ManualServer("nobody")
        away.close()
        node = Node(self.folder, [self.listed.row()], discovery=away.address, settings=SLOW_TO_ASK)
        self.addCleanup(node.close)
        self.assertEqual(node.post("t1")[:2], (200, b"s2:t1"))
        self.assertEqual((node.readiness_status(), node.counters()["discovery_unheard"]), (200, 1))

    def test_a_node_whose_discovery_never_answers_serves_and_keeps_calling(self) -> None:
        node = Node(self.folder, [self.listed.row()], discovery=self.agent.address, settings=SLOW_TO_ASK)
        self.addCleanup(node.close)
        self.assertEqual(node.post("t1")[:2], (200, b"s2:t1"))
        eventually(lambda: node.readiness_status() == 200)
        peer = self.agent.accept()
        peer.reset()
        while "since" not in peer.read.decode():  # connections that it has abandoned come first
            peer = self.agent.accept()
            peer.request()
            peer.send_bytes(WATCH_HEAD)
            try:
                peer.chunk(listing(7, self.listed.row("DRAINING")))
                eventually(lambda: node.readiness_status() == 503)
                return
            except (OSError, AssertionError):
                continue

    def test_the_first_calls_of_nodes_that_start_together_are_spread(self) -> None:
        class FrozenLoop(Loop):
            """A loop whose clock is constant, so that intervals between timers are exact."""

            def now(self) -> timedelta:
                return timedelta(days=1)

        class Core:
            listed = True

            def __init__(self, nodes: int) -> None:
                self.settings = settings(fleet_size=nodes, roster_on_request=True)

            def await_list(self) -> None:
                self.listed = False

        def first_calls(nodes: int) -> list[float]:
            """Returns when each node's first call is due, in seconds after the start."""
            due = []
            for seed in range(60):
                loop = FrozenLoop(lambda where, error: None)
                begun = loop.now()
                one = watches.Discovery(
                    loop, ("127.0.0.1", 1), Core(nodes),  # type: ignore[arg-type]
                    lambda address: None, Counter(), lambda event, **fields: None, seed)  # type: ignore[arg-type, return-value]
                one.begin()
                due.append(min((when - begun).total_seconds() for when, _, _ in loop.timers))
                loop.epoll.close()
            return sorted(due)

        few, many, most = first_calls(2), first_calls(200), first_calls(2700)
        self.assertLess(few[-1], 0.1)
        self.assertGreater(many[45] - many[15], 0.1)
        self.assertLess(most[-1], watches.MAX_START_SPREAD.total_seconds())
        self.assertGreater(most[45] - most[15], 0.3)


class CallsAfterFailures(EdgeCase):
    def test_discovery_is_called_again_in_time_after_any_number_of_failures(self) -> None:
        """Criterion 1: a change must apply 6 s after it is available, and a call may take 3 s."""
        gaps: list[float] = []
        worker, there = self.worker("s1"), threading.Event()

        class Handler(QuietHandler):
            def do_GET(self) -> None:
                gaps.append(time.monotonic())
                if len(gaps) == 1 or there.is_set():
                    self.send_response(200)
                    self.send_header("Transfer-Encoding", "chunked")
                    self.end_headers()
                    self.chunk(listing(len(gaps), worker.row("DRAINING" if there.is_set() else "SERVING")))
                    if there.is_set():
                        there.clear()
                        time.sleep(0.2)
                else:
                    self.send_response(503)
                    self.send_header("Content-Length", "0")
                    self.end_headers()
                self.close_connection = True

        discovery = Server(Handler)
        self.addCleanup(discovery.close)
        node = self.node(worker, discovery=discovery.address, settings=SLOW_TO_ASK)
        eventually(lambda: node.readiness_status() == 200)
        eventually(lambda: len(gaps) >= 9)
        there.set()
        eventually(lambda: node.readiness_status() == 503)
        between = [later - sooner for sooner, later in pairwise(gaps)]
        # The longest gap is left out: a paused machine can only lengthen the time between two calls.
        self.assertLessEqual(sorted(between)[-2], 3.0)


class LeavingClient(EdgeCase):
    def test_no_further_attempt_is_made_for_a_client_that_has_left(self) -> None:
        """Criterion 2: the first attempt is returned unstarted after its client has left."""
        doors = [ManualServer("s1"), ManualServer("s2")]
        for door in doors:
            self.addCleanup(door.close)
        no_cancel = {**SETTINGS, "permissions": {**SETTINGS["permissions"], "cancel": False, "probes": False}}
        node = Node(self.folder, [door.row() for door in doors], settings=no_cancel)
        self.addCleanup(node.close)
        client = socket.create_connection(("127.0.0.1", node.port), timeout=TIMEOUT_S)
        client.sendall(b"POST /search HTTP/1.1\r\nHost: x\r\nX-Trace-Id: t1\r\nX-Qos: search\r\n"
                       b"X-Expires-In: 20000m\r\nContent-Length: 0\r\n\r\n")
        eventually(lambda: any(door.asked(0.01) for door in doors))
        peer = next(door for door in doors if door.asked()).accept()
        peer.request()
        client.close()
        eventually(lambda: node.counters().get("client_left") == 1)
        peer.send_bytes(NEVER_RAN)
        eventually(lambda: node.counters().get("outcome_full", 0) == 1)
        later = node.post("t2", expires="300m")  # another attempt of t1 would come before t2 ends
        self.assertIn(later[0], (502, 503))
        self.assertEqual(node.counters()["taken"], 2)
        waiting = [door.accept().request()[1]["x-trace-id"] for door in doors if door.asked()]
        self.assertNotIn("t1", waiting)


class ColdServer(unittest.TestCase):
    """Criterion 3: what all dispatchers together send to one cold server, in virtual time, and its budget."""

    SIZE, WORK, COLD, WINDOW, FACTOR, FROM = 6.0, 200 * MS, 9 * SECOND, 1500 * MS, 3.0, 0.34

    def sends(self, nodes: int, rate: float) -> list[int]:
        """Returns when attempts were sent to the cold server, at `rate` jobs a second for all nodes."""
        conf = settings(fleet_size=nodes, cold_us=self.COLD, cold_from=self.FROM, overload_factor=self.FACTOR,
                        overload_for_us=self.WINDOW, may_probe=False, tells_start=True)
        start, random = 100 * SECOND, Random(nodes)
        cold = api.RosterEntry("cold", "a", "std", 0, start)
        warm = api.RosterEntry("warm", "a", "std", 0, 0)
        fleet = [Dispatcher(conf, seed) for seed in range(nodes)]
        events: list[tuple[int, int, int, api.Event]] = []

        def tell(now: int, at: int, event: api.Event) -> None:
            for action in fleet[at].handle(now, [event]):
                due: api.Event | None = None
                wait = 0
                if isinstance(action, api.SetTimer):
                    due, wait = api.TimerFired(action.handle), action.delay_us
                elif isinstance(action, api.Send):
                    number = tries[at, action.request]
                    tries[at, action.request] += 1
                    if action.worker == "cold":
                        sent.append(now)
                        due = api.AttemptEnded(action.request, number, "cold", api.Status.OK, self.WORK, True,
                                               api.LoadReport(free_slots=self.SIZE, held=0.0))
                        wait = self.WORK
                    else:  # the warm server is always full
                        due = api.AttemptEnded(action.request, number, "warm", api.Status.FULL, MS, False,
                                               api.LoadReport(free_slots=0.0, held=self.SIZE))
                        wait = MS
                if due is not None:
                    heapq.heappush(events, (now + wait, len(events) + 1_000_000 * (now % 97), at, due))

        sent: list[int] = []
        tries: Counter[tuple[int, str]] = Counter()
        for at in range(nodes):
            tell(start, at, api.RosterUpdate(api.RosterMode.COMPLETE, (cold, warm)))
            tell(start, at, api.ProbeEnded("warm", api.Status.OK, MS, api.LoadReport(0.0, held=self.SIZE)))
            tell(start, at, api.ProbeEnded("cold", api.Status.OK, MS, api.LoadReport(self.SIZE, held=0.0)))
        now, end = start, start + self.COLD
        for nth in range(int(rate * self.COLD / SECOND)):
            now = start + int(nth * SECOND / rate)
            arrival = api.Arrival(f"j{nth}", "safe", now + 3 * SECOND)
            heapq.heappush(events, (now, nth, random.randrange(nodes), arrival))
        while events and events[0][0] < end:
            now, _, at, event = heapq.heappop(events)
            tell(now, at, event)
        return [when - start for when in sent]

    def excess(self, times: list[int]) -> float:
        """Returns by how much the fullest window exceeds N + 2 * sqrt(N) + 2; negative if none does."""
        worst = -math.inf
        for first, since in enumerate(times):
            held = sum(1 for when in times[first:] if when < since + self.WINDOW)
            warmth = self.FROM + (1 - self.FROM) * since / self.COLD  # at the beginning of the window
            most = self.FACTOR * self.SIZE * warmth * self.WINDOW / self.WORK
            worst = max(worst, held - (most + 2 * math.sqrt(most) + 2))
        return worst

    def test_the_cold_budget_holds_for_all_nodes_together(self) -> None:
        for nodes in (2, 25, 200):
            times = self.sends(nodes, 300.0)
            self.assertGreater(len(times), 60, f"{nodes} nodes hardly use the cold server")
            self.assertLess(self.excess(times), 0, f"{nodes} nodes")


class ManyIdleClients(EdgeCase):
    """Criterion 4: idle clients use up the descriptors while discovery is unavailable."""

    def test_a_list_after_the_outage_is_applied_and_the_admin_address_answers(self) -> None:
        one, two = self.worker("s1"), self.worker("s2")
        port = free_port()
        first = Discovery([one.row(), two.row()], port=port)
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 128}
        node = self.node(one, two, discovery=first.address, limits=limits, settings=SLOW_TO_ASK)
        eventually(lambda: node.readiness_status() == 200)
        first.close()
        first.changes.put(None)  # the watch ends
        eventually(lambda: node.counters().get("discovery_failures", 0) >= 1)
        idle: list[socket.socket] = []
        self.addCleanup(lambda: [sock.close() for sock in idle])

        def fill() -> None:
            """Opens clients until the node is full; half send one request, and all are then idle."""
            for nth in range(400):
                sock = socket.create_connection(("127.0.0.1", node.port), timeout=0.5)
                idle.append(sock)
                with contextlib.suppress(OSError):
                    sock.sendall(b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n" if nth % 2 else b"")

        fill()
        self.assertLess(len(os.listdir(f"/proc/{node.process.pid}/fd")), 128)
        counted = node.counters()
        self.assertGreater(sum(counted.get(f"connections_{why}", 0) for why in (
            "closed_for_room", "closed_as_idle", "no_room")), 20)  # the node was full repeatedly
        self.assertTrue(node.call("status").startswith("ok"))
        second = Discovery([one.row("DRAINING"), two.row()], port=port)
        self.addCleanup(second.close)
        second.asked.get(timeout=TIMEOUT_S)  # the call got a descriptor
        eventually(lambda: "maintenance" in node.call("status"))
        answers = {node.post(f"t{nth}")[1] for nth in range(4)}
        self.assertEqual(answers, {b"s2:t%d" % nth for nth in range(4)})

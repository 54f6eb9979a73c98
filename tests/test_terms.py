"""The operators' terms of acceptance, one by one: lists, clients that leave, cold servers, crowds, starts."""

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
from arrowfold.standins.door import NEVER_RAN, WATCH_HEAD, Door, Peer
from arrowfold.standins.process import SETTINGS, Node
from arrowfold.standins.servers import LONG, Discovery, Quiet, Server, eventually, free_port
from arrowfold.transport.loop import Loop
from tests.edge import EdgeCase
from tests.field import MS, SECOND, settings

# The module would call again after seconds: what comes sooner is the watch's own doing.
SLOW_TO_ASK: dict[str, Any] = {
    **SETTINGS, "contract": {**SETTINGS["contract"], "askWithinUs": 10_000_000}}
SHED = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"


def listing(revision: int, *rows: dict[str, Any]) -> dict[str, Any]:
    return {"rev": revision, "all": True, "targets": list(rows)}


class Started(EdgeCase):
    """Term 1 at a start: what discovery has had for 6 s counts as told from a process's first moment."""

    def setUp(self) -> None:
        super().setUp()
        self.agent, self.gone, self.there = Door("discovery"), Door("s1"), self.worker("s2")
        self.addCleanup(self.agent.close)
        self.addCleanup(self.gone.close)
        self.got: list[Any] = []

    def started(self, address: str, settings: dict[str, Any] = SLOW_TO_ASK) -> Node:
        """A node whose list names only a server that has gone since."""
        node = Node(self.folder, [self.gone.row()], discovery=address, settings=settings)
        self.addCleanup(node.close)
        return node

    def handed_in(self, node: Node) -> threading.Thread:
        thread = threading.Thread(target=lambda: self.got.append(node.post("early")))
        thread.start()
        eventually(lambda: node.counters().get("taken") == 1)
        return thread

    def told(self, peer: Peer, node: Node, thread: threading.Thread) -> None:
        self.assertEqual(node.answers_ready(), 503)
        peer.say(WATCH_HEAD)
        peer.chunk(listing(7, self.there.row()))
        thread.join(LONG)
        self.assertEqual(self.got[0][:2], (200, b"s2:early"))
        self.assertFalse(self.gone.asked())
        self.assertNotIn("discovery_unheard", node.counters())

    def test_a_slow_first_call_is_waited_for(self) -> None:
        node = self.started(self.agent.address)
        thread = self.handed_in(node)
        peer = self.agent.accept()
        self.assertIn("since=1", peer.request()[0])
        self.told(peer, node, thread)

    def test_first_calls_that_fail_are_repeated_before_anything_is_sent(self) -> None:
        node = self.started(self.agent.address)
        thread = self.handed_in(node)
        for way in (SHED, SHED, b"", WATCH_HEAD, SHED):
            peer = self.agent.accept()
            peer.request()
            peer.say(way)
            peer.reset()
        peer = self.agent.accept()
        peer.request()
        self.told(peer, node, thread)

    def test_a_job_that_waits_for_the_list_ends_with_its_time_and_its_client(self) -> None:
        node = self.started(self.agent.address)
        status, _, _ = node.post("short", expires="60m")
        self.assertEqual(status, 503)
        with socket.create_connection(("127.0.0.1", node.port), timeout=LONG) as client:
            client.sendall(b"POST /search HTTP/1.1\r\nHost: x\r\nX-Trace-Id: left\r\nX-Qos: search\r\n"
                           b"X-Expires-In: 20000m\r\nContent-Length: 0\r\n\r\n")
            eventually(lambda: node.counters().get("taken") == 2)
        eventually(lambda: node.counters().get("client_left") == 1)
        peer = self.agent.accept()
        peer.request()
        peer.say(WATCH_HEAD)
        peer.chunk(listing(7, self.there.row()))
        eventually(lambda: node.answers_ready() == 200)
        self.assertEqual(node.counters().get("dispatched", 0), 0)

    def test_a_node_that_can_not_reach_discovery_serves_from_its_list(self) -> None:
        away = Door("nobody")
        away.close()
        node = Node(self.folder, [self.there.row()], discovery=away.address, settings=SLOW_TO_ASK)
        self.addCleanup(node.close)
        self.assertEqual(node.post("t1")[:2], (200, b"s2:t1"))
        self.assertEqual((node.answers_ready(), node.counters()["discovery_unheard"]), (200, 1))

    def test_so_does_one_whose_discovery_never_answers_and_it_goes_on_asking(self) -> None:
        node = Node(self.folder, [self.there.row()], discovery=self.agent.address, settings=SLOW_TO_ASK)
        self.addCleanup(node.close)
        self.assertEqual(node.post("t1")[:2], (200, b"s2:t1"))
        eventually(lambda: node.answers_ready() == 200)
        peer = self.agent.accept()
        peer.reset()
        while "since" not in peer.read.decode():  # those that it has given up come first
            peer = self.agent.accept()
            peer.request()
            peer.say(WATCH_HEAD)
            try:
                peer.chunk(listing(7, self.there.row("DRAINING")))
                eventually(lambda: node.answers_ready() == 503)
                return
            except (OSError, AssertionError):
                continue

    def test_the_first_calls_of_a_fleet_that_starts_at_once_are_spread(self) -> None:
        class StandingClock(Loop):
            """A loop whose time stands still, so that spans between timers are exact."""

            def now(self) -> timedelta:
                return timedelta(days=1)

        class Core:
            listed = True

            def __init__(self, nodes: int) -> None:
                self.settings = settings(fleet_size=nodes, roster_on_request=True)

            def await_list(self) -> None:
                self.listed = False

        def firsts(nodes: int) -> list[float]:
            """When each node's first call is due, in seconds after the start."""
            due = []
            for seed in range(60):
                loop = StandingClock(lambda where, error: None)
                begun = loop.now()
                one = watches.Discovery(
                    loop, ("127.0.0.1", 1), Core(nodes),  # type: ignore[arg-type]
                    lambda address: None, Counter(), lambda event, **fields: None, seed)  # type: ignore[arg-type, return-value]
                one.begin()
                due.append(min((when - begun).total_seconds() for when, _, _ in loop.timers))
                loop.epoll.close()
            return sorted(due)

        few, many, most = firsts(2), firsts(200), firsts(2700)
        self.assertLess(few[-1], 0.1)
        self.assertGreater(many[45] - many[15], 0.1)
        self.assertLess(most[-1], watches.MAX_START_SPREAD.total_seconds())
        self.assertGreater(most[45] - most[15], 0.3)


class Told(EdgeCase):
    def test_discovery_is_asked_again_in_time_however_often_it_has_failed(self) -> None:
        """Term 1: a change counts as told 6 s after it could be had, and a call may take 3 s."""
        gaps: list[float] = []
        worker, there = self.worker("s1"), threading.Event()

        class Handler(Quiet):
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
        eventually(lambda: node.answers_ready() == 200)
        eventually(lambda: len(gaps) >= 9)
        there.set()
        eventually(lambda: node.answers_ready() == 503)
        between = [later - sooner for sooner, later in pairwise(gaps)]
        # No limit of the clock's: a machine that stands still can only stretch what lies between two calls.
        self.assertLessEqual(sorted(between)[-2], 3.0)


class Gone(EdgeCase):
    def test_no_further_attempt_is_made_for_a_client_that_has_gone(self) -> None:
        """Term 2, of a second attempt: the first is handed back unstarted once nobody waits for it."""
        doors = [Door("s1"), Door("s2")]
        for door in doors:
            self.addCleanup(door.close)
        no_cancel = {**SETTINGS, "permissions": {**SETTINGS["permissions"], "cancel": False, "probes": False}}
        node = Node(self.folder, [door.row() for door in doors], settings=no_cancel)
        self.addCleanup(node.close)
        client = socket.create_connection(("127.0.0.1", node.port), timeout=LONG)
        client.sendall(b"POST /search HTTP/1.1\r\nHost: x\r\nX-Trace-Id: t1\r\nX-Qos: search\r\n"
                       b"X-Expires-In: 20000m\r\nContent-Length: 0\r\n\r\n")
        eventually(lambda: any(door.asked(0.01) for door in doors))
        peer = next(door for door in doors if door.asked()).accept()
        peer.request()
        client.close()
        eventually(lambda: node.counters().get("client_left") == 1)
        peer.say(NEVER_RAN)
        eventually(lambda: node.counters().get("outcome_full", 0) == 1)
        later = node.post("t2", expires="300m")  # what t1 might still do would come before this has ended
        self.assertIn(later[0], (502, 503))
        self.assertEqual(node.counters()["taken"], 2)
        waiting = [door.accept().request()[1]["x-trace-id"] for door in doors if door.asked()]
        self.assertNotIn("t1", waiting)


class ColdServer(unittest.TestCase):
    """Term 3: what all modules of a fleet send to one cold server, in virtual time, against its budget."""

    SIZE, WORK, COLD, WINDOW, FACTOR, FROM = 6.0, 200 * MS, 9 * SECOND, 1500 * MS, 3.0, 0.34

    def sends(self, nodes: int, rate: float) -> list[int]:
        """When the cold server was sent something; `rate` jobs a second come to the fleet."""
        conf = settings(fleet_size=nodes, cold_us=self.COLD, cold_from=self.FROM, overload_factor=self.FACTOR,
                        overload_for_us=self.WINDOW, may_probe=False, tells_start=True)
        start, dice = 100 * SECOND, Random(nodes)
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
                    else:  # the warm one has never room
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
            heapq.heappush(events, (now, nth, dice.randrange(nodes), arrival))
        while events and events[0][0] < end:
            now, _, at, event = heapq.heappop(events)
            tell(now, at, event)
        return [when - start for when in sent]

    def over(self, times: list[int]) -> float:
        """By how much the fullest window went over N + 2 x root of N + 2; under 0 where none did."""
        worst = -math.inf
        for first, since in enumerate(times):
            held = sum(1 for when in times[first:] if when < since + self.WINDOW)
            warmth = self.FROM + (1 - self.FROM) * since / self.COLD  # what is sure when the window begins
            most = self.FACTOR * self.SIZE * warmth * self.WINDOW / self.WORK
            worst = max(worst, held - (most + 2 * math.sqrt(most) + 2))
        return worst

    def test_the_budget_binds_all_nodes_together(self) -> None:
        for nodes in (2, 25, 200):
            times = self.sends(nodes, 300.0)
            self.assertGreater(len(times), 60, f"{nodes} nodes hardly use it")
            self.assertLess(self.over(times), 0, f"{nodes} nodes")


class Crowded(EdgeCase):
    """Term 4: idle clients fill the descriptors while discovery is away."""

    def test_a_list_told_at_the_return_is_obeyed_and_the_second_address_answers(self) -> None:
        one, two = self.worker("s1"), self.worker("s2")
        port = free_port()
        first = Discovery([one.row(), two.row()], port=port)
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 128}
        node = self.node(one, two, discovery=first.address, limits=limits, settings=SLOW_TO_ASK)
        eventually(lambda: node.answers_ready() == 200)
        first.close()
        first.changes.put(None)  # the watch ends
        eventually(lambda: node.counters().get("discovery_failures", 0) >= 1)
        idle: list[socket.socket] = []
        self.addCleanup(lambda: [sock.close() for sock in idle])

        def fill() -> None:
            """As many clients as find room, each with a request behind it, and idle since."""
            for nth in range(400):
                sock = socket.create_connection(("127.0.0.1", node.port), timeout=0.5)
                idle.append(sock)
                with contextlib.suppress(OSError):
                    sock.sendall(b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n" if nth % 2 else b"")

        fill()
        self.assertLess(len(os.listdir(f"/proc/{node.process.pid}/fd")), 128)
        counted = node.counters()
        self.assertGreater(sum(counted.get(f"connections_{why}", 0) for why in (
            "closed_for_room", "closed_as_idle", "no_room")), 20)  # the house was full over and over
        self.assertTrue(node.call("status").startswith("ok"))
        second = Discovery([one.row("DRAINING"), two.row()], port=port)
        self.addCleanup(second.close)
        second.asked.get(timeout=LONG)  # the call found a descriptor
        eventually(lambda: "maintenance" in node.call("status"))
        answers = {node.post(f"t{nth}")[1] for nth in range(4)}
        self.assertEqual(answers, {b"s2:t%d" % nth for nth in range(4)})

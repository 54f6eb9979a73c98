"""The admin address of a node: commands, maintenance of backend servers, standby."""

from __future__ import annotations

import contextlib
import http.client
import socket
import threading
from typing import Any

from arrowfold import interface as api
from arrowfold.routing.table import ServerTable
from tests.edge import TIMEOUT_S, EdgeCase, eventually, free_port
from tests.field import SECOND, Recorder, roster, settings


class Calls(EdgeCase):
    def test_each_command_is_answered_with_one_line_and_each_error_with_a_reason(self) -> None:
        node = self.node(self.worker("s1"))
        self.assertEqual(node.call("status"), "ok ready; in maintenance: none\n")
        for line, reason in (
                ("", "unknown call"), ("reboot", "unknown call"), ("maint-on", "takes the id"),
                ("maint-on s1 s2", "takes the id"), ("status now", "no argument"), ("maint-on s9", "s9"),
                ("maint-off s9", "s9"), ("x" * 400, "over"), ("\x00\xff", "unknown call")):
            answer = node.call(line)
            self.assertTrue(answer.startswith("fail ") and answer.endswith("\n"), answer)
            self.assertIn(reason, answer)
        self.assertEqual(node.post("t")[0], 200)

    def test_a_line_may_arrive_in_parts_but_an_incomplete_command_does_nothing(self) -> None:
        """The beginning of a server's id may be the id of another server."""
        node = self.node(self.worker("s1"), self.worker("s12"))
        with socket.create_connection(("127.0.0.1", node.admin), timeout=TIMEOUT_S) as sock:
            for byte in b"maint-on s12\r\n":
                sock.sendall(bytes([byte]))
            self.assertEqual(sock.recv(100), b"ok maint-on s12\n")
        with socket.create_connection(("127.0.0.1", node.admin), timeout=TIMEOUT_S) as sock:
            sock.sendall(b"maint-on s1")
            sock.shutdown(socket.SHUT_WR)
            self.assertTrue(sock.recv(100).startswith(b"fail "))
        self.assertEqual(node.call("status"), "ok ready; in maintenance: s12\n")

    def test_idle_connections_and_a_full_node_do_not_block_commands(self) -> None:
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 128}
        node = self.node(self.worker("s1"), limits=limits)
        with contextlib.ExitStack() as stack:
            for port, count in ((node.port, 150), (node.admin, 40)):
                for n in range(count):
                    sock = stack.enter_context(
                        socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S))
                    if n % 2:
                        sock.sendall(b"st")
            for _ in range(5):
                self.assertEqual(node.call("status")[:8], "ok ready")

    def test_the_start_fails_if_the_address_is_in_use(self) -> None:
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", free_port()))
            taken.listen()
            node = self.node(self.worker("s1"), admin=f"127.0.0.1:{taken.getsockname()[1]}")
            self.assertEqual(node.process.wait(TIMEOUT_S), 2)
        self.assertIn("admin", node.close())


class Maintenance(EdgeCase):
    def test_a_server_in_maintenance_gets_no_jobs_until_maintenance_ends(self) -> None:
        drained, other = self.worker("s1"), self.worker("s2")
        discovery = self.discovery(drained, other)
        node = self.node(drained, other, discovery=discovery.address)
        eventually(lambda: node.counters().get("discovery_messages", 0) >= 2)
        for _ in range(2):
            self.assertEqual(node.call("maint-on s1"), "ok maint-on s1\n")
        before = len(drained.jobs)
        discovery.send_changes(drained.row())  # a list update does not end maintenance
        eventually(lambda: node.counters()["discovery_messages"] >= 3)
        for n in range(12):
            self.assertEqual(node.post(f"t{n}")[1], b"s2:t%d" % n)
        self.assertEqual(len(drained.jobs), before)
        node.call("maint-on s2")
        self.assertEqual((node.readiness_status(), node.call("status")[:15]), (503, "fail not ready:"))
        answers: list[Any] = []
        thread = threading.Thread(target=lambda: answers.append(node.post("waits")))
        thread.start()
        eventually(lambda: node.counters()["taken"] >= 13)
        self.assertEqual(node.call("maint-off s1"), "ok maint-off s1\n")
        thread.join(TIMEOUT_S)
        self.assertEqual(answers[0][:2], (200, b"s1:waits"))
        node.call("maint-off s2")
        self.assertEqual(node.call("status"), "ok ready; in maintenance: none\n")

    def test_a_restarted_server_is_cold_and_starts_without_earlier_state(self) -> None:
        field = Recorder(settings(cold_us=9 * SECOND, cold_from=0.3), roster(2, zones="a"))
        for n in range(4):
            field.arrive(f"r{n}")
        for request, number, _ in list(field.out())[1:]:
            field.finish(request, number, api.Status.RESET)
        one = field.dispatcher.workers["w0"]
        one.strikes = one.failed = 4.0
        back = api.RosterEntry("w0", "a", "std", launched_us=field.now + 1)
        field.feed(api.RosterUpdate(api.RosterMode.PARTIAL, (back,)))
        fresh = field.dispatcher.workers["w0"]
        self.assertEqual((fresh.strikes, fresh.failed, fresh.out, fresh.free), (0.0, 0.0, [0.0, 0.0], None))
        self.assertLess(field.dispatcher._warmth(fresh), 1.0)
        self.assertTrue(all(token.holder is not one for t in field.dispatcher.tables.values()
                            for token in t.tokens))
        for request, number, _ in list(field.out()):
            field.finish(request, number, api.Status.RESET)  # a late outcome of the previous process
        self.assertEqual((fresh.strikes, fresh.out), (0.0, [0.0, 0.0]))

    def test_a_list_with_the_earlier_or_the_new_start_after_maintenance(self) -> None:
        table, nobody = ServerTable(), None

        def change(launched: int) -> api.RosterEntry:
            entry = api.RosterEntry("w", launched_us=launched)
            return table.change("list", [(entry, nobody)]).entries[0]  # type: ignore[list-item]

        change(5)
        table.start_maintenance("w")
        self.assertEqual(change(5).lifecycle, api.Lifecycle.TERMINATING)
        (back,) = table.end_maintenance("w", 70).entries
        self.assertEqual((back.lifecycle, back.launched_us), (api.Lifecycle.IN_SERVICE, 70))
        self.assertEqual(
            [change(5).launched_us, change(60).launched_us, change(60).launched_us], [70, 60, 60])
        table.start_maintenance("w")
        change(90)
        self.assertEqual(table.end_maintenance("w", 99).entries[0].launched_us, 90)


class Standby(EdgeCase):
    def test_standby_closes_client_connections_after_their_answers_until_active(self) -> None:
        worker = self.worker("s1", lambda job, nth: "hold" if job == "open" else "done")
        node = self.node(worker)
        idle, busy = (http.client.HTTPConnection("127.0.0.1", node.port, timeout=TIMEOUT_S) for _ in range(2))
        node.post("warm", connection=idle)
        answers: list[Any] = []
        thread = threading.Thread(target=lambda: answers.append(node.post("open", "once", connection=busy)))
        thread.start()
        eventually(lambda: any(row[0] == "open" for row in worker.jobs))
        self.assertEqual(node.call("standby"), "ok standby\n")
        self.assertEqual((node.readiness_status(), node.call("status")), (503, "fail not ready: standby\n"))
        status, _, headers = node.post("late")  # a request that arrives during standby is still served
        self.assertEqual((status, headers["connection"]), (200, "close"))
        assert idle.sock is not None
        self.assertEqual(idle.sock.recv(1), b"")
        worker.release.set()
        thread.join(TIMEOUT_S)
        self.assertEqual((answers[0][0], answers[0][2]["connection"]), (200, "close"))
        self.assertEqual(node.call("active"), "ok active\n")
        self.assertEqual(node.readiness_status(), 200)
        self.assertNotIn("connection", node.post("again")[2])

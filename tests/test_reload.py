"""SIGHUP: reloads of the configuration with open requests, from the start of the process to its end."""

from __future__ import annotations

import signal
import sys
import threading
import tomllib
from pathlib import Path
from typing import Any

from tests.edge import ROOT, SETTINGS, TIMEOUT_S, Discovery, EdgeCase, Node, Worker, eventually


class Reloading(EdgeCase):
    def wait_for_moves(self, node: Node, count: int) -> None:
        eventually(lambda: node.counters().get("discovery_moves", 0) >= count)

    def hold_request(self, node: Node, worker: Worker, answers: list[Any]) -> threading.Thread:
        """Starts a request that its worker holds open; returns the client's thread."""
        thread = threading.Thread(target=lambda: answers.append(node.post("open", "once")))
        thread.start()
        eventually(lambda: any(row[0] == "open" for row in worker.jobs))
        return thread

    def test_a_new_discovery_is_followed_and_open_requests_survive(self) -> None:
        hold = self.worker("s1", lambda job, nth: "hold" if job == "open" else "done")
        new = self.worker("s2")
        old, new_discovery = self.discovery(hold), self.discovery(hold, new)
        node = self.node(hold, discovery=old.address)
        old.asked.get(timeout=TIMEOUT_S)
        answers: list[Any] = []
        thread = self.hold_request(node, hold, answers)
        node.reload(discovery=new_discovery.address)
        # List versions differ between discovery services, so the whole list is requested.
        self.assertEqual(new_discovery.asked.get(timeout=TIMEOUT_S), "/registry/instances?follow=1")
        eventually(lambda: any(node.post(f"t{n}")[1].startswith(b"s2") for n in range(20)))
        new_discovery.send_changes(hold.row("DRAINING"))
        eventually(lambda: node.counters()["discovery_messages"] >= 4)
        self.assertEqual(node.post("after")[1], b"s2:after")
        hold.release.set()
        thread.join(TIMEOUT_S)
        self.assertEqual(answers[0][:2], (200, b"s1:open"))
        counters = node.counters()
        self.assertEqual((counters["reloads"], counters["discovery_moves"]), (1, 1))
        self.assertEqual(counters.get("outcome_reset", 0), 0)

    def test_the_old_discovery_is_followed_until_the_new_list_is_complete(self) -> None:
        one, two = self.worker("s1"), self.worker("s2")
        old, new_discovery = self.discovery(one, two), Discovery([one.row("DRAINING"), two.row()], held=True)
        self.addCleanup(new_discovery.close)
        node = self.node(one, two, discovery=old.address)
        old.asked.get(timeout=TIMEOUT_S)
        node.reload(discovery=new_discovery.address)
        new_discovery.asked.get(timeout=TIMEOUT_S)
        before = node.counters()["discovery_messages"]
        old.send_changes(two.row("DRAINING"))
        eventually(lambda: node.counters()["discovery_messages"] > before)
        for n in range(4):
            self.assertEqual(node.post(f"old{n}")[1], b"s1:old%d" % n)
        old.changes.put(None)  # the old discovery closes the stream and must get no further request
        new_discovery.list_released.set()
        eventually(lambda: node.post("new")[1] == b"s2:new")
        self.assertTrue(old.asked.empty())
        self.assertEqual(node.counters()["discovery_calls"], 2)

    def test_a_new_discovery_address_that_fails_is_retried(self) -> None:
        one, two = self.worker("s1"), self.worker("s2")
        old, new_discovery = self.discovery(one), self.discovery(two)
        gone = self.worker("gone")
        gone.close()
        node = self.node(one, discovery=old.address)
        old.asked.get(timeout=TIMEOUT_S)
        node.reload(discovery=gone.address)
        eventually(lambda: node.counters().get("discovery_failures", 0) >= 2)
        self.assertEqual(node.post("t")[1], b"s1:t")
        node.reload(discovery=new_discovery.address)
        eventually(lambda: node.post("u")[1] == b"s2:u")

    @staticmethod
    def changed_settings(change: dict[str, Any], index: int = 0) -> dict[str, Any]:
        """Returns settings with one class changed; the value None removes a key."""
        rows = [dict(row) for row in SETTINGS["classes"]]
        rows[index] = {k: v for k, v in (rows[index] | change).items() if v is not None}
        return {"settings": {**SETTINGS, "classes": rows}}

    def test_classes_are_added_and_removed_and_open_requests_keep_theirs(self) -> None:
        attempted_jobs: list[str] = []
        release = threading.Event()

        def behave(job: str, nth: int) -> str:
            attempted_jobs.append(job)
            if job == "open" and attempted_jobs.count("open") == 1:
                release.wait(TIMEOUT_S)
                return "lost"
            return "failed" if job in ("strict", "few") else "done"

        node = self.node(self.worker("s1", behave), self.worker("s2", behave))
        for n in range(4):
            node.post(f"warm{n}")
        answers: list[Any] = []
        thread = threading.Thread(target=lambda: answers.append(node.post("open")))
        thread.start()
        eventually(lambda: "open" in attempted_jobs)
        self.assertEqual(node.post("new", "fresh")[0], 404)
        search, record, _ = SETTINGS["classes"]
        rows = [{**search, "idempotency": "unsafe"}, {**record, "name": "fresh"}]
        node.reload(settings={**SETTINGS, "classes": rows,
                              "permissions": {**SETTINGS["permissions"], "sendCap": 2}})
        eventually(lambda: node.counters().get("reloads_settings") == 1)
        self.assertEqual(node.post("gone", "once")[0], 404)
        self.assertEqual(node.post("new", "fresh", Idempotency_Key="k")[0], 200)
        # The class is unsafe now: a request that may have run is not sent again.
        self.assertEqual((node.post("strict")[0], attempted_jobs.count("strict")), (502, 1))
        # With sendCap 2 a request ends after two attempts.
        self.assertEqual(node.post("few", "fresh", Idempotency_Key="k2")[0] // 100, 5)
        self.assertLessEqual(attempted_jobs.count("few"), 2)
        # The request that arrived before the reload may still be repeated.
        release.set()
        thread.join(TIMEOUT_S)
        self.assertEqual((answers[0][0], attempted_jobs.count("open")), (200, 2))

    def test_an_invalid_file_changes_nothing_and_its_key_is_named(self) -> None:
        worker = self.worker("s1")
        discovery = self.discovery(worker)
        node = self.node(worker, discovery=discovery.address)
        valid_config = dict(node.config)
        invalid: list[tuple[str | None, dict[str, Any]]] = [
            ("{", {}), ("", {}), ("[]", {}), (None, {"discovery": "nowhere"}),
            (None, {"limits": {"sockets": "x"}}), (None, {"settings": {"classes": [{}]}}),
            (None, {"seed": "z"}), (None, self.changed_settings({"hardLimitUs": 0})),
            (None, self.changed_settings({"onTimeUs": "300"})),
            (None, self.changed_settings({"group": None})),
            (None, {"settings": {**SETTINGS, "permissions": {**SETTINGS["permissions"], "sendCap": -1}}}),
            (None, {"settings": {k: v for k, v in SETTINGS.items() if k != "contract"}}),
            (None, {"settings": {**SETTINGS, "classes": []}, "discovery": "127.0.0.1:1"})]
        for count, (text, changes) in enumerate(invalid, 1):
            node.reload(text, **changes)
            eventually(lambda: node.counters().get("reloads_refused", 0) == count)  # noqa: B023
            node.config = dict(valid_config)
        self.assertEqual(node.post("t")[0], 200)
        discovery.send_changes(worker.row("DRAINING"))
        eventually(lambda: node.readiness_status() == 503)
        log = node.close()
        for name in ("EDGE_CONFIG", "discovery", "limits.sockets", "settings", "seed"):
            self.assertIn(name, log)

    def test_keys_that_cannot_change_while_running_are_named(self) -> None:
        node = self.node(self.worker("s1"), discovery=self.discovery().address)
        node.reload(listen="127.0.0.1:1", limits={"sockets": 900}, discovery=self.discovery().address)
        self.wait_for_moves(node, 1)
        eventually(lambda: node.readiness_status() == 503)  # the new list is empty
        self.assertIn("keys='limits, listen'", node.close())

    def test_several_reloads_in_a_row_and_one_beside_sigterm(self) -> None:
        hold = self.worker("s1", lambda job, nth: "hold" if job == "open" else "done")
        lists = [self.discovery(hold) for _ in range(4)]
        node = self.node(hold, discovery=lists[0].address)
        answers: list[Any] = []
        thread = self.hold_request(node, hold, answers)
        for discovery in lists[1:]:
            node.reload(discovery=discovery.address)
        lists[-1].asked.get(timeout=TIMEOUT_S)
        eventually(lambda: node.counters()["discovery_messages"] >= 3)
        node.process.terminate()
        node.reload(discovery=lists[0].address)
        eventually(lambda: node.readiness_status() == 503)
        hold.release.set()
        thread.join(TIMEOUT_S)
        self.assertEqual(answers[0][:2], (200, b"s1:open"))
        self.assertEqual(node.process.wait(TIMEOUT_S), 0)

    def start_as_on_the_platform(self) -> Any:
        """Starts a node by the deploy file's `run`, whose shell ignores SIGHUP until the node handles it."""
        line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        shell = line.replace(".venv/bin/python", sys.executable)
        node = self.node(self.worker("s1"), wait=False, shell=shell)
        command = Path(f"/proc/{node.process.pid}/cmdline")
        eventually(lambda: command.read_bytes().startswith(sys.executable.encode()))
        return node

    def test_a_burst_of_signals_at_the_start_hides_no_termination(self) -> None:
        """Guards against a lost SIGTERM after more signals, before the loop runs, than one read takes."""
        node = self.start_as_on_the_platform()
        while node.readiness_status() is None:
            self.assertIsNone(node.process.poll())
            for _ in range(20_000):
                node.process.send_signal(signal.SIGHUP)
        self.assertEqual(node.post("t")[0], 200)
        self.assertEqual(node.terminate(), 0)

    def test_no_sighup_during_the_start_is_fatal(self) -> None:
        node = self.start_as_on_the_platform()
        while node.readiness_status() is None:
            self.assertIsNone(node.process.poll())
            node.process.send_signal(signal.SIGHUP)
        self.assertEqual(node.post("t")[0], 200)
        self.assertEqual(node.terminate(), 0)

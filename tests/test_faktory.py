"""The Faktory front end, with producers and workers beside HTTP clients and search workers."""

from __future__ import annotations

import json
import queue
import socket
import threading
from typing import Any

from arrowfold.standins.producers import Client
from tests.edge import QUICK, TIMEOUT_S, EdgeCase, Node, eventually, free_port, in_threads


class FaktoryCase(EdgeCase):
    def edge(self, *workers: Any, extra: str = "", **options: Any) -> Node:
        self.port = free_port()
        edge = f'faktory {{\n listen "127.0.0.1:{self.port}"\n {extra}\n}}\n'
        return self.node(*workers, edge=edge, **options)

    def client(self, wid: str | None = None, **hello: Any) -> Client:
        client = Client(self.port, wid, **hello)
        self.addCleanup(client.close)
        return client

    def pushing(self, jid: str, name: str = "search", **fields: Any) -> queue.Queue[str]:
        """Push a job in a thread; returns the queue for its reply."""
        replies: queue.Queue[str] = queue.Queue()
        producer = self.client()
        threading.Thread(target=lambda: replies.put(producer.push(jid, name, **fields)), daemon=True).start()
        return replies


class Mixed(FaktoryCase):
    def test_mixed_clients_and_workers_each_job_answered_exactly_once(self) -> None:
        node = self.edge(self.worker("s1"))
        done: list[str] = []

        def work(wid: str) -> None:
            worker = Client(self.port, wid)
            try:
                while True:
                    job = worker.fetch()
                    done.append(job["jid"])
                    worker.call("ACK", {"jid": job["jid"], "result": f"{wid}:{job['jid']}"})
            except (OSError, AssertionError, ValueError):
                worker.close()

        for wid in ("w1", "w2"):
            threading.Thread(target=work, args=(wid,), daemon=True).start()
        eventually(lambda: node.counters().get("faktory_commands", 0) >= 2)
        calls: list[Any] = [lambda n=n: self.client().push(f"f{n}", "record") for n in range(20)]
        calls += [lambda n=n: node.post(f"h{n}", "record") for n in range(20)]
        answers = list(in_threads(calls))
        self.assertEqual(answers[:20], ["+OK"] * 20)
        for n, (status, body, _) in enumerate(answers[20:]):
            self.assertEqual((status, body.split(b":")[1]), (200, b"h%d" % n))
        counted = node.counters()
        self.assertEqual((counted["taken"], counted["answered_served"]), (40, 40))
        self.assertEqual(counted["outcome_ok"], 40)
        self.assertTrue(done, "no Faktory worker got a job")

    def test_a_pushed_job_reaches_a_search_worker_as_an_http_request(self) -> None:
        worker = self.worker("s1")
        self.edge(worker)
        custom = {"key": "repo", "expires_in_ms": 20_000}
        self.assertEqual(self.client().push("job1", "record", custom=custom), "+OK")
        ((job, path, headers, body),) = worker.jobs
        self.assertEqual((job, path, json.loads(body)), ("job1", "/record?key=repo", ["job1"]))
        self.assertEqual((headers["x-qos"], headers["idempotency-key"]), ("record", "job1"))

    def test_a_worker_fetches_a_pushed_job_as_it_was_pushed(self) -> None:
        self.edge()
        worker = self.client("w1")
        replies = self.pushing("job1", "once", queue="default", custom={"n": 1})
        job = worker.fetch()
        self.assertEqual((job["jid"], job["jobtype"], job["args"], job["custom"]),
                         ("job1", "once", ["job1"], {"n": 1}))
        self.assertEqual(worker.call("ACK", {"jid": "job1"}), "+OK")
        self.assertEqual(replies.get(timeout=TIMEOUT_S), "+OK")


class HardCases(FaktoryCase):
    def test_a_worker_that_reconnects_mid_job_keeps_it_and_never_gets_it_again(self) -> None:
        node = self.edge()
        first = self.client("w1")
        replies = self.pushing("job1", "once")
        self.assertEqual(first.fetch()["jid"], "job1")
        first.close()
        again = self.client("w1")
        self.assertIsNone(again.call("FETCH", "default"), "it fetched the job again")
        self.assertEqual(again.call("ACK", {"jid": "job1"}), "+OK")
        self.assertEqual(replies.get(timeout=TIMEOUT_S), "+OK")
        self.assertEqual(node.counters()["dispatched"], 1)

    def test_a_job_goes_to_the_reconnected_worker_and_not_to_its_broken_connection(self) -> None:
        """Guards against a half-open connection, whose FETCH still waits when the new one arrives."""
        node = self.edge()
        unresponsive, back = self.client("w1"), self.client("w1")
        unresponsive.sock.sendall(b"FETCH default\r\n")
        eventually(lambda: node.counters().get("faktory_commands") == 1)
        jobs: queue.Queue[dict[str, Any]] = queue.Queue()
        threading.Thread(target=lambda: jobs.put(back.fetch()), daemon=True).start()
        eventually(lambda: node.counters().get("faktory_commands") == 2)
        replies = self.pushing("job1", "once")
        self.assertEqual(jobs.get(timeout=TIMEOUT_S)["jid"], "job1")
        self.assertEqual(back.call("ACK", {"jid": "job1"}), "+OK")
        self.assertEqual(replies.get(timeout=TIMEOUT_S), "+OK")

    def test_a_late_and_a_repeated_ack_are_counted_and_answered_and_change_nothing(self) -> None:
        node = self.edge()
        worker = self.client("w1")
        replies = self.pushing("job1", "once", custom={"expires_in_ms": 1500})
        worker.fetch()
        self.assertIn("failed", replies.get(timeout=TIMEOUT_S))
        self.assertEqual(worker.call("ACK", {"jid": "job1"}), "+OK")
        self.assertEqual(worker.call("ACK", {"jid": "job1"}), "+OK")
        counted = node.counters()
        self.assertEqual((counted["faktory_late_acks"], counted["answered_failed"]), (2, 1))
        self.assertNotIn("answered_served", counted)

    def test_a_quiet_worker_gets_nothing_new_and_what_it_has_still_counts(self) -> None:
        there = self.worker("s1")
        node = self.edge(there)
        worker, beating = self.client("w1"), self.client("w1")
        jobs: queue.Queue[dict[str, Any]] = queue.Queue()
        threading.Thread(target=lambda: jobs.put(worker.fetch()), daemon=True).start()
        pushed = {}
        while jobs.empty():  # until one reaches the Faktory worker
            jid = f"job{len(pushed)}"
            pushed[jid] = self.pushing(jid, "once")
            eventually(lambda: not jobs.empty() or node.counters().get("answered_served") == len(pushed))
        held = jobs.get()["jid"]
        self.assertEqual(beating.call("BEAT", {"wid": "w1", "current_state": "quiet"}), "+OK")
        count = len(there.jobs)
        for n in range(6):
            self.assertEqual(self.client().push(f"after{n}", "once"), "+OK")
        self.assertEqual(len(there.jobs), count + 6)
        self.assertIsNone(worker.call("FETCH", "default"))
        self.assertEqual(worker.call("ACK", {"jid": held}), "+OK")
        self.assertEqual(pushed[held].get(timeout=TIMEOUT_S), "+OK")

    def test_an_ending_node_finishes_its_jobs_then_quiets_its_workers(self) -> None:
        node = self.edge()
        worker, beating = self.client("w1"), self.client("w1")
        replies = self.pushing("job1", "once")
        self.assertEqual(worker.fetch()["jid"], "job1")
        with socket.create_connection(("127.0.0.1", node.port)) as incomplete:
            incomplete.sendall(b"POST /search HTT")  # a request being received delays the end
            eventually(lambda: node.counters().get("connections_accepted", 0) >= 2)
            node.process.terminate()
            eventually(lambda: node.readiness_status() == 503)
            self.assertEqual(beating.call("BEAT", {"wid": "w1"}), "+OK")  # the answer to its job is still due
            self.assertEqual(worker.call("ACK", {"jid": "job1"}), "+OK")
            self.assertEqual(replies.get(timeout=TIMEOUT_S), "+OK")
            eventually(lambda: beating.call("BEAT", {"wid": "w1"}) == {"state": "quiet"})
        self.assertEqual(node.process.wait(TIMEOUT_S), 0)

    def test_connections_without_hello_and_with_an_incomplete_command_time_out(self) -> None:
        """Guards descriptors, as on the HTTP front end; a client may be idle between two commands."""
        node = self.edge(self.worker("s1"))
        unresponsive, incomplete, idle = (
            socket.create_connection(("127.0.0.1", self.port)), self.client(), self.client())
        incomplete.sock.sendall(b'PUSH {"jid"')
        unresponsive.settimeout(8)
        incomplete.sock.settimeout(8)
        with unresponsive:
            self.assertEqual(b"".join(iter(lambda: unresponsive.recv(99), b""))[:3], b"+HI")
        self.assertEqual(incomplete.sock.recv(99), b"")
        self.assertEqual(idle.push("job"), "+OK")
        self.assertEqual(node.counters()["faktory_connections_broken"], 2)

    def test_an_attempt_that_was_not_fetched_goes_to_another_worker(self) -> None:
        there = self.worker("s1")
        node = self.edge(there, settings=QUICK)
        self.client("w1")  # it never fetches
        for n in range(6):
            self.assertEqual(self.client().push(f"job{n}", "once"), "+OK")
        self.assertEqual(len(there.jobs), 6)
        self.assertNotIn("outcome_timeout", node.counters())

    def test_a_worker_that_does_not_reconnect_loses_its_job(self) -> None:
        node = self.edge()
        worker = self.client("w1")
        replies = self.pushing("job1", "once", custom={"expires_in_ms": 20_000})
        worker.fetch()
        worker.close()
        self.assertIn("failed", replies.get(timeout=TIMEOUT_S))
        self.assertEqual(node.counters()["outcome_reset"], 1)

    def test_an_http_job_is_served_by_a_faktory_workers_result(self) -> None:
        node = self.edge()
        worker = self.client("w1")
        (answer, _) = in_threads([lambda: node.post("t", "record", b"text", Idempotency_Key="k"),
                                  lambda: worker.call("ACK", self.checked(worker.fetch()))])
        self.assertEqual(answer[:2], (200, b"found"))

    def checked(self, job: dict[str, Any]) -> dict[str, Any]:
        self.assertEqual((job["jobtype"], job["args"]), ("record", ["text"]))
        self.assertEqual((job["custom"]["key"], job["custom"]["idempotency_key"]), ("repo", "k"))
        return {"jid": job["jid"], "result": "found"}


class Errors(FaktoryCase):
    def test_denied_and_failed_have_different_replies(self) -> None:
        node = self.edge()
        denied = self.client().push("job1", custom={"expires_in_ms": 200})
        self.assertRegex(denied, "^-ERR denied: job job1 .*; retry after [0-9.]+ s$")
        worker = self.client("w1")
        replies = self.pushing("job2", "once")
        self.assertEqual(worker.call("FAIL", {"jid": worker.fetch()["jid"], "errtype": "E"}), "+OK")
        self.assertRegex(replies.get(timeout=TIMEOUT_S), "^-ERR failed: job job2")
        self.assertEqual(node.counters()["outcome_error"], 1)

    def test_a_producers_disconnect_cancels_its_job(self) -> None:
        node = self.edge()
        worker, producer = self.client("w1"), self.client()
        producer.sock.sendall(b'PUSH {"jid":"job1","jobtype":"once","args":[]}\r\n')
        worker.fetch()
        producer.close()
        eventually(lambda: node.counters().get("client_left") == 1)
        self.assertEqual(worker.call("ACK", {"jid": "job1"}), "+OK")

    def test_each_malformed_command_is_answered_and_the_connection_stays_open(self) -> None:
        self.edge(self.worker("s1"))
        client, worker = self.client(), self.client("w1")
        for word, argument, text in (
                ("MUTATE", "{}", "not served"), ("PUSHB", "[]", "not served"), ("PUSH", "{", "no JSON"),
                ("PUSH", "[]", "no JSON object"), ("PUSH", {"jobtype": "search", "args": []}, "jid"),
                ("PUSH", {"jid": "j", "jobtype": "none", "args": []}, "unknown jobtype 'none'"),
                ("PUSH", {"jid": "j", "jobtype": "search", "args": {}}, "args"),
                ("PUSH", {"jid": "j", "jobtype": "search", "args": [], "at": "2030-01-01"}, "at is not"),
                ("PUSH", {"jid": "j", "jobtype": "search", "args": [], "custom": {"slots": "x"}}, "slots"),
                ("FETCH", "default", "no wid"), ("ACK", {"jid": "j"}, "no wid")):
            self.assertRegex(client.call(word, argument), f"^-ERR .*{text}")
        for word, argument, text in (
                ("ACK", {"jid": "x"}, "not handed"), ("FAIL", {}, "jid"), ("BEAT", {"wid": "w2"}, "wid"),
                ("BEAT", {"wid": "w1", "current_state": "odd"}, "current_state")):
            self.assertRegex(worker.call(word, argument), f"^-ERR .*{text}")
        self.assertEqual(client.push("job1"), "+OK")
        self.assertEqual(client.call("INFO")["faktory"]["total_processed"], 1)
        self.assertEqual(worker.call("BEAT", {"wid": "w1"}), "+OK")
        self.assertEqual(client.call("END"), "+OK")
        self.assertEqual(client.lines.readline(), b"")

    def test_malformed_frames_end_their_connection_only(self) -> None:
        node = self.edge(self.worker("s1"))
        for frame in (b"\xff\xfe\r\n", b"\r\n", b"PUSH " + b"x" * 120_000 + b"\r\n"):
            client = self.client()
            client.sock.sendall(frame)
            self.assertRegex(client.lines.readline(), b"^-ERR ")
            self.assertEqual(client.lines.readline(), b"")
        incomplete = self.client()
        incomplete.sock.sendall(b"PUSH {")
        incomplete.close()
        self.assertEqual(self.client().push("job1"), "+OK")
        self.assertEqual(node.post("t")[0], 200)

    def test_hello_requires_the_version_and_the_password(self) -> None:
        self.edge(extra='password "secret"')
        self.assertEqual(self.client(password="secret").hello_reply, "+OK")
        self.assertRegex(self.client(password="wrong").hello_reply, "^-ERR .*password")
        self.assertRegex(self.client(v=1, password="secret").hello_reply, "^-ERR .*v must be 2")
        with socket.create_connection(("127.0.0.1", self.port), timeout=TIMEOUT_S) as sock:
            lines = sock.makefile("rb")
            lines.readline()
            sock.sendall(b"INFO\r\n")
            self.assertRegex(lines.readline(), b"^-ERR .*HELLO comes first")
            self.assertEqual(lines.readline(), b"")
            lines.close()

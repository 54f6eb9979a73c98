"""The node program on sockets: outcomes, malformed input, discovery, shutdown."""

from __future__ import annotations

import http.client
import signal
import socket
import threading
import time

from arrowfold.transport.pool import REST
from tests.edge import QUICK, TIMEOUT_S, EdgeCase, Node, eventually, in_threads


class Serving(EdgeCase):
    def test_the_answer_is_the_workers_result_and_the_job_is_forwarded_unchanged(self) -> None:
        worker = self.worker("s1")
        node = self.node(worker)
        status, body, _ = node.post("t1", "record", b"commit", path="/record?key=repo&x=1")
        self.assertEqual((status, body), (200, b"s1:t1"))
        ((job, path, headers, sent),) = worker.jobs
        self.assertEqual((job, path, sent), ("t1", "/record?key=repo&x=1", b"commit"))
        self.assertEqual(headers["idempotency-key"], "key-t1")
        self.assertTrue(0 < int(headers["x-expires-in"].removesuffix("u")) <= 20_000_000)
        counted = node.counters()
        self.assertEqual((counted["taken"], counted["answered_served"], counted["dispatched"]), (1, 1, 1))

    def test_each_of_many_jobs_at_once_gets_its_own_answer(self) -> None:
        node = self.node(self.worker("s1"), self.worker("s2"))
        answers = list(in_threads([lambda n=n: node.post(f"t{n}") for n in range(40)]))  # type: ignore[misc]
        for n, (status, body, _) in enumerate(answers):
            self.assertEqual((status, body.split(b":")[1]), (200, b"t%d" % n))

    def test_connections_to_a_worker_are_reused(self) -> None:
        node = self.node(self.worker("s1"))
        for n in range(5):
            node.post(f"t{n}")
            time.sleep(2 * REST.total_seconds())  # a connection rests for a moment after a job
        self.assertLess(node.counters()["connections_opened"], 4)

    def test_new_connections_are_counted_by_purpose(self) -> None:
        for probes, operation in ((True, "probe"), (False, "dispatch")):
            permissions = {**QUICK["permissions"], "probes": probes}
            node = self.node(self.worker(f"s-{operation}"), settings={**QUICK, "permissions": permissions})
            node.post("t")
            counted = node.counters()
            self.assertEqual(counted[f"connections_opened_{operation}"], counted["connections_opened"])


class Outcomes(EdgeCase):
    def tries(self, name: str, how: str | int, then: str = "done") -> tuple[int, int]:
        """Returns the answer's status and the number of attempts, the first of which ends as `how`."""
        first: list[str] = []

        def behave(job: str, nth: int) -> str | int:
            first.append(job)
            return how if len(first) == 1 else then

        workers = [self.worker("s1", behave), self.worker("s2", behave)]
        status, _, _ = self.node(*workers).post("t", name)
        return status, sum(len(w.jobs) for w in workers)

    def test_a_job_that_has_not_run_is_retried_in_any_class(self) -> None:
        for how in (503, "returned"):
            self.assertEqual(self.tries("once", how), (200, 2))

    def test_a_job_that_may_have_run_is_retried_only_if_its_class_permits(self) -> None:
        for how in ("failed", "lost", "reset", 500, 503.0):
            self.assertEqual(self.tries("search", int(how) if isinstance(how, float) else how), (200, 2))
        for how in ("failed", "lost", "reset", 500):
            # Guards rule 2: a connection broken after the last byte is a reset, without a second attempt.
            self.assertEqual(self.tries("once", how), (502, 1))

    def test_a_job_whose_connection_was_refused_is_retried(self) -> None:
        stopped, running = self.worker("s1"), self.worker("s2")
        stopped.close()
        node = self.node(stopped, running)
        for n in range(4):
            self.assertEqual(node.post(f"t{n}", "once")[0], 200)
        self.assertEqual(len(running.jobs), 4)

    def test_a_hanging_worker_leads_to_a_hedged_attempt_and_one_answer(self) -> None:
        hung, running = self.worker("s1", lambda job, nth: "hold"), self.worker("s2")
        node = self.node(hung, running, settings=QUICK)
        for n in range(3):
            self.assertEqual(node.post(f"t{n}")[:2], (200, b"s2:t%d" % n))

    def test_a_deadline_ends_in_an_answer(self) -> None:
        node = self.node(self.worker("s1", lambda job, nth: "hold"))
        self.assertIn(node.post("t", "once", expires="300000u")[0], (502, 503))
        counted = node.counters()
        self.assertEqual(counted.get("answered_failed", 0) + counted.get("answered_denied", 0), 1)

    def test_a_clients_disconnect_cancels_its_job(self) -> None:
        worker = self.worker("s1", lambda job, nth: "hold")
        node = self.node(worker)
        with socket.create_connection(("127.0.0.1", node.port)) as sock:
            sock.sendall(post("t"))
            eventually(lambda: len(worker.jobs) == 1)
        eventually(lambda: node.counters().get("client_left") == 1)
        eventually(lambda: node.counters().get("outcome_cancelled", 0) >= 1)


def post(job: str, *rows: str, path: str = "/search", length: int | None = 0) -> bytes:
    lines = [f"POST {path} HTTP/1.1", "Host: x", "X-Qos: search", f"X-Trace-Id: {job}"]
    lines += ["X-Expires-In: 20000m", *rows]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


class BadInput(EdgeCase):
    def test_each_fault_is_named_and_the_node_goes_on(self) -> None:
        node = self.node(self.worker("s1"))
        for status, text, answer in (
                (404, b"unknown class 'none'", node.post("a", "none")),
                (400, b"X-Trace-Id is missing", node.post("a", X_Trace_Id=None)),
                (400, b"X-Qos is missing", node.post("a", X_Qos=None)),
                (400, b"X-Expires-In is missing", node.post("a", X_Expires_In=None)),
                (400, b"X-Expires-In", node.post("a", expires="soon")),
                (400, b"X-Expires-In", node.post("a", expires="nanm")),
                (400, b"Idempotency-Key is missing", node.post("a", "record", Idempotency_Key=None)),
                (400, b"X-Props", node.post("a", X_Props="slots=many")),
                (400, b"X-Qos", node.post("a", X_Qos="record"))):
            self.assertEqual(answer[0], status)
            self.assertIn(text, answer[1])
        for status_line, data in (
                (b"HTTP/1.1 400", b"nonsense\r\n\r\n"),
                (b"HTTP/1.1 400", post("a", "Content-Length: x", length=None)),
                (b"HTTP/1.1 413", post("a", length=70_000)),
                (b"HTTP/1.1 413", post("a", "Transfer-Encoding: chunked", length=None)
                 + b"11000\r\n" + b"x" * 0x11000),
                # Guards the answer's bytes: closing with unread input would reset the connection.
                (b"HTTP/1.1 413", post("a", length=500_000) + b"x" * 500_000),
                (b"HTTP/1.1 431", b"GET / HTTP/1.1\r\nX: " + b"x" * 40_000)):
            self.assertEqual(node.raw(data)[:12], status_line)
        self.assertEqual(node.get("/none")[0], 404)
        self.assertEqual(node.post("b")[0], 200)
        self.assertEqual(node.counters()["taken"], 1)

    def test_a_client_that_disconnects_within_a_request_affects_no_other(self) -> None:
        node = self.node(self.worker("s1"))
        with socket.create_connection(("127.0.0.1", node.port)) as sock:
            sock.sendall(b"POST /search HTT")
        self.assertEqual(node.post("t")[0], 200)

    def test_headers_beyond_ascii_are_forwarded_unchanged(self) -> None:
        """Guards a session: h11 refuses such text, and the attempt did not end."""
        worker = self.worker("s1")
        answer = self.node(worker).raw(post("caf\xe9", "Connection: close", "X-Props: \xe9=1"))
        self.assertEqual((answer[:12], worker.jobs[0][0]), (b"HTTP/1.1 200", "caf\xe9"))

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        node = self.node(self.worker("s1"))
        answers = node.raw(post("t1") + post("t2", "Connection: close"))
        self.assertLess(answers.index(b"s1:t1"), answers.index(b"s1:t2"))

    def test_a_workers_malformed_answer_ends_one_attempt_only(self) -> None:
        workers = [self.worker(uid, lambda job, nth: "odd-state") for uid in ("s1", "s2")]
        node = self.node(*workers, self.worker("s3"))
        for n in range(4):
            self.assertEqual(node.post(f"t{n}")[1], b"s3:t%d" % n)

    def test_a_bad_configuration_is_one_line_that_names_the_key(self) -> None:
        for changes, name in (({"listen": "nowhere"}, "listen"), ({"settings": {}}, "settings"),
                              ({"limits": {"sockets": "x"}}, "limits.sockets"), ({"seed": "xyz"}, "seed"),
                              ({"edge": 'faktory {\n listen "10.0.0.1:1"\n}'}, "faktory > listen"),
                              ({"edge": "factory"}, "factory")):
            node = self.node(wait=False, **changes)
            self.assertEqual(node.process.wait(TIMEOUT_S), 2)
            (line,) = node.close().splitlines()
            self.assertIn(name, line)


class Discovering(EdgeCase):
    def test_a_node_without_workers_is_not_ready_until_discovery_lists_one(self) -> None:
        worker = self.worker("s1")
        node = self.node(discovery=self.discovery(worker).address)
        eventually(lambda: node.readiness_status() == 200)
        self.assertEqual(node.post("t")[:2], (200, b"s1:t"))

    def test_a_node_without_workers_is_not_ready_and_denies_jobs(self) -> None:
        node = self.node()
        self.assertEqual(node.readiness_status(), 503)
        status, _, headers = node.post("t", expires="400m")
        self.assertEqual(status, 503)
        # A session that is given up is answered at once, with a retry-after.
        self.assertTrue(0 < float(headers["retry-after"]) <= 2)

    def test_draining_and_deleted_workers_get_no_new_jobs(self) -> None:
        one, two = self.worker("s1"), self.worker("s2")
        discovery = self.discovery(one, two)
        node = self.node(one, two, discovery=discovery.address)
        discovery.asked.get(timeout=TIMEOUT_S)
        for state, left in (("DRAINING", two), ("DELETED", two)):
            before = node.counters()["discovery_messages"]
            discovery.send_changes(one.row(state))
            eventually(lambda before=before: node.counters()["discovery_messages"] > before)  # type: ignore[misc]
            count = len(one.jobs)
            for n in range(6):
                self.assertEqual(node.post(f"{state}{n}")[1], b"s2:%s%d" % (state.encode(), n))
            self.assertEqual(len(one.jobs), count)
            self.assertIs(left, two)

    def test_a_broken_watch_is_reopened_at_its_last_version(self) -> None:
        worker = self.worker("s1")
        discovery = self.discovery(worker)
        node = self.node(worker, discovery=discovery.address)
        self.assertEqual(discovery.asked.get(timeout=TIMEOUT_S), "/registry/instances?follow=1&since=1")
        discovery.send_changes(worker.row())
        eventually(lambda: node.counters()["discovery_messages"] >= 3)
        discovery.changes.put(None)
        self.assertEqual(discovery.asked.get(timeout=TIMEOUT_S), "/registry/instances?follow=1&since=2")

    def test_malformed_entries_are_skipped_and_the_others_applied(self) -> None:
        worker = self.worker("s1")
        discovery = self.discovery(worker)
        node = self.node(worker, discovery=discovery.address)
        discovery.asked.get(timeout=TIMEOUT_S)
        discovery.send_changes({"uid": "x"}, {"uid": "y", "endpoint": "no", "state": "SERVING"})
        eventually(lambda: node.counters().get("discovery_bad_entries") == 2)
        self.assertEqual(node.post("t")[0], 200)


class Ending(EdgeCase):
    def test_sigterm_lets_open_and_new_connections_finish_and_exits_0(self) -> None:
        worker = self.worker("s1", lambda job, nth: "hold" if job == "open" else "done")
        node = self.node(worker)
        kept = http.client.HTTPConnection("127.0.0.1", node.port, timeout=TIMEOUT_S)
        self.assertEqual(node.post("before", connection=kept)[0], 200)
        held: list[tuple[int, bytes, dict[str, str]]] = []
        thread = threading.Thread(target=lambda: held.append(node.post("open", "once")))
        thread.start()
        eventually(lambda: any(row[0] == "open" for row in worker.jobs))
        node.process.terminate()
        eventually(lambda: node.readiness_status() == 503)
        node.process.send_signal(signal.SIGUSR1)
        self.assertEqual(node.post("new")[0], 200)
        self.assertEqual(node.post("kept", connection=kept)[0], 200)
        kept.close()
        worker.release.set()
        thread.join(TIMEOUT_S)
        self.assertEqual(held[0][:2], (200, b"s1:open"))
        self.assertEqual(node.process.wait(TIMEOUT_S), 0)
        asked, last = [line for line in node.close().splitlines() if "event='counters'" in line]
        self.assertIn(" answered_served=4 ", last)
        self.assertIn(" taken=", asked)

    def test_after_sigterm_clients_keep_their_connections_as_long_as_there_is_time(self) -> None:
        """Guards a zone with one node: clients disconnected early found no node until its restart."""
        node = self.node(self.worker("s1"))
        kept = http.client.HTTPConnection("127.0.0.1", node.port, timeout=TIMEOUT_S)
        self.assertEqual(node.post("t", connection=kept)[0], 200)
        node.process.terminate()
        begun = last = time.monotonic()
        sock = kept.sock
        for n in range(10_000):
            status, _, headers = node.post(f"t{n}", connection=kept)
            self.assertEqual(status, 200)
            if kept.sock is not sock or headers.get("connection") == "close":
                break
            last = time.monotonic()
            time.sleep(0.02)
        kept.close()
        self.assertGreater(last - begun, 1)
        self.assertEqual(node.process.wait(TIMEOUT_S), 0)

    def test_open_requests_are_answered_before_sigkill(self) -> None:
        """Guards rule 1: a request received after SIGTERM may have a deadline later than the node's end."""
        worker = self.worker("s1", lambda job, nth: "hold")
        node = self.node(worker)  # its longest deadline is 20 s, which counts as 3 s
        node.process.terminate()
        self.assertEqual(node.post("late", "once", expires="60000m")[0], 502)
        self.assertEqual(node.process.wait(TIMEOUT_S), 0)


class Crowds(EdgeCase):
    def test_more_clients_than_descriptors_are_served_and_idle_ones_are_closed(self) -> None:
        """Guards against EMFILE and idle peers: 8 clients may be connected here."""
        node = self.node(self.worker("s1"), limits={"sockets": 64})
        idle_sockets = [socket.create_connection(("127.0.0.1", node.port)) for _ in range(30)]
        try:
            for answer in in_threads([lambda n=n: node.post(f"t{n}") for n in range(20)]):  # type: ignore[misc]
                self.assertEqual(answer[0], 200)
        finally:
            for sock in idle_sockets:
                sock.close()
        self.assertIsInstance(node, Node)

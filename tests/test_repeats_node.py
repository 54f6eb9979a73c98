"""Idempotency keys at a running node: runs on the stand-in worker compared with clients' requests."""

from __future__ import annotations

import http.client
import threading
import time
from typing import Any

from arrowfold.standins.producers import Client
from tests.edge import SETTINGS, TIMEOUT_S, EdgeCase, Node, eventually, free_port, in_threads

DOCUMENT = """
faktory {
    listen "127.0.0.1:PORT"
}
repeats {
    class "search" keep=(s)60
    class "record" keep=(s)60
    class "once" keep=(s)60
    largest-answer 2000
}
"""


class Repeats(EdgeCase):
    def start(self, behave: Any = lambda job, nth: "done", **options: Any) -> Node:
        self.port = free_port()
        self.worker_ = self.worker("s1", behave)
        edge = DOCUMENT.replace("PORT", str(self.port))
        return self.node(self.worker_, edge=edge, **options)

    def runs(self) -> list[str]:
        return [job for job, *_ in self.worker_.jobs]

    def send(self, node: Node, job: str, key: str = "k", name: str = "once") -> http.client.HTTPConnection:
        """Sends a request without waiting for the answer."""
        connection = http.client.HTTPConnection("127.0.0.1", node.port, timeout=TIMEOUT_S)
        self.addCleanup(connection.close)
        connection.request("POST", f"/{name}?key=repo", b"q", {
            "X-Trace-Id": job, "X-Qos": name, "X-Expires-In": "20000m", "Idempotency-Key": key})
        return connection

    def test_concurrent_requests_of_a_key_share_one_run_and_its_answer(self) -> None:
        node = self.start(lambda job, nth: "hold")
        first = self.send(node, "t0")
        eventually(lambda: len(self.runs()) == 1)
        results: list[Any] = []
        threads = [threading.Thread(target=lambda n=n: results.append(  # type: ignore[misc]
            node.post(f"t{n}", "once", Idempotency_Key="k"))) for n in range(1, 30)]
        for thread in threads:
            thread.start()
        eventually(lambda: node.counters().get("repeats_joined", 0) == 29)
        self.worker_.release.set()
        for thread in threads:
            thread.join(TIMEOUT_S)
        self.assertEqual(first.getresponse().read(), b"s1:t0")
        self.assertEqual([(status, body) for status, body, _ in results], [(200, b"s1:t0")] * 29)
        self.assertEqual(self.runs(), ["t0"])
        counted = node.counters()
        self.assertEqual((counted["taken"], counted["answered_served"], counted["dispatched"]), (30, 30, 1))

    def test_an_answer_is_replayed_and_another_payload_is_a_conflict(self) -> None:
        node = self.start()
        self.assertEqual(node.post("t1", "record", Idempotency_Key="k")[0], 200)
        status, body, headers = node.post("t2", "record", Idempotency_Key="k")
        self.assertEqual((status, body, headers.get("idempotent-replayed")), (200, b"s1:t1", "true"))
        for n, changes in enumerate(({"body": b"other"}, {"path": "/record?key=elsewhere"})):
            status, body, _ = node.post(  # type: ignore[arg-type]
                f"c{n}", "record", Idempotency_Key="k", **changes)
            self.assertEqual((status, body), (422, b"failed: this key was used for another request\n"))
        other = node.post("t3", "record", Idempotency_Key="k", X_Customer="somebody")
        self.assertEqual((other[0], "idempotent-replayed" in other[2]), (200, False))
        self.assertEqual(node.post("t4", "record", Idempotency_Key="k2")[0], 200)
        self.assertEqual(self.runs(), ["t1", "t3", "t4"])

    def test_a_run_is_cancelled_when_the_last_waiting_client_leaves(self) -> None:
        node = self.start(lambda job, nth: "hold")
        first, second = self.send(node, "t1"), self.send(node, "t2")
        eventually(lambda: node.counters().get("repeats_joined", 0) == 1)
        first.close()
        eventually(lambda: node.counters().get("client_left", 0) == 1)
        self.worker_.release.set()
        answer = second.getresponse()
        self.assertEqual((answer.status, answer.read()), (200, b"s1:t1"))
        self.worker_.release.clear()
        alone = self.send(node, "t3", "k2", "search")
        eventually(lambda: len(self.runs()) == 2)
        alone.close()
        eventually(lambda: node.counters().get("outcome_cancelled", 0) == 1)
        self.worker_.release.set()

    def test_a_request_that_passes_its_deadline_fails_alone_and_the_run_continues(self) -> None:
        node = self.start(lambda job, nth: "hold")
        calls = [lambda: node.post("t1", "once", Idempotency_Key="k", expires="300m"),
                 lambda: node.post("t2", "once", Idempotency_Key="k", expires="4000m")]
        threading.Timer(1.0, self.worker_.release.set).start()
        (early, _, _), (late, body, _) = in_threads(calls)
        self.assertNotEqual(early, 200)
        self.assertEqual((late, body[:3]), (200, b"s1:"))
        self.assertEqual(len(self.runs()), 1)

    def test_a_failed_request_is_run_again_only_if_its_class_permits(self) -> None:
        node = self.start(lambda job, nth: "failed" if job.startswith("bad") else "done")
        self.assertNotEqual(node.post("bad-1", "once", Idempotency_Key="k")[0], 200)
        status, _, headers = node.post("good-1", "once", Idempotency_Key="k")
        self.assertNotEqual(status, 200)
        self.assertEqual(headers.get("idempotent-replayed"), "true")
        self.assertEqual(self.runs(), ["bad-1"])
        node.post("bad-2", "search", Idempotency_Key="k")
        runs = len(self.runs())
        self.assertEqual(node.post("good-2", "search", Idempotency_Key="k")[0], 200)
        self.assertEqual(len(self.runs()), runs + 1)

    def test_a_denied_request_that_may_have_run_is_not_run_after_its_window(self) -> None:
        classes = [{**row, "windowUs": 300_000} if row["name"] == "record" else row
                   for row in SETTINGS["classes"]]
        node = self.start(lambda job, nth: "reset" if job == "t1" else "done",
                          settings={**SETTINGS, "classes": classes})
        self.assertEqual(node.post("t1", "record", Idempotency_Key="k")[0], 503)  # may still be run again
        runs = len(self.runs())
        time.sleep(0.4)
        self.assertNotEqual(node.post("t2", "record", Idempotency_Key="k")[0], 200)
        self.assertEqual(len(self.runs()), runs)

    def test_a_request_that_never_ran_may_be_sent_again(self) -> None:
        node = self.start(lambda job, nth: 503 if job.startswith("full") else "done")
        self.assertNotEqual(node.post("full-1", "once", Idempotency_Key="k", expires="700m")[0], 200)
        self.assertEqual(node.post("good-1", "once", Idempotency_Key="k")[:2], (200, b"s1:good-1"))

    def test_jobs_without_a_key_are_not_recorded(self) -> None:
        node = self.start()
        for n in range(3):
            self.assertEqual(node.post(f"t{n}")[:2], (200, b"s1:t%d" % n))
        self.assertEqual(node.counters().get("repeats_first", 0), 0)

    def test_over_faktory(self) -> None:
        node = self.start(lambda job, nth: "failed" if job.startswith("bad") else "done")
        client = Client(self.port)
        self.addCleanup(client.close)
        again = {"idempotency_key": "k"}
        self.assertEqual(client.push("t1", "record", custom=again, args=["x"]), "+OK")
        self.assertEqual(client.push("t2", "record", custom=again, args=["x"]), "+OK")
        other = client.push("t3", "record", custom=again, args=["y"])
        self.assertRegex(other, "^-ERR failed: .*another request")
        for job in ("u1", "u2"):  # a class without required keys, too
            self.assertEqual(client.push(job, "once", custom=again, args=["x"]), "+OK")
        self.assertEqual(self.runs(), ["t1", "u1"])
        self.assertEqual(node.counters()["repeats_replayed"], 2)

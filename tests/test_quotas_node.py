"""Quotas at a running node: both protocols, reasons in answers, reload by SIGHUP, hand-over of balances."""

from __future__ import annotations

import http.client
import time
from functools import partial
from typing import Any

from arrowfold.standins.producers import Client
from tests.edge import SETTINGS, TIMEOUT_S, EdgeCase, Node, eventually, free_port, in_threads

DOCUMENT = """
faktory {
    listen "127.0.0.1:PORT"
}
quotas {
    organisation "acme" {
        requests limit=6 per=(min)10
        team "web" {
            requests limit=4 per=(min)10
        }
        team "ops" {
            requests limit=2 per=(min)10
            borrow true
        }
    }
    organisation "slow" {
        worker-time limit=(ms)900 per=(min)10
    }
    organisation "reads" {
        index-fetches limit=10 per=(min)10
    }
    network "127.0.0.0/8" "10.0.0.0/8" tenant="reads"
    network "127.0.0.9" tenant="acme/web"
    organisation "short" {
        requests limit=1 per=(ms)800
    }
    nobody {
        requests limit=50 per=(min)10
    }
}
"""


class Limited(EdgeCase):
    def start(self, **options: Any) -> Node:
        self.port = free_port()
        self.worker_ = self.worker("s1", self.behave)
        return self.node(self.worker_, edge=DOCUMENT.replace("PORT", str(self.port)), **options)

    def behave(self, job: str, nth: int) -> str:
        return "slow" if job.startswith("long") else "done"

    def statuses(self, node: Node, start: str, count: int, tenant: str) -> list[int]:
        return [node.post(f"{start}-{n}", X_Tenant=tenant)[0] for n in range(count)]

    def test_limits_of_a_team_and_its_organisation_over_both_protocols(self) -> None:
        node = self.start()
        self.assertEqual(self.statuses(node, "web", 5, "acme/web"), [200] * 4 + [429])
        status, body, headers = node.post("more", X_Tenant="acme/web")
        self.assertEqual((status, body), (429, b"denied: quota of acme/web: requests 4 per 600 s\n"))
        self.assertGreater(float(headers["retry-after"]), 500)
        client = Client(self.port)
        self.addCleanup(client.close)
        replies = [client.push(f"ops-{n}", custom={"tenant": "acme/ops"}) for n in range(4)]
        self.assertEqual(replies[:2], ["+OK", "+OK"])
        for reply in replies[2:]:
            self.assertRegex(reply, r"^-ERR denied: .*retry after \d+\.\d+ s; quota of acme")
        self.assertEqual(self.statuses(node, "free", 3, "unknown"), [200] * 3)
        self.assertEqual(node.post("nobody")[0], 200)
        counted = node.counters()
        self.assertEqual(counted["quotas_denied"], 4)
        self.assertEqual(len(self.worker_.jobs), counted["quotas_let_in"])

    def test_a_job_without_a_tenant_is_charged_by_its_network(self) -> None:
        """The narrowest network applies, and a tenant named by the job comes first; over both protocols."""
        node = self.start()
        connection = http.client.HTTPConnection(
            "127.0.0.1", node.port, timeout=TIMEOUT_S, source_address=("127.0.0.9", 0))
        self.addCleanup(connection.close)
        statuses = [node.post(f"web-{n}", connection=connection)[0] for n in range(5)]
        self.assertEqual(statuses, [200] * 4 + [429])
        self.assertEqual(node.post("named", connection=connection, X_Tenant="unknown")[0], 200)
        for job in ("http", "faktory"):
            if job == "http":
                node.post(job, path="/search?key=k1")
            else:
                client = Client(self.port)
                self.addCleanup(client.close)
                self.assertEqual(client.push(job, custom={"key": "k2"}), "+OK")
        self.assertIn("used 4 of 4", node.call("quota acme/web"))
        self.assertIn("used 2 of 10", node.call("quota reads"))

    def test_a_workers_reported_fetches_replace_the_estimate(self) -> None:
        node = self.start()
        for nth, (said, used) in enumerate((({"index_fetches": 2.5}, "2.5"), ({"index_fetches": 0}, "2.5"),
                           ({"index_fetches": -1}, "3.5"), ({"index_fetches": "many"}, "4.5"), ({}, "5.5"))):
            self.worker_.said = said  # the last three are invalid or missing: one fetch for a new key
            self.assertEqual(node.post(f"job-{nth}", path=f"/search?key=k{nth}")[0], 200)
            self.assertIn(f"used {used} of 10", node.call("quota reads"))
        self.worker_.said = {"index_fetches": 4.5}
        self.assertEqual(node.post("last", path="/search?key=last")[0], 200)
        self.assertEqual(node.post("over", path="/search?key=over")[0], 429)

    def test_a_faktory_workers_reported_fetches(self) -> None:
        self.port = free_port()
        node = self.node(edge=DOCUMENT.replace("PORT", str(self.port)))
        producer, worker = Client(self.port), Client(self.port, "w1")
        self.addCleanup(producer.close)
        self.addCleanup(worker.close)
        for job, row, used in (("told", {"index_fetches": 3}, "3"), ("silent", {}, "4")):
            push = partial(producer.push, job, custom={"key": job})
            answers = in_threads([push, lambda row=row: worker.call(  # type: ignore[misc]
                "ACK", {"jid": worker.fetch()["jid"], **row})])
            self.assertEqual(list(answers), ["+OK", "+OK"])
            self.assertIn(f"used {used} of 10", node.call("quota reads"))

    def test_an_invalid_tenant_path_is_refused(self) -> None:
        node = self.start()
        for path in ("acme//web", "/", "a/b/c/d/e/f/g/h/i"):
            status, body, _ = node.post("t", X_Tenant=path)
            self.assertEqual((status, b"X-Tenant" in body), (400, True))
        client = Client(self.port)
        self.addCleanup(client.close)
        self.assertRegex(client.push("j", custom={"tenant": "a//b"}), "^-ERR PUSH: custom.tenant")

    def test_worker_time_is_charged_as_used(self) -> None:
        """Each run takes half a second, while less is reserved for it."""
        settings = {"classes": [{**row, "onTimeUs": 100_000} for row in SETTINGS["classes"]]}
        node = self.start(settings={**SETTINGS, **settings})
        self.assertEqual(self.statuses(node, "long", 4, "slow"), [200, 200, 429, 429])
        said = node.call("quota slow")
        self.assertRegex(said, r"^ok quota slow: worker-time 0.9 s per 600 s: used (0\.9\d*|1|1\.\d+) of 0.9")
        self.assertEqual(node.call("quota-reset slow"), "ok quota-reset slow\n")
        self.assertEqual(node.post("long-again", X_Tenant="slow")[0], 200)
        for line in ("quota nowhere", "quota a//b", "quota", "quota-reset nowhere"):
            self.assertTrue(node.call(line).startswith("fail "))

    def test_a_retry_after_the_promised_time_is_admitted(self) -> None:
        node = self.start()
        self.assertEqual(node.post("one", X_Tenant="short")[0], 200)
        status, _, headers = node.post("two", X_Tenant="short")
        self.assertEqual(status, 429)
        time.sleep(float(headers["retry-after"]) + 0.002)
        self.assertEqual(node.post("three", X_Tenant="short")[0], 200)

    def test_a_reload_of_limits_keeps_what_was_used(self) -> None:
        node = self.start()
        self.statuses(node, "web", 4, "acme/web")
        text = node.edge_file.read_text()
        node.edge_file.write_text(text.replace("limit=4", "limit=5"))
        node.reload()
        eventually(lambda: node.counters().get("reloads", 0) == 1)
        eventually(lambda: "of 5" in node.call("quota acme/web"))
        self.assertEqual(self.statuses(node, "raised", 2, "acme/web"), [200, 429])
        node.edge_file.write_text(text.replace("per=(min)10", "per=10", 1))
        node.reload()
        eventually(lambda: node.counters().get("reloads_refused", 0) == 1)
        self.assertEqual(self.statuses(node, "same", 1, "acme/web"), [429])
        self.assertIn('quotas > organisation "acme" > requests: per is to be a time', node.close())

    def test_balances_are_handed_over_to_the_next_process(self) -> None:
        node = self.start()
        self.assertEqual(self.statuses(node, "web", 3, "acme/web"), [200] * 3)
        following = self.node(self.worker_, edge=node.edge_file.read_text(), port=node.port, wait=False)
        eventually(lambda: following.call("status").startswith("ok ") if self.up(following) else False)
        self.assertEqual(node.terminate(), 0)
        self.assertEqual(self.statuses(following, "after", 2, "acme/web"), [200, 429])

    def test_a_settlement_in_the_old_process_is_charged_in_the_next(self) -> None:
        """A job runs while the process is replaced, and uses more than was reserved."""
        settings = {**SETTINGS, "classes": [{**row, "onTimeUs": 100_000} for row in SETTINGS["classes"]]}
        self.behave = lambda job, nth: "hold"  # type: ignore[method-assign]
        node = self.start(settings=settings)
        connection = http.client.HTTPConnection("127.0.0.1", node.port, timeout=TIMEOUT_S)
        self.addCleanup(connection.close)
        connection.request("POST", "/search?key=k", b"", {
            "X-Trace-Id": "held", "X-Qos": "search", "X-Expires-In": "20000m", "X-Tenant": "slow"})
        eventually(lambda: len(self.worker_.jobs) == 1)
        following = self.node(self.worker_, edge=node.edge_file.read_text(), port=node.port, wait=False,
                              settings=settings)
        eventually(lambda: self.up(following) and following.call("status").startswith("ok "))
        self.assertIn("used 0.1 of", following.call("quota slow"))
        time.sleep(0.3)  # the minimum time that the job has run by then
        self.worker_.release.set()
        self.assertEqual(connection.getresponse().status, 200)
        eventually(lambda: float(following.call("quota slow").split("used ")[1].split()[0]) > 0.3)
        self.assertEqual(node.terminate(), 0)

    @staticmethod
    def up(node: Node) -> bool:
        try:
            node.call("status")
        except OSError:
            return False
        return True


SHARED = """
faktory {
    listen "127.0.0.1:PORT"
}
quotas {
    stretch STRETCH
    organisation "acme" {
        requests limit=20 per=(min)10
    }
    organisation "busy" {
        worker-time limit=(s)6 per=(min)10
    }
}
"""


class TwoNodes(EdgeCase):
    """Two nodes without shared state keep a common limit, over both protocols, as counted by the worker."""

    def behave(self, job: str, nth: int) -> str:
        return "slow" if job.startswith("busy") else "done"

    def pair(self, stretch: str) -> list[tuple[Node, Client]]:
        self.worker_ = self.worker("s1", self.behave)
        found = []
        for _ in range(2):
            port = free_port()
            edge = SHARED.replace("PORT", str(port)).replace("STRETCH", stretch)
            folder = self.folder / str(port)
            folder.mkdir()
            node = Node(folder, [self.worker_.row()], edge=edge, settings={
                **SETTINGS, "fleetSize": 2,
                "classes": [{**row, "onTimeUs": 500_000} for row in SETTINGS["classes"]]})
            self.addCleanup(node.close)
            client = Client(port)
            self.addCleanup(client.close)
            found.append((node, client))
        return found

    def test_the_limit_of_requests_is_kept_and_every_job_has_one_answer(self) -> None:
        for stretch, most in (("1", 20), ("1.5", 30)):
            answers: list[str] = []
            for number, (node, client) in enumerate(self.pair(stretch)):
                for n in range(20):
                    job = f"{stretch}-{number}-{n}"
                    if n % 2:
                        answers.append(client.push(job, custom={"tenant": "acme"})[:4])
                    else:
                        answers.append(str(node.post(job, X_Tenant="acme")[0]))
            let_in = sum(answer in ("200", "+OK") for answer in answers)
            self.assertEqual(len(answers), 40)
            self.assertEqual((let_in, len(self.worker_.jobs)), (most, most))
            self.assertEqual(set(answers), {"200", "+OK", "429", "-ERR"})

    def test_the_limit_of_worker_time_is_kept(self) -> None:
        for number, (node, _) in enumerate(self.pair("1")):
            answers = [node.post(f"busy-{number}-{n}", X_Tenant="busy")[0] for n in range(9)]
            self.assertIn(429, answers)
        # Half a second each: six seconds are twelve runs; one at each node may exceed what was reserved.
        spent = 0.5 * len(self.worker_.jobs)
        self.assertLessEqual(spent, 6 + 2 * 0.5)
        self.assertGreater(spent, 2)

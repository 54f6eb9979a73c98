"""The program conforms to its OpenAPI and AsyncAPI documents; an invalid document is refused at the start."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from typing import Any

import yaml

from arrowfold.standins.producers import Client
from tests.edge import ROOT, SETTINGS, TIMEOUT_S, Node, free_port, request_class
from tests.test_faktory import FaktoryCase

OPENAPI = yaml.safe_load((ROOT / "deploy/openapi.yaml").read_text())
ASYNCAPI = yaml.safe_load((ROOT / "deploy/asyncapi.yaml").read_text())
HERE = {**SETTINGS, "classes": [request_class("full-search"), request_class("symbol-lookup"),
                                request_class("commit-record", "keyed")]}


def at(document: Any, reference: str) -> Any:
    for part in filter(None, reference.removeprefix("#/").split("/")):
        document = document[part]
    return document


class Described(FaktoryCase):
    def described(self, *workers: Any) -> Node:
        self.port = free_port()
        text = (ROOT / "deploy/edge.kdl").read_text().replace("7419", str(self.port))
        text = text.replace('api "', f'api "{ROOT}/deploy/')
        return self.node(*workers, edge=text, settings=HERE)

    def test_every_described_operation_is_served_as_described(self) -> None:
        node = self.described(self.worker("s1"))
        for path, methods in OPENAPI["paths"].items():
            for method, operation in methods.items():
                if method == "get":
                    self.assertIn(str(node.get(path)[0]), operation["responses"])
                    continue
                rows = [at(OPENAPI, row["$ref"]) if "$ref" in row else row for row in operation["parameters"]]
                headers = {row["name"].replace("-", "_"): row["example"] for row in rows
                           if row["in"] == "header" and "example" in row}
                headers |= {"X_Qos": path[1:], "X_Trace_Id": f"job{path}".replace("/", "-")}
                status, body, _ = node.post("", path=f"{path}?key=k", **headers)
                self.assertEqual((status, body), (200, b"s1:" + headers["X_Trace_Id"].encode()))
                for row in rows:
                    if row.get("required"):
                        name = row["name"].replace("-", "_")
                        status, body, _ = node.post("", path=path, **{**headers, name: None})
                        self.assertEqual((status, row["name"].lower() in body.decode().lower()), (400, True))
                status, body, _ = node.post("", path=path, **{**headers, "X_Expires_In": "soon"})
                self.assertEqual((status, b"soon" in body), (400, True))
        self.assertEqual(node.get("/elsewhere")[0], 404)
        self.assertEqual(node.post("x", path="/counters")[0], 405)
        self.assertEqual(node.counters()["taken"], 3)

    def test_every_described_command_is_served_and_validated(self) -> None:
        node = self.described(self.worker("s1"))
        client, worker = Client(self.port), Client(self.port, "w1")
        self.addCleanup(client.close)
        self.addCleanup(worker.close)
        for operation in ASYNCAPI["operations"].values():
            channel = at(ASYNCAPI, operation["channel"]["$ref"])
            for row in channel["messages"].values():
                word, message = channel["address"], at(ASYNCAPI, row["$ref"])
                for example in message["examples"]:
                    payload = example["payload"]
                    if word in ("HELLO", "PUSH", "FETCH", "INFO"):
                        user = Client(self.port, **payload) if word == "HELLO" else client
                        reply = user.hello_reply if word == "HELLO" else "+OK" if word == "FETCH" else \
                            user.call(word, payload)
                        self.assertTrue(reply == "+OK" or (word == "INFO" and "server" in reply), reply)
                        if word == "HELLO":
                            user.close()
                for name in message["payload"].get("required", ()):
                    if word == "HELLO":
                        continue
                    short = {k: v for k, v in message["examples"][0]["payload"].items() if k != name}
                    self.assertRegex(worker.call(word, short), f"^-ERR {word}: .*'{name}' is a required")
        self.assertRegex(client.push("j", "other"), "^-ERR PUSH: jobtype: 'other' is not one of")
        self.assertRegex(client.push("j", "full-search", custom={"slots": "two"}),
                         "^-ERR PUSH: custom.slots: 'two' is not of type 'number'")
        self.assertRegex(Client(self.port, v="two").hello_reply, "^-ERR HELLO: v: 'two' is not of type")
        self.assertEqual(node.counters()["taken"], 1)

    def refused(self, key: str, text: str) -> str:
        """Returns the line with which the program refuses a document."""
        (self.folder / "document.yaml").write_text(text)
        edge = f'faktory {{\n listen "127.0.0.1:{free_port()}"\n}}\n' \
               f'descriptions {{\n {key} "document.yaml"\n}}\n'
        node = self.node(wait=False, edge=edge)
        self.assertEqual(node.process.wait(TIMEOUT_S), 2)
        (line,) = node.close().splitlines()
        return line

    def test_a_bad_document_is_refused_at_start_and_its_fault_located(self) -> None:
        def changed(document: Any, place: str, value: Any) -> str:
            document = copy.deepcopy(document)
            parts = place.split("/")
            at(document, "/".join(parts[:-1]))[parts[-1]] = value
            return json.dumps(document)

        for key, text, place in (
                ("openapi", "openapi: 3.1.0\n  bad: [", "line 2"),
                ("openapi", "openapi: 2.0", "openapi: the version"),
                ("openapi", changed(OPENAPI, "paths", 1), "paths"),
                ("openapi", changed(OPENAPI, "components/parameters/Key/in", "nowhere"),
                 "components.parameters.Key"),
                ("asyncapi", "[]", "not an object"),
                ("asyncapi", changed(ASYNCAPI, "asyncapi", "2.6.0"), "asyncapi: "),
                ("asyncapi", changed(ASYNCAPI, "operations/takeJob/action", "take"),
                 "operations.takeJob.action"),
                ("asyncapi", changed(ASYNCAPI, "operations/takeJob/channel", {"$ref": "#/channels/no"}),
                 "operations.takeJob.channel"),
                ("asyncapi", changed(ASYNCAPI, "components/messages/Job/payload/type", "thing"),
                 "components.messages.Job.payload")):
            line = self.refused(key, text)
            self.assertIn("document.yaml", line)
            self.assertIn(place, line)

    def test_a_missing_document_is_named(self) -> None:
        edge = 'descriptions {\n openapi "nowhere.yaml"\n}\n'
        node = self.node(wait=False, edge=edge)
        self.assertEqual(node.process.wait(TIMEOUT_S), 2)
        self.assertIn(str(Path("nowhere.yaml")), node.close())

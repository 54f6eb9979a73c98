"""Settings that can't be meant: each is named by its path, at the start and at SIGHUP."""

from __future__ import annotations

import copy
import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from arrowfold.program.config import Config, ConfigError, read_config
from arrowfold.standins.servers import LONG, eventually
from tests.edge import SETTINGS, EdgeCase

FAULTY: list[tuple[tuple[str | int, ...], str, tuple[Any, ...]]] = [
    (("classes",), "classes", ("x", -1, [], {}, None, True)),
    (("classes", 0), "classes[0]", ("x", -1, [], {}, None)),
    *[(("classes", 1, key), f"classes[1].{key}", ("x", -1, [], {}, True, float("nan"), 10**30))
      for key in ("hardLimitUs", "onTimeUs", "windowUs", "importance", "lateShare")],
    (("classes", 2, "name"), "classes[2].name", ("", 7, [], None)),
    (("classes", 2, "idempotency"), "classes[2].idempotency", ("twice", 7, [], {}, None)),
    (("classes", 0, "stream"), "classes[0].stream", ("x", 0)),
    *[(("contract", key), f"contract.{key}", ("x", -1, [], {}, True, float("nan"), 10**30))
      for key in ("answerSlackUs", "askWithinUs", "coldFrom", "coldUs", "overloadFactor", "overloadForUs",
                  "stopSendingWithinUs")],
    *[((section,), section, ("x", -1, [1])) for section in ("contract", "permissions", "domain", "report")],
    *[(("permissions", key), f"permissions.{key}", ("x", 1)) for key in ("cancel", "probes", "retryAfter")],
    *[(("permissions", key), f"permissions.{key}", ("x", -1, [], 10**30, float("inf")))
      for key in ("connIdleUs", "connectTimeoutUs", "maxRetryAfterUs", "sendCap")],
    (("permissions", "connectTimeoutUs"), "permissions.connectTimeoutUs", (0,)),
    (("fleetSize",), "fleetSize", ("x", -1, [])), (("tickUs",), "tickUs", ("x", -1)),
    (("discovery",), "discovery", (7, [])), (("locality",), "locality", (7, {})),
    (("report", "names"), "report.names", (7, [7], {"a": 1})), (("report", "source"), "report.source", (7,)),
    (("domain", "reportX0"), "domain.reportX0", (7, {})),
    (("domain", "tellsStart"), "domain.tellsStart", (7,)),
]


def spoilt(place: tuple[str | int, ...], value: Any) -> dict[str, Any]:
    settings: Any = copy.deepcopy(SETTINGS)
    inner = settings
    for key in place[:-1]:
        inner = inner[key]
    inner[place[-1]] = value
    return settings  # type: ignore[no-any-return]


class Reading(unittest.TestCase):
    def read(self, settings: dict[str, Any]) -> Config:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "config.json"
            file.write_text(json.dumps({"listen": "127.0.0.1:1", "settings": settings}))
            return read_config({"EDGE_CONFIG": str(file)}, None)

    def test_what_is_of_the_wrong_kind_is_named_by_its_path(self) -> None:
        for place, path, values in FAULTY:
            for value in values:
                with self.subTest(path=path, value=value):
                    with self.assertRaises(ConfigError) as said:
                        self.read(spoilt(place, value))
                    self.assertIn(path, str(said.exception))

    def test_what_is_null_or_unknown_is_neutral(self) -> None:
        for place in (("classes", 0, "importance"), ("classes", 0, "windowUs"), ("contract", "coldUs"),
                      ("permissions", "connIdleUs"), ("domain", "progressUs"), ("overShareWorth",)):
            self.assertEqual(self.read(spoilt(place, None)).settings.classes[0].worth, 1.0)
        self.read(spoilt(("something",), {"new": [1]}))


class AtANode(EdgeCase):
    def test_exit_2_at_the_start_and_nothing_changes_at_sighup(self) -> None:
        worst = spoilt(("permissions", "sendCap"), float("inf"))
        refused = self.node(self.worker("s0"), settings=worst)
        self.assertEqual(refused.process.wait(LONG), 2)
        self.assertIn("permissions.sendCap", refused.close())
        node = self.node(self.worker("s1"))
        for count, (place, _, values) in enumerate(FAULTY, 1):
            node.reload(settings=spoilt(place, values[0]))
            eventually(
                lambda count=count: node.counters().get("reloads_refused") == count)  # type: ignore[misc]
        self.assertEqual(node.post("t1")[0], 200)
        self.assertNotIn("faults", node.counters())

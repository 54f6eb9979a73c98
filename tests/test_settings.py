"""Invalid settings: each is reported with its path, at the start and on SIGHUP."""

from __future__ import annotations

import copy
import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from arrowfold.program.config import Config, ConfigError, read_config
from arrowfold.standins.servers import TIMEOUT_S, eventually
from tests.edge import SETTINGS, EdgeCase

INVALID: list[tuple[tuple[str | int, ...], str, tuple[Any, ...]]] = [
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


def with_value(key_path: tuple[str | int, ...], value: Any) -> dict[str, Any]:
    settings: Any = copy.deepcopy(SETTINGS)
    section = settings
    for key in key_path[:-1]:
        section = section[key]
    section[key_path[-1]] = value
    return settings  # type: ignore[no-any-return]


class Reading(unittest.TestCase):
    def read(self, settings: dict[str, Any]) -> Config:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "config.json"
            file.write_text(json.dumps({"listen": "127.0.0.1:1", "settings": settings}))
            return read_config({"EDGE_CONFIG": str(file)}, None)

    def test_a_value_of_the_wrong_type_is_reported_with_its_path(self) -> None:
        for key_path, path, values in INVALID:
            for value in values:
                with self.subTest(path=path, value=value):
                    with self.assertRaises(ConfigError) as raised:
                        self.read(with_value(key_path, value))
                    self.assertIn(path, str(raised.exception))

    def test_null_and_unknown_settings_are_accepted(self) -> None:
        for key_path in (("classes", 0, "importance"), ("classes", 0, "windowUs"), ("contract", "coldUs"),
                      ("permissions", "connIdleUs"), ("domain", "progressUs"), ("overShareWorth",)):
            self.assertEqual(self.read(with_value(key_path, None)).settings.classes[0].worth, 1.0)
        self.read(with_value(("something",), {"new": [1]}))


class AtANode(EdgeCase):
    def test_exit_2_at_the_start_and_nothing_changes_at_sighup(self) -> None:
        infinite_cap = with_value(("permissions", "sendCap"), float("inf"))
        refused = self.node(self.worker("s0"), settings=infinite_cap)
        self.assertEqual(refused.process.wait(TIMEOUT_S), 2)
        self.assertIn("permissions.sendCap", refused.close())
        node = self.node(self.worker("s1"))
        for count, (key_path, _, values) in enumerate(INVALID, 1):
            node.reload(settings=with_value(key_path, values[0]))
            eventually(
                lambda count=count: node.counters().get("reloads_refused") == count)  # type: ignore[misc]
        self.assertEqual(node.post("t1")[0], 200)
        self.assertNotIn("faults", node.counters())

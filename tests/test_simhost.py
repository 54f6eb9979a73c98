"""The simulator adapter: all messages, malformed input, and equal actions however instances are hosted."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

from arrowfold.simhost import report_fields

ROOT = Path(__file__).parent.parent
CONF: dict[str, Any] = {
    "classes": [{"name": "c", "onTimeUs": 300000, "hardLimitUs": 5000000, "idempotency": "safe", "new": 1}],
    "permissions": {"probes": True, "sendCap": 3}, "report": {"names": ["q", "x0"], "source": "piggyback"},
    "domain": {"reportX0": "free slots"}, "contract": {"answerSlackUs": 16000}, "prices": {"origin": 0.05},
    "locality": "a", "tickUs": 4000, "unknown": {"key": None}}


def run(lines: list[Any], seed: str = "0") -> tuple[int, list[Any], str]:
    text = "\n".join(line if isinstance(line, str) else json.dumps(line) for line in lines) + "\n"
    done = subprocess.run(
        [sys.executable, "-m", "arrowfold.simhost"], input=text, capture_output=True, text=True, cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": seed}, timeout=60, check=False)
    return done.returncode, [json.loads(row) for row in done.stdout.splitlines()], done.stderr


def batch(now: int, **instances: list[Any]) -> dict[str, Any]:
    return {"tsUs": now, "groups": [{"schedulerId": name, "in": rows} for name, rows in instances.items()]}


def create(seed: int, conf: dict[str, Any] | None = None) -> dict[str, Any]:
    return {"CREATE": {"rngSeed": seed, "conf": conf or CONF}}


def fleet(count: int = 4) -> dict[str, Any]:
    rows = [{"worker": f"w{i}", "az": "a", "model": "m", "pack": 0, "launchedUs": None,
             "lifecycle": "in_service", "weight": 1} for i in range(count)]
    return {"FLEET": {"mode": "Persisted", "epoch": 1, "elements": rows, "later": 1}}


def inbound(name: str, now: int) -> dict[str, Any]:
    return {"INBOUND": {"msgId": name, "lane": "c", "deadlineUs": now + 5000000, "entity": "k", "width": 1,
                        "effortUs": None, "party": None, "ramUnits": None}}


def checked(worker: str) -> dict[str, Any]:
    return {"CHECKED": {"worker": worker, "status": 10, "lagUs": 900, "usage": [0, 4]}}


def session(names: list[str]) -> list[Any]:
    lines: list[Any] = [batch(0), batch(1, **{n: [create(int(n[-1])), fleet()] for n in names})]
    for at in range(2, 30):
        now = at * 4000
        lines.append(batch(
            now, **{n: [inbound(f"{n}/{at}", now), {"ELAPSED": {"handle": at}}] for n in names}))
        lines.append(batch(now + 2000, **{n: [checked(f"w{i}") for i in range(4)] for n in names}))
    return lines


def by_instance(replies: list[Any]) -> dict[str, list[Any]]:
    found: dict[str, list[Any]] = {}
    for reply in replies:
        for group in reply["groups"]:
            found.setdefault(group["schedulerId"], []).extend(group["orders"])
    return found


def test_actions_depend_neither_on_the_hash_seed_nor_on_the_process() -> None:
    code, together, _ = run(session(["s-1", "s-2"]), seed="1")
    assert code == 0
    assert run(session(["s-1", "s-2"]), seed="2")[1] == together
    apart = by_instance(run(session(["s-1"]))[1]) | by_instance(run(session(["s-2"]))[1])
    assert apart == by_instance(together)
    assert any("PLACE" in order for order in apart["s-1"])


def test_every_event_and_odd_batches_are_answered() -> None:
    odd = [{"WITHDRAWN": {"msgId": "never"}},
           {"HEADERS": {"msgId": "x", "sendNo": 0, "worker": "w0", "lagUs": 1}},
           {"PROGRESS": {"msgId": "x", "sendNo": 0, "worker": "w0", "kind": 2, "level": 0.5}},
           {"NEIGHBOUR_SAYS": {"sender": 1, "body": "hi"}}, {"BRAND_NEW": {}}, checked("never-listed"),
           {"OUTCOME": {"msgId": "x", "sendNo": 0, "worker": "w9", "status": 40, "lagUs": 1, "final": False,
                        "note": None, "usage": None}}]
    code, replies, errors = run([
        batch(0), batch(1, s=[create(1), fleet(0), *odd]), batch(2, s=[inbound("a", 2)]),
        batch(3, s=[{"RETIRE": {}}, inbound("lost", 3), create(2), fleet()]), batch(4, s=[inbound("b", 4)])])
    assert (code, errors, len(replies)) == (0, "", 5)


def test_a_malformed_line_ends_it_with_one_message() -> None:
    for bad in ("{", "[]", '{"tsUs":1}', batch(5, s=[{"INBOUND": {"msgId": "x"}}])):
        code, replies, errors = run([batch(0), batch(1, s=[create(1), fleet()]), bad])
        assert code != 0 and len(replies) == 2
        assert len(errors.strip().splitlines()) == 1


def test_invalid_settings_yield_give_in_for_that_instance_only() -> None:
    empty = {**CONF, "classes": []}
    code, replies, _ = run([batch(1, s=[create(1, empty), fleet()], t=[create(2), fleet()])])
    found = by_instance(replies)
    assert code == 0 and "request class" in found["s"][0]["GIVE_IN"]["words"]
    assert "GIVE_IN" not in str(found.get("t"))


def test_reports_are_read_by_their_names() -> None:
    conf = {"report": {"names": ["rif", "fail_rate", "x0", "new"]}, "domain": {"reportX0": "free slots"}}
    assert report_fields(conf) == ["held", "errors", "free_slots", None]

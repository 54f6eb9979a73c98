"""Reads a trace, and what the fleet says of itself, as a history that expectations are held to."""

from __future__ import annotations

import json
from collections.abc import Iterator
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

from arrowfold import interface as api
from arrowfold.expectations.history import ZERO, Attempt, Call, History, Life, Own, Report, Sight, State
from arrowfold.routes.rules import Subject

EPOCH = datetime(1970, 1, 1)
US = timedelta(microseconds=1)


class TraceError(ValueError):
    """A file that can't be read, with the line at fault."""


def read_history(trace: Path, fleet: Path | None = None) -> tuple[History, int]:
    """The history of a trace, and how many spans were dropped. TraceError names the file and line at fault.

    `fleet` is a file of JSON lines with `at` (Unix seconds), `server` and `state` (in-service, draining,
    gone): what servers did themselves, as their own deployment wrote it down.
    """
    history, dropped = History(), 0
    sessions: dict[str, Life] = {}
    attempts: list[tuple[str, Attempt]] = []
    for place, row in _rows(trace):
        try:
            attributes, begin = row["attributes"], _time(row["start_time"])
            end = _time(row["end_time"])
            history.until = max(history.until, end)
            match row["name"]:
                case "settings":
                    history.cold = attributes["cold_us"] * US
                case "server":
                    launched = attributes["launched_us"] * US
                    history.sights.append(Sight(
                        begin, attributes["server"], attributes["zone"], attributes["kind"],
                        State(attributes["state"]), launched if launched else None))
                case "call":
                    history.calls.append(Call(begin, attributes["server"], attributes["out"]))
                case "report":
                    history.reports.append(Report(begin, attributes["server"], attributes["free_slots"]))
                case "session":
                    sessions[row["context"]["span_id"]] = _life(attributes, begin, end)
                case "dispatch":
                    started = next((_time(e["timestamp"]) for e in row["events"] if e["name"] == "started"),
                                   None)
                    attempts.append((row["parent_id"], Attempt(
                        attributes["number"], attributes["server"], begin, started, end,
                        api.Status[attributes["status"]], attributes.get("free_slots"))))
                case "dropped":
                    dropped += attributes["spans"]
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise TraceError(f"{place}: no span of a node: {type(error).__name__}: {error}") from error
    for parent, attempt in attempts:
        if parent in sessions:
            sessions[parent].attempts.append(attempt)
    for life in sessions.values():
        life.attempts.sort(key=lambda attempt: attempt.number)
    history.lives = sorted(sessions.values(), key=lambda life: life.arrived)
    history.sights.sort(key=lambda sight: sight.at)
    if fleet is not None:
        history.own = sorted(_own(fleet), key=lambda own: own.at)
    return history, dropped


def _life(attributes: dict[str, Any], begin: timedelta, end: timedelta) -> Life:
    told = attributes.get("retry_after_us")
    return Life(
        attributes["session"],
        Subject(attributes["class"], attributes.get("region"), attributes.get("key"),
                attributes.get("tenant"), attributes.get("client"), attributes["resent"]),
        begin, attributes["deadline_us"] * US, attributes.get("rule"), [], end, attributes["verdict"],
        told * US if told is not None else None)


def _own(path: Path) -> Iterator[Own]:
    for place, row in _rows(path):
        try:
            at = timedelta(seconds=row["at"])
            if at < ZERO:
                raise ValueError("at is negative")
            yield Own(at, str(row["server"]), State(row["state"]))
        except (KeyError, TypeError, ValueError) as error:
            raise TraceError(f"{place}: {type(error).__name__}: {error}") from error


def _rows(path: Path) -> Iterator[tuple[str, dict[str, Any]]]:
    try:
        with path.open(encoding="utf-8") as lines:
            for number, line in enumerate(lines, 1):
                if line.strip():
                    row = json.loads(line)
                    if not isinstance(row, dict):
                        raise TraceError(f"{path}:{number}: no object")
                    yield f"{path}:{number}", row
    except TraceError:
        raise
    except (OSError, ValueError, RecursionError) as error:
        raise TraceError(f"{path}: {error}") from error


def _time(text: str) -> timedelta:
    return datetime.fromisoformat(text.removesuffix("Z")) - EPOCH

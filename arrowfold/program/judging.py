"""Reads a trace, and optionally the workers' own states, into a history for judging expectations."""

from __future__ import annotations

import json
from collections.abc import Iterator
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

from arrowfold import interface as api
from arrowfold.expectations.history import (
    ZERO,
    Attempt,
    History,
    ListedState,
    LoadSample,
    OperatorCommand,
    ServerEvent,
    SessionRecord,
    State,
)
from arrowfold.routes.rules import Subject

EPOCH = datetime(1970, 1, 1)
MICROSECOND = timedelta(microseconds=1)


class TraceError(ValueError):
    """A file that cannot be read; the message names the file and, where known, the line."""


def read_history(trace: Path, fleet: Path | None = None) -> tuple[History, int]:
    """Returns the history of a trace and the number of dropped spans. Raises TraceError.

    `fleet` is a file of JSON lines with `at` (Unix seconds), `server` and `state` (in-service, draining,
    gone): the workers' own state changes, as recorded by their deployment.
    """
    history, dropped_spans = History(), 0
    sessions: dict[str, SessionRecord] = {}
    attempts: list[tuple[str, Attempt]] = []
    for location, row in _read_rows(trace):
        try:
            attributes, start = row["attributes"], _parse_time(row["start_time"])
            end = _parse_time(row["end_time"])
            history.until = max(history.until, end)
            match row["name"]:
                case "settings":
                    history.cold = attributes["cold_us"] * MICROSECOND
                case "server":
                    launched = attributes["launched_us"] * MICROSECOND
                    history.listed_states.append(ListedState(
                        start, attributes["server"], attributes["zone"], attributes["kind"],
                        State(attributes["state"]), launched if launched else None))
                case "call":
                    history.commands.append(OperatorCommand(start, attributes["server"], attributes["out"]))
                case "report":
                    history.reports.append(LoadSample(start, attributes["server"], attributes["free_slots"]))
                case "session":
                    sessions[row["context"]["span_id"]] = _read_life(attributes, start, end)
                case "dispatch":
                    started = next(
                        (_parse_time(event["timestamp"]) for event in row["events"]
                         if event["name"] == "started"), None)
                    attempts.append((row["parent_id"], Attempt(
                        attributes["number"], attributes["server"], start, started, end,
                        api.Status[attributes["status"]], attributes.get("free_slots"))))
                case "dropped":
                    dropped_spans += attributes["spans"]
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise TraceError(f"{location}: not a span of a node: {type(error).__name__}: {error}") from error
    for parent_id, attempt in attempts:
        if parent_id in sessions:
            sessions[parent_id].attempts.append(attempt)
    for life in sessions.values():
        life.attempts.sort(key=lambda attempt: attempt.number)
    history.session_records = sorted(sessions.values(), key=lambda life: life.arrived)
    history.listed_states.sort(key=lambda sight: sight.at)
    if fleet is not None:
        history.own = sorted(_read_own_states(fleet), key=lambda own: own.at)
    return history, dropped_spans


def _read_life(attributes: dict[str, Any], start: timedelta, end: timedelta) -> SessionRecord:
    retry_after_us = attributes.get("retry_after_us")
    return SessionRecord(
        attributes["session"],
        Subject(attributes["class"], attributes.get("region"), attributes.get("key"),
                attributes.get("tenant"), attributes.get("client"), attributes["resent"]),
        start, attributes["deadline_us"] * MICROSECOND, attributes.get("rule"), [], end,
        attributes["verdict"],
        retry_after_us * MICROSECOND if retry_after_us is not None else None)


def _read_own_states(path: Path) -> Iterator[ServerEvent]:
    for location, row in _read_rows(path):
        try:
            at = timedelta(seconds=row["at"])
            if at < ZERO:
                raise ValueError("at is negative")
            yield ServerEvent(at, str(row["server"]), State(row["state"]))
        except (KeyError, TypeError, ValueError) as error:
            raise TraceError(f"{location}: {type(error).__name__}: {error}") from error


def _read_rows(path: Path) -> Iterator[tuple[str, dict[str, Any]]]:
    try:
        with path.open(encoding="utf-8") as lines:
            for number, line in enumerate(lines, 1):
                if line.strip():
                    row = json.loads(line)
                    if not isinstance(row, dict):
                        raise TraceError(f"{path}:{number}: not a JSON object")
                    yield f"{path}:{number}", row
    except TraceError:
        raise
    except (OSError, ValueError, RecursionError) as error:
        raise TraceError(f"{path}: {error}") from error


def _parse_time(text: str) -> timedelta:
    return datetime.fromisoformat(text.removesuffix("Z")) - EPOCH

"""Output of `arrowfold quotas`: the tree with a node's shares, contradictions, and replayed arrivals."""

from __future__ import annotations

import heapq
import json
from collections import Counter
from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path
from typing import Any

from arrowfold import interface as api
from arrowfold.quotas.accounts import Refusal, Ticket
from arrowfold.quotas.contradictions import contradictions
from arrowfold.quotas.gate import Gate
from arrowfold.quotas.tree import UNIT, Level, PathError, Tree

START_TIME = timedelta(seconds=1000)  # of the virtual clock


def _initial_run_times(settings: api.Settings) -> dict[str, timedelta]:
    return {cls.name: timedelta(microseconds=cls.aim_us) for cls in settings.classes}


def format_tree(tree: Tree, settings: api.Settings) -> Iterator[str]:
    """Yields a line for each level with its limits and one node's share of them."""
    gate = Gate(tree, settings.fleet_size, {}, START_TIME)
    rows = [((name,), level) for name, level in sorted(tree.root.children.items())]
    if tree.root.default is not None:
        rows.append((("default",), tree.root.default))
    if tree.nobody is not None:
        rows.append((("nobody",), tree.nobody))
    max_stretch = min(tree.stretch, settings.fleet_size)
    yield f"{settings.fleet_size} nodes, all together at most {max_stretch:g} x a limit"
    for path, level in rows:
        yield from _format_level(gate, path, level)


def _format_level(gate: Gate, path: tuple[str, ...], level: Level) -> Iterator[str]:
    limits = [f"{limit.as_text()} (here {gate.ledger.node_share(limit) / UNIT[limit.resource]:g})"
              for limit in level.limits]
    extra = [f"borrows with weight {level.weight:g}"] if level.borrow else []
    extra += [f"classes {', '.join(sorted(level.classes))}"] if level.classes else []
    yield f"{'/'.join(path)}: {'; '.join(limits + extra) or 'no limits'}"
    for name, child in sorted(level.children.items()):
        yield from _format_level(gate, (*path, name), child)
    if level.default is not None:
        yield from _format_level(gate, (*path, "default"), level.default)


def find_contradictions(tree: Tree, settings: api.Settings) -> Iterator[str]:
    """Yields a line for each contradiction between the quotas."""
    return contradictions(tree, _initial_run_times(settings), settings.fleet_size)


def replay_arrivals(tree: Tree, settings: api.Settings, arrivals: Path) -> Iterator[str]:
    """Admits timed arrivals in virtual time: yields a line for each, then the totals.

    Raises ValueError, which names the file and line at fault.
    """
    gate, count = Gate(tree, settings.fleet_size, _initial_run_times(settings), START_TIME), Counter[str]()
    ends: list[tuple[timedelta, int, Ticket, timedelta, int]] = []
    for number, (location, row) in enumerate(_read_rows(arrivals)):
        try:
            at = START_TIME + timedelta(seconds=row["at"])
            name, tenant, slots = str(row["class"]), row.get("tenant"), float(row.get("slots", 1))
            run = timedelta(seconds=row.get("run", 0.1))
            while ends and ends[0][0] <= at:
                end, _, ticket, worker_time, fetches = heapq.heappop(ends)
                gate.settle(ticket, worker_time, fetches, end)
            admission = gate.admit(tenant, name, slots, row.get("key"), at, row.get("client"),
                               bool(row.get("resent")))
        except (KeyError, TypeError, ValueError, OverflowError, PathError) as error:
            raise ValueError(f"{location}: {type(error).__name__}: {error}") from error
        prefix = f"{(at - START_TIME).total_seconds():10.3f}  {tenant or 'nobody'}  {name}"
        if isinstance(admission, Refusal):
            count["denied"] += 1
            retry_after = (
                f"; back after {admission.after.total_seconds():.3f} s"
                if admission.after is not None else "")
            yield f"{prefix}: denied, {admission.as_text()}{retry_after}"
            continue
        borrowed = any(account.borrowed and account.debt[n] for account, *_ in admission.charges
                       for n in range(len(account.debt)))
        count["let in"] += 1
        count["in debt"] += borrowed
        yield f"{prefix}: let in{', its level in debt' if borrowed else ''}"
        heapq.heappush(ends, (at + run, number, admission, run * slots,
                              gate.fetches("a server", row.get("key"))))
    yield ", ".join(f"{name} {count[name]}" for name in ("let in", "denied", "in debt"))


def _read_rows(path: Path) -> Iterator[tuple[str, dict[str, Any]]]:
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeError) as error:
        raise ValueError(f"{path}: {error}") from error
    for number, line in enumerate(lines, 1):
        if line.strip():
            try:
                row = json.loads(line)
            except ValueError as error:
                raise ValueError(f"{path}:{number}: {error}") from error
            if not isinstance(row, dict):
                raise ValueError(f"{path}:{number}: not a JSON object")
            yield f"{path}:{number}", row

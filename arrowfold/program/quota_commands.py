"""What `arrowfold quotas` prints: the tree as a node has it, contradictions, arrivals in virtual time."""

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

START = timedelta(seconds=1000)


def _means(settings: api.Settings) -> dict[str, timedelta]:
    return {cls.name: timedelta(microseconds=cls.aim_us) for cls in settings.classes}


def shown(tree: Tree, settings: api.Settings) -> Iterator[str]:
    """Each level with its limits and this node's part of them."""
    gate = Gate(tree, settings.fleet_size, {}, START)
    rows = [((name,), level) for name, level in sorted(tree.root.children.items())]
    if tree.root.default is not None:
        rows.append((("default",), tree.root.default))
    if tree.nobody is not None:
        rows.append((("nobody",), tree.nobody))
    most = min(tree.stretch, settings.fleet_size)
    yield f"{settings.fleet_size} nodes, all together at most {most:g} x a limit"
    for path, level in rows:
        yield from _lines(gate, path, level)


def _lines(gate: Gate, path: tuple[str, ...], level: Level) -> Iterator[str]:
    said = [f"{limit.words()} (here {gate.ledger.part(limit) / UNIT[limit.resource]:g})"
            for limit in level.limits]
    extra = [f"borrows with weight {level.weight:g}"] if level.borrow else []
    extra += [f"classes {', '.join(sorted(level.classes))}"] if level.classes else []
    yield f"{'/'.join(path)}: {'; '.join(said + extra) or 'no limits'}"
    for name, child in sorted(level.children.items()):
        yield from _lines(gate, (*path, name), child)
    if level.default is not None:
        yield from _lines(gate, (*path, "default"), level.default)


def contradicting(tree: Tree, settings: api.Settings) -> Iterator[str]:
    return contradictions(tree, _means(settings), settings.fleet_size)


def replayed(tree: Tree, settings: api.Settings, arrivals: Path) -> Iterator[str]:
    """A line for each arrival, then the sums. ValueError with the line at fault."""
    gate, count = Gate(tree, settings.fleet_size, _means(settings), START), Counter[str]()
    ends: list[tuple[timedelta, int, Ticket, timedelta, int]] = []
    for number, (place, row) in enumerate(_rows(arrivals)):
        try:
            at = START + timedelta(seconds=row["at"])
            name, tenant, slots = str(row["class"]), row.get("tenant"), float(row.get("slots", 1))
            run = timedelta(seconds=row.get("run", 0.1))
            while ends and ends[0][0] <= at:
                end, _, ticket, used, fetches = heapq.heappop(ends)
                gate.settle(ticket, used, fetches, end)
            found = gate.admit(tenant, name, slots, row.get("key"), at, row.get("client"),
                               bool(row.get("resent")))
        except (KeyError, TypeError, ValueError, OverflowError, PathError) as error:
            raise ValueError(f"{place}: {type(error).__name__}: {error}") from error
        who = f"{(at - START).total_seconds():10.3f}  {tenant or 'nobody'}  {name}"
        if isinstance(found, Refusal):
            count["denied"] += 1
            when = f"; back after {found.after.total_seconds():.3f} s" if found.after is not None else ""
            yield f"{who}: denied, {found.words()}{when}"
            continue
        borrowed = any(account.borrowed and account.debt[n] for account, *_ in found.charges
                       for n in range(len(account.debt)))
        count["let in"] += 1
        count["in debt"] += borrowed
        yield f"{who}: let in{', its level in debt' if borrowed else ''}"
        heapq.heappush(ends, (at + run, number, found, run * slots,
                              gate.fetches("a server", row.get("key"))))
    yield ", ".join(f"{name} {count[name]}" for name in ("let in", "denied", "in debt"))


def _rows(path: Path) -> Iterator[tuple[str, dict[str, Any]]]:
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
                raise ValueError(f"{path}:{number}: no object")
            yield f"{path}:{number}", row

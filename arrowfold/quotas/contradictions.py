"""Checks a tree of quotas for limits that contradict each other or can't be kept."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from datetime import timedelta

from arrowfold.quotas.tree import UNIT, Level, Limit, Resource, Tree

MICROSECOND = timedelta(microseconds=1)


def contradictions(tree: Tree, means: Mapping[str, timedelta], nodes: int = 1) -> Iterator[str]:
    """Yields a line for each fault, with the level's path. `means` are the classes' mean run times."""
    for name, level in sorted(tree.root.children.items()):
        yield from _level_faults(level, (name,), means, tree, nodes)
    if tree.root.default is not None:
        yield from _level_faults(tree.root.default, ("default",), means, tree, nodes)
    if tree.nobody is not None:
        yield from _level_faults(tree.nobody, ("nobody",), means, tree, nodes)


def _level_faults(
        level: Level, path: tuple[str, ...], means: Mapping[str, timedelta], tree: Tree, nodes: int,
) -> Iterator[str]:
    where = "/".join(path)
    for limit in level.limits:
        part = limit.amount * min(1.0, tree.stretch / nodes) if nodes > 1 else limit.amount
        job_cost = _min_job_cost(level, limit, means)
        if part < job_cost:
            yield (f"{where}: {limit.as_text()}: no single job fits in it" + (
                f" at a node, of which there are {nodes}" if limit.amount >= job_cost else ""))
        for child_name, child in sorted(level.children.items()):
            longer = [own for own in child.limits
                      if own.resource is limit.resource and own.per > _longest_window(level, limit.resource)]
            if limit.per == _longest_window(level, limit.resource):
                for own in longer:
                    yield (f"{where}/{child_name}: {own.as_text()}: a window longer than any of {where}'s, "
                           f"so nothing of it can be borrowed or compared")
        shares = [(name, own) for name, child in sorted(level.children.items()) for own in child.limits
                  if own.resource is limit.resource and own.per == limit.per]
        if sum(own.amount for _, own in shares) > limit.amount:
            yield (f"{where}: {limit.as_text()}: its children's shares add up to "
                   f"{sum(own.amount for _, own in shares) / UNIT[limit.resource]:g} "
                   f"({', '.join(name for name, _ in shares)}), so not all of them are kept")
    if level.borrow and not level.limits:
        yield f"{where}: borrow, with no limit of its own to go beyond"
    for name, child in sorted(level.children.items()):
        yield from _level_faults(child, (*path, name), means, tree, nodes)
    if level.default is not None:
        yield from _level_faults(level.default, (*path, "default"), means, tree, nodes)


def _longest_window(level: Level, resource: Resource) -> timedelta:
    return max((limit.per for limit in level.limits if limit.resource is resource), default=timedelta.max)


def _min_job_cost(level: Level, limit: Limit, means: Mapping[str, timedelta]) -> int:
    """Returns the minimum cost of a job of any class that is charged to the level."""
    if limit.resource is Resource.WORKER_TIME:
        runs = [mean // MICROSECOND for name, mean in means.items()
                if not level.classes or name in level.classes]
        return min(runs, default=0)
    return UNIT[limit.resource]

"""Reads the document's quotas: organisations, teams, their limits and their networks."""

from __future__ import annotations

from datetime import timedelta

from arrowfold.networks import read_network
from arrowfold.program.document import DocumentNode
from arrowfold.quotas.tree import MOST_AMOUNT, UNIT, Level, Limit, PathError, Resource, Tree, read_path

RESOURCES = tuple(resource.value for resource in Resource)


def read_quotas(node: DocumentNode | None) -> Tree | None:
    """Returns the tree of quota levels; None if the document has no quotas."""
    if node is None:
        return None
    node.validate(("nobody", "default", "payback", "stretch", "cautious", "most-levels"),
                  repeated=("organisation", "network"))
    nobody, payback, stretch, cautious, max_levels = (node.child(name) for name in (
        "nobody", "payback", "stretch", "cautious", "most-levels"))
    return Tree(
        Level("", children=_read_levels(node, "organisation"), default=_read_default(node)),
        _read_level(nobody, "nobody") if nobody is not None else None,
        payback.number(0.01, 1) if payback is not None else 0.5,
        stretch.number(1, 1000) if stretch is not None else 1.0,
        cautious.number(0, 1) if cautious is not None else 1.0,
        max_levels.integer(100) if max_levels is not None else 200_000, _read_networks(node))


def _read_networks(node: DocumentNode) -> tuple[tuple[str, str], ...]:
    """Returns (network, tenant) pairs. Of several networks that hold an address, the narrowest applies."""
    found: dict[str, str] = {}
    for child in node.children("network"):
        child.validate(props=("tenant",), args=None)
        tenant = child.prop_text("tenant")
        if not tenant:
            raise child.fault("tenant is missing")
        try:
            read_path(tenant)
            networks = [str(read_network(text).cidr) for text in child.texts()]
        except ValueError as error:
            raise child.fault(str(error)) from error
        for network in networks:
            if found.setdefault(network, tenant) != tenant:
                raise child.fault(f"{network} is {found[network]}'s already")
    return tuple(found.items())


def _read_levels(node: DocumentNode, name: str) -> dict[str, Level]:
    found: dict[str, Level] = {}
    for child in node.children(name):
        level_name = child.text()
        try:
            parts = read_path(level_name)
        except PathError as error:
            raise child.fault(str(error)) from error
        if len(parts) != 1:
            raise child.fault("its name may hold no /")
        if level_name in found:
            raise child.fault(f"a second {name} of this name")
        found[level_name] = _read_level(child, level_name, 1)
    return found


def _read_default(node: DocumentNode) -> Level | None:
    child = node.child("default")
    return _read_level(child, "*") if child is not None else None


def _read_level(node: DocumentNode, name: str, args: int = 0) -> Level:
    node.validate(("class", "borrow", "weight", "default"), args=args, repeated=("team", *RESOURCES))
    limits: dict[tuple[Resource, timedelta], Limit] = {}
    for child in node.children():
        if child.name in RESOURCES:
            limit = _read_limit(child)
            if (limit.resource, limit.per) in limits:
                raise child.fault("a second limit over the same time")
            limits[limit.resource, limit.per] = limit
    classes, borrow, weight = (node.child(name) for name in ("class", "borrow", "weight"))
    if classes is not None:
        classes.validate(args=None)
    return Level(
        name, tuple(limits.values()), frozenset(classes.texts()) if classes is not None else frozenset(),
        borrow.boolean() if borrow is not None else False,
        weight.number(0.001, 1e6) if weight is not None else 1.0, _read_levels(node, "team"),
        _read_default(node))


def _read_limit(node: DocumentNode) -> Limit:
    node.validate(props=("limit", "per"))
    resource, per = Resource(node.name), node.prop_duration("per")
    if not per:
        raise node.fault("per is missing, or no time above 0")
    if resource is Resource.WORKER_TIME:
        duration = node.prop_duration("limit")
        if duration is None:
            raise node.fault("limit is missing")
        return Limit(resource, duration // timedelta(microseconds=1), per)
    if not node.has_prop("limit"):
        raise node.fault("limit is missing")
    amount = node.prop_integer("limit", 0, 0) * UNIT[resource]
    if amount > MOST_AMOUNT:
        raise node.fault("limit is too large")
    return Limit(resource, amount, per)

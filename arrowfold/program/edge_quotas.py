"""The document's quotas: organisations, teams, their limits, and the networks that are theirs."""

from __future__ import annotations

from datetime import timedelta

from arrowfold.networks import read_network
from arrowfold.program.document import Place
from arrowfold.quotas.tree import MOST_AMOUNT, UNIT, Level, Limit, PathError, Resource, Tree, read_path

RESOURCES = tuple(resource.value for resource in Resource)


def read_quotas(place: Place | None) -> Tree | None:
    """The tree of levels; None where the document has no quotas."""
    if place is None:
        return None
    place.check(("nobody", "default", "payback", "stretch", "cautious", "most-levels"),
                repeated=("organisation", "network"))
    nobody, payback, stretch, cautious, most = (place.child(name) for name in (
        "nobody", "payback", "stretch", "cautious", "most-levels"))
    return Tree(
        Level("", children=_levels(place, "organisation"), default=_default(place)),
        _level(nobody, "nobody") if nobody is not None else None,
        payback.number(0.01, 1) if payback is not None else 0.5,
        stretch.number(1, 1000) if stretch is not None else 1.0,
        cautious.number(0, 1) if cautious is not None else 1.0,
        most.whole(100) if most is not None else 200_000, _owners(place))


def _owners(place: Place) -> tuple[tuple[str, str], ...]:
    """Whose jobs come from a network: tenants by network, of which the narrowest holds."""
    found: dict[str, str] = {}
    for row in place.children("network"):
        row.check(props=("tenant",), args=None)
        tenant = row.prop_text("tenant")
        if not tenant:
            raise row.fault("tenant is missing")
        try:
            read_path(tenant)
            networks = [str(read_network(text).cidr) for text in row.texts()]
        except ValueError as error:
            raise row.fault(str(error)) from error
        for network in networks:
            if found.setdefault(network, tenant) != tenant:
                raise row.fault(f"{network} is {found[network]}'s already")
    return tuple(found.items())


def _levels(place: Place, name: str) -> dict[str, Level]:
    found: dict[str, Level] = {}
    for child in place.children(name):
        own = child.text()
        try:
            parts = read_path(own)
        except PathError as error:
            raise child.fault(str(error)) from error
        if len(parts) != 1:
            raise child.fault("its name may hold no /")
        if own in found:
            raise child.fault(f"a second {name} of this name")
        found[own] = _level(child, own, 1)
    return found


def _default(place: Place) -> Level | None:
    child = place.child("default")
    return _level(child, "*") if child is not None else None


def _level(place: Place, name: str, args: int = 0) -> Level:
    place.check(("class", "borrow", "weight", "default"), args=args, repeated=("team", *RESOURCES))
    limits: dict[tuple[Resource, timedelta], Limit] = {}
    for child in place.children():
        if child.name in RESOURCES:
            limit = _limit(child)
            if (limit.resource, limit.per) in limits:
                raise child.fault("a second limit over the same time")
            limits[limit.resource, limit.per] = limit
    classes, borrow, weight = (place.child(name) for name in ("class", "borrow", "weight"))
    if classes is not None:
        classes.check(args=None)
    return Level(
        name, tuple(limits.values()), frozenset(classes.texts()) if classes is not None else frozenset(),
        borrow.flag() if borrow is not None else False,
        weight.number(0.001, 1e6) if weight is not None else 1.0, _levels(place, "team"), _default(place))


def _limit(place: Place) -> Limit:
    place.check(props=("limit", "per"))
    resource, per = Resource(place.name), place.prop_span("per")
    if not per:
        raise place.fault("per is missing, or no time above 0")
    if resource is Resource.WORKER_TIME:
        span = place.prop_span("limit")
        if span is None:
            raise place.fault("limit is missing")
        return Limit(resource, span // timedelta(microseconds=1), per)
    if not place.has("limit"):
        raise place.fault("limit is missing")
    amount = place.prop_whole("limit", 0, 0) * UNIT[resource]
    if amount > MOST_AMOUNT:
        raise place.fault("limit is too large")
    return Limit(resource, amount, per)

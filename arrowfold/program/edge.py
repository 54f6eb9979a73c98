"""What a deployment adds to the platform's configuration: one KDL document, checked whole.

It holds the Faktory front, the descriptions, the trace, regions, routes, and what is expected of routing.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path

from arrowfold.expectations import claims
from arrowfold.expectations.claims import Claim, Expectation, Target, When
from arrowfold.expectations.history import ZERO, State
from arrowfold.networks import read_network
from arrowfold.program.document import DocumentError, Place, read_document
from arrowfold.program.log import FORMS
from arrowfold.protocol.http import parse_address
from arrowfold.quotas.tree import MOST_AMOUNT, UNIT, Level, Limit, PathError, Resource, Tree, read_path
from arrowfold.repeats.rules import Repeats
from arrowfold.routes.rules import Action, Match, Routes, Rule
from arrowfold.transport.stream import Address

MATCHES = ("class", "region", "key", "key-prefix", "tenant", "network", "retry")
ACTIONS = ("prefer", "only", "kinds", "deny")
STATES = tuple(state.value for state in State)
OWN_STATES = ("in-service", "draining", "gone")
CLAIMS = ("never-reaches", "only-reaches", "prefers", "goes-over", "at-most-attempts", "not-repeated",
          "repeated", "one-copy", "denied", "answered", "served", "at-most-at")
EVENTS = ("arrival", "deadline", "start", "end")
VERDICTS = ("served", "denied", "failed")
MOST_PREFERRED = 16
MOST_TRACE = 100  # MiB


@dataclass(frozen=True, slots=True)
class FaktoryConfig:
    """Where the Faktory front listens, and the password that it asks for, if any."""

    listen: Address
    password: str | None


@dataclass(frozen=True, slots=True)
class TraceConfig:
    """Where sessions are written down as spans, and how much at most."""

    file: Path
    most_bytes: int
    most_waiting: int  # spans that wait to be written; more are dropped


@dataclass(frozen=True, slots=True)
class CheckConfig:
    """What the check plays on: the platform's settings, and which zones hold which kinds."""

    settings: Path | None = None
    fleet: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class EdgeDocument:
    """The document, checked."""

    faktory: FaktoryConfig | None = None
    openapi: Path | None = None
    asyncapi: Path | None = None
    trace: TraceConfig | None = None
    routes: Routes = field(default_factory=lambda: Routes({}))
    quotas: Tree | None = None
    repeats: Repeats | None = None
    log: str = FORMS[0]
    expectations: tuple[Expectation, ...] = ()
    check: CheckConfig = field(default_factory=CheckConfig)


def read_edge(path: Path) -> EdgeDocument:
    """Read and check the document; DocumentError names the path of the node at fault."""
    if path.suffix == ".toml":
        raise DocumentError(f"{path}: the deployment's file is a KDL document now, such as deploy/edge.kdl")
    root = read_document(path)
    root.check(("faktory", "descriptions", "trace", "routes", "quotas", "repeats", "expectations",
                "check",
                "log"),
               repeated=("region",))
    descriptions = root.child("descriptions")
    regions = _regions(root)
    return EdgeDocument(
        faktory=_faktory(root.child("faktory")),
        openapi=_file(descriptions, "openapi"), asyncapi=_file(descriptions, "asyncapi"),
        trace=_trace(root.child("trace")),
        routes=Routes(regions, _rules(root.child("routes"), regions)),
        quotas=_quotas(root.child("quotas")), repeats=_repeats(root.child("repeats")),
        log=_log(root.child("log")),
        expectations=_expectations(root.child("expectations"), regions),
        check=_check(root.child("check")))


def _faktory(place: Place | None) -> FaktoryConfig | None:
    if place is None:
        return None
    place.check(("listen", "password"))
    listen = place.child("listen")
    if listen is None:
        raise place.fault("listen is missing")
    try:
        address = parse_address(listen.text())
    except ValueError as error:
        raise listen.fault(str(error)) from error
    if not address[0].startswith("127."):
        raise listen.fault(f"{address[0]} is no loopback address")
    password = place.child("password")
    return FaktoryConfig(address, password.text() if password is not None else None)


def _file(place: Place | None, name: str) -> Path | None:
    if place is None:
        return None
    place.check(("openapi", "asyncapi"))
    child = place.child(name)
    return place.file.parent / child.text() if child is not None else None


def _trace(place: Place | None) -> TraceConfig | None:
    if place is None:
        return None
    place.check(("file", "most-mib", "most-waiting"))
    file, mib, waiting = (place.child(name) for name in ("file", "most-mib", "most-waiting"))
    if file is None:
        raise place.fault("file is missing")
    return TraceConfig(
        place.file.parent / file.text(), (mib.whole() if mib is not None else MOST_TRACE) * 2**20,
        waiting.whole(16) if waiting is not None else 4096)


def _log(place: Place | None) -> str:
    if place is None:
        return FORMS[0]
    place.check(props=("format",))
    return place.prop_choice("format", FORMS)


def _regions(root: Place) -> dict[str, frozenset[str]]:
    regions: dict[str, frozenset[str]] = {}
    for place in root.children("region"):
        place.check(props=("zones",), args=1)
        name, zones = place.text(), place.prop_text("zones")
        if name in regions:
            raise place.fault("a second region of this name")
        if zones is None or not zones.split():
            raise place.fault("zones is missing: the zones of the settings, with spaces between")
        regions[name] = frozenset(zones.split())
    return regions


# --- routes --------------------------------------------------------------------------------------------


def _rules(place: Place | None, regions: Mapping[str, frozenset[str]]) -> tuple[Rule, ...]:
    if place is None:
        return ()
    place.check(repeated=("rule",))
    rules: dict[str, Rule] = {}
    for row in place.children("rule"):
        row.check((*MATCHES, *ACTIONS), args=1)
        name = row.text()
        if name in rules:
            raise row.fault("a second rule of this name")
        actions = [child for child in row.children() if child.name in ACTIONS]
        if len(actions) != 1:
            raise row.fault(f"needs one action, not {len(actions)}: {', '.join(ACTIONS)}")
        rules[name] = Rule(name, _match(row), _action(actions[0], regions))
    return tuple(rules.values())


def _match(place: Place) -> Match:
    """The parts that choose sessions; what else stands in the node is its owner's."""
    values: dict[str, frozenset[str]] = {}
    for child in place.children():
        if child.name in MATCHES and child.name != "retry":
            child.check(args=None)
            values[child.name] = frozenset(child.texts())
            if child.name == "network":
                for text in child.texts():
                    try:
                        read_network(text)
                    except ValueError as error:
                        raise child.fault(str(error)) from error
    retry = place.child("retry")
    none = frozenset[str]()
    return Match(
        values.get("class", none), values.get("region", none), values.get("key", none),
        values.get("key-prefix", none), values.get("tenant", none), values.get("network", none),
        retry.flag() if retry is not None else None)


def _action(place: Place, regions: Mapping[str, frozenset[str]]) -> Action:
    if place.name == "deny":
        place.check(props=("retry-after",))
        return Action(deny=True, retry_after=place.prop_span("retry-after"))
    place.check(args=None)
    names = place.texts()
    if place.name == "kinds":
        return Action(kinds=frozenset(names))
    for name in names:
        _region(place, name, regions)
    if len(names) > MOST_PREFERRED:  # each is a step that the module takes within one call
        raise place.fault(f"names more than {MOST_PREFERRED} regions")
    return Action(prefer=names) if place.name == "prefer" else Action(only=names)


def _region(place: Place, name: str, regions: Mapping[str, frozenset[str]]) -> str:
    if name not in regions:
        known = ", ".join(sorted(regions)) or "none"
        raise place.fault(f"unknown region {name!r}; known are: {known}")
    return name


# --- quotas --------------------------------------------------------------------------------------------

RESOURCES = tuple(resource.value for resource in Resource)


def _quotas(place: Place | None) -> Tree | None:
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


# --- repeats -------------------------------------------------------------------------------------------


def _repeats(place: Place | None) -> Repeats | None:
    if place is None:
        return None
    place.check(("memory", "largest-answer", "false-positives"), repeated=("class",))
    memory, largest, errors = (place.child(name) for name in ("memory", "largest-answer", "false-positives"))
    keep: dict[str, timedelta] = {}
    for row in place.children("class"):
        row.check(props=("keep",), args=1)
        span = row.prop_span("keep")
        if not span:
            raise row.fault("keep is missing, or no time above 0")
        if row.text() in keep:
            raise row.fault("a second class of this name")
        keep[row.text()] = span
    return Repeats(
        keep, memory.whole(1_000_000) if memory is not None else 16_000_000,
        largest.whole(0) if largest is not None else 65_536,
        errors.number(1e-9, 0.1) if errors is not None else 1e-6)


# --- expectations --------------------------------------------------------------------------------------


def _expectations(place: Place | None, regions: Mapping[str, frozenset[str]]) -> tuple[Expectation, ...]:
    if place is None:
        return ()
    place.check(repeated=("expect",))
    found: dict[str, Expectation] = {}
    for row in place.children("expect"):
        row.check(("when", *CLAIMS), args=1)
        name, whens = row.text(), row.child("when")
        if name in found:
            raise row.fault("a second expectation of this name")
        said = [child for child in row.children() if child.name in CLAIMS]
        if len(said) != 1:
            raise row.fault(f"needs one claim, not {len(said)}: {', '.join(CLAIMS)}")
        when = _when(whens) if whens is not None else When()
        found[name] = Expectation(name, row.path, when, _READERS[said[0].name](said[0], regions))
    return tuple(found.values())


def _when(place: Place) -> When:
    place.check((*MATCHES, "server", "server-region", "list-lag"))
    server, region, lag = (place.child(name) for name in ("server", "server-region", "list-lag"))
    under = None
    if lag is not None:
        lag.check(props=("under",))
        under = lag.prop_span("under")
        if not under:
            raise lag.fault("under is missing, or no time above 0")
    return When(_match(place), _states(server), _states(region), under)


def _states(place: Place | None) -> frozenset[State]:
    if place is None:
        return frozenset()
    place.check(args=None)
    for text in place.texts():
        if text not in STATES:
            raise place.fault(f"unknown state {text!r}; known are: {', '.join(STATES)}")
    return frozenset(State(text) for text in place.texts())


def _target(place: Place, regions: Mapping[str, frozenset[str]]) -> Target:
    state, region = place.prop_text("state"), place.prop_text("region")
    if state is None and region is None and not place.has("kind"):
        raise place.fault("names no server: give a state, a region or a kind")
    if state is not None:
        place.prop_choice("state", STATES)
    if region is not None:
        _region(place, region, regions)
    own = place.prop_choice("from", ("told", "own"), "told") == "own"
    if own and state not in OWN_STATES:
        raise place.fault(f"from=\"own\" goes with state {', '.join(OWN_STATES)}")
    after = place.prop_span("after", ZERO)
    if state is None and after:
        raise place.fault("after goes with a state")
    assert after is not None
    return Target(State(state) if state is not None else None, region, place.prop_text("kind"), after, own)


def _reaches(place: Place, regions: Mapping[str, frozenset[str]]) -> Claim:
    place.check(props=("state", "region", "kind", "after", "from"))
    return claims.Reaches(_target(place, regions), place.name == "never-reaches")


def _prefers(place: Place, regions: Mapping[str, frozenset[str]]) -> Claim:
    place.check(props=("share",), args=None)
    order = tuple(_region(place, name, regions) for name in place.texts())
    return claims.Prefers(order, place.prop_share("share", 1.0))


def _goes_over(place: Place, regions: Mapping[str, frozenset[str]]) -> Claim:
    place.check(props=("from", "only-when", "share"))
    region = place.prop_text("from")
    if region is None:
        raise place.fault("from is missing")
    state = State(place.prop_choice("only-when", STATES))
    return claims.GoesOver(_region(place, region, regions), state, place.prop_share("share", 1.0))


def _attempts(place: Place, regions: Mapping[str, frozenset[str]]) -> Claim:
    place.check(args=1)
    return claims.AtMostAttempts(place.whole())


def _not_repeated(place: Place, regions: Mapping[str, frozenset[str]]) -> Claim:
    place.check()
    return claims.NotRepeated()


def _repeated(place: Place, regions: Mapping[str, frozenset[str]]) -> Claim:
    place.check(props=("within", "of"))
    within = place.prop_span("within", timedelta(seconds=1))
    assert within is not None
    return claims.Repeated(within, place.prop_choice("of", ("end", "silence"), "end") == "silence")


def _one_copy(place: Place, regions: Mapping[str, frozenset[str]]) -> Claim:
    place.check()
    return claims.OneCopy()


def _denied(place: Place, regions: Mapping[str, frozenset[str]]) -> Claim:
    place.check(props=("advice", "at-least", "at-most"))
    return claims.Denied(
        place.prop_flag("advice"), place.prop_span("at-least"), place.prop_span("at-most"))


def _answered(place: Place, regions: Mapping[str, frozenset[str]]) -> Claim:
    place.check(props=("within", "of", "verdict"))
    within = place.prop_span("within")
    if within is None:
        raise place.fault("within is missing")
    verdict = place.prop_choice("verdict", VERDICTS) if place.has("verdict") else None
    return claims.Answered(within, place.prop_choice("of", EVENTS, "arrival"), verdict)


def _served(place: Place, regions: Mapping[str, frozenset[str]]) -> Claim:
    place.check(props=("region",))
    region = place.prop_text("region")
    return claims.Served(_region(place, region, regions) if region is not None else None)


def _at_most_at(place: Place, regions: Mapping[str, frozenset[str]]) -> Claim:
    place.check(props=("state", "region", "kind", "after", "from", "per"), args=1)
    per = place.prop_span("per")
    if not per:
        raise place.fault("per is missing, or no time above 0")
    return claims.AtMostAt(place.whole(), per, _target(place, regions))


_READERS: dict[str, Callable[[Place, Mapping[str, frozenset[str]]], Claim]] = {
    "never-reaches": _reaches, "only-reaches": _reaches, "prefers": _prefers,
    "goes-over": _goes_over, "at-most-attempts": _attempts, "not-repeated": _not_repeated,
    "repeated": _repeated, "one-copy": _one_copy, "denied": _denied, "answered": _answered, "served": _served,
    "at-most-at": _at_most_at}


def _check(place: Place | None) -> CheckConfig:
    if place is None:
        return CheckConfig()
    place.check(("settings",), repeated=("servers",))
    settings, fleet = place.child("settings"), []
    for row in place.children("servers"):
        row.check(props=("zone", "kind", "count"))
        zone, kind = row.prop_text("zone"), row.prop_text("kind")
        if zone is None or kind is None:
            raise row.fault("zone and kind are needed")
        fleet += [(zone, kind)] * row.prop_whole("count", 1)
    return CheckConfig(place.file.parent / settings.text() if settings is not None else None, tuple(fleet))

"""Mutation tests of the expectations: single faults, injected into the decisions, the core or the routes.

`python -m benchmarks.faults` checks the whole document against each fault, on all processor cores, and prints
the table of docs/mutations.md: which expectations detect which fault.
"""

from __future__ import annotations

import json
import sys
import tempfile
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, replace
from datetime import timedelta
from pathlib import Path
from typing import Any
from unittest.mock import patch

from arrowfold import interface as api
from arrowfold.choice import Dispatcher
from arrowfold.expectations.check import Check
from arrowfold.program.commands import build_plan
from arrowfold.program.edge import EdgeDocument, read_edge
from arrowfold.routes.rules import Action
from arrowfold.routes.table import RouteTable, _EqualityCriterion, _KeyCriterion, _NetworkCriterion
from arrowfold.routing.core import Core
from arrowfold.routing.session import Answer
from arrowfold.routing.table import ServerTable
from arrowfold.state import Request

ROOT = Path(__file__).parent.parent
EXTRA_EXPECTATIONS = """
    expect "a payment that may have run is never run again" {
        when {
            class "payment"
        }
        not-repeated
    }
    expect "payments stay in the east" {
        when {
            class "payment"
            key "k"
        }
        only-reaches region="east"
    }
"""
EXTRA_RULE = """
    rule "payments in the east" {
        class "payment"
        key "k"
        only "east"
    }
"""


def document(folder: Path) -> tuple[EdgeDocument, Check]:
    """Returns the shipped document, extended by a class of requests that are not safe to repeat."""
    configuration: Any = json.loads((ROOT / "deploy/settings.json").read_text())
    payment = {**configuration["settings"]["classes"][0], "name": "payment", "idempotency": "unsafe"}
    configuration["settings"]["classes"].append(payment)
    (folder / "settings.json").write_text(json.dumps(configuration))
    text = (ROOT / "deploy/edge.kdl").read_text()
    text = text.replace("expectations {", "expectations {" + EXTRA_EXPECTATIONS).replace(
        "routes {", "routes {" + EXTRA_RULE)
    (folder / "edge.kdl").write_text(text)
    read = read_edge(folder / "edge.kdl")
    return read, Check(build_plan(read, None), read.expectations)


@dataclass(frozen=True)
class Fault:
    """One fault: the patches that inject it, and the expectation that detects it.

    The expectation is None if none detects the fault; `why` then holds the reason. A patch is the class, the
    name of its attribute and the new value.
    """

    name: str
    patches: tuple[tuple[type, str, Any], ...]
    detected_by: str | None
    why: str = ""

    @contextmanager
    def inject(self) -> Iterator[None]:
        """Applies the patches for the duration of the context."""
        with ExitStack() as stack:
            for owner, name, value in self.patches:
                stack.enter_context(patch.object(owner, name, value))
            yield


_upsert, _on_ended, _consult = Dispatcher._upsert, Dispatcher._on_ended, Core._consult
_search, _on_full, _answer, _find = Dispatcher._search, Dispatcher._on_full, Core._answer, RouteTable.find
_core_init, _change, _reach = Core.__init__, ServerTable.change, Action.reach
_on_roster, _note_outcome, _dispatch = Dispatcher._on_roster, Dispatcher._note_outcome, Core._dispatch


def _treating_as_in_service(state: api.Lifecycle) -> Callable[..., None]:
    def enter(self: Dispatcher, entry: api.RosterEntry) -> None:
        if entry.lifecycle is state:
            entry = replace(entry, lifecycle=api.Lifecycle.IN_SERVICE)
        _upsert(self, entry)

    return enter


def _complete_as_partial(self: Dispatcher, event: api.RosterUpdate) -> None:
    if event.mode is api.RosterMode.COMPLETE and self.workers:
        event = replace(event, mode=api.RosterMode.PARTIAL)
    _on_roster(self, event)


def _forgetting_maintenance(self: ServerTable, source: str, rows: Any) -> api.RosterUpdate:
    self.out.clear()
    return _change(self, source, rows)


def _with_nine_attempts(self: Core, settings: api.Settings, *rest: Any, **named: Any) -> None:
    _core_init(self, replace(settings, attempt_cap=9), *rest, **named)


def _without_arrival_reach(self: Core, event: api.Event) -> None:
    _consult(self, replace(event, reach=None) if isinstance(event, api.Arrival) else event)


def _with_regions_reversed(self: Action, regions: Any) -> api.Reach | None:
    reach = _reach(self, regions)
    return reach and replace(reach, zones=reach.zones[::-1])


def _with_other_regions(self: Action, regions: Any) -> api.Reach | None:
    reach = _reach(self, regions)
    return reach and replace(reach, others=True)


def _without_kinds(self: Action, regions: Any) -> api.Reach | None:
    reach = _reach(self, regions)
    return reach and replace(reach, kinds=frozenset())


def _last_match(self: RouteTable, subject: Any) -> Any:
    found = None
    for number, rule in enumerate(self.routes.rules):
        single = RouteTable(replace(self.routes, rules=(rule,)))
        if _find(single, subject) is not None:
            found = rule, self.reaches[number]
    return found


def _without_denials(self: RouteTable, subject: Any) -> Any:
    found = _find(self, subject)
    return None if found is not None and found[0].action.deny else found


def _with_retry_after(delay: timedelta | None) -> Callable[..., Any]:
    def find(self: RouteTable, subject: Any) -> Any:
        found = _find(self, subject)
        if found is not None and found[0].action.deny:
            rule = replace(found[0], action=replace(found[0].action, retry_after=delay))
            return rule, None
        return found

    return find


def _with_resent_inverted(self: RouteTable, subject: Any) -> Any:
    return _find(self, replace(subject, resent=not subject.resent))


def _matching_nothing(self: Any, value: str | None) -> int:
    return int(self.any)


def _matching_everything(self: _EqualityCriterion, value: str | None) -> int:
    every = self.any
    for mask in self.by_value.values():
        every |= mask
    return every


def _without_ipv6(self: _NetworkCriterion, client: str | None) -> int:
    return self.any if client is None or ":" in client else int(self.trees[4].get(client, self.any))


def _ending_on(*statuses: api.Status) -> tuple[Callable[..., None], Callable[..., None]]:
    def seek(self: Dispatcher, request: Request, tier: int = 0) -> None:
        if request.attempts and self.last_status in statuses:  # type: ignore[attr-defined]
            self._end_request(request)
        else:
            _search(self, request, tier)

    def judge(self: Dispatcher, worker: Any, event: api.AttemptEnded) -> None:
        self.last_status = event.status  # type: ignore[attr-defined]
        _note_outcome(self, worker, event)

    return seek, judge


def _without_retry(name: str, detected_by: str, *statuses: api.Status) -> Fault:
    seek, judge = _ending_on(*statuses)
    return Fault(name, ((Dispatcher, "_search", seek), (Dispatcher, "_note_outcome", judge)), detected_by)


def _first_tier_only(self: Dispatcher, request: Request, fit: Any) -> None:
    if request.reach and request.tier < request.reach.last_tier:
        self._enqueue(request)
    else:
        _on_full(self, request, fit)


def _starting_at_last_tier(self: Dispatcher, request: Request, tier: int = 0) -> None:
    _search(self, request, request.reach.last_tier if request.reach else tier)


def _delaying_answer(self: Core, session: Any, answer: Answer) -> None:
    if session.answered:
        return
    self.clock.call_at(self.clock.now() + timedelta(milliseconds=40), lambda: _answer(self, session, answer))


def _do_nothing(*_: object) -> None:
    pass


def _return_true(*_: object) -> bool:
    return True


def _return_full_warmth(*_: object) -> float:
    return 1.0


def _treating_unsafe_as_safe(self: Dispatcher, event: api.AttemptEnded) -> None:
    request = self.requests.get(event.request)
    if request is not None and request.cls.idempotency is api.Idempotency.UNSAFE:
        request.cls = replace(request.cls, idempotency=api.Idempotency.SAFE)
    _on_ended(self, event)


def _refusing_at_once(self: Dispatcher, request: Request) -> None:
    self._end_request(request)


def _without_expiry(self: Core, session: Any) -> None:
    pass


DRAIN_EXPECTATION = "nothing goes to a worker a second after it is told to drain"
FAULTS = (
    Fault("drains ignored", ((Dispatcher, "_upsert", _treating_as_in_service(api.Lifecycle.TERMINATING)),),
          DRAIN_EXPECTATION),
    Fault("the end of a server ignored", (
        (Dispatcher, "_upsert", _treating_as_in_service(api.Lifecycle.TERMINATED)),
        (ServerTable, "find", lambda self, name: _find_removed_too(self, name))),
        "a search never goes to a worker that is gone"),
    Fault("who is not in a whole list stays", (
        (Dispatcher, "_on_roster", _complete_as_partial),
        (ServerTable, "find", lambda self, name: _find_removed_too(self, name))),
        "a search never goes to a worker that is gone"),
    Fault("maintenance forgotten after a list", ((ServerTable, "change", _forgetting_maintenance),),
          "maintenance holds, whatever the list says"),
    Fault("maintenance not told to the module, nor guarded", (
        (ServerTable, "_seen", lambda self, entry: entry), (Core, "_dispatch", None)),
        "maintenance holds, whatever the list says"),
    Fault("attempt cap off", ((Core, "__init__", _with_nine_attempts),),
          "no job is tried more than four times"),
    Fault("regions in reverse", ((Action, "reach", _with_regions_reversed),),
          "cardiff's searches stay in cardiff while it has room"),
    Fault("only taken for prefer", ((Action, "reach", _with_other_regions),),
          "archives are read in bridgend alone"),
    Fault("kinds ignored", ((Action, "reach", _without_kinds),), "the enterprise searches on gen-a"),
    Fault("what a route leaves not told to the module", ((Core, "_consult", _without_arrival_reach),),
          "archives are read in bridgend alone"),
    Fault("denials ignored", ((RouteTable, "find", _without_denials),),
          "the documentation networks are denied, and told when to come back"),
    Fault("no advice with a denial", ((RouteTable, "find", _with_retry_after(None)),),
          "the documentation networks are denied, and told when to come back"),
    Fault("advice of a moment", ((RouteTable, "find", _with_retry_after(timedelta(milliseconds=10))),),
          "the documentation networks are denied, and told when to come back"),
    Fault("the last match wins", ((RouteTable, "find", _last_match),),
          "cardiff's retried lookups stay cardiff's"),
    Fault("retries taken for first tries", ((RouteTable, "find", _with_resent_inverted),),
          "retried lookups prefer the east"),
    Fault("regions and tenants never match", ((_EqualityCriterion, "of", _matching_nothing),),
          "the enterprise searches on gen-a"),
    Fault("every region, class and tenant matches", ((_EqualityCriterion, "of", _matching_everything),),
          "archives are read in bridgend alone"),
    Fault("keys never match", ((_KeyCriterion, "of", _matching_nothing),),
          "archives are read in bridgend alone"),
    Fault("networks never match", ((_NetworkCriterion, "of", _matching_nothing),),
          "the documentation networks are denied, and told when to come back"),
    Fault("IPv6 never matches", ((_NetworkCriterion, "of", _without_ipv6),),
          "IPv6 documentation networks are denied too"),
    Fault("no way on from the preferred region", ((Dispatcher, "_on_full", _first_tier_only),),
          "cardiff's lookups go over only when cardiff has no room"),
    Fault("all regions at once", ((Dispatcher, "_search", _starting_at_last_tier),),
          "cardiff's searches stay in cardiff while it has room"),
    Fault(
        "cold budget off", ((Dispatcher, "_has_cold_turn", _return_true),),
        "a cold worker is not pushed over"),
    Fault("starts forgotten", ((Dispatcher, "_warmth", _return_full_warmth),),
          "a cold worker is not pushed over"),
    Fault("silence overlooked", ((Dispatcher, "_on_overdue", _do_nothing),),
          "a lookup that hears nothing is sent elsewhere"),
    _without_retry("no repeat when turned away", "a search that was turned away is tried again",
                   api.Status.FULL),
    _without_retry("no repeat when refused", "a commit-record that could not be handed over is tried again",
                   api.Status.CONNECT_FAILED),
    _without_retry("no repeat after an error", "a search that was turned away is tried again",
                   api.Status.ERROR),
    Fault("unsafe jobs repeated", ((Dispatcher, "_on_ended", _treating_unsafe_as_safe),),
          "a payment that may have run is never run again"),
    Fault("answers held back for 40 ms", ((Core, "_answer", _delaying_answer),),
          "a result is passed on at once"),
    Fault("deadlines lost", ((Dispatcher, "_end_request", _do_nothing), (Core, "_expire", _without_expiry)),
          "every search is answered by its deadline"),
    Fault("nobody waits here", ((Dispatcher, "_enqueue", _refusing_at_once),),
          None, "who would have waited is denied at once, which no expectation of the document forbids"),
    Fault("slots that come free pull nobody", ((Dispatcher, "_send_queued", _do_nothing),),
          None, "who waits is looked at again soon after: later, but in time"),
)


def _find_removed_too(table: ServerTable, name: str) -> Any:
    """Returns a server even after its row was removed from the table."""
    kept = table.__dict__.setdefault("kept", {})
    for rows in table._sources.values():
        kept.update({uid: row[1] for uid, row in rows.items()})
    return kept.get(name)


def _dispatch_without_maintenance(self: Core, session: Any, order: api.Send) -> None:
    out, self.table.out = self.table.out, {}
    try:
        _dispatch(self, session, order)
    finally:
        self.table.out = out


FAULTS = tuple(replace(fault, patches=tuple(
    (owner, name, _dispatch_without_maintenance if value is None else value)
    for owner, name, value in fault.patches))
    for fault in FAULTS)


def failing_expectations(fault: Fault, only: str | None = None) -> list[str]:
    """Returns the expectations that no longer hold with the fault; checks only `only` if it is given."""
    with tempfile.TemporaryDirectory() as folder:
        read, check = document(Path(folder))
    with fault.inject():
        reports = Check(check.plan, read.expectations).run(explain=False, only=[only] if only else ())
    return [report.name for report in reports if report.verdict != "holds"]


def _measure(number: int) -> tuple[str, list[str]]:
    return FAULTS[number].name, failing_expectations(FAULTS[number])


def main() -> int:
    """Prints the table. Returns 0 if at least 23 faults are detected."""
    none = Fault("none", (), None)
    if failing := failing_expectations(none):
        print(f"without a fault these do not hold: {failing}", file=sys.stderr)
        return 1
    with ProcessPoolExecutor() as pool:
        rows = list(pool.map(_measure, range(len(FAULTS))))
    found = sum(bool(names) for _, names in rows)
    print(f"{found} of {len(rows)} faults are caught.\n\n| fault | caught by | others |\n| --- | --- | --- |")
    for (name, names), fault in zip(rows, FAULTS, strict=True):
        first = (fault.detected_by if fault.detected_by in names
                 else names[0] if names else f"nobody: {fault.why}")
        print(f"| {name} | {first} | {max(0, len(names) - 1)} |")
    return 0 if found >= 23 else 1


if __name__ == "__main__":
    sys.exit(main())

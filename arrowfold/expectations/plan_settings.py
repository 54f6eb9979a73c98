"""Lists the settings of a plan, each with a function that removes it from a plan."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from arrowfold import interface as api
from arrowfold.expectations.worlds import SystemUnderTest
from arrowfold.routes.rules import Routes, Rule


@dataclass(frozen=True, slots=True)
class Setting:
    """One setting: its path in the document, and a function that returns a plan without it."""

    path: str
    without: Callable[[SystemUnderTest], SystemUnderTest]


def list_settings(plan: SystemUnderTest) -> list[Setting]:
    """Returns all settings that may contribute to a verdict."""
    found = [Setting(action_path(rule), _without_rule(rule.name)) for rule in plan.routes.rules]
    if plan.quotas is not None:
        found += [Setting(f'quotas > organisation "{name}"', _without_organisation(name))
                  for name in plan.quotas.root.children]
        if plan.quotas.root.default is not None:
            found.append(Setting("quotas > default", _without_quota_default))
        if plan.quotas.nobody is not None:
            found.append(Setting("quotas > nobody", _without_nobody))
    for number, cls in enumerate(plan.settings.classes):
        if cls.kind is not None:
            found.append(Setting(f"settings > domain > classKind[{number}]", _without_kind(cls.name)))
        if cls.idempotency is not api.Idempotency.SAFE:
            found.append(Setting(f"settings > classes[{number}] > idempotency", _as_safe(cls.name)))
    cap = plan.settings.attempt_cap
    if cap != 4:
        found.append(Setting("settings > permissions > sendCap", _with(attempt_cap=4)))
    if plan.settings.second_copies:
        found.append(Setting("settings > permissions > secondCopies", _with(second_copies=False)))
    if cap > 1:  # last: with a single attempt nothing is retried, which would hide the other settings
        found.append(Setting("settings > permissions > sendCap", _with(attempt_cap=1)))
    return found


def _action_name(rule: Rule) -> str:
    action = rule.action
    return "deny" if action.deny else "only" if action.only else "kinds" if action.kinds else "prefer"


def action_path(rule: Rule) -> str:
    """Returns the path of a rule's action in the document."""
    return f'routes > rule "{rule.name}" > {_action_name(rule)}'


def _without_rule(name: str) -> Callable[[SystemUnderTest], SystemUnderTest]:
    def without(plan: SystemUnderTest) -> SystemUnderTest:
        rules = tuple(rule for rule in plan.routes.rules if rule.name != name)
        return replace(plan, routes=Routes(plan.routes.regions, rules))

    return without


def _without_organisation(name: str) -> Callable[[SystemUnderTest], SystemUnderTest]:
    def without(plan: SystemUnderTest) -> SystemUnderTest:
        assert plan.quotas is not None
        root = plan.quotas.root
        rest = {other: level for other, level in root.children.items() if other != name}
        return replace(plan, quotas=replace(plan.quotas, root=replace(root, children=rest)))

    return without


def _without_quota_default(plan: SystemUnderTest) -> SystemUnderTest:
    assert plan.quotas is not None
    return replace(plan, quotas=replace(plan.quotas, root=replace(plan.quotas.root, default=None)))


def _without_nobody(plan: SystemUnderTest) -> SystemUnderTest:
    assert plan.quotas is not None
    return replace(plan, quotas=replace(plan.quotas, nobody=None))


def _with(**changes: Any) -> Callable[[SystemUnderTest], SystemUnderTest]:
    return lambda plan: replace(plan, settings=replace(plan.settings, **changes))


def _with_class(name: str, **changes: Any) -> Callable[[SystemUnderTest], SystemUnderTest]:
    def changed(plan: SystemUnderTest) -> SystemUnderTest:
        classes = tuple(replace(c, **changes) if c.name == name else c for c in plan.settings.classes)
        return replace(plan, settings=replace(plan.settings, classes=classes))

    return changed


def _without_kind(name: str) -> Callable[[SystemUnderTest], SystemUnderTest]:
    return _with_class(name, kind=None)


def _as_safe(name: str) -> Callable[[SystemUnderTest], SystemUnderTest]:
    return _with_class(name, idempotency=api.Idempotency.SAFE)

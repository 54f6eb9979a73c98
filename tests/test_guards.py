"""The list of guards follows the code, and a trial tells what fails."""

from __future__ import annotations

import pytest

from benchmarks.guards.catalogue import GUARDS, Area, Guard
from benchmarks.guards.trial import ROOT, TESTS, GuardFault, without_guard


@pytest.mark.parametrize("guard", GUARDS, ids=[guard.name for guard in GUARDS])
def test_each_guard_is_in_its_file_once_and_goes_without_a_fault_of_syntax(guard: Guard) -> None:
    source = (ROOT / "arrowfold" / guard.file).read_text(encoding="utf-8")
    changed = without_guard(guard, source)
    assert changed != source
    compile(changed, guard.file, "exec")


def test_names_of_guards_are_unique() -> None:
    assert len({guard.name for guard in GUARDS}) == len(GUARDS)


def test_a_guard_that_is_not_there_is_a_fault() -> None:
    guard = Guard("none", Area.REGISTRY, "registry/workers.py", "no such text", "")
    with pytest.raises(GuardFault, match="0 times"):
        without_guard(guard, "some text")


@pytest.mark.parametrize("area", list(Area))
def test_the_tests_of_each_area_are_there(area: Area) -> None:
    assert all((ROOT / name).is_file() for name in TESTS[area])

"""The deploy file lists exactly the packages that a bare machine needs; the build needs no compiler."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
# Debian packages, with the command of each that the build or a program calls.
COMMANDS = {"python3": "python3", "python3-pip": "pip", "diffutils": "cmp"}
ALWAYS_INSTALLED = {"rm", "cp"}  # coreutils, essential on the distribution
SHELL_WORDS = {"[", "{", "}", "&&", "||", ";", "-e", "]"}


def _deploy() -> dict[str, object]:
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


def _commands(line: str) -> set[str]:
    """Returns the first word of each step of a shell line, and `pip` if Python runs it as a module."""
    steps = re.split(r"&&|\|\||;|\{|\}", line)
    found = set()
    for step in steps:
        words = [word for word in step.split() if word not in SHELL_WORDS]
        if words and not step.strip().startswith("["):
            found.add(words[0])
        if words[:2] == ["python3", "-m"] and words[2] == "pip":
            found.add("pip")
    return found


def test_each_package_is_one_that_the_build_or_a_program_uses_and_none_is_missing() -> None:
    deploy = _deploy()
    roles = deploy["roles"]
    assert isinstance(roles, dict)
    lines = [str(deploy["build"]), *(str(role["run"]) for role in roles.values())]
    used = set().union(*(_commands(line) for line in lines)) - ALWAYS_INSTALLED
    named = deploy["packages"]
    assert isinstance(named, list)
    assert {COMMANDS[package] for package in named} == used


def test_pip_takes_wheels_only() -> None:
    assert "--only-binary :all:" in str(_deploy()["build"])


@pytest.mark.parametrize("file", ["requirements-system.txt"])
def test_what_the_build_installs_is_pinned(file: str) -> None:
    for line in (ROOT / file).read_text().split():
        assert re.fullmatch(r"[A-Za-z0-9_.-]+==[0-9][^ ]*", line), line

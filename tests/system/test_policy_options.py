"""The policy file: reading, validation and defaults."""

from __future__ import annotations

import dataclasses
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from arrowfold.programs import system
from arrowfold.programs.policy_options import (
    DIVISORS,
    PolicyOptions,
    load_policy_options,
    read_policy_options,
)

SETTINGS = """
nodeName = "n"
ipAddress = "127.0.0.1"
internalPorts = [7660, 7675]
zone = "z"
"""


def option_defaults(options: Any, path: tuple[str, ...] = ()) -> Iterator[tuple[tuple[str, ...], Any]]:
    """Yields every option as a pair of its path and default."""
    for item in dataclasses.fields(options):
        value = getattr(options, item.name)
        if dataclasses.is_dataclass(value):
            yield from option_defaults(value, (*path, item.name))
        else:
            yield (*path, item.name), value


def nested(path: tuple[str, ...], value: Any) -> dict[str, Any]:
    """Returns a document that sets one option."""
    for name in reversed(path):
        value = {name: value}
    return value


ALL_OPTIONS = list(option_defaults(PolicyOptions()))


def test_without_a_file_or_with_an_empty_one_all_options_have_their_defaults(tmp_path: Path) -> None:
    empty = tmp_path / "policy.toml"
    empty.write_text("", encoding="utf-8")
    assert load_policy_options(None).unwrap() == load_policy_options(str(empty)).unwrap() == PolicyOptions()


def test_options_in_a_file_are_set_and_the_others_keep_their_defaults(tmp_path: Path) -> None:
    path = tmp_path / "policy.toml"
    path.write_text("[selection]\nhomes = 0\n[placement.rooms]\nkept_ahead_s = 1.5\n", encoding="utf-8")
    options = load_policy_options(str(path)).unwrap()
    assert options.selection.homes == 0
    assert options.placement.rooms.kept_ahead_s == 1.5
    assert options.placement.rooms.least_rooms == PolicyOptions().placement.rooms.least_rooms


@pytest.mark.parametrize(
    ("document", "message"),
    [
        ({"selection": {"home": 1}}, "selection.home: there is no such option"),
        ({"placements": {}}, "placements: there is no such option"),
        ({"placement": {"rooms": {"least_rooms": "two"}}}, "placement.rooms.least_rooms"),
        ({"placement": {"rooms": 3}}, "placement.rooms"),
        ({"selection": {"load_weight": -1.0}}, "selection.load_weight: -1.0"),
        ({"selection": {"load_weight": float("inf")}}, "selection.load_weight: inf"),
        ({"selection": {"home_kept": [0.5, -1.0]}}, "selection.home_kept: -1.0"),
        ({"placement": {"planner": {"payback_s": 0}}}, "placement.planner.payback_s: must be more than 0"),
    ],
)
def test_an_invalid_document_is_refused_with_the_name_of_the_option(document: Any, message: str) -> None:
    assert message in read_policy_options(document).unwrap_err()


@given(st.sampled_from(ALL_OPTIONS))
def test_every_option_accepts_its_default_and_refuses_a_string(
    option: tuple[tuple[str, ...], Any],
) -> None:
    path, default = option
    assert read_policy_options(nested(path, default)).unwrap() == PolicyOptions()
    error = read_policy_options(nested(path, "a text")).unwrap_err()
    assert path[-1] in error


@given(st.sampled_from([path for path, default in ALL_OPTIONS if not isinstance(default, bool | tuple)]))
def test_negative_values_and_zero_divisors_are_refused(path: tuple[str, ...]) -> None:
    assert read_policy_options(nested(path, -1)).is_err()
    assert read_policy_options(nested(path, 0)).is_err() == (path[-1] in DIVISORS)


@pytest.mark.parametrize("text", ["[selection\n", "[selection]\nhome = 1\n"])
@pytest.mark.parametrize("program", ["edge", "control"])
def test_a_program_with_an_invalid_policy_exits_with_one_line(
    program: str, text: str, tmp_path: Path
) -> None:
    settings = tmp_path / "boot.toml"
    settings.write_text(
        'nodeName = "n"\nipAddress = "127.0.0.1"\ninternalPorts = [7660, 7675]\nzone = "z"\n',
        encoding="utf-8",
    )
    policy = tmp_path / "policy.toml"
    policy.write_text(text, encoding="utf-8")
    command = [sys.executable, "-m", f"arrowfold.programs.{program}"]
    command += [f"--settings={settings}", f"--policy={policy}"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 2
    assert "error 603" in done.stderr and done.stderr.count("\n") == 1


def test_the_command_checks_a_file(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "policy.toml"
    path.write_text("[selection]\nhomes = 1\n", encoding="utf-8")
    assert system.main(["check-policy", str(path)]) == 0
    path.write_text("[selection]\nhome = 1\n", encoding="utf-8")
    assert system.main(["check-policy", str(path)]) == 2
    assert "selection.home" in capsys.readouterr().err

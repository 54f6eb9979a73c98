"""`arrowfold system` checks files without starting a process, and reports an error in one line."""

from __future__ import annotations

from pathlib import Path

import pytest

from arrowfold.__main__ import main as arrowfold

from .configurations import configuration, route, text_of

SETTINGS = """
nodeName = "core-1"
zone = "z"
serves = ["control_plane"]
ipAddress = "10.1.0.38"
internalPorts = [7660, 7675]
seedNodes = ["10.1.0.38:8146"]
dataDirectory = "/data"
aKeyOfALaterPlatform = 1
[faultTolerance]
machineLosses = 1
"""


def write_file(folder: Path, text: str | bytes) -> str:
    path = folder / "file"
    path.write_bytes(text.encode() if isinstance(text, str) else text)
    return str(path)


def test_a_valid_settings_file_is_summarized(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert arrowfold(["system", "check-settings", write_file(tmp_path, SETTINGS)]) == 0
    output = capsys.readouterr().out
    for words in ("node core-1 in zone z", "10.1.0.38:7660", "disk: /data", "losses borne: 1"):
        assert words in output


@pytest.mark.parametrize(
    ("text", "words"),
    [
        (SETTINGS.replace("machineLosses = 1", "machineLosses = -1"), "faultTolerance.machineLosses"),
        (SETTINGS.replace('ipAddress = "10.1.0.38"', ""), "ipAddress"),
        ("nodeName = ", "not TOML"),
    ],
)
def test_an_invalid_settings_file_is_reported_in_one_line_with_the_path_of_the_key(
    text: str, words: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert arrowfold(["system", "check-settings", write_file(tmp_path, text)]) == 2
    error = capsys.readouterr().err
    assert "error 601 SETTINGS_INVALID" in error and words in error
    assert error.count("\n") == 1


def test_a_valid_configuration_is_summarized(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    split = [{"targetService": "t", "weight": 1}, {"targetService": "s", "weight": 1}]
    value = configuration(7, routes=[route("a"), route("b", trafficSplit=split)])
    assert arrowfold(["system", "check-configuration", write_file(tmp_path, text_of(value))]) == 0
    output = capsys.readouterr().out
    for words in ("version 7, 2 routes, 2 services", "service s: 2 routes", "service t: 1 routes"):
        assert words in output


@pytest.mark.parametrize(
    ("body", "words"),
    [
        (text_of(configuration(routes=[route(timeoutMs=0)])), "102 CONFIGURATION_INVALID"),
        (text_of(configuration(routes=[route(timeoutMs=0)])), "routes[0].timeoutMs"),
        (b"{", "101 CONFIGURATION_UNREADABLE"),
    ],
)
def test_an_invalid_configuration_is_reported_in_one_line_with_the_path(
    body: bytes, words: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert arrowfold(["system", "check-configuration", write_file(tmp_path, body)]) == 2
    error = capsys.readouterr().err
    assert words in error and error.count("\n") == 1


@pytest.mark.parametrize("command", ["check-settings", "check-configuration"])
def test_a_missing_file_is_reported_in_one_line(
    command: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert arrowfold(["system", command, str(tmp_path / "none")]) == 2
    assert capsys.readouterr().err.count("\n") == 1


@pytest.mark.parametrize(
    "arguments", [[], ["fly"], ["check-settings"], ["try", "--edges=0"], ["try", "--requests=many"]]
)
def test_an_invalid_command_line_is_reported_in_one_line(
    arguments: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert arrowfold(["system", *arguments]) == 2
    error = capsys.readouterr().err
    assert "602 USAGE" in error and error.count("\n") == 1


def test_help_names_every_command(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        arrowfold(["system", "--help"])
    assert not ended.value.code
    output = capsys.readouterr().out
    for words in ("try", "check-settings FILE", "check-configuration FILE", "--edges"):
        assert words in output

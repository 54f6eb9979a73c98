"""The settings file of a process: the types of all keys are checked, and errors name the key's path."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest

from arrowfold.node.settings import NodeSettings, parse_settings

SETTINGS = """
nodeName = "edge-1"
ipAddress = "10.1.0.5"
internalPorts = [7660, 7675]
seedNodes = ["10.1.0.38:8146", "10.2.0.30:8146"]
zones = { north = "wales" }
anUnknownKey = { of = ["a", "newer", "platform"] }
[listenAddresses]
front = "10.1.0.5:8144"
[faultTolerance]
machineLosses = 2
[bounds]
contactMs = 4000
graceS = 7.5
fencingChecked = false
"""


def parse(text: str) -> NodeSettings:
    return parse_settings(text, "boot.toml").unwrap()


def test_a_file_is_read_and_absent_keys_have_defaults() -> None:
    settings = parse(SETTINGS)
    assert settings.internal_address == "10.1.0.5:7660"
    assert settings.seed_internal_addresses() == ("10.1.0.38:7660", "10.2.0.30:7660")
    assert settings.zones == {"north": "wales"}
    assert (settings.listenAddresses.front, settings.listenAddresses.control) == ("10.1.0.5:8144", None)
    assert settings.faultTolerance.machineLosses == 2
    assert (settings.bounds.contactMs, settings.bounds.graceS) == (4000.0, 7.5)
    assert not settings.bounds.fencingChecked
    assert (settings.bounds.drainMs, settings.firstStart, settings.dataDirectory) == (2000.0, False, None)


@pytest.mark.parametrize(
    ("before", "after", "path"),
    [
        ('nodeName = "edge-1"', "", "nodeName"),
        ('nodeName = "edge-1"', "nodeName = 7", "nodeName"),
        ("[7660, 7675]", "[7660]", "internalPorts"),
        ("[7660, 7675]", '[7660, "7675"]', "internalPorts.1"),
        ("[7660, 7675]", "[7660, 7675.5]", "internalPorts.1"),
        ("[7660, 7675]", "7660", "internalPorts"),
        ('{ north = "wales" }', "{ north = 1 }", "zones.north"),
        ('{ north = "wales" }', '"wales"', "zones"),
        ('front = "10.1.0.5:8144"', "front = true", "listenAddresses.front"),
        ("machineLosses = 2", "machineLosses = true", "faultTolerance.machineLosses"),
        ("machineLosses = 2", "machineLosses = -1", "faultTolerance.machineLosses"),
        ("contactMs = 4000", 'contactMs = "long"', "bounds.contactMs"),
        ("contactMs = 4000", "contactMs = true", "bounds.contactMs"),
        ("fencingChecked = false", "fencingChecked = 0", "bounds.fencingChecked"),
        ("[bounds]", "[[bounds]]", "bounds"),
    ],
)
def test_an_error_is_one_line_with_the_path_of_the_key(before: str, after: str, path: str) -> None:
    assert before in SETTINGS
    error = parse_settings(SETTINGS.replace(before, after), "boot.toml").unwrap_err()
    assert str(error).startswith(f"boot.toml: {path}: ")
    assert "\n" not in str(error)


def test_an_edge_loads_no_validation_library_and_reads_no_certificates() -> None:
    script = (
        "import gc, os, sys\n"
        "from arrowfold.node.library_loading import CERTIFICATES_VARIABLE, loading_libraries\n"
        "with loading_libraries():\n"
        "    import arrowfold.programs.edge_assembly\n"
        "print('pydantic' in sys.modules, os.environ[CERTIFICATES_VARIABLE])\n"
        "print(gc.isenabled(), gc.get_freeze_count() > 0)"
    )
    done = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True, env={})
    assert done.stdout.split() == ["False", os.devnull, "True", "True"]

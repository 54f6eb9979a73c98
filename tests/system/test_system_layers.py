"""The system's packages import only the packages below them, and only the planes do network I/O."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[2] / "arrowfold"
ALLOWED_IMPORTS = {
    "node": {"node"},
    "internal": {"internal", "node"},
    "configuration": {"configuration", "node"},
    "storage": {"storage"},
    "replication": {"replication", "storage", "configuration", "internal", "node"},
    "registry": {"registry", "internal"},
    "placement": {"placement", "internal"},
    "scaling": {"scaling", "placement", "registry", "internal"},
    "market": {"market"},
    "selection": {"selection", "market", "internal", "node"},
    "controlplane": {
        "controlplane",
        "configuration",
        "internal",
        "node",
        "placement",
        "registry",
        "replication",
        "scaling",
        "storage",
    },
    "dataplane": {"dataplane", "configuration", "internal", "node", "selection"},
}
WITHOUT_INPUT_OR_OUTPUT = ("configuration", "registry", "placement", "scaling", "market", "selection")
INPUT_OUTPUT_MODULES = {
    "aiohttp",
    "asyncio",
    "http",
    "io",
    "os",
    "pathlib",
    "sanic",
    "select",
    "selectors",
    "socket",
    "subprocess",
    "sys",
    "threading",
    "time",
}
NETWORK_MODULES = {"aiohttp", "http", "sanic", "socket", "urllib"}
WITHOUT_NETWORK = ("storage", "replication")  # they reach other nodes only through an interface


def modules_of(package: str) -> list[Path]:
    return sorted((PACKAGE / package).rglob("*.py"))


def imports_of(path: Path) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
        elif isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
    return names


def libraries_of(package: str) -> set[str]:
    return {name.split(".")[0] for path in modules_of(package) for name in imports_of(path)}


@pytest.mark.parametrize("package", ALLOWED_IMPORTS)
def test_a_package_imports_only_packages_below_it(package: str) -> None:
    assert len(modules_of(package)) > 1
    for path in modules_of(package):
        used = {name.split(".")[1] for name in imports_of(path) if name.startswith("arrowfold.")}
        assert used <= ALLOWED_IMPORTS[package], path


@pytest.mark.parametrize("package", WITHOUT_INPUT_OR_OUTPUT)
def test_a_package_of_decision_logic_does_no_input_or_output(package: str) -> None:
    assert not libraries_of(package) & INPUT_OUTPUT_MODULES


@pytest.mark.parametrize("package", WITHOUT_NETWORK)
def test_the_control_state_reaches_other_nodes_only_through_an_interface(package: str) -> None:
    assert not libraries_of(package) & NETWORK_MODULES

"""Dependencies between layers: each layer imports only from the layers below it."""

from __future__ import annotations

import ast
import subprocess
import sys
import unittest
from pathlib import Path

PACKAGE = Path(__file__).parent.parent / "arrowfold"
MODULE = {"choice", "interface", "market", "ring", "state"}
MAY_USE = {
    "market": {"market"},
    "selection": {"selection", "market", "internal", "node"},
    "transport": {"transport"},
    "membership": {"membership", "interface"},
    "routes": {"routes", "interface", "networks"},
    "quotas": {"quotas", "networks"},
    "repeats": {"repeats", "interface"},
    "routing": {"routing", "membership", "routes", "quotas", "repeats", *MODULE},
    "expectations": {"expectations", "routing", "routes", "quotas", "interface", "networks"},
    "protocol": {"protocol", "routing", "transport", "interface"},
    "standins": {"standins"},
    "program": {"program", "protocol", "expectations", "routing", "routes", "quotas", "repeats", "transport",
                "networks", "standins", "simhost", *MODULE},
}
NO_IO = ("market", "selection", "membership", "routes", "quotas", "repeats", "expectations")
IO = {"socket", "os", "io", "pathlib", "select", "time", "subprocess", "threading", "asyncio", "logging",
      "sys"}
NODE_NEEDS = {"h11"}  # the only installed package that a node without optional features may load
PROTOCOL_WORDS = ("socket", "http", "h11", "faktory", "epoll", "select")


def imported_names(path: Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module:
            names |= {f"{node.module}.{alias.name}" for alias in node.names} if node.module == "arrowfold" \
                else {node.module}
        elif isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
    return names


class Layers(unittest.TestCase):
    def test_each_layer_uses_only_what_lies_below(self) -> None:
        for layer, allowed in MAY_USE.items():
            files = list((PACKAGE / layer).glob("*.py"))
            self.assertGreater(len(files), 1)
            for path in files:
                for name in imported_names(path):
                    if name.startswith("arrowfold"):
                        self.assertIn(name.split(".")[1], allowed, f"{path}: {name}")

    def test_layers_without_input_or_output_do_none(self) -> None:
        for layer in NO_IO:
            for path in (PACKAGE / layer).glob("*.py"):
                self.assertFalse({n.split(".")[0] for n in imported_names(path)} & IO, path)
                self.assertNotIn("open(", path.read_text(encoding="utf-8"), path)

    def test_a_node_loads_only_the_packages_it_needs(self) -> None:
        code = ("import sys; from arrowfold.program import config, node; "
                "print(*sorted({m.split('.')[0] for m in sys.modules}))")
        loaded = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout.split()
        ours = {"arrowfold", *NODE_NEEDS, *sys.stdlib_module_names}
        extra = {name for name in loaded if name not in ours and not name.startswith(("_", "sitecustomize"))}
        self.assertLessEqual(extra, {"__editable___arrowfold_0_1_0_finder"})

    def test_the_core_is_independent_of_protocols(self) -> None:
        for path in (PACKAGE / "routing").glob("*.py"):
            text = path.read_text(encoding="utf-8").lower()
            for word in PROTOCOL_WORDS:
                self.assertNotIn(word, text, path)
            self.assertFalse({n for n in imported_names(path) if n.split(".")[0] in ("asyncio", "threading")})

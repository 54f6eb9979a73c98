"""Imports point down only: each layer uses what lies below it and nothing else of the package."""

from __future__ import annotations

import ast
import unittest
from pathlib import Path

PACKAGE = Path(__file__).parent.parent / "arrowfold"
MODULE = {"choice", "interface", "state"}
MAY_USE = {
    "transport": {"transport"},
    "routing": {"routing", *MODULE},
    "protocol": {"protocol", "routing", "transport", "interface"},
    "program": {"program", "protocol", "routing", "transport", "simhost", *MODULE},
}
WIRE_WORDS = ("socket", "http", "h11", "faktory", "epoll", "select")


def imported(path: Path) -> set[str]:
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
                for name in imported(path):
                    if name.startswith("arrowfold"):
                        self.assertIn(name.split(".")[1], allowed, f"{path}: {name}")

    def test_the_core_knows_no_wire(self) -> None:
        for path in (PACKAGE / "routing").glob("*.py"):
            text = path.read_text(encoding="utf-8").lower()
            for word in WIRE_WORDS:
                self.assertNotIn(word, text, path)
            self.assertFalse({n for n in imported(path) if n.split(".")[0] in ("asyncio", "threading")})

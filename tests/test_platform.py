"""The platform's requirements on the deploy file, and a node on a kernel with restricted system calls."""

from __future__ import annotations

import importlib.util
import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

from arrowfold.standins.process import ROOT
from tests.edge import EdgeCase

DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))

# Starts a node as on a kernel without Unix sockets that refuses to start processes.
RESTRICTED_START = """
import errno, os, socket, sys
real = socket.socket
class Refusing(real):
    def __init__(self, family=-1, *rest, **more):
        if family == socket.AF_UNIX:
            raise OSError(errno.EAFNOSUPPORT, "no such sockets here")
        super().__init__(family, *rest, **more)
socket.socket = Refusing
def refuse(*_, **__):
    raise OSError(errno.ENOSYS, "refused")
os.fork = os.posix_spawn = refuse
from arrowfold.__main__ import main
sys.exit(main([]))
"""


class Deploy(EdgeCase):
    def test_the_deploy_file_names_all_that_a_node_loads(self) -> None:
        """Includes the modules that are imported only with a deployment's document."""
        code = ("import sys\n"
                "from arrowfold.program import config, edge, node, start, trace\n"
                "from arrowfold.quotas import gate\n"
                "from arrowfold.routes import table\n"
                "print(*{m.__file__ for n, m in sys.modules.items() if n.startswith('arrowfold.')})")
        loaded = subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True).stdout.split()
        named = [ROOT / path for path in DEPLOY["node"] + DEPLOY["policy"]]
        self.assertGreater(len(loaded), 25)
        for path in map(Path, loaded):
            self.assertTrue(any(path == name or name in path.parents for name in named), path)

    def test_build_compiles_all_that_a_node_loads_and_a_changed_source_is_used(self) -> None:
        """Guards against compiling at start, which made a fleet's starts on few cores 1.5 times as long."""
        step = DEPLOY["build"].split("&&")[-1].strip().replace(".venv/bin/python", sys.executable)
        shutil.copytree(ROOT / "arrowfold", self.folder / "arrowfold",
                        ignore=shutil.ignore_patterns("__pycache__"))
        subprocess.run(["/bin/sh", "-c", step], cwd=self.folder, check=True)
        sources = list((self.folder / "arrowfold").rglob("*.py"))
        self.assertGreater(len(sources), 40)
        for source in sources:
            compiled = Path(importlib.util.cache_from_source(str(source))).read_bytes()
            self.assertEqual(int.from_bytes(compiled[4:8], "little"), 0b11, source)  # checked hash
        environ = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1"}
        state = self.folder / "arrowfold" / "state.py"
        state.write_text(state.read_text() + "\nLATER = 7\n")
        output = subprocess.run(
            [sys.executable, "-c", "from arrowfold import state; print(state.LATER)"],
            cwd=self.folder, env=environ, capture_output=True, text=True, check=True).stdout
        self.assertEqual(output, "7\n")

    def test_run_replaces_the_shell_by_the_node(self) -> None:
        self.assertTrue(DEPLOY["run"].split(";")[-1].strip().startswith("exec "), DEPLOY["run"])
        for key in ("build", "run", "sim", "policy", "node"):
            self.assertTrue(DEPLOY[key], key)

    def test_a_node_serves_without_unix_sockets_and_other_processes(self) -> None:
        (self.folder / "refuse.py").write_text(RESTRICTED_START)
        worker = self.worker("s1")
        node = self.node(worker, shell=f"PYTHONPATH={ROOT} exec {sys.executable} {self.folder / 'refuse.py'}")
        self.assertEqual(node.post("t")[:2], (200, b"s1:t"))
        self.assertEqual(node.terminate(), 0)
        output = node.close()
        self.assertEqual(output.count("succession_no_place"), 1, output)

"""Clones of the compared texts: a revision or the working tree, with an optional policy file."""

from __future__ import annotations

import shutil
import subprocess
from dataclasses import dataclass
from pathlib import Path

WORKING_TREE = "WORK"
POLICY_FILE = "deploy/round-policy.toml"
CLONES_FOLDER = "texts"
_PROGRAMS = ("arrowfold.programs.edge", "arrowfold.programs.control")
_IGNORED = shutil.ignore_patterns(".git", ".venv", "journal", "target", "__pycache__", ".*_cache")


@dataclass(frozen=True, slots=True)
class TextSource:
    """A named text: a revision of the repository or its working tree, with an optional policy file."""

    name: str
    revision: str
    policy: Path | None


def parse_text(argument: str) -> TextSource:
    """Parses NAME=REVISION or NAME=REVISION+POLICY; raises ValueError for anything else."""
    name, separator, source = argument.partition("=")
    revision, _, policy = source.partition("+")
    if not (separator and name and revision) or "/" in name or "." in name:
        raise ValueError(f"{argument}: a text is NAME=REVISION or NAME=REVISION+POLICY")
    if policy and not Path(policy).is_file():
        raise ValueError(f"{argument}: there is no file {policy}")
    return TextSource(name, revision, Path(policy) if policy else None)


def prepare_clone(source: TextSource, repository: Path, folder: Path) -> Path:
    """Returns the clone of a text below `folder`, created if needed, with its policy in the deploy file."""
    clone = folder / CLONES_FOLDER / source.name
    if clone.exists():
        return clone
    partial = clone.with_name(f"{source.name}.part")
    shutil.rmtree(partial, ignore_errors=True)
    partial.parent.mkdir(parents=True, exist_ok=True)
    _git("clone", "--quiet", str(repository), str(partial))
    if source.revision == WORKING_TREE:
        _copy_working_tree(repository, partial)
    else:
        _git("-C", str(partial), "checkout", "--quiet", source.revision)
    if source.policy is not None:
        shutil.copy(source.policy, partial / POLICY_FILE)
        _pass_policy(partial / "deploy" / "system.toml")
    partial.rename(clone)
    return clone


def _copy_working_tree(repository: Path, clone: Path) -> None:
    for name in ("arrowfold", "deploy"):
        shutil.rmtree(clone / name)
        shutil.copytree(repository / name, clone / name, ignore=_IGNORED)


def _pass_policy(deploy_file: Path) -> None:
    text = deploy_file.read_text(encoding="utf-8")
    for program in _PROGRAMS:
        text = text.replace(f'-m {program}"', f'-m {program} --policy={POLICY_FILE}"')
    deploy_file.write_text(text, encoding="utf-8")


def _git(*words: str) -> None:
    subprocess.run(["git", *words], check=True)

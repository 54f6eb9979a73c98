"""The decision module's size, which its readers set, and the README's example."""

import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent


def test_the_module_stays_within_its_readers_limits() -> None:
    """All that decides in service: the module itself and what of the market both programs share."""
    policy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["policy"]
    assert {"arrowfold/choice.py", "arrowfold/market/trading.py"} <= set(policy)
    lines = [line for path in policy for line in (ROOT / path).read_text(encoding="utf-8").splitlines()]
    assert sum(bool(line.strip()) for line in lines) <= 740
    assert max(map(len, lines)) <= 110


def test_the_readme_example_sends_the_job(capsys: pytest.CaptureFixture[str]) -> None:
    (example,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(encoding="utf-8"), re.S)
    exec(compile(example, "README.md", "exec"), {})
    assert capsys.readouterr().out.strip() in ("['10.0.0.1:80']", "['10.0.0.2:80']")

"""Statistics and handling of paired plays, on stored and generated reports; the bench is not run."""

from __future__ import annotations

import json
import subprocess
from pathlib import Path

import numpy as np
import pytest

from benchmarks.rounds.__main__ import main
from benchmarks.rounds.comparison import comparison_lines, load_pairs, summary_sentence
from benchmarks.rounds.playing import BenchRunner, PlayOptions, collect_journal
from benchmarks.rounds.plays import Play, Scenario, interleaved, paired_scenarios, pending_plays
from benchmarks.rounds.reports import compared_figures, parse_report, read_report
from benchmarks.rounds.statistics import PairedDifference, Verdict, paired_difference
from benchmarks.rounds.texts import POLICY_FILE, parse_text, prepare_clone

STORED_REPORT = Path(__file__).parent / "data" / "day_report.json"


def make_report(worth: float, price: float = 0.0, broken: int = 0) -> dict[str, object]:
    return {
        "G": worth,
        "parts": [["whole day", 0.35, worth + 0.1]],
        "classes": [{"name": "chat", "worth": 0.9}],
        "prices": [["orders", 5.0, price]],
        "breaks": {"ONE": broken},
        "fault": None,
    }


def write_reports(folder: Path, text: str, worths: dict[int, float]) -> None:
    for seed, worth in worths.items():
        path = folder / "plays" / text / f"site.scale-1.{seed}.json"
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(make_report(worth)), encoding="utf-8")


def test_a_stored_report_is_read_with_parts_classes_and_prices() -> None:
    result = read_report(STORED_REPORT)
    assert result.worth == pytest.approx(0.5624)
    assert result.figures["part: worst windows"] == pytest.approx(0.696)
    assert result.figures["class: priority-burst-review"] == pytest.approx(0.448)
    assert result.violated_rules == ()
    names = compared_figures([result])
    assert "price: worth put behind what is less urgent" in names
    assert "price: cloud calls" not in names


@pytest.mark.parametrize("document", [{}, {"G": 1}, {"G": 1, "parts": [1], "classes": [], "prices": []}])
def test_a_malformed_report_is_a_clear_error(document: object, tmp_path: Path) -> None:
    path = tmp_path / "x.json"
    path.write_text(json.dumps(document), encoding="utf-8")
    with pytest.raises(ValueError, match="not a report of a day"):
        read_report(path)


def test_broken_rules_and_faults_are_named() -> None:
    assert parse_report(make_report(0.5, broken=2)).violated_rules == ("ONE",)
    assert parse_report({**make_report(0.5), "fault": "too slow"}).violated_rules == ("too slow",)


def test_the_interval_of_equal_differences_is_their_value() -> None:
    result = paired_difference([0.1, 0.2, 0.3, 0.4], [0.2, 0.3, 0.4, 0.5])
    assert (result.pairs, result.mean, result.low, result.high) == pytest.approx((4, 0.1, 0.1, 0.1))


def test_the_interval_is_the_same_each_time_and_holds_the_mean() -> None:
    draw = np.random.default_rng(3)
    first = draw.normal(0.5, 0.1, 20)
    second = first + draw.normal(0.03, 0.02, 20)
    one, two = (paired_difference(list(first), list(second)) for _ in range(2))
    assert one == two
    assert one.low < one.mean < one.high
    assert one.verdict(larger_is_better=True) is Verdict.BETTER
    assert one.verdict(larger_is_better=False) is Verdict.WORSE


def test_few_pairs_or_an_interval_around_0_give_no_verdict() -> None:
    assert PairedDifference(3, 0.1, 0.05, 0.2).verdict(True) is Verdict.NOT_TOLD_APART
    assert PairedDifference(9, 0.1, -0.01, 0.2).verdict(True) is Verdict.NOT_TOLD_APART
    with pytest.raises(ValueError, match="no pairs"):
        paired_difference([0.1], [])


def test_the_summary_is_better_worse_or_not_told_apart() -> None:
    assert "new is better than old: +0.0500" in summary_sentence(
        "old", "new", PairedDifference(8, 0.05, 0.02, 0.08)
    )
    assert "new is worse than old" in summary_sentence("old", "new", PairedDifference(8, -0.05, -0.08, -0.02))
    assert "not told apart" in summary_sentence("old", "new", PairedDifference(8, 0.0, -0.08, 0.02))


def test_plays_are_interleaved_and_resumed_after_an_interruption(tmp_path: Path) -> None:
    plays = interleaved(["a", "b"], [Path("site.toml")], ["scale-1", "quiet-1"], [1, 2])
    assert [play.text for play in plays[:4]] == ["a", "b", "a", "b"]
    assert [play.scenario.seed for play in plays] == [1] * 4 + [2] * 4
    write_reports(tmp_path, "a", {1: 0.5})
    assert Play("a", Scenario("site", "scale-1", 1), Path("site.toml")) not in pending_plays(plays, tmp_path)
    assert len(pending_plays(plays, tmp_path)) == 7


def test_only_scenarios_that_both_texts_played_are_compared(tmp_path: Path) -> None:
    write_reports(tmp_path, "a", {1: 0.5, 2: 0.5, 3: 0.5, 4: 0.5, 5: 0.9})
    write_reports(tmp_path, "b", {1: 0.6, 2: 0.58, 3: 0.62, 4: 0.61})
    assert [scenario.seed for scenario in paired_scenarios(tmp_path, "a", "b")] == [1, 2, 3, 4]
    lines = list(comparison_lines(load_pairs(tmp_path, "a", "b"), "a", "b"))
    assert lines[0].startswith("b is better than a: +0.1025")
    assert any(line.startswith("site scale-1, 4 pairs") for line in lines)


def test_a_class_is_compared_only_on_sites_that_have_it(tmp_path: Path) -> None:
    # Given a site with the class chat and another without it
    for text, worth in (("a", 0.5), ("b", 0.6)):
        write_reports(tmp_path, text, {1: worth})
        other = {**make_report(worth), "classes": [{"name": "draft", "worth": worth}]}
        path = tmp_path / "plays" / text / "other.scale-1.1.json"
        path.write_text(json.dumps(other), encoding="utf-8")
    lines = list(comparison_lines(load_pairs(tmp_path, "a", "b"), "a", "b"))
    # Then the figures of each class cover only the pairs that have it
    (chat,) = (line for line in lines[:12] if "class: chat" in line)
    assert "0.9000     0.9000" in chat and chat.endswith("(1 pairs)")


def test_a_broken_rule_is_shown(tmp_path: Path) -> None:
    write_reports(tmp_path, "a", {1: 0.5})
    write_reports(tmp_path, "b", {1: 0.5})
    path = tmp_path / "plays" / "b" / "site.scale-1.1.json"
    path.write_text(json.dumps(make_report(0.5, broken=1)), encoding="utf-8")
    lines = list(comparison_lines(load_pairs(tmp_path, "a", "b"), "a", "b"))
    assert "BROKEN: b on site.scale-1.1: ONE" in lines


@pytest.mark.parametrize("argument", ["name", "=HEAD", "name=", "a/b=HEAD", "name=HEAD+/no/such/file"])
def test_a_malformed_text_argument_is_a_clear_error(argument: str) -> None:
    with pytest.raises(ValueError, match=r"REVISION|there is no file"):
        parse_text(argument)


def repository(folder: Path) -> Path:
    """A small repository with a deploy file and a program."""
    repo = folder / "repository"
    (repo / "deploy").mkdir(parents=True)
    (repo / "arrowfold").mkdir()
    (repo / "journal").mkdir()
    (repo / "deploy" / "system.toml").write_text(
        'run = "python3 -m arrowfold.programs.edge"\nrun = "python3 -m arrowfold.programs.control"\n',
        encoding="utf-8",
    )
    (repo / "arrowfold" / "text.py").write_text("old = 1\n", encoding="utf-8")
    (repo / "journal" / "kept.json").write_text("{}", encoding="utf-8")
    author = ["-c", "user.name=t", "-c", "user.email=t@t"]
    for words in (["init", "-q"], ["add", "-A"], [*author, "commit", "-q", "-m", "first"]):
        subprocess.run(["git", "-C", str(repo), *words], check=True)
    return repo


def test_a_text_is_cloned_with_its_policy_named_in_the_deploy_file(tmp_path: Path) -> None:
    # Given a repository whose working tree differs from its revision, and a policy file
    repo = repository(tmp_path)
    (repo / "arrowfold" / "text.py").write_text("new = 1\n", encoding="utf-8")
    policy = tmp_path / "policy.toml"
    policy.write_text("[selection]\nhomes = 0\n", encoding="utf-8")
    # When both are prepared
    clone = prepare_clone(parse_text("first=HEAD"), repo, tmp_path / "round")
    work = prepare_clone(parse_text(f"second=WORK+{policy}"), repo, tmp_path / "round")
    # Then each clone has its own source, and the deploy file passes the policy to both programs
    assert (clone / "arrowfold" / "text.py").read_text(encoding="utf-8") == "old = 1\n"
    assert (work / "arrowfold" / "text.py").read_text(encoding="utf-8") == "new = 1\n"
    assert POLICY_FILE not in (clone / "deploy" / "system.toml").read_text(encoding="utf-8")
    assert (work / "deploy" / "system.toml").read_text(encoding="utf-8").count(f"--policy={POLICY_FILE}") == 2
    assert (work / POLICY_FILE).read_text(encoding="utf-8") == policy.read_text(encoding="utf-8")


def test_plays_are_run_their_journal_is_collected_and_failed_plays_are_returned(tmp_path: Path) -> None:
    # Given a substitute for the bench that fails on one day
    bench = tmp_path / "bench"
    bench.write_text(
        "#!/bin/sh\n"
        'while [ $# -gt 0 ]; do case "$1" in --report) out="$2";; quiet-1) exit 1;; esac; shift; done\n'
        'echo "{}" > "$out"; mkdir -p journal; echo "{}" > "journal/$$.json"\n',
        encoding="utf-8",
    )
    bench.chmod(0o755)
    clone = tmp_path / "clone"
    clone.mkdir()
    plays = interleaved(["a"], [Path("site.toml")], ["scale-1", "quiet-1"], [1, 2])
    options = PlayOptions(bench, jobs=2, small=False, no_cpu=True, least_free_gb=0.0, reason="test")
    # When they are played
    failed = BenchRunner(tmp_path / "round", {"a": clone}, options).play_all(plays)
    # Then the failed plays are returned, the others have a report, and each has a journal entry
    assert [play.scenario.day for play in failed] == ["quiet-1", "quiet-1"]
    assert len(pending_plays(plays, tmp_path / "round")) == 2
    assert collect_journal({"a": clone}, tmp_path / "journal") == 2
    assert collect_journal({"a": clone}, tmp_path / "journal") == 0


def test_faulty_arguments_end_with_2_and_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    assert main(["compare", str(tmp_path), "a", "b"]) == 2
    assert "temporary folder" in capsys.readouterr().err
    monkeypatch.setattr("benchmarks.rounds.__main__.tempfile.gettempdir", lambda: "/nowhere")
    assert main(["compare", str(tmp_path), "a", "b"]) == 2
    assert "no scenario" in capsys.readouterr().err
    words = ["play", str(tmp_path), "--bench=b", "--day=d", "--why=w", "--seeds=1,x"]
    assert main([*words, "--text=a=HEAD", "--site=s"]) == 2
    assert capsys.readouterr().err.count("\n") == 1

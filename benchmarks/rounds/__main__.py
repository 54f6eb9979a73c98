"""Paired plays of texts on the bench, and their comparison. Not part of CI, since it needs the bench.

Usage:
  rounds play FOLDER --bench=FILE --text=TEXT... --site=FILE... --day=DAY... --seeds=LIST --why=REASON
              [--small] [--no-cpu] [--jobs=N] [--least-free-gb=N] [--journal=DIR]
  rounds compare FOLDER FIRST SECOND [--plot=FILE]
  rounds --help

Commands:
  play     Play every text on every site, day and seed, interleaved; what has a report is not played again.
  compare  The differences of two texts, SECOND less FIRST, over all that both have played.

Options:
  --bench=FILE       The bench's program.
  --text=TEXT        NAME=REVISION, or NAME=REVISION+POLICY with a policy file; WORK is the working tree.
  --site=FILE        A site file; may be given more than once.
  --day=DAY          A day's name in the site file; may be given more than once.
  --seeds=LIST       Numbers with commas between them.
  --why=REASON       What the round is for; it goes into the journal.
  --small            Small twins of large days.
  --no-cpu           Without processor time: plays of the same text then mostly repeat.
  --jobs=N           Plays at a time [default: 4].
  --least-free-gb=N  No play begins while less memory is available [default: 12].
  --journal=DIR      Where to copy the journal entries of the plays [default: journal].
  --plot=FILE        Draw the differences.

FOLDER holds the clones, the reports and the logs; it is not the temporary folder.
"""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path
from typing import Any

from docopt import docopt

from benchmarks.rounds.comparison import comparison_lines, load_pairs, plot
from benchmarks.rounds.playing import BenchRunner, PlayOptions, collect_journal
from benchmarks.rounds.plays import interleaved
from benchmarks.rounds.texts import parse_text, prepare_clone

FAILED, FAULTY_INPUT = 1, 2


def main(arguments: list[str]) -> int:
    """Runs the command line; returns the exit code."""
    options = docopt(__doc__, argv=arguments)
    folder = Path(options["FOLDER"]).resolve()
    if folder.is_relative_to(Path(tempfile.gettempdir()).resolve()):
        return _report_input_error(f"{folder} lies in the temporary folder")
    if options["play"]:
        return _play(folder, options)
    return _compare(folder, options)


def _play(folder: Path, options: dict[str, Any]) -> int:
    try:
        sources = [parse_text(argument) for argument in options["--text"]]
        seeds = [int(seed) for seed in options["--seeds"].split(",")]
        jobs, least_free_gb = int(options["--jobs"]), float(options["--least-free-gb"])
    except ValueError as error:
        return _report_input_error(str(error))
    sites = [Path(site).resolve() for site in options["--site"]]
    if missing_files := [site for site in sites if not site.is_file()]:
        return _report_input_error(f"there is no site file {missing_files[0]}")
    clones = {source.name: prepare_clone(source, Path.cwd(), folder) for source in sources}
    runner = BenchRunner(
        folder,
        clones,
        PlayOptions(
            bench=Path(options["--bench"]).resolve(),
            jobs=max(1, jobs),
            small=options["--small"],
            no_cpu=options["--no-cpu"],
            least_free_gb=least_free_gb,
            reason=options["--why"],
        ),
    )
    failed = runner.play_all(interleaved(list(clones), sites, options["--day"], seeds))
    print(f"{collect_journal(clones, Path(options['--journal']))} new journal entries")
    for play in failed:
        print(f"FAILED: {play.text} on {play.scenario.name}; see its log")
    return FAILED if failed else 0


def _compare(folder: Path, options: dict[str, Any]) -> int:
    first, second = options["FIRST"], options["SECOND"]
    pairs = load_pairs(folder, first, second)
    if not pairs:
        return _report_input_error(f"{folder}: no scenario that both {first} and {second} have played")
    for line in comparison_lines(pairs, first, second):
        print(line)
    if options["--plot"]:
        plot(pairs, first, second, Path(options["--plot"]))
    return 0


def _report_input_error(text: str) -> int:
    print(f"rounds: {text}", file=sys.stderr)
    return FAULTY_INPUT


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

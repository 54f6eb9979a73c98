"""The figures on the guarantees page match the result files."""

from __future__ import annotations

from benchmarks.control_figures import PAGE, page_with_figures


def test_the_page_matches_the_result_files() -> None:
    assert PAGE.read_text() == page_with_figures()

"""The figures on the page of guarantees are those of the result files."""

from __future__ import annotations

from benchmarks.control_figures import PAGE, page_with_figures


def test_the_page_holds_what_the_result_files_say() -> None:
    assert PAGE.read_text() == page_with_figures()

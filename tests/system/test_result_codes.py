"""docs/result-codes.md lists the same codes as the enum."""

from __future__ import annotations

import re
from pathlib import Path

from arrowfold.node.result_codes import ResultCode

PAGE = Path(__file__).parents[2] / "docs" / "result-codes.md"
ROW = re.compile(r"^\| (\d+) \| `([A-Z0-9_]+)` \| (.+) \| (.+) \|$")


def rows() -> list[tuple[int, str, str, str]]:
    found = [ROW.match(line) for line in PAGE.read_text(encoding="utf-8").splitlines()]
    return [(int(row[1]), row[2], row[3].strip(), row[4].strip()) for row in found if row]


def test_the_page_lists_every_code_once_in_order() -> None:
    assert [(number, name) for number, name, _, _ in rows()] == [
        (int(code), code.name) for code in ResultCode
    ]


def test_every_code_says_what_happened_and_what_to_do() -> None:
    for number, _, meaning, advice in rows():
        assert len(meaning) > 10 and len(advice) > 3, number


def test_codes_are_listed_under_the_heading_of_their_hundred() -> None:
    hundred = None
    for line in PAGE.read_text(encoding="utf-8").splitlines():
        heading = re.match(r"## (\d)xx: ", line)
        hundred = int(heading[1]) if heading else hundred
        row = ROW.match(line)
        if row:
            assert int(row[1]) // 100 == hundred, line

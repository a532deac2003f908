"""Prints results as text or as JSON, and notes to stderr."""

from collections.abc import Iterable
import json
import sys
from typing import Any

from hemlocktiller._internal import findings

COLUMN_GAP = "  "


def result(value: Any) -> None:
    """Prints a value as JSON."""
    print(json.dumps(value, indent=2, ensure_ascii=False))


def note(text: str) -> None:
    """Prints a line to stderr."""
    print(text, file=sys.stderr)


def notes_of(source: str, found: Iterable[findings.Finding]) -> None:
    """Prints findings to stderr, one a line, after their source."""
    for finding in found:
        note(f"{source}: {findings.sentence(finding)}")


def table(rows: list[list[str]]) -> None:
    """Prints rows in columns as wide as their longest cell."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = map(str.ljust, row, widths)
        print(COLUMN_GAP.join(cells).rstrip())

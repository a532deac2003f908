"""Prints results to stdout, and findings and errors to stderr."""

from collections.abc import Iterable
import json
import sys
from typing import Any

from hemlocktiller._internal import findings

COLUMN_SEPARATOR = "  "


def print_json(value: Any) -> None:
    """Prints a value as JSON."""
    print(json.dumps(value, indent=2, ensure_ascii=False))


def print_to_stderr(text: str) -> None:
    """Prints a line to stderr."""
    print(text, file=sys.stderr)


def print_findings(
    source: str, validation_findings: Iterable[findings.Finding]
) -> None:
    """Prints findings to stderr, one per line, prefixed by their source."""
    for finding in validation_findings:
        print_to_stderr(f"{source}: {findings.format_finding(finding)}")


def print_table(rows: list[list[str]]) -> None:
    """Prints rows as left-aligned columns."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = map(str.ljust, row, widths)
        print(COLUMN_SEPARATOR.join(cells).rstrip())

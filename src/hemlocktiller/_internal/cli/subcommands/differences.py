"""Shows the differences between two configurations."""

from typing import Any

from hemlocktiller._internal.cli.subcommands import config_versions
from hemlocktiller._internal.config import check
from hemlocktiller._internal.config import diff
from hemlocktiller._internal.schemas import config


def between(old: config.Config, new: config.Config) -> list[diff.Change]:
    """Returns what changed; a document with findings counts as empty."""
    return diff.changes(_comparable(old), _comparable(new))


def as_json(changes: list[diff.Change]) -> list[dict[str, Any]]:
    """Returns changes fit for JSON."""
    return [change._asdict() for change in changes]


def show(title: str, changes: list[diff.Change]) -> None:
    """Prints changes under a title."""
    print(f"{title}:" if changes else f"{title}: no changes")
    for change in changes:
        print(f"  {diff.line(change)}")


def _comparable(document: config.Config) -> config.Config:
    """Returns a document, or an empty one if it has findings."""
    return (
        config_versions.nothing().document
        if check.check(document)
        else document
    )

"""Computes and prints the changes between two configurations."""

from typing import Any

from hemlocktiller._internal.cli.subcommands import config_versions
from hemlocktiller._internal.config import check
from hemlocktiller._internal.config import diff
from hemlocktiller._internal.schemas import config


def changes_between(
    old: config.Config, new: config.Config
) -> list[diff.Change]:
    """Returns the changes; an invalid document is treated as empty."""
    return diff.list_changes(_valid_or_empty(old), _valid_or_empty(new))


def changes_as_json(changes: list[diff.Change]) -> list[dict[str, Any]]:
    """Returns changes as dictionaries, serializable as JSON."""
    return [change._asdict() for change in changes]


def print_changes(title: str, changes: list[diff.Change]) -> None:
    """Prints changes below a title, one per line."""
    print(f"{title}:" if changes else f"{title}: no changes")
    for change in changes:
        print(f"  {diff.format_change(change)}")


def _valid_or_empty(document: config.Config) -> config.Config:
    """Returns a document if it is valid, or else an empty one."""
    return (
        config_versions.empty_version().document
        if check.check(document)
        else document
    )

"""The configuration in the store, and the copies that edits start from."""

import json
from pathlib import Path
from typing import Any
from typing import NamedTuple

from expression import Result

from hemlocktiller._internal import documents
from hemlocktiller._internal import findings
from hemlocktiller._internal.cli.subcommands import command_context
from hemlocktiller._internal.cli.subcommands import output
from hemlocktiller._internal.config import check
from hemlocktiller._internal.schemas import config

KIND = "config"
NAME = "main"
BASE_SUFFIX = ".base"


class Versioned(NamedTuple):
    """A configuration with its version.

    Attributes:
        version: Version of the object; 0 if there is none yet.
        document: The configuration; None if only its version is known.
    """

    version: int
    document: config.Config | None


def nothing() -> Versioned:
    """Returns what stands for a store without configuration."""
    return Versioned(0, {"plans": [], "allowances": []})


async def read(context: command_context.Session) -> Versioned:
    """Reads the configuration in the store.

    Raises:
        StoreUnavailable: It could not be read.
    """
    stored = await context.store.read(KIND, NAME)
    if stored is None:
        return nothing()
    return Versioned(stored.version, stored.value)


def load(
    path: Path,
) -> Result[config.Config, list[findings.Finding]]:
    """Reads and checks a configuration file."""
    return documents.read(path).bind(_checked)


def load_or_note(path: Path) -> config.Config | None:
    """Reads a configuration file; prints its findings to stderr."""
    loaded = load(path)
    if loaded.is_error():
        output.notes_of(str(path), loaded.error)
        return None
    return loaded.ok


def _checked(
    document: Any,
) -> Result[config.Config, list[findings.Finding]]:
    """Returns a document, or its findings."""
    return check.accept(0, document).map(lambda built: built.document)


def write_edit(path: Path, versioned: Versioned) -> None:
    """Writes a file to edit, and beside it what the edit starts from."""
    text = json.dumps(versioned.document, indent=2, ensure_ascii=False)
    write_base(path, versioned)
    path.write_text(text + "\n")


def write_base(path: Path, versioned: Versioned) -> None:
    """Writes what the edit in a file starts from."""
    base_path(path).write_text(json.dumps(versioned._asdict()) + "\n")


def read_base(path: Path) -> Versioned | None:
    """Returns what the edit in a file started from; None if not known."""
    try:
        base = Versioned(**json.loads(base_path(path).read_text()))
    except (OSError, ValueError, TypeError):
        return None
    if not isinstance(base.version, int) or check.check(base.document):
        return None
    return base


def base_path(path: Path) -> Path:
    """Returns the path of the copy that an edit starts from."""
    return path.with_name(path.name + BASE_SUFFIX)

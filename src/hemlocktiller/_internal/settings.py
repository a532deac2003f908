"""Settings of the programs: files in JSON with comments."""

from pathlib import Path
import sys
from typing import Any
from typing import NoReturn

from expression import Error
from expression import Ok
from expression import Result

from hemlocktiller._internal import documents
from hemlocktiller._internal import findings

EXIT_BAD_SETTINGS = 78


def load(
    path: str | Path, schema_name: str
) -> Result[dict[str, Any], list[findings.Finding]]:
    """Reads, checks and completes a settings file.

    Args:
        path: The file, in JSON with comments.
        schema_name: Name of its schema, such as `entry_settings`.

    Returns:
        The settings with every default filled in, or all findings.
    """
    document = documents.read(Path(path))
    if document.is_error():
        return document
    schema = documents.read_schema(schema_name)
    found = findings.schema_findings(document.ok, schema)
    if found:
        return Error(found)
    return Ok(documents.with_defaults(document.ok, schema))


def load_or_exit(path: str | Path, schema_name: str) -> dict[str, Any]:
    """Returns the settings of a file; prints all findings if it is bad.

    Args:
        path: The file, in JSON with comments.
        schema_name: Name of its schema, such as `entry_settings`.

    Raises:
        SystemExit: With code 78, after the findings went to stderr.
    """
    settings = load(path, schema_name)
    if settings.is_error():
        _exit_with(path, settings.error)
    return settings.ok


def _exit_with(path: str | Path, found: list[findings.Finding]) -> NoReturn:
    """Prints findings to stderr, one a line, and exits."""
    for finding in found:
        print(f"{path}: {findings.sentence(finding)}", file=sys.stderr)
    raise SystemExit(EXIT_BAD_SETTINGS)

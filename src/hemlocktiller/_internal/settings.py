"""Loads the settings files of the programs, JSON with comments."""

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
    """Reads and validates a settings file, and fills in defaults.

    Args:
        path: Path of the file, JSON with comments.
        schema_name: Name of the schema, such as `entry_settings`.

    Returns:
        The settings with all defaults filled in, or all validation
        findings.
    """
    document = documents.read_file(Path(path))
    if document.is_error():
        return document
    schema = documents.read_schema(schema_name)
    validation_findings = findings.schema_findings(document.ok, schema)
    if validation_findings:
        return Error(validation_findings)
    return Ok(documents.with_defaults(document.ok, schema))


def load_or_exit(path: str | Path, schema_name: str) -> dict[str, Any]:
    """Loads a settings file; on findings, prints them and exits.

    Args:
        path: Path of the file, JSON with comments.
        schema_name: Name of the schema, such as `entry_settings`.

    Raises:
        SystemExit: With code 78, after the findings were printed to stderr.
    """
    settings = load(path, schema_name)
    if settings.is_error():
        _print_findings_and_exit(path, settings.error)
    return settings.ok


def _print_findings_and_exit(
    path: str | Path, validation_findings: list[findings.Finding]
) -> NoReturn:
    """Prints findings to stderr, one per line, and exits."""
    for finding in validation_findings:
        print(f"{path}: {findings.format_finding(finding)}", file=sys.stderr)
    raise SystemExit(EXIT_BAD_SETTINGS)

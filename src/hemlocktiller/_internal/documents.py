"""Parses JSON documents with comments and fills in the schema defaults."""

from collections.abc import Iterable
import copy
import functools
from importlib import resources
import json
from pathlib import Path
import re
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import pyjson5

from hemlocktiller._internal import findings

MAX_DOCUMENT_BYTES = 4_000_000
MAX_NESTING_DEPTH = 32
SCHEMA_PACKAGE = "hemlocktiller._internal.schemas"
_ERROR_OFFSET = re.compile(r" near (\d+)")


@functools.cache
def read_schema(name: str) -> dict[str, Any]:
    """Returns the JSON Schema of a kind of document, such as `config`."""
    resource = resources.files(SCHEMA_PACKAGE) / f"{name}.json"
    return json.loads(resource.read_text())


def read_file(path: Path) -> Result[Any, list[findings.Finding]]:
    """Reads and parses a file in JSON with comments.

    Args:
        path: Path of the file.

    Returns:
        The value, or a finding that says why it can't be read or parsed.
    """
    try:
        content = path.read_bytes()
    except OSError as error:
        message = f"can't be read: {error.strerror}"
        return Error([findings.Finding("", message)])
    if len(content) > MAX_DOCUMENT_BYTES:
        message = f"must have at most {MAX_DOCUMENT_BYTES} bytes"
        return Error([findings.Finding("", message)])
    try:
        return parse(content.decode())
    except UnicodeDecodeError:
        return Error([findings.Finding("", "is not UTF-8 text")])


def parse(text: str) -> Result[Any, list[findings.Finding]]:
    """Parses JSON with comments.

    Args:
        text: The document.

    Returns:
        The value, or a finding with the line and column of a syntax error.
    """
    try:
        return Ok(pyjson5.decode(text, MAX_NESTING_DEPTH))
    except pyjson5.Json5DecoderException as error:
        place, message = _describe_syntax_error(str(error.args[0]), text)
        return Error([findings.Finding(place, message)])


def _describe_syntax_error(reason: str, text: str) -> tuple[str, str]:
    """Returns the place and the message of a syntax error.

    Args:
        reason: Message of the parser, which may contain an offset.
        text: The document.
    """
    offset = _ERROR_OFFSET.search(reason)
    if offset is None:
        return "", f"is not JSON with comments: {reason}"
    text_before = text[: int(offset[1])]
    line = text_before.count("\n") + 1
    column = len(text_before) - (text_before.rfind("\n") + 1)
    reason = _ERROR_OFFSET.sub("", reason).replace("b'", "'")
    place = f"line {line}, column {max(column, 1)}"
    return place, f"is not JSON with comments: {reason}"


def exceeds_max_depth(value: Any) -> bool:
    """Returns whether a value is nested deeper than `MAX_NESTING_DEPTH`."""
    values = [value]
    for _ in range(MAX_NESTING_DEPTH + 1):
        values = [inner for item in values for inner in _child_values(item)]
        if not values:
            return False
    return True


def _child_values(value: Any) -> Iterable[Any]:
    """Returns the items of a list or the values of a dictionary."""
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()


def with_defaults(
    document: dict[str, Any], schema: dict[str, Any]
) -> dict[str, Any]:
    """Returns a copy of a document with the schema defaults filled in.

    An optional object that is absent is added with its defaults if it has no
    required fields; otherwise it stays absent.

    Args:
        document: A document without schema findings.
        schema: JSON Schema of the document.
    """
    return _fill_defaults(document, schema, schema.get("$defs", {}))


def _fill_defaults(
    value: Any, schema: dict[str, Any], definitions: Any
) -> Any:
    """Returns a copy of a value with the schema defaults filled in.

    Args:
        value: The value.
        schema: JSON Schema of the value, or a reference to a definition.
        definitions: Definitions of the document's schema by name.
    """
    schema = _resolve_reference(schema, definitions)
    if isinstance(value, list) and "items" in schema:
        return [
            _fill_defaults(item, schema["items"], definitions)
            for item in value
        ]
    if not isinstance(value, dict) or "properties" not in schema:
        return copy.deepcopy(value)
    filled = {}
    for key, field in schema["properties"].items():
        field = _resolve_reference(field, definitions)
        if key in value:
            filled[key] = _fill_defaults(value[key], field, definitions)
        elif "default" in field:
            filled[key] = copy.deepcopy(field["default"])
        elif "properties" in field and not field.get("required"):
            filled[key] = _fill_defaults({}, field, definitions)
    return filled


def _resolve_reference(
    schema: dict[str, Any], definitions: Any
) -> dict[str, Any]:
    """Returns the definition that a schema refers to, or the schema itself."""
    if "$ref" in schema:
        return definitions[schema["$ref"].rsplit("/", 1)[1]]
    return schema

"""Reads documents in JSON with comments, and completes them by schema."""

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
MAX_NESTING = 32
SCHEMA_PACKAGE = "hemlocktiller._internal.schemas"
_OFFSET = re.compile(r" near (\d+)")


@functools.cache
def read_schema(name: str) -> dict[str, Any]:
    """Returns the JSON Schema of one kind of document, such as `config`."""
    resource = resources.files(SCHEMA_PACKAGE) / f"{name}.json"
    return json.loads(resource.read_text())


def read(path: Path) -> Result[Any, list[findings.Finding]]:
    """Reads a file in JSON with comments.

    Args:
        path: The file.

    Returns:
        The value, or the finding that says why there is none.
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
    """Parses JSON with comments; a syntax error is given with its line."""
    try:
        return Ok(pyjson5.decode(text, MAX_NESTING))
    except pyjson5.Json5DecoderException as error:
        place, message = _syntax_error(str(error.args[0]), text)
        return Error([findings.Finding(place, message)])


def _syntax_error(reason: str, text: str) -> tuple[str, str]:
    """Returns the place and the message of a syntax error."""
    found = _OFFSET.search(reason)
    if found is None:
        return "", f"is not JSON with comments: {reason}"
    before = text[: int(found[1])]
    line = before.count("\n") + 1
    column = len(before) - (before.rfind("\n") + 1)
    reason = _OFFSET.sub("", reason).replace("b'", "'")
    place = f"line {line}, column {max(column, 1)}"
    return place, f"is not JSON with comments: {reason}"


def is_too_deep(value: Any) -> bool:
    """Tells whether a value is nested deeper than a document may be."""
    level = [value]
    for _ in range(MAX_NESTING + 1):
        level = [inner for item in level for inner in _children(item)]
        if not level:
            return False
    return True


def _children(value: Any) -> Iterable[Any]:
    """Returns the values directly within a value."""
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()


def with_defaults(
    document: dict[str, Any], schema: dict[str, Any]
) -> dict[str, Any]:
    """Returns a copy of a document with the defaults of its schema.

    An optional object that is absent is filled in whole if it has no
    required fields; otherwise it stays absent.

    Args:
        document: A document without schema findings.
        schema: Its schema.
    """
    return _filled(document, schema, schema.get("$defs", {}))


def _filled(value: Any, schema: dict[str, Any], definitions: Any) -> Any:
    """Returns a copy of a value with the defaults of its schema."""
    schema = _resolved(schema, definitions)
    if isinstance(value, list) and "items" in schema:
        return [_filled(item, schema["items"], definitions) for item in value]
    if not isinstance(value, dict) or "properties" not in schema:
        return copy.deepcopy(value)
    filled = {}
    for key, field in schema["properties"].items():
        field = _resolved(field, definitions)
        if key in value:
            filled[key] = _filled(value[key], field, definitions)
        elif "default" in field:
            filled[key] = copy.deepcopy(field["default"])
        elif "properties" in field and not field.get("required"):
            filled[key] = _filled({}, field, definitions)
    return filled


def _resolved(schema: dict[str, Any], definitions: Any) -> dict[str, Any]:
    """Returns a schema, or the definition that it refers to."""
    if "$ref" in schema:
        return definitions[schema["$ref"].rsplit("/", 1)[1]]
    return schema

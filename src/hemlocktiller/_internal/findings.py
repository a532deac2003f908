"""Validation errors of documents, called findings."""

from collections.abc import Iterator
import difflib
import math
from typing import Any
from typing import NamedTuple

import jsonschema

TYPE_NAMES = {
    "array": "a list",
    "boolean": "true or false",
    "integer": "a whole number",
    "null": "null",
    "number": "a number",
    "object": "an object",
    "string": "a string",
}
LOWER_BOUNDS = {
    "exclusiveMinimum": "must be over {}",
    "minimum": "must be at least {}",
    "minItems": "must have at least {} items",
    "minLength": "must have at least {} characters",
}
UPPER_BOUNDS = {
    "exclusiveMaximum": "must be under {}",
    "maximum": "must be at most {}",
    "maxItems": "must have at most {} items",
    "maxLength": "must have at most {} characters",
}
BOUNDS = LOWER_BOUNDS | UPPER_BOUNDS


class Finding(NamedTuple):
    """A validation error of a document.

    Attributes:
        place: Path of the wrong value, such as `plans[3].share`; empty for the
            whole document.
        message: What is wrong, to follow the path in a sentence.
    """

    place: str
    message: str


def format_path(path: list[str | int]) -> str:
    """Formats a path of keys and list indexes, such as `plans[3].share`."""
    place = ""
    for step in path:
        if isinstance(step, int):
            place += f"[{step}]"
        elif place:
            place += f".{step}"
        else:
            place = step
    return place


def format_finding(finding: Finding) -> str:
    """Formats a finding as one line."""
    if not finding.place:
        return finding.message
    return f"{finding.place}: {finding.message}"


def schema_findings(document: Any, schema: dict[str, Any]) -> list[Finding]:
    """Returns all violations of a schema by a document, sorted by place.

    Numbers that are not finite, which JSON Schema accepts, come last.
    """
    validator = jsonschema.Draft202012Validator(schema)
    errors = sorted(
        validator.iter_errors(document),
        key=lambda error: format_path(list(error.absolute_path)),
    )
    found = [item for error in errors for item in _findings_of_error(error)]
    found.extend(_non_finite_findings(document, []))
    return list(dict.fromkeys(found))


def _findings_of_error(error: jsonschema.ValidationError) -> Iterator[Finding]:
    """Yields the findings of one error of the JSON Schema validator."""
    path = list(error.absolute_path)
    if error.validator == "additionalProperties":
        yield from _unknown_key_findings(error, path)
    elif error.validator == "required":
        for key in error.validator_value:
            if key not in error.instance:
                yield Finding(format_path([*path, key]), "is missing")
    else:
        yield Finding(format_path(path), _error_message(error))


def _unknown_key_findings(
    error: jsonschema.ValidationError, path: list[str | int]
) -> Iterator[Finding]:
    """Yields a finding for each key that the schema does not define."""
    known_keys = list(error.schema.get("properties", {}))
    for key in error.instance:
        if key in known_keys:
            continue
        message = "is not a known key"
        close_matches = difflib.get_close_matches(key, known_keys, 1)
        if close_matches:
            message += f"; did you mean {close_matches[0]!r}?"
        yield Finding(format_path([*path, key]), message)


def _error_message(error: jsonschema.ValidationError) -> str:
    """Returns the message of an error, without the value: it may be secret."""
    limit = error.validator_value
    if error.validator in BOUNDS:
        return BOUNDS[error.validator].format(limit)
    if error.validator == "type":
        return f"must be {TYPE_NAMES.get(limit, limit)}"
    if error.validator == "pattern":
        return f"must match the pattern {limit}"
    if error.validator == "enum":
        return "must be one of " + ", ".join(map(repr, limit))
    if error.validator == "uniqueItems":
        return "must not hold the same item twice"
    if error.validator == "oneOf":
        required_keys = [
            key
            for alternative in limit
            for key in alternative.get("required", [])
        ]
        return "must have exactly one of " + ", ".join(
            map(repr, required_keys)
        )
    return f"does not satisfy {error.validator!r} of the schema"


def _non_finite_findings(
    value: Any, path: list[str | int]
) -> Iterator[Finding]:
    """Yields a finding for each number that is infinite or NaN."""
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _non_finite_findings(item, [*path, key])
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from _non_finite_findings(item, [*path, index])
    elif isinstance(value, float) and not math.isfinite(value):
        yield Finding(format_path(path), "must be a finite number")

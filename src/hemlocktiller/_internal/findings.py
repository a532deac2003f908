"""Findings: what is wrong with a document, each with its place."""

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
    """One thing that is wrong with a document.

    Attributes:
        place: Where it is, such as `plans[3].share`; empty for the whole.
        message: What is wrong, as the rest of a sentence.
    """

    place: str
    message: str


def place_of(path: list[str | int]) -> str:
    """Returns the place that a path of keys and indexes leads to."""
    place = ""
    for step in path:
        if isinstance(step, int):
            place += f"[{step}]"
        elif place:
            place += f".{step}"
        else:
            place = step
    return place


def sentence(finding: Finding) -> str:
    """Returns a finding as one readable line."""
    if not finding.place:
        return finding.message
    return f"{finding.place}: {finding.message}"


def schema_findings(document: Any, schema: dict[str, Any]) -> list[Finding]:
    """Returns every place where a document departs from its schema."""
    validator = jsonschema.Draft202012Validator(schema)
    errors = sorted(
        validator.iter_errors(document),
        key=lambda error: place_of(list(error.absolute_path)),
    )
    found = [item for error in errors for item in _of_error(error)]
    found.extend(_non_finite(document, []))
    return list(dict.fromkeys(found))


def _of_error(error: jsonschema.ValidationError) -> Iterator[Finding]:
    """Yields the findings of one error of the schema library."""
    path = list(error.absolute_path)
    if error.validator == "additionalProperties":
        yield from _unknown_keys(error, path)
    elif error.validator == "required":
        for key in error.validator_value:
            if key not in error.instance:
                yield Finding(place_of([*path, key]), "is missing")
    else:
        yield Finding(place_of(path), _message(error))


def _unknown_keys(
    error: jsonschema.ValidationError, path: list[str | int]
) -> Iterator[Finding]:
    """Yields a finding for each key that the schema does not know."""
    known = list(error.schema.get("properties", {}))
    for key in error.instance:
        if key in known:
            continue
        message = "is not a known key"
        close = difflib.get_close_matches(key, known, 1)
        if close:
            message += f"; did you mean {close[0]!r}?"
        yield Finding(place_of([*path, key]), message)


def _message(error: jsonschema.ValidationError) -> str:
    """Returns what is wrong, without the value, which may be secret."""
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
        names = [key for part in limit for key in part.get("required", [])]
        return "must have exactly one of " + ", ".join(map(repr, names))
    return f"does not satisfy {error.validator!r} of the schema"


def _non_finite(value: Any, path: list[str | int]) -> Iterator[Finding]:
    """Yields a finding for each number that is infinite or not a number."""
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _non_finite(item, [*path, key])
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from _non_finite(item, [*path, index])
    elif isinstance(value, float) and not math.isfinite(value):
        yield Finding(place_of(path), "must be a finite number")

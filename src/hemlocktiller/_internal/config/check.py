"""Checks a configuration: by its schema, then one list against the other."""

from collections.abc import Iterator
import functools
import json
import math
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import fastjsonschema

from hemlocktiller._internal import documents
from hemlocktiller._internal import findings
from hemlocktiller._internal.config import snapshot

# The object API holds a megabyte; the rest is for what wraps the document.
MAX_CONFIG_BYTES = 990_000
SHARE_TOLERANCE = 1e-9

Entry = tuple[str, dict[str, Any]]


def check(document: Any) -> list[findings.Finding]:
    """Returns all findings of a configuration; none if it is good.

    Args:
        document: What an operator wrote, of any type.
    """
    if documents.is_too_deep(document):
        message = f"is nested over {documents.MAX_NESTING} levels deep"
        return [findings.Finding("", message)]
    found = []
    if not _satisfies_schema(document):
        schema = documents.read_schema("config")
        found.extend(findings.schema_findings(document, schema))
    plans = list(_entries(document, "plans"))
    allowances = list(_entries(document, "allowances"))
    workspaces = list(_workspaces(plans))
    found.extend(_repeated(plans, "plan"))
    found.extend(_repeated(workspaces, "workspace"))
    found.extend(_repeated(workspaces, "key_digest"))
    found.extend(_repeated(allowances, "plan"))
    found.extend(_unmatched(allowances, plans, "is not the name of a plan"))
    found.extend(_unmatched(plans, allowances, "has no allowance"))
    found.extend(_shares(plans))
    found.extend(_size(document))
    return found


def accept(
    version: int, document: Any
) -> Result[snapshot.Snapshot, list[findings.Finding]]:
    """Returns the snapshot of a document, or all findings.

    Args:
        version: Version of the object that holds the document.
        document: What the object holds.
    """
    found = check(document)
    if found:
        return Error(found)
    return Ok(snapshot.build(version, document))


@functools.cache
def _compiled_schema() -> Any:
    """Returns a checker that is fast, but stops at the first finding."""
    return fastjsonschema.compile(
        documents.read_schema("config"), use_default=False
    )


def _satisfies_schema(document: Any) -> bool:
    """Tells whether a document has no schema findings."""
    try:
        _compiled_schema()(document)
    except fastjsonschema.JsonSchemaException:
        return False
    return _is_finite(document)


def _is_finite(value: Any) -> bool:
    """Tells whether every number within a value is finite."""
    if isinstance(value, dict):
        return all(map(_is_finite, value.values()))
    if isinstance(value, list):
        return all(map(_is_finite, value))
    return not isinstance(value, float) or math.isfinite(value)


def _entries(parent: Any, key: str, place: str = "") -> Iterator[Entry]:
    """Yields place and value of the objects of a list, skipping others."""
    items = parent.get(key) if isinstance(parent, dict) else None
    if not isinstance(items, list):
        return
    prefix = f"{place}.{key}" if place else key
    for index, item in enumerate(items):
        if isinstance(item, dict):
            yield f"{prefix}[{index}]", item


def _workspaces(plans: list[Entry]) -> Iterator[Entry]:
    """Yields place and value of the workspaces of all plans."""
    for place, plan in plans:
        yield from _entries(plan, "workspaces", place)


def _names(entries: list[Entry], key: str) -> Iterator[tuple[str, str]]:
    """Yields place and text of a field, where it is text."""
    for place, item in entries:
        if isinstance(item.get(key), str):
            yield f"{place}.{key}", item[key]


def _repeated(entries: list[Entry], key: str) -> Iterator[findings.Finding]:
    """Yields a finding for each field that repeats an earlier one."""
    first_places = {}
    for place, name in _names(entries, key):
        first_place = first_places.setdefault(name, place)
        if first_place != place:
            message = f"is the same as {first_place}"
            yield findings.Finding(place, message)


def _unmatched(
    entries: list[Entry], others: list[Entry], message: str
) -> Iterator[findings.Finding]:
    """Yields a finding for each plan name that the others don't have."""
    known = {name for _, name in _names(others, "plan")}
    for place, name in _names(entries, "plan"):
        if name not in known:
            yield findings.Finding(place, f"{name!r} {message}")


def _shares(plans: list[Entry]) -> Iterator[findings.Finding]:
    """Yields a finding if the plans are entitled to more than all."""
    shares = [plan.get("share") for _, plan in plans]
    numbers = [share for share in shares if isinstance(share, int | float)]
    total = math.fsum(numbers)
    if total > 1 + SHARE_TOLERANCE:
        message = f"have shares of {total:g} together, over 1"
        yield findings.Finding("plans", message)


def _size(document: Any) -> Iterator[findings.Finding]:
    """Yields a finding if the document does not fit its object."""
    size_bytes = len(json.dumps(document))
    if size_bytes > MAX_CONFIG_BYTES:
        message = f"has {size_bytes} bytes, over {MAX_CONFIG_BYTES}"
        yield findings.Finding("", message)

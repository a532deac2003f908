"""Validates a configuration by its schema and across its lists."""

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

# An object of the object API has at most 1 MB; the rest is for the envelope.
MAX_CONFIG_BYTES = 990_000
SHARE_TOLERANCE = 1e-9  # Rounding errors of shares that add up to 1.

# The place of a JSON object within the document, and the object.
LocatedObject = tuple[str, dict[str, Any]]


def check(document: Any) -> list[findings.Finding]:
    """Returns all findings of a configuration; none if it is valid.

    Args:
        document: The configuration as parsed, a JSON value of any type.
    """
    if documents.exceeds_max_depth(document):
        message = f"is nested over {documents.MAX_NESTING_DEPTH} levels deep"
        return [findings.Finding("", message)]
    found = []
    if not _satisfies_schema(document):
        schema = documents.read_schema("config")
        found.extend(findings.schema_findings(document, schema))
    plans = list(_objects_in_list(document, "plans"))
    allowances = list(_objects_in_list(document, "allowances"))
    workspaces = list(_workspaces_of_plans(plans))
    found.extend(_duplicate_findings(plans, "plan"))
    found.extend(_duplicate_findings(workspaces, "workspace"))
    found.extend(_duplicate_findings(workspaces, "key_digest"))
    found.extend(_duplicate_findings(allowances, "plan"))
    found.extend(
        _unmatched_plan_findings(
            allowances, plans, "is not the name of a plan"
        )
    )
    found.extend(
        _unmatched_plan_findings(plans, allowances, "has no allowance")
    )
    found.extend(_share_findings(plans))
    found.extend(_size_findings(document))
    return found


def build_snapshot(
    version: int, document: Any
) -> Result[snapshot.Snapshot, list[findings.Finding]]:
    """Validates a document and builds the snapshot of it.

    Args:
        version: Version of the object that holds the document.
        document: Value of the object, of any type.

    Returns:
        The snapshot, or all findings of the document.
    """
    found = check(document)
    if found:
        return Error(found)
    return Ok(snapshot.build(version, document))


@functools.cache
def _compiled_validator() -> Any:
    """Returns a fast validator, which stops at the first finding."""
    return fastjsonschema.compile(
        documents.read_schema("config"), use_default=False
    )


def _satisfies_schema(document: Any) -> bool:
    """Returns whether a document has no schema findings."""
    try:
        _compiled_validator()(document)
    except fastjsonschema.JsonSchemaException:
        return False
    return _has_only_finite_numbers(document)


def _has_only_finite_numbers(value: Any) -> bool:
    """Returns whether all numbers within a JSON value are finite."""
    if isinstance(value, dict):
        return all(map(_has_only_finite_numbers, value.values()))
    if isinstance(value, list):
        return all(map(_has_only_finite_numbers, value))
    return not isinstance(value, float) or math.isfinite(value)


def _objects_in_list(
    container: Any, key: str, place: str = ""
) -> Iterator[LocatedObject]:
    """Yields the objects in a list, skipping items of another type.

    Args:
        container: JSON value that should hold the list.
        key: Key of the list.
        place: Place of `container`; empty for the document.
    """
    items = container.get(key) if isinstance(container, dict) else None
    if not isinstance(items, list):
        return
    prefix = f"{place}.{key}" if place else key
    for index, item in enumerate(items):
        if isinstance(item, dict):
            yield f"{prefix}[{index}]", item


def _workspaces_of_plans(
    plans: list[LocatedObject],
) -> Iterator[LocatedObject]:
    """Yields the workspaces of all plans."""
    for place, plan in plans:
        yield from _objects_in_list(plan, "workspaces", place)


def _string_fields(
    located_objects: list[LocatedObject], key: str
) -> Iterator[tuple[str, str]]:
    """Yields place and value of a field wherever it is a string."""
    for place, item in located_objects:
        if isinstance(item.get(key), str):
            yield f"{place}.{key}", item[key]


def _duplicate_findings(
    located_objects: list[LocatedObject], key: str
) -> Iterator[findings.Finding]:
    """Yields a finding for each field that has the value of an earlier one."""
    first_places = {}
    for place, name in _string_fields(located_objects, key):
        first_place = first_places.setdefault(name, place)
        if first_place != place:
            message = f"is the same as {first_place}"
            yield findings.Finding(place, message)


def _unmatched_plan_findings(
    located_objects: list[LocatedObject],
    other_objects: list[LocatedObject],
    message: str,
) -> Iterator[findings.Finding]:
    """Yields a finding for each plan name that the other list lacks.

    Args:
        located_objects: Objects whose plan names are checked.
        other_objects: Objects that must have the same plan names.
        message: What is wrong, to follow the plan name.
    """
    known_names = {name for _, name in _string_fields(other_objects, "plan")}
    for place, name in _string_fields(located_objects, "plan"):
        if name not in known_names:
            yield findings.Finding(place, f"{name!r} {message}")


def _share_findings(plans: list[LocatedObject]) -> Iterator[findings.Finding]:
    """Yields a finding if the shares of the plans add up to over 1."""
    shares = [plan.get("share") for _, plan in plans]
    numbers = [share for share in shares if isinstance(share, int | float)]
    total = math.fsum(numbers)
    if total > 1 + SHARE_TOLERANCE:
        message = f"have shares of {total:g} together, over 1"
        yield findings.Finding("plans", message)


def _size_findings(document: Any) -> Iterator[findings.Finding]:
    """Yields a finding if the document is too large for its object."""
    size_bytes = len(json.dumps(document))
    if size_bytes > MAX_CONFIG_BYTES:
        message = f"has {size_bytes} bytes, over {MAX_CONFIG_BYTES}"
        yield findings.Finding("", message)

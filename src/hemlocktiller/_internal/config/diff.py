"""Readable differences between two configurations."""

from collections.abc import Iterator
import json
from typing import Any
from typing import NamedTuple

from hemlocktiller._internal.schemas import config

Fields = dict[str, Any]
Subject = tuple[str, str]
DIGEST_CHARACTERS = 12
KEY_DIGEST = "key_digest"


class Change(NamedTuple):
    """One difference between two configurations.

    Attributes:
        kind: `plan`, `workspace`, `allowance`, or `order` of a list.
        name: Name of the plan, the workspace or the list.
        field: The field that differs; empty if all of it came or went.
        before: The earlier value; None if there was none.
        after: The later value; None if there is none.
    """

    kind: str
    name: str
    field: str
    before: Any
    after: Any


def changes(old: config.Config, new: config.Config) -> list[Change]:
    """Returns what changed from one configuration to another."""
    before = _subjects(old)
    after = _subjects(new)
    found = [
        change
        for subject in {**before, **after}
        for change in _subject_changes(
            subject, before.get(subject), after.get(subject)
        )
    ]
    if not found and old != new:
        found.append(Change("order", "the lists", "", None, None))
    return found


def line(change: Change) -> str:
    """Returns a change as one readable line."""
    subject = f"{change.kind} {change.name}"
    if change.kind == "order":
        return f"~ {subject}: differ in order only"
    if change.field:
        return f"~ {subject}: {change.field} {_values(change)}"
    if change.before is None:
        return f"+ {subject}: {_fields(change.after)}"
    return f"- {subject}: {_fields(change.before)}"


def _subjects(document: config.Config) -> dict[Subject, Fields]:
    """Returns the fields of each plan, workspace and allowance."""
    subjects: dict[Subject, Fields] = {}
    for plan in document["plans"]:
        subjects["plan", plan["plan"]] = _plan_fields(plan)
        for workspace in plan["workspaces"]:
            fields = {"plan": plan["plan"], **workspace}
            del fields["workspace"]
            subjects["workspace", workspace["workspace"]] = fields
    for allowance in document["allowances"]:
        fields = dict(allowance)
        del fields["plan"]
        subjects["allowance", allowance["plan"]] = fields
    return subjects


def _plan_fields(plan: config.Plan) -> Fields:
    """Returns the fields of a plan, each limit by itself."""
    fields = {
        key: value
        for key, value in plan.items()
        if key not in ("plan", "limits", "workspaces")
    }
    for key, value in plan.get("limits", {}).items():
        fields[f"limits.{key}"] = value
    return fields


def _subject_changes(
    subject: Subject, before: Fields | None, after: Fields | None
) -> Iterator[Change]:
    """Yields the changes of one plan, workspace or allowance."""
    if before is None or after is None:
        yield Change(*subject, "", before, after)
        return
    for field in {**before, **after}:
        if before.get(field) != after.get(field):
            values = before.get(field), after.get(field)
            yield Change(*subject, field, *values)


def _values(change: Change) -> str:
    """Returns how a field changed; of lists, what came and went."""
    if not isinstance(change.before or change.after, list):
        before = _value(change.field, change.before)
        return f"{before} -> {_value(change.field, change.after)}"
    before = change.before or []
    after = change.after or []
    signs = [f"-{item}" for item in before if item not in after]
    signs += [f"+{item}" for item in after if item not in before]
    return " ".join(signs) or "differ in order only"


def _fields(fields: Fields) -> str:
    """Returns the fields of a whole plan, workspace or allowance."""
    return ", ".join(
        f"{key} {_value(key, value)}" for key, value in fields.items()
    )


def _value(field: str, value: Any) -> str:
    """Returns a value as text; of a digest, enough to tell it by."""
    if value is None:
        return "(none)"
    if field == KEY_DIGEST:
        return f"{value[:DIGEST_CHARACTERS]}..."
    return json.dumps(value, ensure_ascii=False)

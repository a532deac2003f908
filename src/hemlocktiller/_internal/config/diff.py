"""Lists the differences between two configurations as text."""

from collections.abc import Iterator
import json
from typing import Any
from typing import NamedTuple

from hemlocktiller._internal.schemas import config

Fields = dict[str, Any]
# Kind and name of what changed; see `Change`.
ChangeSubject = tuple[str, str]
SHOWN_DIGEST_LENGTH = 12
KEY_DIGEST = "key_digest"


class Change(NamedTuple):
    """One difference between two configurations.

    Attributes:
        kind: `plan`, `workspace`, `allowance`, or `order` of a list.
        name: Name of the plan, the workspace or the list.
        field: The field that differs; empty if the subject was added or
            removed.
        before: The old value; None if there was none.
        after: The new value; None if there is none.
    """

    kind: str
    name: str
    field: str
    before: Any
    after: Any


def list_changes(old: config.Config, new: config.Config) -> list[Change]:
    """Returns the changes from one configuration to another."""
    before = _fields_by_subject(old)
    after = _fields_by_subject(new)
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


def format_change(change: Change) -> str:
    """Formats a change as one line."""
    subject = f"{change.kind} {change.name}"
    if change.kind == "order":
        return f"~ {subject}: differ in order only"
    if change.field:
        return f"~ {subject}: {change.field} {_format_values(change)}"
    if change.before is None:
        return f"+ {subject}: {_format_fields(change.after)}"
    return f"- {subject}: {_format_fields(change.before)}"


def _fields_by_subject(document: config.Config) -> dict[ChangeSubject, Fields]:
    """Returns the fields of each plan, workspace and allowance."""
    subjects: dict[ChangeSubject, Fields] = {}
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
    """Returns the fields of a plan, with each limit as a field."""
    fields = {
        key: value
        for key, value in plan.items()
        if key not in ("plan", "limits", "workspaces")
    }
    for key, value in plan.get("limits", {}).items():
        fields[f"limits.{key}"] = value
    return fields


def _subject_changes(
    subject: ChangeSubject, before: Fields | None, after: Fields | None
) -> Iterator[Change]:
    """Yields the changes of one plan, workspace or allowance."""
    if before is None or after is None:
        yield Change(*subject, "", before, after)
        return
    for field in {**before, **after}:
        if before.get(field) != after.get(field):
            values = before.get(field), after.get(field)
            yield Change(*subject, field, *values)


def _format_values(change: Change) -> str:
    """Formats how a field changed; for lists, the items added and removed."""
    if not isinstance(change.before or change.after, list):
        before = _format_value(change.field, change.before)
        return f"{before} -> {_format_value(change.field, change.after)}"
    before = change.before or []
    after = change.after or []
    marked_items = [f"-{item}" for item in before if item not in after]
    marked_items += [f"+{item}" for item in after if item not in before]
    return " ".join(marked_items) or "differ in order only"


def _format_fields(fields: Fields) -> str:
    """Formats all fields of a plan, workspace or allowance."""
    return ", ".join(
        f"{key} {_format_value(key, value)}" for key, value in fields.items()
    )


def _format_value(field: str, value: Any) -> str:
    """Formats a value as JSON; a key digest is shortened."""
    if value is None:
        return "(none)"
    if field == KEY_DIGEST:
        return f"{value[:SHOWN_DIGEST_LENGTH]}..."
    return json.dumps(value, ensure_ascii=False)

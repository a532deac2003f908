"""Decides the outcome of a conditional write from a later read.

The nonce of the write shows that it took effect. An object that directly
replaced the expected version shows that the write never can. An object
that replaced another version may have replaced this very write, so its
outcome stays unknown. An unchanged object tells nothing, since the write
may still be on its way; sending it again is safe, as at most one of two
writes with the same condition takes effect.
"""

from typing import Any
from typing import NamedTuple

import expression

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.store import objects


class Write(NamedTuple):
    """A conditional write.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        base_version: Version to replace; 0 to create the object.
        nonce: Nonce of the write; empty for a delete.
        value: Value without its envelope.
        body: JSON with its envelope; None for a delete.
    """

    kind: str
    name: str
    base_version: int
    nonce: str = ""
    value: Any = None
    body: bytes | None = None


class Found(NamedTuple):
    """An object with the write that stored it."""

    stored: objects.StoredObject
    origin: objects.Origin


Outcome = expression.Result[objects.StoredObject | None, exceptions.StoreError]


def conflict(
    write: Write, current: objects.StoredObject | None
) -> exceptions.StoreError:
    """Returns the error of a write that lost against another one."""
    place = f"{write.kind} {write.name}"
    if not write.base_version:
        return exceptions.ObjectExists(f"{place} exists", current)
    message = f"{place} is not at version {write.base_version}"
    return exceptions.VersionConflict(message, current)


def judge(
    write: Write, found: Found | None, may_have_run: bool
) -> Outcome | None:
    """Returns the outcome of a write, or None if it must be sent again.

    Args:
        write: The write.
        found: What was read after it; None if there is no object.
        may_have_run: Whether a reply to the write was lost.
    """
    current = found.stored if found else None
    version = current.version if current else 0
    if version == write.base_version:
        return None
    if write.body is None:
        return _judge_delete(write, current)
    if found and found.origin.nonce == write.nonce:
        return expression.Ok(current)
    if may_have_run and not _directly_replaced(write, found):
        message = f"{write.kind} {write.name} was written again since"
        return expression.Error(exceptions.WriteUnknown(message))
    return expression.Error(conflict(write, current))


def _judge_delete(write, current):
    if current is None:
        return expression.Ok(None)
    return expression.Error(conflict(write, current))


def _directly_replaced(write, found):
    return bool(found) and found.origin.base_version == write.base_version

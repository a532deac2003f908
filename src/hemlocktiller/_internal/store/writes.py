"""Determines the outcome of a conditional write by reading the object back.

- The object carries the nonce of the write: the write took effect.
- The object was written by another write that replaced the expected version:
  the condition of this write can no longer hold, so it failed.
- The object was written by another write that replaced a later version: that
  version may have come from this write, so the outcome is unknown.
- The object carries the nonce, but the store was restored from a copy since
  the expected version: the write may have replaced another one that got the
  same revision, so the outcome is unknown.
- The object is unchanged: the write may still be in transit. Sending it
  again is safe, since at most one of two writes with the same condition
  takes effect.
"""

from typing import Any
from typing import NamedTuple

import expression

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.store import objects
from hemlocktiller._internal.store import versions


class Write(NamedTuple):
    """A conditional write.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        base_version: Version that the write replaces; 0 to create the
            object.
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


class ObjectWithOrigin(NamedTuple):
    """An object as read back, with the identity of its last write."""

    stored: objects.StoredObject
    origin: objects.WriteOrigin


Outcome = expression.Result[objects.StoredObject | None, exceptions.StoreError]


def conflict_error(
    write: Write, current: objects.StoredObject | None
) -> exceptions.StoreError:
    """Returns the error of a write whose condition did not hold.

    Args:
        write: The write.
        current: The object that is stored; None if it is gone or unknown.
    """
    object_label = f"{write.kind} {write.name}"
    if not write.base_version:
        return exceptions.ObjectExists(f"{object_label} exists", current)
    message = f"{object_label} is not at version {write.base_version}"
    return exceptions.VersionConflict(message, current)


def resolve_outcome(
    write: Write, read_back: ObjectWithOrigin | None, reply_was_lost: bool
) -> Outcome | None:
    """Returns the outcome of a write, or None if it must be sent again.

    Args:
        write: The write.
        read_back: The object read after the write; None if there is none.
        reply_was_lost: Whether the reply of an attempt was lost, so that the
            attempt may have taken effect.
    """
    current = read_back.stored if read_back else None
    version = current.version if current else 0
    if version == write.base_version:
        return None
    if write.body is None:
        return _resolve_delete(write, current)
    if read_back and read_back.origin.nonce == write.nonce:
        if is_of_another_era(write, version):
            message = f"the store was restored before {write.kind} was read"
            return expression.Error(exceptions.WriteOutcomeUnknown(message))
        return expression.Ok(current)
    if reply_was_lost and not _replaced_base_version(write, read_back):
        message = f"{write.kind} {write.name} was written again since"
        return expression.Error(exceptions.WriteOutcomeUnknown(message))
    return expression.Error(conflict_error(write, current))


def is_of_another_era(write: Write, version: int) -> bool:
    """Returns whether a version is of another era than the expected one."""
    return bool(write.base_version) and versions.era_of(
        version
    ) != versions.era_of(write.base_version)


def _resolve_delete(write, current):
    if current is None:
        return expression.Ok(None)
    return expression.Error(conflict_error(write, current))


def _replaced_base_version(write, read_back):
    """Returns whether the object read back replaced the expected version."""
    return (
        bool(read_back) and read_back.origin.base_version == write.base_version
    )

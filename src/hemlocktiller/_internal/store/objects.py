"""Objects of the object API and the envelope around their values.

Each value is stored in an envelope that records the id of the writing
process, a nonce that is unique to the write, and the version that the write
replaced. A client that lost the reply of a write reads them back to find out
whether the write took effect.
"""

import json
from typing import Any
from typing import NamedTuple

from hemlocktiller._internal.store import reply_parser
from hemlocktiller._internal.store import versions

_ENVELOPE_FIELDS = {"writer", "nonce", "base_version", "data"}


class StoredObject(NamedTuple):
    """An object of the object API.

    Attributes:
        kind: Kind of the object.
        name: Name within the kind.
        version: Version of the store at which the object was last written;
            see `versions`.
        value: Value without its envelope.
    """

    kind: str
    name: str
    version: int
    value: Any


class Listing(NamedTuple):
    """All objects of a kind at one version of the store."""

    version: int
    objects: list[StoredObject]


class Changes(NamedTuple):
    """Objects of a kind that changed, up to one version of the store.

    Attributes:
        version: Version up to which the changes are complete.
        changed: Objects that were created or updated.
        deleted: Names of the objects that were deleted.
    """

    version: int
    changed: list[StoredObject]
    deleted: list[str]


class WriteOrigin(NamedTuple):
    """Identifies the write that stored an object.

    Attributes:
        nonce: Nonce of the write; empty if the value has no envelope.
        base_version: Version that the write replaced; 0 if it created the
            object, None if the value has no envelope.
    """

    nonce: str
    base_version: int | None


def encode_envelope(
    value: Any, writer: str, nonce: str, base_version: int
) -> bytes:
    """Returns a value in its envelope, encoded as JSON.

    Args:
        value: Value to store.
        writer: Id of the writing process.
        nonce: Nonce of this write.
        base_version: Version that the write replaces; 0 for a create.
    """
    envelope = {
        "writer": writer,
        "nonce": nonce,
        "base_version": base_version,
        "data": value,
    }
    return json.dumps(envelope, separators=(",", ":")).encode()


def parse_object(kind: str, body: dict, era: int = 0) -> StoredObject:
    """Converts an object of a reply, removing the envelope of its value.

    A value that is nested too deeply to be passed on is None.

    Args:
        kind: Kind of the object.
        body: JSON object that the platform sent.
        era: Era of the reply.
    """
    value = body["value"]
    if _has_envelope(value):
        value = value["data"]
    if isinstance(value, (dict, list)) and reply_parser.is_too_deep(value):
        value = None
    version = versions.join(era, body["version"])
    return StoredObject(kind, body["name"], version, value)


def parse_objects(
    kind: str, bodies: list[dict], era: int = 0
) -> list[StoredObject]:
    """Converts the objects of a reply; see `parse_object`."""
    return [parse_object(kind, body, era) for body in bodies]


def parse_origin(body: dict) -> WriteOrigin:
    """Returns which write stored an object of a reply."""
    value = body["value"]
    if not _has_envelope(value):
        return WriteOrigin("", None)
    return WriteOrigin(value["nonce"], value["base_version"])


def _has_envelope(value):
    return isinstance(value, dict) and set(value) == _ENVELOPE_FIELDS

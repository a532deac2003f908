"""Objects of the object API and the envelope of their values.

The envelope names the writer of a value, a nonce of the write, and the
version that the write replaced.
"""

import json
from typing import Any
from typing import NamedTuple

_ENVELOPE_FIELDS = {"writer", "nonce", "base_version", "data"}


class StoredObject(NamedTuple):
    """An object of the object API.

    Attributes:
        kind: Kind of the object.
        name: Name within the kind.
        version: Version of the write that stored it.
        value: Value without its envelope.
    """

    kind: str
    name: str
    version: int
    value: Any


class Listing(NamedTuple):
    """All objects of a kind, as of one version of the store."""

    version: int
    objects: list[StoredObject]


class Changes(NamedTuple):
    """What changed in a kind up to a version of the store."""

    version: int
    changed: list[StoredObject]
    deleted: list[str]


class Origin(NamedTuple):
    """Which write stored an object; empty if it wrote no envelope."""

    nonce: str
    base_version: int | None


def wrap(value: Any, writer: str, nonce: str, base_version: int) -> bytes:
    """Returns the JSON of a value in its envelope."""
    envelope = {
        "writer": writer,
        "nonce": nonce,
        "base_version": base_version,
        "data": value,
    }
    return json.dumps(envelope, separators=(",", ":")).encode()


def stored(kind: str, body: dict) -> StoredObject:
    """Returns an object as the platform sent it, without its envelope."""
    value = body["value"]
    if _has_envelope(value):
        value = value["data"]
    return StoredObject(kind, body["name"], body["version"], value)


def all_stored(kind: str, bodies: list[dict]) -> list[StoredObject]:
    """Returns objects as the platform listed them."""
    return [stored(kind, body) for body in bodies]


def origin(body: dict) -> Origin:
    """Returns which write stored an object."""
    value = body["value"]
    if not _has_envelope(value):
        return Origin("", None)
    return Origin(value["nonce"], value["base_version"])


def _has_envelope(value):
    return isinstance(value, dict) and set(value) == _ENVELOPE_FIELDS

"""CBOR frames of the links between processes.

Each frame holds one message. What a peer sends is checked against the
schema before any other code sees it.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any

import cbor2
import fastjsonschema

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.schemas import message_checks

Message = Mapping[str, Any]

MAX_DEPTH = 8  # The schema nests five levels.


def encode(message: Message) -> bytes:
    """Returns the frame of a message."""
    return cbor2.dumps(message)


def decode(frame: bytes) -> Message:
    """Returns the message of a frame.

    Raises:
        ProtocolError: The frame holds no message of the schema.
    """
    message = _load(frame)
    if not isinstance(message, dict):
        raise exceptions.ProtocolError("frame holds no map")
    kind = message.get("type")
    check = message_checks.CHECKS.get(kind) if isinstance(kind, str) else None
    if check is None:
        raise exceptions.ProtocolError("frame has an unknown message type")
    try:
        check(message)
    except fastjsonschema.JsonSchemaValueException as error:
        raise exceptions.ProtocolError(
            f"{kind} message: {error.message}"
        ) from error
    _check_bytes(kind, message)
    return message


def _load(frame: bytes) -> Any:
    try:
        return cbor2.loads(frame, max_depth=MAX_DEPTH)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise exceptions.ProtocolError(f"frame is not CBOR: {error}") from None


def _check_bytes(kind: str, message: Message) -> None:
    for path in message_checks.BYTES_PATHS[kind]:
        for value in _values(message, path):
            if not isinstance(value, bytes):
                place = ".".join(path)
                raise exceptions.ProtocolError(
                    f"{kind} message: {place} is not a byte string"
                )


def _values(value: Any, path: tuple[str, ...]) -> Iterator[Any]:
    if not path:
        yield value
        return
    if path[0] == "*":
        for item in value:
            yield from _values(item, path[1:])
        return
    yield from _values(value[path[0]], path[1:])

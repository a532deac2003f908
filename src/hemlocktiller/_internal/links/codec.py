"""Encodes and decodes the CBOR frames of the links between processes.

Each frame holds one message. Received messages are validated against the
schema before any other code processes them.
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
    """Encodes a message as a frame."""
    return cbor2.dumps(message)


def decode(frame: bytes) -> Message:
    """Decodes and validates the message of a frame.

    Raises:
        ProtocolError: The frame does not hold a valid message.
    """
    message = _load_cbor(frame)
    if not isinstance(message, dict):
        raise exceptions.ProtocolError("frame is not a CBOR map")
    message_type = message.get("type")
    check = (
        message_checks.CHECKS.get(message_type)
        if isinstance(message_type, str)
        else None
    )
    if check is None:
        raise exceptions.ProtocolError("frame has an unknown message type")
    try:
        check(message)
    except fastjsonschema.JsonSchemaValueException as error:
        raise exceptions.ProtocolError(
            f"{message_type} message: {error.message}"
        ) from error
    _check_byte_strings(message_type, message)
    return message


def _load_cbor(frame: bytes) -> Any:
    try:
        return cbor2.loads(frame, max_depth=MAX_DEPTH)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise exceptions.ProtocolError(f"frame is not CBOR: {error}") from None


def _check_byte_strings(message_type: str, message: Message) -> None:
    """Checks the byte strings, a type that JSON Schema does not have."""
    for path in message_checks.BYTES_PATHS[message_type]:
        for value in _values_at(message, path):
            if not isinstance(value, bytes):
                location = ".".join(path)
                raise exceptions.ProtocolError(
                    f"{message_type} message: {location} is not a byte string"
                )


def _values_at(value: Any, path: tuple[str, ...]) -> Iterator[Any]:
    """Yields the values at a path of keys; `*` stands for all list items."""
    if not path:
        yield value
        return
    if path[0] == "*":
        for item in value:
            yield from _values_at(item, path[1:])
        return
    yield from _values_at(value[path[0]], path[1:])

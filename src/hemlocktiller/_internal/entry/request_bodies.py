"""Parses the bodies of model requests."""

import json
from typing import Any
from typing import NamedTuple

from hemlocktiller._internal import exceptions

DEFAULT_MAX_TOKENS = 16


class ModelBody(NamedTuple):
    """Parsed body of a model request."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool


def parse_completion(body: bytes) -> ModelBody:
    """Parses the body of a completion request.

    Raises:
        InvalidRequest: The body is malformed.
    """
    fields = _parse_object(body)
    return _model_body(fields, _require_text(fields, "prompt"))


def parse_chat_completion(body: bytes) -> ModelBody:
    """Parses the body of a chat completion request.

    Raises:
        InvalidRequest: The body is malformed.
    """
    fields = _parse_object(body)
    return _model_body(fields, _chat_prompt(fields.get("messages")))


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise exceptions.InvalidRequest(
            f"the body is not JSON: {error}"
        ) from None
    if not isinstance(fields, dict):
        raise exceptions.InvalidRequest("the body is not a JSON object")
    return fields


def _model_body(fields: dict[str, Any], prompt: str) -> ModelBody:
    return ModelBody(
        _require_text(fields, "model"),
        prompt,
        _parse_max_tokens(fields),
        _parse_flag(fields, "stream"),
    )


def _require_text(fields: dict[str, Any], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise exceptions.InvalidRequest(f"{name} must be a non-empty string")
    try:
        value.encode()
    except UnicodeEncodeError:
        raise exceptions.InvalidRequest(
            f"{name} holds characters that are not text"
        ) from None
    return value


def _parse_max_tokens(fields: dict[str, Any]) -> int:
    value = fields.get("max_tokens", DEFAULT_MAX_TOKENS)
    if isinstance(value, bool) or not isinstance(value, int) or value < 1:
        raise exceptions.InvalidRequest("max_tokens must be 1 or more")
    return value


def _parse_flag(fields: dict[str, Any], name: str) -> bool:
    value = fields.get(name, False)
    if not isinstance(value, bool):
        raise exceptions.InvalidRequest(f"{name} must be true or false")
    return value


def _chat_prompt(messages: Any) -> str:
    """Returns the prompt of a chat: a line with role and text per message."""
    if not isinstance(messages, list) or not messages:
        raise exceptions.InvalidRequest("messages must be a non-empty list")
    lines = []
    for message in messages:
        if not isinstance(message, dict):
            raise exceptions.InvalidRequest("a message must be an object")
        role = _require_text(message, "role")
        lines.append(f"{role}: {_require_text(message, 'content')}\n")
    return "".join(lines)

"""How requests end, and what a caller is told about it."""

from collections.abc import Callable
from typing import NamedTuple

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.config import snapshot


class Usage(NamedTuple):
    """Tokens of a whole answer."""

    prompt_tokens: int
    output_tokens: int
    reason: str


class Sink(NamedTuple):
    """Where the answer of a model request goes.

    Attributes:
        on_tokens: Takes the next tokens in order.
        on_end: Takes the usage of a whole answer.
        on_error: Takes the error that ends the request instead.
    """

    on_tokens: Callable[[list[int]], None]
    on_end: Callable[[Usage], None]
    on_error: Callable[[exceptions.RequestError], None]


class Caller(NamedTuple):
    """Who sends a request, and under which configuration."""

    view: snapshot.WorkspaceView
    config_version: int


class ModelCall(NamedTuple):
    """A model request as the caller sent it.

    Attributes:
        readmit: Admits the caller again under the configuration in force;
            raises a RequestError if it may not do this any more.
    """

    request: str
    caller: Caller
    model: str
    prompt: str
    max_tokens: int
    traceparent: str
    digest: int
    readmit: Callable[[], Caller]


class ServiceCall(NamedTuple):
    """A call of a plain service as the caller sent it.

    Attributes:
        readmit: As in `ModelCall`.
    """

    request: str
    caller: Caller
    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    idempotency_key: str
    traceparent: str
    digest: int
    readmit: Callable[[], Caller]


class ServiceAnswer(NamedTuple):
    """The answer of a plain service."""

    status: int
    content_type: str
    body: bytes
    replayed: bool


def word(token: int) -> str:
    """Returns the text of a token."""
    return f" t{token}"

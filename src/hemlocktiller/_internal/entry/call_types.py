"""How requests end, and what a caller is told about it."""

from collections.abc import Callable
from typing import NamedTuple

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.config import snapshot


class Usage(NamedTuple):
    """Tokens of a whole answer."""

    prompt_tokens: int
    output_tokens: int
    finish_reason: str


class ResponseSink(NamedTuple):
    """Where the answer of a model request goes.

    Attributes:
        on_tokens: Takes the next tokens in order.
        on_end: Takes the usage of a whole answer.
        on_error: Takes the error that ends the request instead.
    """

    on_tokens: Callable[[list[int]], None]
    on_end: Callable[[Usage], None]
    on_error: Callable[[exceptions.RequestError], None]


class CallerIdentity(NamedTuple):
    """Who sends a request, and under which configuration."""

    workspace_view: snapshot.WorkspaceView
    config_version: int


class ModelCall(NamedTuple):
    """A model request as the caller sent it.

    Attributes:
        reauthorize: Authenticates the caller and checks its permissions
            again under the configuration in force; raises a RequestError
            if the call is no longer allowed.
    """

    request_id: str
    caller: CallerIdentity
    model: str
    prompt: str
    max_tokens: int
    traceparent: str
    request_digest: int
    reauthorize: Callable[[], CallerIdentity]


class ServiceCall(NamedTuple):
    """A call of a plain service as the caller sent it.

    Attributes:
        reauthorize: As in `ModelCall`.
    """

    request_id: str
    caller: CallerIdentity
    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    idempotency_key: str
    traceparent: str
    request_digest: int
    reauthorize: Callable[[], CallerIdentity]


class ServiceResponse(NamedTuple):
    """The answer of a plain service."""

    status: int
    content_type: str
    body: bytes
    replayed: bool


def token_text(token: int) -> str:
    """Returns the text of a token."""
    return f" t{token}"

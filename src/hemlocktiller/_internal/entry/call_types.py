"""Types for calls to an entry and their results."""

from collections.abc import Callable
from typing import NamedTuple

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.config import snapshot


class Usage(NamedTuple):
    """Token counts of a completion and why it finished."""

    prompt_tokens: int
    output_tokens: int
    finish_reason: str


class ResponseSink(NamedTuple):
    """Receives the response of a model request.

    Attributes:
        on_tokens: Takes the next tokens in order.
        on_end: Takes the usage once the completion is complete.
        on_error: Takes the error if the request fails instead.
    """

    on_tokens: Callable[[list[int]], None]
    on_end: Callable[[Usage], None]
    on_error: Callable[[exceptions.RequestError], None]


class CallerIdentity(NamedTuple):
    """Workspace of a caller under one version of the configuration.

    Attributes:
        workspace_view: Workspace of the caller, with its plan and limits.
        config_version: Version of the configuration with this workspace.
    """

    workspace_view: snapshot.WorkspaceView
    config_version: int


class ModelCall(NamedTuple):
    """A model request as the caller sent it.

    Attributes:
        request_digest: Hash of the workspace and the content; the same when
            the caller sends the request again.
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
        request_digest: As in `ModelCall`.
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
    """The response of a plain service.

    Attributes:
        replayed: Whether it was stored by an earlier call with the same
            idempotency key.
    """

    status: int
    content_type: str
    body: bytes
    replayed: bool


def token_text(token: int) -> str:
    """Returns the text that a token has in responses."""
    return f" t{token}"

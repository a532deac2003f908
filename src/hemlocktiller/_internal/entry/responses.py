"""Writes HTTP responses: JSON documents, event streams and errors."""

from collections.abc import Callable
import json
import math
from typing import Any

from twisted.web import http

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.entry import call_types

JSON_CONTENT_TYPE = b"application/json"
EVENT_STREAM_CONTENT_TYPE = b"text/event-stream"
PLACEHOLDER_TEXT = "text of an event"
DONE_EVENT = b"data: [DONE]\n\n"


class CompletionFormat:
    """Encodes one completion as a document or as the events of a stream.

    Attributes:
        request_id: Id of the request.
        model: Model that the caller asked for.
        chat: Whether the completion is a chat completion.
    """

    def __init__(self, request_id: str, model: str, chat: bool) -> None:
        self.request_id = request_id
        self.model = model
        self.chat = chat
        chunk_parts = self._split_chunk(PLACEHOLDER_TEXT)
        self._chunk_start, self._chunk_end = chunk_parts

    def completion(self, text: str, usage: call_types.Usage) -> dict[str, Any]:
        """Returns the whole response document, if it isn't streamed."""
        object_type = "chat.completion" if self.chat else "text_completion"
        content: dict[str, Any] = {"text": text}
        if self.chat:
            content = {"message": {"role": "assistant", "content": text}}
        return {
            **self._common_fields(object_type),
            "choices": [
                {"index": 0, **content, "finish_reason": usage.finish_reason}
            ],
            "usage": _encode_usage(usage),
        }

    def chunk(self, text: str) -> bytes:
        """Returns an encoded event of a stream, with some of the text.

        The events of a stream differ only in their text, so the parts
        around the text are encoded once per request.
        """
        return self._chunk_start + json.dumps(text).encode() + self._chunk_end

    def _split_chunk(self, text: str) -> list[bytes]:
        """Encodes an event; returns its parts before and after the text."""
        content: dict[str, Any] = {"text": text}
        if self.chat:
            content = {"delta": {"content": text}}
        document = {
            **self._common_fields(self._chunk_object_type()),
            "choices": [{"index": 0, **content, "finish_reason": None}],
        }
        return _encode_event(document).rsplit(json.dumps(text).encode(), 1)

    def final_chunk(self, usage: call_types.Usage) -> dict[str, Any]:
        """Returns the last document of a stream, not encoded yet."""
        content: dict[str, Any] = {"delta": {}} if self.chat else {"text": ""}
        choice = {"index": 0, **content, "finish_reason": usage.finish_reason}
        return {
            **self._common_fields(self._chunk_object_type()),
            "choices": [choice],
            "usage": _encode_usage(usage),
        }

    def _chunk_object_type(self) -> str:
        return "chat.completion.chunk" if self.chat else "text_completion"

    def _common_fields(self, object_type: str) -> dict[str, Any]:
        return {
            "id": self.request_id,
            "object": object_type,
            "model": self.model,
        }


def buffered_response_sink(
    request: http.Request,
    completion_format: CompletionFormat,
    grant_credit: Callable[[int], None],
) -> call_types.ResponseSink:
    """Returns a sink that responds once all tokens have arrived.

    Args:
        request: HTTP request of the caller.
        completion_format: Encodes the response.
        grant_credit: Called with the number of tokens buffered, so that the
            target may send more.
    """
    texts: list[str] = []

    def on_tokens(tokens: list[int]) -> None:
        texts.extend(call_types.token_text(token) for token in tokens)
        grant_credit(len(tokens))

    def on_end(usage: call_types.Usage) -> None:
        write_json(
            request, 200, completion_format.completion("".join(texts), usage)
        )

    def on_error(error: exceptions.RequestError) -> None:
        write_error(request, error, completion_format.request_id)

    return call_types.ResponseSink(on_tokens, on_end, on_error)


class EventStream:
    """Streams a completion to the caller as its tokens arrive.

    Tokens are buffered while the caller reads too slowly. The buffer is
    bounded by the credit granted to the target.

    Args:
        request: HTTP request of the caller.
        completion_format: Encodes the events.
        grant_credit: Called with the number of tokens written, so that the
            target may send more.
    """

    def __init__(
        self,
        request: http.Request,
        completion_format: CompletionFormat,
        grant_credit: Callable[[int], None],
    ) -> None:
        self._request = request
        self._format = completion_format
        self._grant_credit = grant_credit
        self._paused = False
        self._has_started = False
        self._unsent_tokens: list[int] = []
        self._deferred_finish: Callable[[], None] | None = None

    def sink(self) -> call_types.ResponseSink:
        """Returns the sink of this stream."""
        return call_types.ResponseSink(
            self._on_tokens, self._on_end, self._on_error
        )

    def pauseProducing(self) -> None:
        """Starts to buffer, as the caller's connection is full."""
        self._paused = True

    def resumeProducing(self) -> None:
        """Writes the buffered tokens, and the end if it was deferred."""
        self._paused = False
        self._write_unsent_tokens()
        if self._deferred_finish is not None and not self._paused:
            finish, self._deferred_finish = self._deferred_finish, None
            finish()

    def stopProducing(self) -> None:
        """Drops the buffered tokens, as the caller has disconnected."""
        self._unsent_tokens.clear()
        self._deferred_finish = None

    def _start_stream(self) -> None:
        """Sets the headers and flow control before the first event."""
        if self._has_started:
            return
        self._has_started = True
        self._request.setHeader(b"content-type", EVENT_STREAM_CONTENT_TYPE)
        self._request.setHeader(b"cache-control", b"no-store")
        self._request.registerProducer(self, True)

    def _on_tokens(self, tokens: list[int]) -> None:
        self._start_stream()
        self._unsent_tokens.extend(tokens)
        if not self._paused:
            self._write_unsent_tokens()

    def _write_unsent_tokens(self) -> None:
        if not self._unsent_tokens:
            return
        tokens = self._unsent_tokens
        self._unsent_tokens = []
        text = "".join(call_types.token_text(token) for token in tokens)
        self._request.write(self._format.chunk(text))
        self._grant_credit(len(tokens))

    def _on_end(self, usage: call_types.Usage) -> None:
        self._start_stream()
        final_event = (
            _encode_event(self._format.final_chunk(usage)) + DONE_EVENT
        )
        self._write_and_finish(final_event)

    def _on_error(self, error: exceptions.RequestError) -> None:
        if not self._has_started:
            write_error(self._request, error, self._format.request_id)
            return
        document = error_document(error, self._format.request_id)
        self._write_and_finish(_encode_event(document))

    def _write_and_finish(self, final_event: bytes) -> None:
        """Writes the last event and ends the response, unless paused.

        While paused, this is deferred until the caller reads again.
        """

        def finish() -> None:
            self._request.write(final_event)
            self._request.unregisterProducer()
            self._request.finish()

        if self._paused:
            self._deferred_finish = finish
        else:
            finish()


def write_json(request: http.Request, status: int, document: Any) -> None:
    """Responds with a JSON document."""
    body = json.dumps(document).encode()
    request.setResponseCode(status)
    request.setHeader(b"content-type", JSON_CONTENT_TYPE)
    request.setHeader(b"content-length", str(len(body)).encode())
    request.write(body)
    request.finish()


def write_error(
    request: http.Request, error: exceptions.RequestError, request_id: str
) -> None:
    """Responds with an error, and a Retry-After header if it has one."""
    if error.retry_after_s > 0:
        seconds = str(math.ceil(error.retry_after_s)).encode()
        request.setHeader(b"retry-after", seconds)
    document = error_document(error, request_id)
    write_json(request, error.http_status, document)


def error_document(
    error: exceptions.RequestError, request_id: str
) -> dict[str, Any]:
    """Returns the JSON document that describes an error to the caller."""
    return {
        "error": {
            "code": error.code,
            "message": str(error),
            "ran": error.ran,
            "request": request_id,
            "retry_after_s": error.retry_after_s,
        }
    }


def _encode_event(document: Any) -> bytes:
    return b"data: " + json.dumps(document).encode() + b"\n\n"


def _encode_usage(usage: call_types.Usage) -> dict[str, int]:
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.output_tokens,
        "total_tokens": usage.prompt_tokens + usage.output_tokens,
    }

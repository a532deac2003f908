"""Writes answers to callers: JSON, event streams and errors."""

from collections.abc import Callable
import json
import math
from typing import Any

from twisted.web import http

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.entry import outcomes

JSON_TYPE = b"application/json"
EVENTS_TYPE = b"text/event-stream"
PLACEHOLDER = "text of an event"
DONE_EVENT = b"data: [DONE]\n\n"


class Form:
    """How one answer is written: which page, model and request id."""

    def __init__(self, request_id: str, model: str, chat: bool) -> None:
        self.request_id = request_id
        self.model = model
        self.chat = chat
        around = self._part_around(PLACEHOLDER)
        self._before_text, self._after_text = around

    def whole(self, text: str, usage: outcomes.Usage) -> dict[str, Any]:
        """Returns the document of a whole answer."""
        name = "chat.completion" if self.chat else "text_completion"
        content: dict[str, Any] = {"text": text}
        if self.chat:
            content = {"message": {"role": "assistant", "content": text}}
        return {
            **self._head(name),
            "choices": [
                {"index": 0, **content, "finish_reason": usage.reason}
            ],
            "usage": _usage(usage),
        }

    def part(self, text: str) -> bytes:
        """Returns one event of a stream.

        All events of a stream are alike but for their text, so the rest
        is encoded once.
        """
        return self._before_text + json.dumps(text).encode() + self._after_text

    def _part_around(self, text: str) -> list[bytes]:
        """Returns the event around a text that stands for any other."""
        content: dict[str, Any] = {"text": text}
        if self.chat:
            content = {"delta": {"content": text}}
        document = {
            **self._head(self._part_name()),
            "choices": [{"index": 0, **content, "finish_reason": None}],
        }
        return _event(document).rsplit(json.dumps(text).encode(), 1)

    def last(self, usage: outcomes.Usage) -> dict[str, Any]:
        """Returns the document of the final event of a stream."""
        content: dict[str, Any] = {"delta": {}} if self.chat else {"text": ""}
        choice = {"index": 0, **content, "finish_reason": usage.reason}
        return {
            **self._head(self._part_name()),
            "choices": [choice],
            "usage": _usage(usage),
        }

    def _part_name(self) -> str:
        return "chat.completion.chunk" if self.chat else "text_completion"

    def _head(self, name: str) -> dict[str, Any]:
        return {"id": self.request_id, "object": name, "model": self.model}


def whole_sink(
    request: http.Request, form: Form, grant: Callable[[int], None]
) -> outcomes.Sink:
    """Returns a sink that answers once the answer is whole."""
    words: list[str] = []

    def on_tokens(tokens: list[int]) -> None:
        words.extend(outcomes.word(token) for token in tokens)
        grant(len(tokens))

    def on_end(usage: outcomes.Usage) -> None:
        write_json(request, 200, form.whole("".join(words), usage))

    def on_error(error: exceptions.RequestError) -> None:
        write_error(request, error, form.request_id)

    return outcomes.Sink(on_tokens, on_end, on_error)


class EventStream:
    """An answer that is written as it comes.

    While the caller reads too slowly, tokens wait here; no more than the
    credit granted to the target can be waiting.
    """

    def __init__(
        self, request: http.Request, form: Form, grant: Callable[[int], None]
    ) -> None:
        self._request = request
        self._form = form
        self._grant = grant
        self._paused = False
        self._begun = False
        self._waiting: list[int] = []
        self._finish: Callable[[], None] | None = None

    def sink(self) -> outcomes.Sink:
        """Returns the sink of this stream."""
        return outcomes.Sink(self._on_tokens, self._on_end, self._on_error)

    def pauseProducing(self) -> None:
        """Holds tokens back while the caller's connection is full."""
        self._paused = True

    def resumeProducing(self) -> None:
        """Writes what waits."""
        self._paused = False
        self._write_waiting()
        if self._finish is not None and not self._paused:
            finish, self._finish = self._finish, None
            finish()

    def stopProducing(self) -> None:
        """Drops what waits, since the caller has gone."""
        self._waiting.clear()
        self._finish = None

    def _begin(self) -> None:
        if self._begun:
            return
        self._begun = True
        self._request.setHeader(b"content-type", EVENTS_TYPE)
        self._request.setHeader(b"cache-control", b"no-store")
        self._request.registerProducer(self, True)

    def _on_tokens(self, tokens: list[int]) -> None:
        self._begin()
        self._waiting.extend(tokens)
        if not self._paused:
            self._write_waiting()

    def _write_waiting(self) -> None:
        if not self._waiting:
            return
        tokens = self._waiting
        self._waiting = []
        text = "".join(outcomes.word(token) for token in tokens)
        self._request.write(self._form.part(text))
        self._grant(len(tokens))

    def _on_end(self, usage: outcomes.Usage) -> None:
        self._begin()
        event = _event(self._form.last(usage)) + DONE_EVENT
        self._end_with(event)

    def _on_error(self, error: exceptions.RequestError) -> None:
        if not self._begun:
            write_error(self._request, error, self._form.request_id)
            return
        document = error_document(error, self._form.request_id)
        self._end_with(_event(document))

    def _end_with(self, event: bytes) -> None:
        def finish() -> None:
            self._request.write(event)
            self._request.unregisterProducer()
            self._request.finish()

        if self._paused:
            self._finish = finish
        else:
            finish()


def write_json(request: http.Request, status: int, document: Any) -> None:
    """Answers with a JSON document."""
    body = json.dumps(document).encode()
    request.setResponseCode(status)
    request.setHeader(b"content-type", JSON_TYPE)
    request.setHeader(b"content-length", str(len(body)).encode())
    request.write(body)
    request.finish()


def write_error(
    request: http.Request, error: exceptions.RequestError, request_id: str
) -> None:
    """Answers with an error and when to come back."""
    if error.retry_after_s > 0:
        seconds = str(math.ceil(error.retry_after_s)).encode()
        request.setHeader(b"retry-after", seconds)
    document = error_document(error, request_id)
    write_json(request, error.http_status, document)


def error_document(
    error: exceptions.RequestError, request_id: str
) -> dict[str, Any]:
    """Returns the document of an error."""
    return {
        "error": {
            "code": error.code,
            "message": str(error),
            "ran": error.ran,
            "request": request_id,
            "retry_after_s": error.retry_after_s,
        }
    }


def _event(document: Any) -> bytes:
    return b"data: " + json.dumps(document).encode() + b"\n\n"


def _usage(usage: outcomes.Usage) -> dict[str, int]:
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.output_tokens,
        "total_tokens": usage.prompt_tokens + usage.output_tokens,
    }

"""HTTP clients that record each request and its response."""

from concurrent import futures
import http.client
import json
import time
from typing import Any
from typing import NamedTuple

from tests.functional.process import Address

CALL_TIMEOUT_S = 60.0
MAX_THREADS = 16


class Exchange(NamedTuple):
    """One request of a caller and its response.

    Attributes:
        name: The test's name of the request, unique in a test.
        kind: "completion", "stream" or "call".
        sent: The prompt, or the body of a call.
        key: Idempotency key; empty if none.
        started_s: Monotonic time at which the request was sent.
        ended_s: Monotonic time at which the response ended.
        status: HTTP status; 0 if the connection failed.
        request: Request id in the response headers.
        code: Error code; empty if there was no error.
        ran: Whether the request ran according to the error: "no", "yes" or
            "unknown"; empty if there was no error.
        tokens: Tokens received.
        wanted_tokens: Maximum number of tokens requested.
        whole: Whether the response presented itself as complete.
        body: JSON body of the response to a call.
        message: Message of the error, or of the failed connection.
    """

    name: str
    kind: str
    sent: str
    key: str = ""
    started_s: float = 0.0
    ended_s: float = 0.0
    status: int = 0
    request: str = ""
    code: str = ""
    ran: str = ""
    tokens: tuple[int, ...] = ()
    wanted_tokens: int = 0
    whole: bool = False
    body: Any = None
    message: str = ""


class Response(NamedTuple):
    """An HTTP response that was read to its end."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self):
        """Returns the parsed JSON body, or None if it is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None


def http_call(
    address: Address,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Response:
    """Sends one HTTP request and reads the whole response.

    Raises:
        OSError: The connection failed.
        http.client.HTTPException: The response is malformed.
    """
    connection = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        header_fields = {
            name.lower(): value for name, value in response.getheaders()
        }
        return Response(response.status, header_fields, response.read())
    finally:
        connection.close()


def json_call(address, method, path, document, headers=None, **options):
    """Sends one HTTP request with a JSON body."""
    body = json.dumps(document).encode()
    header_fields = {"Content-Type": "application/json", **(headers or {})}
    return http_call(address, method, path, body, header_fields, **options)


def authorize(key: str) -> dict[str, str]:
    """Returns the headers that authenticate with a workspace key."""
    return {"Authorization": f"Bearer {key}"}


def parse_tokens(text: str) -> tuple[int, ...]:
    """Returns the tokens in the text of the fake model, such as "t1 t2".

    Raises:
        ValueError: The text holds a word that is not a token.
    """
    return tuple(int(word.removeprefix("t")) for word in text.split())


def complete(
    entry: Address, key: str, name: str, prompt: str, **fields
) -> Exchange:
    """Requests a completion without streaming."""
    document = {"model": "drafts", "prompt": prompt, "max_tokens": 8, **fields}
    exchange = Exchange(
        name=name,
        kind="completion",
        sent=prompt,
        started_s=time.monotonic(),
        wanted_tokens=document["max_tokens"],
    )
    path = "/v1/completions"
    return _record_response(
        exchange,
        lambda: json_call(entry, "POST", path, document, authorize(key)),
        _read_completion,
    )


def call_service(
    entry: Address,
    key: str,
    name: str,
    body,
    idempotency_key: str = "",
    service: str = "booking",
    method: str = "POST",
    rest: str = "bookings",
) -> Exchange:
    """Calls a plain service through an entry.

    Args:
        entry: Address on which the entry accepts callers.
        key: Workspace key.
        name: The test's name of the request.
        body: Body to send as JSON.
        idempotency_key: Idempotency key; empty for none.
        service: Name of the service.
        method: HTTP method.
        rest: Path below the service.
    """
    headers = authorize(key)
    if idempotency_key:
        headers["Idempotency-Key"] = idempotency_key
    path = f"/services/{service}/{rest}"
    exchange = Exchange(
        name=name,
        kind="call",
        sent=json.dumps(body),
        key=idempotency_key,
        started_s=time.monotonic(),
    )
    return _record_response(
        exchange,
        lambda: json_call(entry, method, path, body, headers),
        lambda response: {"body": response.json(), "whole": True},
    )


def _record_response(exchange, send_request, parse_response) -> Exchange:
    try:
        response = send_request()
    except (OSError, http.client.HTTPException) as error:
        return exchange._replace(ended_s=time.monotonic(), message=repr(error))
    exchange = exchange._replace(
        ended_s=time.monotonic(),
        status=response.status,
        request=response.headers.get("x-request-id", ""),
    )
    if 200 <= response.status < 300:
        return exchange._replace(**parse_response(response))
    return exchange._replace(**_read_error(response.json()))


def _read_completion(response: Response):
    choice = response.json()["choices"][0]
    text = choice.get("text")
    if text is None:
        text = choice["message"]["content"]
    return {"tokens": parse_tokens(text), "whole": True}


def _read_error(document):
    error = (document or {}).get("error") or {}
    return {
        "code": error.get("code", "unreadable"),
        "ran": error.get("ran", ""),
        "message": error.get("message", ""),
    }


class Stream:
    """A streamed completion that can be read in parts."""

    def __init__(self, entry, key, name, prompt, **fields):
        document = {
            "model": "drafts",
            "prompt": prompt,
            "max_tokens": 8,
            "stream": True,
            **fields,
        }
        self.exchange = Exchange(
            name=name,
            kind="stream",
            sent=prompt,
            started_s=time.monotonic(),
            wanted_tokens=document["max_tokens"],
        )
        self._connection = http.client.HTTPConnection(
            *entry, timeout=CALL_TIMEOUT_S
        )
        self._response = None
        try:
            self._open(document, key)
        except (OSError, http.client.HTTPException) as error:
            self._fail(error)

    def _open(self, document, key):
        header_fields = {"Content-Type": "application/json", **authorize(key)}
        body = json.dumps(document).encode()
        self._connection.request(
            "POST", "/v1/completions", body, header_fields
        )
        self._response = self._connection.getresponse()
        self.exchange = self.exchange._replace(
            status=self._response.status,
            request=self._response.headers.get("x-request-id", ""),
        )
        if self._response.status != 200:
            document = json.loads(self._response.read())
            self.exchange = self.exchange._replace(**_read_error(document))
            self._response = None

    def _fail(self, error):
        self.exchange = self.exchange._replace(message=repr(error))
        self._response = None

    def read(self, min_tokens: int | None = None) -> Exchange:
        """Reads events to the end, or until `min_tokens` tokens are there."""
        try:
            while self._response is not None:
                token_count = len(self.exchange.tokens)
                if min_tokens is not None and token_count >= min_tokens:
                    return self.exchange
                self._read_line()
        except (OSError, http.client.HTTPException, ValueError) as error:
            self._fail(error)
        return self.close()

    def _read_line(self):
        line = self._response.readline()
        if not line:
            self._response = None
            return
        if not line.startswith(b"data: "):
            return
        data = line[len(b"data: ") :].strip()
        if data == b"[DONE]":
            self.exchange = self.exchange._replace(whole=True)
            self._response = None
            return
        self._add_event(json.loads(data))

    def _add_event(self, event):
        if "error" in event:
            self.exchange = self.exchange._replace(**_read_error(event))
            return
        for choice in event.get("choices") or []:
            text = choice.get("text")
            if text is None:
                text = (choice.get("delta") or {}).get("content")
            tokens = self.exchange.tokens + parse_tokens(text or "")
            self.exchange = self.exchange._replace(tokens=tokens)

    def close(self) -> Exchange:
        """Closes the connection and returns what was read."""
        self._response = None
        self._connection.close()
        self.exchange = self.exchange._replace(ended_s=time.monotonic())
        return self.exchange


def stream(entry, key, name, prompt, **fields) -> Exchange:
    """Requests a streamed completion and reads it to its end."""
    return Stream(entry, key, name, prompt, **fields).read()


class Load:
    """Sends requests from a thread pool while the test injects faults."""

    def __init__(self, threads: int = MAX_THREADS):
        self._pool = futures.ThreadPoolExecutor(min(threads, MAX_THREADS))
        self._futures: list[futures.Future] = []

    def send(self, function, *arguments, **options) -> futures.Future:
        """Schedules a function that sends requests and returns exchanges."""
        future = self._pool.submit(function, *arguments, **options)
        self._futures.append(future)
        return future

    def finished(self) -> int:
        """Returns how many of the scheduled functions have ended."""
        return sum(future.done() for future in self._futures)

    def results(self) -> list[Exchange]:
        """Waits for all scheduled functions and returns their results."""
        exchanges = [future.result() for future in self._futures]
        self._pool.shutdown()
        return exchanges

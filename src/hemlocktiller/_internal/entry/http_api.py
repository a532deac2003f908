"""HTTP API for callers: models, completions and plain services."""

from collections.abc import Callable
import re
import secrets
from typing import Any
from typing import NamedTuple

import prometheus_client
from twisted.web import http
from twisted.web import resource
from twisted.web import server
import xxhash

from hemlocktiller._internal import caller_connections
from hemlocktiller._internal import exceptions
from hemlocktiller._internal.config import snapshot as snapshot_module
from hemlocktiller._internal.entry import base_request
from hemlocktiller._internal.entry import call_types
from hemlocktiller._internal.entry import request_bodies
from hemlocktiller._internal.entry import request_registry
from hemlocktiller._internal.entry import responses

MAX_IDEMPOTENCY_KEY_LENGTH = 255
TRACEPARENT_PATTERN = re.compile(r"^00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}$")

REQUESTS = prometheus_client.Counter(
    "hemlocktiller_requests", "Requests of callers by page", ["page"]
)
CONNECTIONS = prometheus_client.Gauge(
    "hemlocktiller_caller_connections", "Open connections of callers"
)
REFUSED_CONNECTIONS = prometheus_client.Counter(
    "hemlocktiller_caller_connections_refused",
    "Connections of callers over the limit",
)
CALLER_DISCONNECTS = prometheus_client.Counter(
    "hemlocktiller_hang_ups", "Callers that went before their answer"
)


class ApiContext(NamedTuple):
    """Components of the entry that the HTTP API uses.

    Attributes:
        settings: Settings of the entry.
        registry: Requests in progress.
        current_config: Returns the configuration in force.
        is_draining: Returns whether the entry is shutting down.
        rejects_requests: Returns whether it takes no new requests any more.
        models: Returns the models of all known targets.
        services: Returns the services of all known targets.
    """

    settings: Any
    registry: request_registry.RequestRegistry
    current_config: Callable[[], snapshot_module.Snapshot]
    is_draining: Callable[[], bool]
    rejects_requests: Callable[[], bool]
    models: Callable[[], list[str]]
    services: Callable[[], list[str]]


class CallerRequest(server.Request):
    """A caller's request, with a limit on the size of its body.

    Attributes:
        body_limit_bytes: Maximum size of the body.
        received_bytes: Size of the body so far; negative once rejected.
    """

    body_limit_bytes = 0
    received_bytes = 0

    def handleContentChunk(self, data: bytes) -> None:
        """Stores a chunk of the body, or rejects a body over the limit."""
        self.received_bytes += len(data)
        if self.received_bytes > self.body_limit_bytes:
            self._reject_body()
            return
        super().handleContentChunk(data)

    def _reject_body(self) -> None:
        """Responds with 413 before the body is complete, then closes."""
        if self.received_bytes < 0 or self.channel is None:
            return
        body = _body_too_large_document(self.body_limit_bytes)
        self.channel.transport.write(
            b"HTTP/1.1 413 Content Too Large\r\n"
            b"content-type: application/json\r\nconnection: close\r\n"
            b"content-length: " + str(len(body)).encode() + b"\r\n\r\n" + body
        )
        # Keeps later chunks below the limit, so that only one response is
        # written.
        self.received_bytes = -(2**62)
        self.channel.loseConnection()


class CallerChannel(caller_connections.HeadLimitedChannel):
    """A caller's connection, counted against the connection limit."""

    def connectionMade(self) -> None:
        """Counts the connection; responds with 503 if it is over the limit."""
        self.factory.connections += 1
        CONNECTIONS.set(self.factory.connections)
        if self.factory.connections > self.factory.connection_limit:
            REFUSED_CONNECTIONS.inc()
            self.transport.write(_too_many_connections_response())
            self.transport.loseConnection()
            return
        super().connectionMade()

    def connectionLost(self, reason: Any) -> None:
        """Removes the connection from the count."""
        self.factory.connections -= 1
        CONNECTIONS.set(self.factory.connections)
        super().connectionLost(reason)


class CallerSite(server.Site):
    """The site for callers, with limits on connections and headers.

    Attributes:
        connections: Count of open connections.
        caller_connections: Open connections.
        connection_limit: Maximum of `connections`.
        header_limit_bytes: Maximum size of the headers of a request.
    """

    protocol = CallerChannel
    connections = 0
    connection_limit = 0
    header_limit_bytes = 0
    caller_connections: caller_connections.CallerConnections

    def buildProtocol(self, addr: Any) -> CallerChannel:
        """Returns the channel for a new connection."""
        channel = super().buildProtocol(addr)
        self.caller_connections.add(channel)
        return channel


def build_site(reactor: Any, context: ApiContext) -> CallerSite:
    """Returns the site for callers."""
    limits = context.settings["limits"]

    class LimitedRequest(CallerRequest):
        """A request with the body limit from the settings."""

        body_limit_bytes = limits["body_bytes"]

    caller_site = CallerSite(
        ApiResource(context),
        requestFactory=LimitedRequest,
        timeout=limits["body_timeout_s"],
        reactor=reactor,
    )
    caller_site.caller_connections = caller_connections.CallerConnections()
    caller_site.displayTracebacks = False
    caller_site.connection_limit = limits["connections"]
    caller_site.header_limit_bytes = limits["header_bytes"]
    caller_site.noisy = False
    return caller_site


class ApiResource(resource.Resource):
    """Authenticates requests and dispatches them by path and method.

    Args:
        context: Components of the entry.
    """

    isLeaf = True

    def __init__(self, context: ApiContext) -> None:
        super().__init__()
        self._context = context
        self._process_id = secrets.token_hex(8)
        self._request_count = 0

    def render(self, request: http.Request) -> int:
        """Starts to serve a request."""
        self._request_count += 1
        request_id = f"{self._process_id}-{self._request_count}"
        request.setHeader(b"x-request-id", request_id.encode())
        if self._context.is_draining():
            request.setHeader(b"connection", b"close")
            request.channel.persistent = False
        try:
            self._serve(request, request_id)
        except exceptions.RequestError as error:
            responses.write_error(request, error, request_id)
        return server.NOT_DONE_YET

    def _serve(self, request: http.Request, request_id: str) -> None:
        """Dispatches a request by its path and method."""
        if self._context.rejects_requests():
            raise exceptions.Stopping(
                "this entry is shutting down",
                retry_after_s=base_request.DEFAULT_RETRY_AFTER_S,
            )
        path = request.path.decode("utf-8", "replace")
        method = request.method.decode("ascii", "replace")
        caller = self._authenticate(request)
        if path == "/v1/models" and method == "GET":
            REQUESTS.labels("models").inc()
            self._list_models(request, caller)
        elif path == "/v1/completions" and method == "POST":
            REQUESTS.labels("completions").inc()
            body = request_bodies.parse_completion(request.content.read())
            self._start_model_request(
                request, request_id, caller, body, chat=False
            )
        elif path == "/v1/chat/completions" and method == "POST":
            REQUESTS.labels("chat").inc()
            body = request_bodies.parse_chat_completion(request.content.read())
            self._start_model_request(
                request, request_id, caller, body, chat=True
            )
        elif path.startswith("/services/"):
            REQUESTS.labels("services").inc()
            self._start_service_call(request, request_id, caller)
        else:
            raise exceptions.UnknownName(f"no page {method} {path}")

    def _authenticate(
        self, request: http.Request
    ) -> call_types.CallerIdentity:
        """Returns the caller whose key the request carries.

        Raises:
            NoTarget: No configuration is in force yet.
            Unauthorized: No workspace has the key.
        """
        config = self._context.current_config()
        if config.version == 0:
            raise exceptions.NoTarget(
                "no configuration is in force yet", retry_after_s=1.0
            )
        header = request.getHeader("authorization") or ""
        scheme, _, key = header.partition(" ")
        view = None
        if scheme.lower() == "bearer":
            view = snapshot_module.workspace_of_key(config, key.strip())
        if view is None:
            raise exceptions.Unauthorized("no workspace has this key")
        return call_types.CallerIdentity(view, config.version)

    def _list_models(
        self, request: http.Request, caller: call_types.CallerIdentity
    ) -> None:
        names = [
            name
            for name in self._context.models()
            if snapshot_module.may_use_model(caller.workspace_view, name)
        ]
        data = [{"id": name, "object": "model"} for name in names]
        responses.write_json(request, 200, {"object": "list", "data": data})

    def _start_model_request(
        self,
        request: http.Request,
        request_id: str,
        caller: call_types.CallerIdentity,
        body: request_bodies.ModelBody,
        chat: bool,
    ) -> None:
        self._check_model(caller.workspace_view, body)

        def reauthorize() -> call_types.CallerIdentity:
            reauthorized = self._authenticate(request)
            self._check_model(reauthorized.workspace_view, body)
            return reauthorized

        call = call_types.ModelCall(
            request_id,
            caller,
            body.model,
            body.prompt,
            body.max_tokens,
            _traceparent(request),
            _request_digest(caller, f"{body.model}\0{body.prompt}".encode()),
            reauthorize,
        )
        completion_format = responses.CompletionFormat(
            request_id, body.model, chat
        )
        registry = self._context.registry

        def grant_credit(tokens: int) -> None:
            registry.grant_credit(request_id, tokens)

        if body.stream:
            sink = responses.EventStream(
                request, completion_format, grant_credit
            ).sink()
        else:
            sink = responses.buffered_response_sink(
                request, completion_format, grant_credit
            )
        registry.admit(caller)
        self._cancel_on_disconnect(request, request_id)
        registry.start_model_request(call, sink)

    def _check_model(
        self,
        view: snapshot_module.WorkspaceView,
        body: request_bodies.ModelBody,
    ) -> None:
        """Checks that the caller's plan allows a model request.

        Raises:
            UnknownName: There is no such model.
            NotAllowed: The plan doesn't include the model.
            LimitExceeded: `max_tokens` is over the limit of the plan.
        """
        if not snapshot_module.may_use_model(view, body.model):
            if body.model not in self._context.models():
                raise exceptions.UnknownName(f"no model {body.model}")
            raise exceptions.NotAllowed(
                f"plan {view.plan['plan']} may not use {body.model}"
            )
        if body.max_tokens > view.limits["output_tokens"]:
            raise exceptions.LimitExceeded(
                f"max_tokens is over {view.limits['output_tokens']}"
            )

    def _start_service_call(
        self,
        request: http.Request,
        request_id: str,
        caller: call_types.CallerIdentity,
    ) -> None:
        path = request.uri.decode("ascii", "replace")
        name, _, service_path = path.removeprefix("/services/").partition("/")
        name = name.partition("?")[0]
        self._check_service(caller.workspace_view, name)

        def reauthorize() -> call_types.CallerIdentity:
            reauthorized = self._authenticate(request)
            self._check_service(reauthorized.workspace_view, name)
            return reauthorized

        body = request.content.read()
        call = call_types.ServiceCall(
            request_id,
            caller,
            name,
            request.method.decode("ascii", "replace"),
            f"/{service_path}",
            request.getHeader("content-type") or "",
            body,
            _idempotency_key(request),
            _traceparent(request),
            _request_digest(caller, path.encode() + b"\0" + body),
            reauthorize,
        )

        def on_response(response: call_types.ServiceResponse) -> None:
            _write_service_response(request, response)

        def on_error(error: exceptions.RequestError) -> None:
            responses.write_error(request, error, request_id)

        self._context.registry.admit(caller)
        self._cancel_on_disconnect(request, request_id)
        self._context.registry.start_service_call(call, on_response, on_error)

    def _check_service(
        self, view: snapshot_module.WorkspaceView, name: str
    ) -> None:
        """Checks that the caller's plan allows calls of a service.

        Raises:
            UnknownName: There is no such service.
            NotAllowed: The plan doesn't include the service.
        """
        if not snapshot_module.may_use_service(view, name):
            if name not in self._context.services():
                raise exceptions.UnknownName(f"no service {name}")
            raise exceptions.NotAllowed(
                f"plan {view.plan['plan']} may not use {name}"
            )

    def _cancel_on_disconnect(
        self, request: http.Request, request_id: str
    ) -> None:
        """Cancels a request if its caller disconnects before it has ended."""

        def on_disconnect(_: Any) -> None:
            CALLER_DISCONNECTS.inc()
            self._context.registry.cancel(request_id)

        request.notifyFinish().addErrback(on_disconnect)


def _write_service_response(
    request: http.Request, response: call_types.ServiceResponse
) -> None:
    request.setResponseCode(response.status)
    if response.content_type:
        request.setHeader(b"content-type", response.content_type.encode())
    if response.replayed:
        request.setHeader(b"idempotency-replayed", b"true")
    request.setHeader(b"content-length", str(len(response.body)).encode())
    request.write(response.body)
    request.finish()


def _idempotency_key(request: http.Request) -> str:
    key = request.getHeader("idempotency-key") or ""
    if len(key) > MAX_IDEMPOTENCY_KEY_LENGTH:
        raise exceptions.InvalidRequest(
            f"Idempotency-Key is over {MAX_IDEMPOTENCY_KEY_LENGTH} characters"
        )
    return key


def _traceparent(request: http.Request) -> str:
    """Returns the caller's trace context, or an empty string if invalid."""
    header = request.getHeader("traceparent") or ""
    return header if TRACEPARENT_PATTERN.match(header) else ""


def _request_digest(caller: call_types.CallerIdentity, body: bytes) -> int:
    workspace = caller.workspace_view.workspace.encode()
    return xxhash.xxh64_intdigest(workspace + b"\0" + body)


def _too_many_connections_response() -> bytes:
    error = exceptions.Overloaded(
        "too many connections are open", retry_after_s=1.0
    )
    body = responses.json.dumps(responses.error_document(error, "")).encode()
    return (
        b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n"
        b"content-type: application/json\r\nconnection: close\r\n"
        b"content-length: " + str(len(body)).encode() + b"\r\n\r\n" + body
    )


def _body_too_large_document(limit_bytes: int) -> bytes:
    error = exceptions.BodyTooLarge(f"the body is over {limit_bytes} bytes")
    document = responses.error_document(error, "")
    return responses.json.dumps(document).encode()

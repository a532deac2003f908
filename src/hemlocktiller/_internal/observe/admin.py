"""Admin HTTP server of a process, for operators and monitoring.

It has no authentication: callers must not be able to reach its address.
"""

from collections.abc import Callable
import json
from typing import Any
from typing import NamedTuple

from twisted.internet import interfaces
from twisted.web import http
from twisted.web import resource
from twisted.web import server

from hemlocktiller._internal.observe import metrics
from hemlocktiller._internal.schemas import entry_settings

_JSON_CONTENT_TYPE = b"application/json"
_TEXT_CONTENT_TYPE = b"text/plain; charset=utf-8"


class PageFunctions(NamedTuple):
    """Functions that supply the admin pages.

    Attributes:
        unready_reason: Returns why the process accepts no new requests; ""
            if it accepts them.
        status: Returns the state of the process, serializable as JSON.
        drain: Starts a graceful shutdown and returns its state.
        find_events: Returns the events of a request; None if unknown.
        find_spans: Returns the finished spans of a trace.
    """

    unready_reason: Callable[[], str]
    status: Callable[[], dict[str, Any]]
    drain: Callable[[], dict[str, Any] | None]
    find_events: Callable[[str], list[dict[str, Any]] | None]
    find_spans: Callable[[str], list[dict[str, Any]]]


class _Page(resource.Resource):
    """A page for one HTTP method, rendered by a function."""

    isLeaf = True

    def __init__(self, render: Callable, method: str = "GET") -> None:
        super().__init__()
        setattr(self, f"render_{method}", render)


def create_site(pages: PageFunctions) -> server.Site:
    """Returns the admin site of a process.

    Args:
        pages: Functions that supply the pages.
    """
    explain = _lookup_renderer("request", pages.find_events, "events")
    spans = _lookup_renderer("trace", pages.find_spans, "spans")
    root = resource.Resource()
    root.putChild(b"metrics", _Page(_render_metrics))
    root.putChild(b"healthz", _Page(_render_health))
    root.putChild(b"readyz", _Page(_readiness_renderer(pages)))
    root.putChild(b"status", _Page(_status_renderer(pages)))
    root.putChild(b"explain", _Page(explain))
    root.putChild(b"spans", _Page(spans))
    root.putChild(b"drain", _Page(_drain_renderer(pages), "POST"))
    admin_site = server.Site(root)
    admin_site.displayTracebacks = False
    return admin_site


def listen(
    reactor, address: entry_settings.Address, pages: PageFunctions
) -> interfaces.IListeningPort:
    """Starts to serve the admin pages.

    Args:
        reactor: Reactor that the server runs on.
        address: Listening address; port 0 selects any free port.
        pages: Functions that supply the pages.

    Returns:
        The listening port.

    Raises:
        twisted.internet.error.CannotListenError: If the address is in use.
    """
    return reactor.listenTCP(
        address["port"], create_site(pages), interface=address["host"]
    )


def _render_metrics(request):
    return _respond(
        request,
        http.OK,
        metrics.PAGE_CONTENT_TYPE.encode(),
        metrics.render_page(),
    )


def _render_health(request):
    return _respond(request, http.OK, _TEXT_CONTENT_TYPE, b"ok\n")


def _readiness_renderer(pages):
    def render(request):
        reason = pages.unready_reason()
        if reason:
            body = f"{reason}\n".encode()
            return _respond(
                request, http.SERVICE_UNAVAILABLE, _TEXT_CONTENT_TYPE, body
            )
        return _respond(request, http.OK, _TEXT_CONTENT_TYPE, b"ready\n")

    return render


def _status_renderer(pages):
    def render(request):
        return _respond_json(request, http.OK, pages.status())

    return render


def _lookup_renderer(argument_name: str, look_up: Callable, key: str):
    """Returns the renderer of a page that looks up an id.

    Args:
        argument_name: Name of the query argument that holds the id.
        look_up: Returns the data of an id; None if the id is unknown.
        key: Key of the data in the response body.
    """

    def render(request):
        requested_id = _query_argument(request, argument_name.encode())
        if requested_id is None:
            message = f"argument `{argument_name}` is missing"
            return _respond_error(request, http.BAD_REQUEST, message)
        data = look_up(requested_id)
        if data is None:
            message = f"{argument_name} {requested_id!r} is not known here"
            return _respond_error(request, http.NOT_FOUND, message)
        body = {argument_name: requested_id, key: data}
        return _respond_json(request, http.OK, body)

    return render


def _drain_renderer(pages):
    def render(request):
        state = pages.drain() or {}
        return _respond_json(request, http.ACCEPTED, state)

    return render


def _query_argument(request, name: bytes) -> str | None:
    """Returns the first value of a query argument; None if absent."""
    values = request.args.get(name)
    if not values:
        return None
    return values[0].decode("utf-8", "replace")


def _respond_error(request, status: int, message: str) -> bytes:
    return _respond_json(request, status, {"error": {"message": message}})


def _respond_json(request, status: int, value: Any) -> bytes:
    body = json.dumps(value, default=str).encode() + b"\n"
    return _respond(request, status, _JSON_CONTENT_TYPE, body)


def _respond(request, status: int, content_type: bytes, body: bytes) -> bytes:
    request.setResponseCode(status)
    request.setHeader(b"content-type", content_type)
    request.setHeader(b"cache-control", b"no-store")
    return body

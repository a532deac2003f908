"""HTTP pages of a process for its operators and its monitoring.

They are not authenticated: the admin address must not be open to callers.
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

_JSON = b"application/json"
_TEXT = b"text/plain; charset=utf-8"


class Pages(NamedTuple):
    """What the admin pages show and do.

    Attributes:
        ready: Returns why the process takes no new work; "" if it does.
        status: Returns the state of the process, fit for JSON.
        drain: Starts a graceful shutdown and returns its state.
        explain: Returns the events of a request; None if not known.
        spans: Returns the finished spans of a trace.
    """

    ready: Callable[[], str]
    status: Callable[[], dict[str, Any]]
    drain: Callable[[], dict[str, Any] | None]
    explain: Callable[[str], list[dict[str, Any]] | None]
    spans: Callable[[str], list[dict[str, Any]]]


class _Page(resource.Resource):
    """One page, rendered by a function of the request."""

    isLeaf = True

    def __init__(self, render: Callable, method: str = "GET") -> None:
        super().__init__()
        setattr(self, f"render_{method}", render)


def site(pages: Pages) -> server.Site:
    """Returns the admin site of a process.

    Args:
        pages: Source of what is shown.
    """
    explain = _lookup_renderer("request", pages.explain, "events")
    spans = _lookup_renderer("trace", pages.spans, "spans")
    root = resource.Resource()
    root.putChild(b"metrics", _Page(_render_metrics))
    root.putChild(b"healthz", _Page(_render_healthy))
    root.putChild(b"readyz", _Page(_ready_renderer(pages)))
    root.putChild(b"status", _Page(_status_renderer(pages)))
    root.putChild(b"explain", _Page(explain))
    root.putChild(b"spans", _Page(spans))
    root.putChild(b"drain", _Page(_drain_renderer(pages), "POST"))
    admin_site = server.Site(root)
    admin_site.displayTracebacks = False
    return admin_site


def listen(
    reactor, address: entry_settings.Address, pages: Pages
) -> interfaces.IListeningPort:
    """Serves the admin pages.

    Args:
        reactor: Reactor that serves.
        address: Where to listen; port 0 takes any free one.
        pages: Source of what is shown.

    Returns:
        The listening port.

    Raises:
        twisted.internet.error.CannotListenError: If the address is taken.
    """
    return reactor.listenTCP(
        address["port"], site(pages), interface=address["host"]
    )


def _render_metrics(request):
    return _answer(
        request, http.OK, metrics.PAGE_CONTENT_TYPE.encode(), metrics.page()
    )


def _render_healthy(request):
    return _answer(request, http.OK, _TEXT, b"ok\n")


def _ready_renderer(pages):
    def render(request):
        reason = pages.ready()
        if reason:
            body = f"{reason}\n".encode()
            return _answer(request, http.SERVICE_UNAVAILABLE, _TEXT, body)
        return _answer(request, http.OK, _TEXT, b"ready\n")

    return render


def _status_renderer(pages):
    def render(request):
        return _answer_json(request, http.OK, pages.status())

    return render


def _lookup_renderer(argument: str, find: Callable, key: str):
    """Returns the renderer of a page about one id.

    Args:
        argument: Name of the query argument that gives the id.
        find: Returns what is known about an id; None if nothing.
        key: Name of the answer's field with what was found.
    """

    def render(request):
        wanted = _argument(request, argument.encode())
        if wanted is None:
            message = f"argument `{argument}` is missing"
            return _answer_error(request, http.BAD_REQUEST, message)
        found = find(wanted)
        if found is None:
            message = f"{argument} {wanted!r} is not known here"
            return _answer_error(request, http.NOT_FOUND, message)
        body = {argument: wanted, key: found}
        return _answer_json(request, http.OK, body)

    return render


def _drain_renderer(pages):
    def render(request):
        state = pages.drain() or {}
        return _answer_json(request, http.ACCEPTED, state)

    return render


def _argument(request, name: bytes) -> str | None:
    """Returns the first value of a query argument; None if it is absent."""
    values = request.args.get(name)
    if not values:
        return None
    return values[0].decode("utf-8", "replace")


def _answer_error(request, status: int, message: str) -> bytes:
    return _answer_json(request, status, {"error": {"message": message}})


def _answer_json(request, status: int, value: Any) -> bytes:
    body = json.dumps(value, default=str).encode() + b"\n"
    return _answer(request, status, _JSON, body)


def _answer(request, status: int, content_type: bytes, body: bytes) -> bytes:
    request.setResponseCode(status)
    request.setHeader(b"content-type", content_type)
    request.setHeader(b"cache-control", b"no-store")
    return body

"""HTTP helpers shared by the fakes."""

import json
import sys
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import reactor
from twisted.python import log
from twisted.web import resource
from twisted.web import server


class Response(NamedTuple):
    """An HTTP response."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"


# Returned by a handler to close the connection without a response.
DROP_CONNECTION = Response(0)


def json_response(value, status=200):
    """Returns a response with a JSON body."""
    return Response(status, json.dumps(value).encode())


def query_number(request, name):
    """Returns a number from the query string, or None if it is absent."""
    values = request.args.get(name.encode())
    return float(values[0]) if values else None


class HandlerResource(resource.Resource):
    """Passes every request to one handler function.

    The handler is called with the request and its path segments. It returns
    a Response or a Deferred of one; the request hangs if the Deferred never
    fires.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, handle):
        super().__init__()
        self._handle = handle

    def render(self, request):
        """Handles a request of any method."""
        disconnected = []
        request.notifyFinish().addBoth(disconnected.append)
        segments = [part.decode() for part in request.postpath]
        response_deferred = defer.maybeDeferred(
            self._handle, request, segments
        )
        response_deferred.addCallback(_send, request, disconnected)
        response_deferred.addErrback(log.err)
        return server.NOT_DONE_YET


def _send(response, request, disconnected):
    """Writes the response unless the client has disconnected."""
    if disconnected:
        return
    if response is DROP_CONNECTION:
        request.channel.forceAbortClient()
        return
    request.setResponseCode(response.status)
    request.setHeader("content-type", response.content_type)
    if response.status != 204:
        request.setHeader("content-length", str(len(response.body)))
        request.write(response.body)
    request.finish()


def site(handle):
    """Returns a site that passes all requests to a handler function."""
    return server.Site(HandlerResource(handle))


def run(handle, port):
    """Serves on the loopback interface until the process is stopped.

    The address is printed to stdout once the port is open.
    """
    endpoint = endpoints.TCP4ServerEndpoint(
        reactor, port, interface="127.0.0.1"
    )

    def print_address(listening_port):
        address = listening_port.getHost()
        print(f"listening {address.host}:{address.port}", flush=True)

    def stop_on_failure(failure):
        print(failure.getErrorMessage(), file=sys.stderr)
        reactor.stop()

    endpoint.listen(site(handle)).addCallbacks(print_address, stop_on_failure)
    reactor.run()


def append_line(path, record):
    """Appends a record as a JSON line, unless the path is empty.

    The file keeps the record when the process is killed.
    """
    if path:
        with open(path, "a") as history:
            history.write(json.dumps(record) + "\n")

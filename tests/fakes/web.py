"""HTTP helpers shared by the stand-ins."""

import json
import sys
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import reactor
from twisted.python import log
from twisted.web import resource
from twisted.web import server


class Answer(NamedTuple):
    """An HTTP answer."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"


# Closes the connection instead of an answer.
DROP = Answer(0)


def json_answer(value, status=200):
    """Returns an answer with a JSON body."""
    return Answer(status, json.dumps(value).encode())


def number_argument(request, name):
    """Returns a number of the query, or None if it is not there."""
    values = request.args.get(name.encode())
    return float(values[0]) if values else None


class HandlerResource(resource.Resource):
    """Passes every request to one function.

    The function gets the request and its path segments, and returns an
    Answer or a Deferred of one; a Deferred that never fires hangs.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, handle):
        super().__init__()
        self._handle = handle

    def render(self, request):
        """Answers a request of any method."""
        gone = []
        request.notifyFinish().addBoth(gone.append)
        segments = [part.decode() for part in request.postpath]
        answered = defer.maybeDeferred(self._handle, request, segments)
        answered.addCallback(_send, request, gone)
        answered.addErrback(log.err)
        return server.NOT_DONE_YET


def _send(answer, request, gone):
    """Writes the answer unless the client has gone."""
    if gone:
        return
    if answer is DROP:
        request.channel.forceAbortClient()
        return
    request.setResponseCode(answer.status)
    request.setHeader("content-type", answer.content_type)
    if answer.status != 204:
        request.setHeader("content-length", str(len(answer.body)))
        request.write(answer.body)
    request.finish()


def site(handle):
    """Returns a site that serves one handler function."""
    return server.Site(HandlerResource(handle))


def run(handle, port):
    """Serves on loopback until the process is stopped."""
    endpoint = endpoints.TCP4ServerEndpoint(
        reactor, port, interface="127.0.0.1"
    )

    def announce(listening):
        address = listening.getHost()
        print(f"listening {address.host}:{address.port}", flush=True)

    def give_up(failure):
        print(failure.getErrorMessage(), file=sys.stderr)
        reactor.stop()

    endpoint.listen(site(handle)).addCallbacks(announce, give_up)
    reactor.run()


def append_line(path, record):
    """Appends a JSON line, so that a record outlives a crash."""
    if path:
        with open(path, "a") as lines:
            lines.write(json.dumps(record) + "\n")

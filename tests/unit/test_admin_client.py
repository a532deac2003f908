"""Answers of admin pages that the operator's program gets in part."""

from types import SimpleNamespace

import pytest
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task
from twisted.internet.testing import StringTransport
from twisted.python import failure
from twisted.web import client
from twisted.web import http
from twisted.web import http_headers

from hemlocktiller._internal.cli.subcommands import admin_client
from hemlocktiller._internal.cli.subcommands import command_context
from hemlocktiller._internal.cli.subcommands import drain
from hemlocktiller._internal.cli.subcommands import exit_codes
from hemlocktiller._internal.cli.subcommands import forget

PROCESS = admin_client.Process("agent-1", "agent", "http://10.0.0.1:1")
STATUS = b'{"name": "agent-1", "ready": true}'
# Twisted says the same of a clean close and of a reset.
UNDELIMITED = http.PotentialDataLoss()
TRUNCATED = client.ResponseFailed([failure.Failure(error.ConnectionLost())])


class AdminPages:
    """An HTTP agent that answers each request with the same response."""

    def __init__(self, body, end):
        self._body = body
        self._end = end

    def request(self, method, url, headers=None, producer=None):
        """Returns a Deferred that has fired with the response."""
        return defer.succeed(
            SimpleNamespace(
                code=200,
                phrase=b"OK",
                length=len(self._body),
                headers=http_headers.Headers(),
                request=None,
                previousResponse=None,
                deliverBody=self._deliver,
            )
        )

    def _deliver(self, protocol):
        protocol.makeConnection(StringTransport())
        protocol.dataReceived(self._body)
        protocol.connectionLost(failure.Failure(self._end))


class Registrations:
    """A store with one registration, which may be deleted."""

    def __init__(self):
        self.deleted = []

    async def read(self, kind, name):
        """Returns the registration."""
        address = {"admin_host": "10.0.0.1", "admin_port": 1}
        return SimpleNamespace(kind=kind, name=name, value=address, version=1)

    async def delete(self, kind, name, version):
        """Records a deletion."""
        self.deleted.append(name)


def make_context(body, end, clock=None):
    return command_context.CommandContext(
        {"timeout_s": 1.0, "admin_pages": []},
        clock or task.Clock(),
        Registrations(),
        AdminPages(body, end),
    )


def result_of(coroutine):
    results = []
    defer.Deferred.fromCoroutine(coroutine).addBoth(results.append)
    (result,) = results
    return result


def test_a_whole_answer_without_length_is_read():
    context = make_context(STATUS, UNDELIMITED)
    response = result_of(
        admin_client.request_page(context, PROCESS, "/status")
    )
    assert (response.problem, response.body["ready"]) == ("", True)


@pytest.mark.parametrize("end", [UNDELIMITED, TRUNCATED])
@pytest.mark.parametrize("length", [0, 1, len(STATUS) - 1])
def test_an_answer_that_is_not_whole_is_a_problem(end, length):
    context = make_context(STATUS[:length], end)
    response = result_of(
        admin_client.request_page(context, PROCESS, "/status")
    )
    assert response.problem
    assert response.body == {}
    assert response.status == 200


@pytest.mark.parametrize("end", [UNDELIMITED, TRUNCATED])
def test_a_process_whose_answer_is_not_whole_is_not_forgotten(end):
    context = make_context(STATUS[:5], end)
    code = result_of(forget.run(forget.Forget("agent-1"), context))
    assert code == exit_codes.ExitCode.INCOMPLETE
    assert context.store.deleted == []


@pytest.mark.parametrize("end", [UNDELIMITED, TRUNCATED])
def test_a_process_whose_answer_is_not_whole_has_not_ended(end):
    clock = task.Clock()
    context = make_context(STATUS[:5], end, clock)
    command = drain.Drain("agent-1", wait_timeout_s=2.0)
    results = []
    waiting = defer.Deferred.fromCoroutine(
        drain._wait_until_ended(command, PROCESS, context)
    )
    waiting.addBoth(results.append)
    clock.pump([0.5] * 10)
    assert results == [exit_codes.ExitCode.INCOMPLETE]


def test_a_page_beyond_the_limit_is_a_problem():
    body = STATUS + b" " * admin_client.MAX_PAGE_BYTES
    context = make_context(body, UNDELIMITED)
    response = result_of(
        admin_client.request_page(context, PROCESS, "/status")
    )
    assert (response.status, response.body) == (200, {})
    assert response.problem

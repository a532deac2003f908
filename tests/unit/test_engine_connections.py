"""Answers without end, and broken off, of engines, services and the store."""

import gc
import tracemalloc

import pytest
from twisted.internet.testing import MemoryReactorClock
from twisted.web import client

from hemlocktiller._internal import http_client
from hemlocktiller._internal import http_exchange
from hemlocktiller._internal.store import transport
from tests.fakes import connections
from tests.fakes import memory
from tests.unit.gateway.test_broken_off_answers import BODY_CUTS
from tests.unit.gateway.test_broken_off_answers import HEAD_CUTS
from tests.unit.gateway.test_broken_off_answers import HEADS

URL = "http://127.0.0.1:1/call"


def send_pooled(reactor):
    """Sends a request as the engine's client does."""
    agent = http_client.create_agent(reactor, http_client.create_pool(reactor))
    return http_client.send(reactor, agent, http_client.Request("POST", URL))


def send_once(reactor):
    """Sends a request as the client of a service does."""
    return http_client.send_once(reactor, http_client.Request("POST", URL))


def call_store(reactor):
    """Sends a call to the store."""
    store_transport = transport.Transport(memory.STORE_SETTINGS, reactor)
    # Endpoints of the transport set options of sockets.
    store_transport._agent = client.Agent(reactor, pool=store_transport._pool)
    return store_transport.call("GET", ("objects",))


SENDERS = [send_pooled, send_once, call_store]


class Call:
    """A request that was sent, without an answer yet."""

    def __init__(self, send):
        self.reactor = MemoryReactorClock()
        self.results = []
        send(self.reactor).addBoth(self.results.append)
        self.connection = connections.accept(self.reactor, 0)


def send_endlessly(connection, part, limit_bytes):
    """Sends parts until the connection closes, or twice the limit is sent."""
    sent_bytes = 0
    while not connection.transport.disconnecting:
        assert sent_bytes <= 2 * limit_bytes, "the head is kept without end"
        connection.respond(part)
        sent_bytes += len(part)


@pytest.mark.parametrize("send", SENDERS)
@pytest.mark.parametrize(
    ("start", "part"),
    [
        (b"", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * 50),
        (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 500),
        (b"HTTP/1.1 200 OK\r\n", b"Connection: y\r\n" * 500),
        (b"HTTP/1.1 200 OK\r\nX: y\r\n", b" folded\r\n" * 500),
        (b"", b"x" * 8192),
        (b"HTTP/1.1 200 OK\r\nX: ", b"x" * 8192),
    ],
    ids=["hints", "fields", "control", "folded", "status", "value"],
)
def test_a_head_without_end_fails_the_request(send, start, part):
    """Guards against heads that are kept until memory runs out."""
    call = Call(send)
    call.connection.respond(start)
    send_endlessly(
        call.connection, part, http_exchange.MAX_HEAD_BYTES + len(part)
    )
    call.connection.reset()
    assert isinstance(call.results[0].value, Exception)


@pytest.mark.parametrize("send", SENDERS)
def test_a_body_of_small_chunks_takes_about_its_own_size(send):
    call = Call(send)
    call.connection.respond(HEADS["chunked"])
    gc.collect()
    tracemalloc.start()
    for _ in range(128):
        call.connection.respond(b"2\r\nxy\r\n" * 512)
    gc.collect()
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert held_bytes <= 2 * 131_072


@pytest.mark.parametrize("send", SENDERS)
def test_a_long_body_after_a_short_head_is_not_taken_for_a_head(send):
    call = Call(send)
    call.connection.respond(HEADS["length"].replace(b" 4", b" 500000"))
    for _ in range(500):
        call.connection.respond(b" " * 1000)
    assert not hasattr(call.results[0], "value")


def test_each_answer_on_a_connection_may_have_a_head():
    reactor = MemoryReactorClock()
    agent = http_client.create_agent(reactor, http_client.create_pool(reactor))
    for number in range(40):
        results = []
        http_client.send(
            reactor, agent, http_client.Request("POST", URL)
        ).addBoth(results.append)
        if not number:
            connection = connections.accept(reactor, 0)
        connection.respond(
            b"HTTP/1.1 200 OK\r\n"
            + b"X: y\r\n" * 1000
            + b"Content-Length: 1\r\n\r\nx"
        )
        reactor.advance(0.01)
        assert results[0].body == b"x"


@pytest.mark.parametrize("send", SENDERS)
@pytest.mark.parametrize("ending", ["close", "reset"])
def test_an_answer_that_breaks_off_is_none(send, ending):
    """Guards against a 200 of an answer that stopped inside its head."""
    for parameter in HEAD_CUTS + BODY_CUTS:
        (part,) = parameter.values
        call = Call(send)
        call.connection.respond(part)
        getattr(call.connection, ending)()
        (result,) = call.results
        assert isinstance(getattr(result, "value", None), Exception), part

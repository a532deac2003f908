"""Fixtures for the gateway: targets, an engine and callers in memory."""

from collections.abc import Callable
import random
from types import SimpleNamespace
from typing import Any
from typing import NamedTuple

import pytest
from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock
from twisted.internet.testing import StringTransport
from twisted.python import failure

from hemlocktiller._internal.gateway import calls
from hemlocktiller._internal.gateway import crashes
from hemlocktiller._internal.gateway import dispatcher as dispatcher_module
from hemlocktiller._internal.gateway import model
from hemlocktiller._internal.gateway import platform_adapter
from hemlocktiller._internal.gateway import request_context
from hemlocktiller._internal.gateway import streams
from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.policy import budget
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.store import client

ACCELERATORS = {
    kind.name: kind
    for kind in (
        fleet.Accelerator("fast", 72_000.0, 2.4, 3.2),
        fleet.Accelerator("middle", 43_200.0, 5.6, 2.7),
        fleet.Accelerator("slow", 21_600.0, 16.0, 8.2),
    )
}


def make_target(name: str, **fields: Any) -> fleet.Target:
    """Returns a target; its address follows from its name."""
    port = 1024 + sum(name.encode()) * 7 % 60_000
    base = fleet.Target(
        name, "model", "10.0.0.1", port, "dc-a", fleet.READY, 96, 1, "fast"
    )
    return base._replace(**fields)


class FakeCaller:
    """A caller's request that records the answer."""

    def __init__(self, reactor: Any, method: bytes = b"POST") -> None:
        self.method = method
        self.uri = b"/drafts/1"
        self.received_at_s = reactor.seconds()
        self.is_response_started = False
        self.status = 0
        self.headers: platform_adapter.Headers = []
        self.written = b""
        self.ending = ""
        self.on_disconnect: Callable[[], None] = lambda: None
        factory = SimpleNamespace(clock=reactor)
        self.channel = SimpleNamespace(factory=factory)

    def start_response(
        self, status: int, headers: platform_adapter.Headers
    ) -> None:
        """Records the head."""
        assert not self.is_response_started
        self.is_response_started = True
        self.status, self.headers = status, headers

    def write(self, data: bytes) -> None:
        """Records a part of the body."""
        assert self.is_response_started
        self.written += data

    def respond(
        self, status: int, headers: platform_adapter.Headers, body: bytes = b""
    ) -> None:
        """Records a whole answer."""
        self.start_response(status, headers)
        self.write(body)
        self.finish_response()

    def finish_response(self) -> None:
        """Records a whole end."""
        assert not self.ending
        self.ending = "whole"

    def abort(self) -> None:
        """Records an answer cut short."""
        assert not self.ending
        self.ending = "cut"

    def header(self, name: bytes) -> bytes:
        """Returns a header of the answer, or b''."""
        return dict(self.headers).get(name, b"")


class Transport(StringTransport):
    """A transport in memory, with the calls of TCP ones."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Takes the option."""

    def abortConnection(self) -> None:
        """Closes at once."""
        self.loseConnection()


class Sent(NamedTuple):
    """A connection that was opened to a target."""

    port: int
    protocol: Any
    transport: StringTransport

    def answer(self, data: bytes) -> None:
        """Sends bytes of an answer."""
        self.protocol.dataReceived(data)

    def reset(self) -> None:
        """Resets the connection."""
        lost = failure.Failure(error.ConnectionLost())
        self.protocol.connectionLost(lost)

    def close(self) -> None:
        """Closes the connection."""
        self.protocol.connectionLost(failure.Failure(error.ConnectionDone()))


class Bench:
    """The parts around a request, on a clock and without a network."""

    def __init__(self) -> None:
        self.reactor = MemoryReactorClock()
        self.reports: dict[int, bytes] = {}
        self.adapter = platform_adapter.PlatformAdapter(
            decode_request=lambda headers: None,
            encode_request_headers=_dispatch_headers,
            decode_response_head=_read_answer,
            decode_catalog=lambda value: value,
            decode_target=lambda name, value: value,
            report_path="/report",
            decode_report=lambda body: model.TargetReport(
                1, 0, False, 1.0, 0, 0
            ),
            order_path="/order",
            encode_order=lambda *order: b"{}",
        )
        self.targets = targets_module.Targets(
            self.reactor, self.adapter, lambda service: "/health"
        )
        self.budget = budget.RetryBudget(
            {"budget_ratio": 0.2, "budget_min_per_s": 5.0}
        )
        self.context = request_context.RequestContext(
            self.reactor,
            self.adapter,
            self.targets,
            lambda service: self.budget,
            crashes.CrashEvidence(self.reactor),
            "dc-a",
            "gateway-1",
        )
        self.dispatcher = dispatcher_module.Dispatcher(
            self.reactor, self.targets, "dc-a", random.Random(1)
        )
        self.over: list[Any] = []
        self._in_progress: list[Any] = []
        self.targets.on_down.append(
            lambda target, reason: request_context.handle_target_down(
                self.context, self._in_progress, target, reason
            )
        )
        self._seen = 0

    def register(self, *targets: fleet.Target) -> None:
        """Registers targets."""
        self.targets.apply_registrations(
            [client.StoredObject("t", one.name, 1, one) for one in targets],
            [],
            False,
        )

    def admitted(
        self, service, route, **asked: Any
    ) -> request_context.AdmittedRequest:
        """Returns a request that the configuration allows."""
        facts = {
            "request_id": "r1",
            "time_left_s": route.timeout_s,
            "api_key": "",
            "prompt_tokens": 700,
            "max_output_tokens": 300,
            "expected_output_tokens": 200,
            "last_event_id": "",
            "forwarded": [(b"Host", b"drafts.example")],
            **asked,
        }
        return request_context.AdmittedRequest(
            FakeCaller(self.reactor),
            platform_adapter.RequestHeaders(**facts),
            route,
            service,
            "workspace",
            1,
            b"body",
            1,
        )

    def call(self, admitted: request_context.AdmittedRequest) -> calls.Call:
        """Begins a call."""
        made = calls.Call(
            self.context,
            calls.OutstandingRequests(),
            random.Random(1),
            admitted,
            self.over.append,
        )
        self._in_progress.append(made)
        made.start()
        return made

    def stream(
        self, admitted: request_context.AdmittedRequest
    ) -> streams.Stream:
        """Begins a stream."""
        made = streams.Stream(
            self.context, self.dispatcher, admitted, self.over.append
        )
        self._in_progress.append(made)
        made.start()
        return made

    def run(self, duration_s: float) -> None:
        """Lets time pass as it does in a process that is not held up."""
        for _ in range(
            round(duration_s / request_context.PROGRESS_CHECK_INTERVAL_S)
        ):
            self.reactor.advance(request_context.PROGRESS_CHECK_INTERVAL_S)
            for work in self._in_progress:
                work.check_progress(self.reactor.seconds())

    def connect(self) -> Sent:
        """Accepts the next connection that was opened."""
        host, port, factory, *_ = self.reactor.tcpClients[self._seen]
        self._seen += 1
        protocol = factory.buildProtocol(None)
        transport = Transport()
        protocol.makeConnection(transport)
        return Sent(port, protocol, transport)

    def refuse(self) -> int:
        """Refuses the next connection that was opened; returns its port."""
        host, port, factory, *_ = self.reactor.tcpClients[self._seen]
        self._seen += 1
        reason = failure.Failure(error.ConnectionRefusedError())
        factory.clientConnectionFailed(None, reason)
        return port

    def next_port(self) -> int:
        """Returns the port of the next connection that was opened."""
        return self.reactor.tcpClients[self._seen][1]

    def opened(self) -> int:
        """Returns how many opened connections were not yet looked at."""
        return len(self.reactor.tcpClients) - self._seen


def _dispatch_headers(asked, to):
    path = ",".join(
        f"{stage.target.name}={stage.first_layer}-{stage.end_layer}"
        for stage in to.path
    )
    return [
        *asked.forwarded,
        (b"Path", path.encode()),
        (b"Time-Left-S", f"{to.time_left_s:.1f}".encode()),
        (b"Last-Event-Id", to.last_event_id.encode()),
    ]


def _read_answer(status, headers):
    found = dict(headers)
    return platform_adapter.ResponseHead(
        found.get(b"Request-Id", b"").decode(),
        b"Not-Run" in found,
        b"Signature" in found,
        status == 421,
        found.get(b"Fault-At", b"").decode(),
        True,
    )


@pytest.fixture
def bench() -> Bench:
    """Parts around a request."""
    return Bench()


@pytest.fixture
def engine() -> fleet.Engine:
    """An engine of 80 layers, as on the users' platform."""
    return fleet.Engine(
        80, 1750.0, 1.836, 1.02, 0.01428, 0.01912, 105.0, 0.0918, 400_000.0,
        18_000.0, 3, 96, 14.0, 774.0, 203.0, ACCELERATORS,
    )  # fmt: skip


@pytest.fixture
def model_service(engine) -> model.Service:
    """A service whose targets hold layers."""
    return model.Service("model", "/health", 900, engine)


@pytest.fixture
def plain_service() -> model.Service:
    """A service without layers."""
    return model.Service("plain", "/health", 100, None)


@pytest.fixture
def stream_route() -> model.Route:
    """A route of streams that may be resumed."""
    return model.Route(
        "drafts", "drafts.example", "/", model.STREAMING, 20.0, 0.5, 1,
        (("model", 1.0),), 2, False, True, 0.2,
    )  # fmt: skip


@pytest.fixture
def booking_route() -> model.Route:
    """A route whose requests run once at most."""
    return model.Route(
        "booking", "drafts.example", "/", model.NON_IDEMPOTENT, 1.0, 0.2, 2,
        (("plain", 1.0),), 1, False, False, 1.0,
    )  # fmt: skip


@pytest.fixture
def lookup_route(booking_route) -> model.Route:
    """A route whose requests may be repeated."""
    return booking_route._replace(kind=model.IDEMPOTENT, max_targets=2)

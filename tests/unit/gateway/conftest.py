"""In-memory targets, engine, callers and connections for gateway tests."""

from collections.abc import Callable
import random
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock
from twisted.python import failure

from hemlocktiller._internal.gateway import calls
from hemlocktiller._internal.gateway import crashes
from hemlocktiller._internal.gateway import dispatcher as dispatcher_module
from hemlocktiller._internal.gateway import model
from hemlocktiller._internal.gateway import platform_adapter
from hemlocktiller._internal.gateway import request_context
from hemlocktiller._internal.gateway import streams
from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.gateway import waiting_calls
from hemlocktiller._internal.policy import budget
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import plain_loads
from hemlocktiller._internal.store import client
from tests.fakes import connections

ACCELERATORS = {
    kind.name: kind
    for kind in (
        fleet.Accelerator("fast", 72_000.0, 2.4, 3.2),
        fleet.Accelerator("middle", 43_200.0, 5.6, 2.7),
        fleet.Accelerator("slow", 21_600.0, 16.0, 8.2),
    )
}


def make_target(name: str, **fields: Any) -> fleet.Target:
    """Returns a target whose port is derived from its name."""
    port = 1024 + sum(name.encode()) * 7 % 60_000
    base = fleet.Target(
        name, "model", "10.0.0.1", port, "dc-a", fleet.READY, 96, 1, "fast"
    )
    return base._replace(**fields)


class FakeCallerRequest:
    """A caller's HTTP request that records the response."""

    def __init__(self, reactor: Any, method: bytes = b"POST") -> None:
        self.method = method
        self.uri = b"/drafts/1"
        self.received_at_s = reactor.seconds()
        self.is_response_started = False
        self.status = 0
        self.headers: platform_adapter.Headers = []
        self.body = b""
        self.ending = ""
        self.on_disconnect: Callable[[], None] = lambda: None
        factory = SimpleNamespace(clock=reactor)
        self.channel = SimpleNamespace(factory=factory)

    def start_response(
        self, status: int, headers: platform_adapter.Headers
    ) -> None:
        """Records the status and the headers."""
        assert not self.is_response_started
        self.is_response_started = True
        self.status, self.headers = status, headers

    def write(self, data: bytes) -> None:
        """Appends a part of the body."""
        assert self.is_response_started
        self.body += data

    def respond(
        self, status: int, headers: platform_adapter.Headers, body: bytes = b""
    ) -> None:
        """Records a complete response."""
        self.start_response(status, headers)
        self.write(body)
        self.finish_response()

    def finish_response(self) -> None:
        """Records that the response is complete."""
        assert not self.ending
        self.ending = "whole"

    def abort(self) -> None:
        """Records that the response was aborted."""
        assert not self.ending
        self.ending = "cut"

    def header(self, name: bytes) -> bytes:
        """Returns a response header, or b''."""
        return dict(self.headers).get(name, b"")


class GatewayHarness:
    """The gateway's request handling on a virtual clock, without a network.

    Attributes:
        finished: Calls and streams that have ended.
    """

    def __init__(self) -> None:
        self.reactor = MemoryReactorClock()
        self.reports: dict[int, bytes] = {}
        self.adapter = platform_adapter.PlatformAdapter(
            decode_request=lambda headers: None,
            encode_request_headers=_encode_request_headers,
            decode_response_head=_decode_response_head,
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
            waiting_calls.WaitingCalls(self.reactor, self.targets),
        )
        self.dispatcher = dispatcher_module.Dispatcher(
            self.reactor, self.targets, "dc-a", random.Random(1)
        )
        self.finished: list[Any] = []
        self._in_progress: list[Any] = []
        self.targets.on_down.append(
            lambda target, reason: request_context.handle_target_down(
                self.context, self._in_progress, target, reason
            )
        )
        self.context.crash_evidence.follow(self.targets)
        self._handled_count = 0

    def register(self, *targets: fleet.Target) -> None:
        """Applies registrations of targets from the store."""
        self.targets.apply_registrations(
            [client.StoredObject("t", one.name, 1, one) for one in targets],
            [],
            False,
            1,
        )

    def admit(
        self, service, route, **overrides: Any
    ) -> request_context.AdmittedRequest:
        """Returns a request that has passed admission.

        Args:
            service: The service that the request is for.
            route: The route that the request matched.
            **overrides: Fields of the decoded headers to replace.
        """
        header_fields = {
            "request_id": "r1",
            "time_left_s": route.timeout_s,
            "api_key": "",
            "prompt_tokens": 700,
            "max_output_tokens": 300,
            "expected_output_tokens": 200,
            "last_event_id": "",
            "forwarded": [(b"Host", b"drafts.example")],
            **overrides,
        }
        return request_context.AdmittedRequest(
            FakeCallerRequest(self.reactor),
            platform_adapter.RequestHeaders(**header_fields),
            route,
            service,
            "workspace",
            1,
            b"body",
            1,
        )

    def start_call(
        self, admitted: request_context.AdmittedRequest
    ) -> calls.Call:
        """Starts a call to a plain service."""
        call = calls.Call(
            self.context,
            plain_loads.PlainLoads(),
            random.Random(1),
            admitted,
            self.finished.append,
        )
        self._in_progress.append(call)
        call.start()
        return call

    def start_stream(
        self, admitted: request_context.AdmittedRequest
    ) -> streams.Stream:
        """Starts a stream from a model service."""
        stream = streams.Stream(
            self.context, self.dispatcher, admitted, self.finished.append
        )
        self._in_progress.append(stream)
        stream.start()
        return stream

    def advance_clock(self, duration_s: float) -> None:
        """Advances the clock with the periodic progress checks running.

        Advancing the reactor directly instead imitates a blocked process.
        """
        for _ in range(
            round(duration_s / request_context.PROGRESS_CHECK_INTERVAL_S)
        ):
            self.reactor.advance(request_context.PROGRESS_CHECK_INTERVAL_S)
            self.check_progress()

    def check_progress(self) -> None:
        """Runs the periodic progress checks once."""
        for call_or_stream in self._in_progress:
            call_or_stream.check_progress(self.reactor.seconds())

    def accept_connection(self) -> connections.TargetConnection:
        """Accepts the oldest pending connection."""
        connection = connections.accept(self.reactor, self._handled_count)
        self._handled_count += 1
        return connection

    def refuse_connection(self) -> int:
        """Refuses the oldest pending connection; returns its port."""
        host, port, factory, *_ = self.reactor.tcpClients[self._handled_count]
        self._handled_count += 1
        reason = failure.Failure(error.ConnectionRefusedError())
        factory.clientConnectionFailed(None, reason)
        return port

    def skip_cancelled_connections(self) -> None:
        """Drops the oldest pending connections that were cancelled."""
        while (
            self.pending_connection_count()
            and self.reactor.connectors[self._handled_count].stoppedConnecting
        ):
            self._handled_count += 1

    def next_port(self) -> int:
        """Returns the port of the oldest pending connection."""
        return self.reactor.tcpClients[self._handled_count][1]

    def pending_connection_count(self) -> int:
        """Returns how many connections are neither accepted nor refused."""
        return len(self.reactor.tcpClients) - self._handled_count


def _encode_request_headers(request_headers, dispatch):
    path = ",".join(
        f"{stage.target.name}={stage.first_layer}-{stage.end_layer}"
        for stage in dispatch.path
    )
    return [
        *request_headers.forwarded,
        (b"Path", path.encode()),
        (b"Time-Left-S", f"{dispatch.time_left_s:.1f}".encode()),
        (b"Last-Event-Id", dispatch.last_event_id.encode()),
    ]


def _decode_response_head(status, headers):
    by_name = dict(headers)
    return platform_adapter.ResponseHead(
        by_name.get(b"Request-Id", b"").decode(),
        b"Not-Run" in by_name,
        b"Signature" in by_name,
        status == 421,
        by_name.get(b"Fault-At", b"").decode(),
        True,
        b"Leaving" in by_name,
        float(by_name[b"Pause"]) if b"Pause" in by_name else None,
        b"Limit" in by_name,
        float(by_name[b"Limit"]) if b"Limit" in by_name else None,
        by_name.get(b"Target-Name", b"").decode(),
    )


@pytest.fixture
def harness() -> GatewayHarness:
    """Request handling without a network."""
    return GatewayHarness()


@pytest.fixture
def engine() -> fleet.Engine:
    """An engine of 80 layers, as in the users' deployment."""
    return fleet.Engine(
        80, 1750.0, 1.836, 1.02, 0.01428, 0.01912, 105.0, 0.0918, 400_000.0,
        18_000.0, 3, 96, 14.0, 774.0, 203.0, ACCELERATORS,
    )  # fmt: skip


@pytest.fixture
def model_service(engine) -> model.Service:
    """A model service, whose targets hold ranges of layers."""
    return model.Service("model", "/health", 900, engine)


@pytest.fixture
def plain_service() -> model.Service:
    """A plain service, whose targets hold no layers."""
    return model.Service("plain", "/health", 100, None)


@pytest.fixture
def stream_route() -> model.Route:
    """A route for resumable streams."""
    return model.Route(
        "drafts", "drafts.example", "/", model.STREAMING, 20.0, 0.5, 1,
        (("model", 1.0),), 2, False, True, 0.2,
    )  # fmt: skip


@pytest.fixture
def booking_route() -> model.Route:
    """A route for requests that must run at most once."""
    return model.Route(
        "booking", "drafts.example", "/", model.NON_IDEMPOTENT, 1.0, 0.2, 2,
        (("plain", 1.0),), 1, False, False, 1.0,
    )  # fmt: skip


@pytest.fixture
def lookup_route(booking_route) -> model.Route:
    """A route for idempotent requests, which may be retried."""
    return booking_route._replace(kind=model.IDEMPOTENT, max_targets=2)

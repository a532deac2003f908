"""The gateway application: admission, readiness, reload and shutdown."""

from types import SimpleNamespace

import pytest
from twisted.internet import defer
from twisted.internet.testing import MemoryReactorClock

from hemlocktiller._internal.gateway import app
from hemlocktiller._internal.gateway import model
from hemlocktiller._internal.gateway import platform_adapter
from hemlocktiller._internal.gateway import startup_queue
from tests.unit.gateway.conftest import FakeCallerRequest
from tests.unit.gateway.conftest import make_target

CALLER_LIMITS = model.CallerLimits(16_384, 1_000, 3.0, 15.0)


class UnresponsiveStore:
    """A store whose calls never complete."""

    writer = "w"
    settings = {"retry_min_s": 0.1, "retry_max_s": 0.5}  # noqa: RUF012

    def __init__(self, reactor):
        self.reactor = reactor
        self.on_new_era = []
        self.learned_eras = []

    def learn_era(self, era):
        """Records an era that a peer's message has told."""
        self.learned_eras.append(era)

    def is_current(self, version):
        """Returns that no version is outdated."""
        return True

    def __getattr__(self, name):
        return lambda *args, **options: defer.Deferred()


def make_settings(**changes):
    address = app.Address("127.0.0.1", 0)
    settings = app.Settings(
        name="gateway-1",
        data_centre="dc-a",
        callers=address,
        readiness=address,
        readiness_path="/ready",
        metrics=None,
        store={"watch_timeout_s": 2.0},
        follower_watch_s=10.0,
        config_kind="config",
        config_name="main",
        target_kind="targets",
        retry_ratio=0.2,
        retry_extra=200.0,
        retry_window_s=10.0,
        stop_grace_s=8.0,
        drain_bound_s=2.0,
        config_bound_s=2.0,
        links={"secret": "s"},
        links_address=address,
    )
    return settings._replace(**changes)


def decode_fake_request(headers):
    forwarded = headers.get("forwarded", [(b"Host", b"drafts.example")])
    return platform_adapter.RequestHeaders(
        "r1", 5.0, headers.get("key", ""), 9, 9, 9, "", forwarded
    )


@pytest.fixture
def gateway(harness):
    """A gateway that has not been started, with one plain target."""
    reactor = MemoryReactorClock()
    app_gateway = app.Gateway(
        reactor,
        make_settings(),
        harness.adapter._replace(decode_request=decode_fake_request),
        UnresponsiveStore(reactor),
        lambda: make_settings(stop_grace_s=20.0, name="other"),
    )
    target = make_target("a", service="plain", accelerator="")
    app_gateway.targets.by_name["a"] = target
    app_gateway.targets.is_loaded = True
    return app_gateway


@pytest.fixture
def catalog(booking_route, plain_service):
    """A configuration with one route and one workspace."""
    return model.Catalog(
        3,
        {"drafts.example": (booking_route,)},
        {"plain": plain_service},
        {"good": model.Workspace("w", None)},
        CALLER_LIMITS,
    )


def serve_request(gateway, key="good", host=b"drafts.example:80", **headers):
    """Serves a request; returns the fake that records the response."""
    caller = FakeCallerRequest(gateway._reactor)
    caller.requestHeaders = {"key": key, **headers}
    caller.getHeader = lambda name: host
    caller.read_body = lambda: b""
    caller.channel = SimpleNamespace()
    gateway.serve(caller)
    return caller


def test_requests_are_held_then_refused_without_a_configuration(gateway):
    caller = serve_request(gateway)
    assert caller.status == 0
    gateway._reactor.advance(startup_queue.HOLD_TIMEOUT_S)
    assert caller.status == 503
    assert float(caller.header(b"Retry-After")) > 0


def test_a_held_request_is_served_once_the_configuration_arrives(
    gateway, catalog
):
    caller = serve_request(gateway)
    gateway._reactor.advance(startup_queue.HOLD_TIMEOUT_S / 2)
    gateway._apply_config(catalog)
    assert len(gateway._reactor.tcpClients) == 1
    gateway._reactor.advance(startup_queue.HOLD_TIMEOUT_S)
    assert caller.status == 0


def test_a_held_request_is_dropped_when_its_caller_disconnects(
    gateway, catalog
):
    caller = serve_request(gateway)
    caller.on_disconnect()
    gateway._apply_config(catalog)
    assert not gateway._reactor.tcpClients


def test_an_unknown_key_is_rejected(gateway, catalog):
    gateway._apply_config(catalog)
    assert serve_request(gateway, key="bad").status == 401


def test_an_unknown_host_has_no_route(gateway, catalog):
    gateway._apply_config(catalog)
    assert serve_request(gateway, host=b"other.example").status == 404


def test_a_known_key_is_served(gateway, catalog):
    gateway._apply_config(catalog)
    serve_request(gateway)
    assert len(gateway._reactor.tcpClients) == 1


@pytest.mark.parametrize(
    "headers",
    [[], [(b"Host", b"a"), (b"Bad Name", b"x")], [(b"Host", b"a\x00b")]],
)
def test_headers_that_cannot_be_forwarded_are_rejected(
    gateway, catalog, headers
):
    gateway._apply_config(catalog)
    assert serve_request(gateway, forwarded=headers).status == 400
    assert not gateway._reactor.tcpClients


def test_public_routes_need_no_key(gateway, catalog, booking_route):
    public = booking_route._replace(is_public=True)
    routes = {"drafts.example": (public,)}
    gateway._apply_config(catalog._replace(routes=routes))
    serve_request(gateway, key="")
    assert len(gateway._reactor.tcpClients) == 1


def test_an_older_configuration_is_not_applied(gateway, catalog):
    gateway._apply_config(catalog)
    assert not gateway._apply_config(catalog._replace(version=2))
    assert gateway.catalog.version == 3


def test_a_configuration_that_cannot_be_decoded_is_not_applied(
    gateway, catalog
):
    gateway._apply_config(catalog)

    def decode_invalid(value):
        raise ValueError("broken")

    gateway._adapter = gateway._adapter._replace(decode_catalog=decode_invalid)
    assert not gateway._apply_config(object())
    assert gateway.catalog.version == 3


def test_the_gateway_is_ready_once_it_has_routes_and_targets(gateway, catalog):
    assert gateway._render_page("/ready")[0] == 503
    gateway.targets.is_loaded = False
    gateway._apply_config(catalog)
    assert gateway._render_page("/ready")[0] == 503
    gateway.targets.is_loaded = True
    assert gateway._render_page("/ready")[0] == 200


def test_metrics_are_served(gateway):
    status, _, body = gateway._render_page("/metrics")
    assert status == 200
    assert b"hemlocktiller_gateway_answers" in body


def test_a_reload_applies_only_settings_that_need_no_restart(gateway):
    gateway.reload()
    assert gateway._settings.stop_grace_s == 20.0
    assert gateway._settings.name == "gateway-1"


def test_a_reload_of_an_invalid_file_keeps_the_settings(gateway):
    def read_invalid_settings():
        raise ValueError("no such field")

    gateway._read_settings = read_invalid_settings
    gateway.reload()
    assert gateway._settings == make_settings()


def test_the_retry_budget_is_divided_among_gateways(gateway):
    gateway._peers._registered_names = {f"gateway-{i}" for i in range(31)}
    gateway._update_retry_limits()
    retry_count = 0
    while gateway._retry_budget_for("plain").try_retry(0.0):
        retry_count += 1
        assert retry_count < 1_000
    settings = make_settings()
    assert retry_count * 31 <= settings.retry_extra


def test_a_request_during_shutdown_gets_a_retry_after(gateway, catalog):
    gateway._apply_config(catalog)
    gateway._ports = [SimpleNamespace(stopListening=lambda: None)]
    gateway._check_loop.start(1.0, now=False)
    gateway._reload_loop.start(1.0, now=False)
    gateway._target_poll_loop.start(1.0, now=False)
    gateway._lease.release = lambda: defer.succeed(None)
    first = serve_request(gateway)
    gateway.stop()
    for _ in range(60):
        gateway._reactor.advance(0.05)
    assert first.status == 504
    late = serve_request(gateway)
    assert late.status == 503
    # Another gateway can serve the request immediately.
    assert 0 < float(late.header(b"Retry-After")) <= 0.1


def test_only_a_watcher_polls_the_store_often(gateway):
    timeouts_s = gateway._store.watch_timeouts_s = {}
    pauses_s = gateway._store.watch_pauses_s = {}
    gateway._on_watcher_changed(False)
    assert timeouts_s == {"config": 10.0, "targets": 10.0}
    # A change is still known within its bound if no watcher sends it.
    settings = gateway._settings
    assert pauses_s["config"] <= settings.config_bound_s / 2
    assert pauses_s["targets"] <= settings.drain_bound_s / 2
    gateway._on_watcher_changed(True)
    assert timeouts_s == {}
    assert pauses_s == {}


def test_the_shared_rule_of_calls_to_the_store_follows_the_configuration(
    gateway, catalog, booking_route
):
    gateway._apply_config(catalog)
    assert not gateway._store_backoff.is_shared
    routes = (booking_route, booking_route._replace(name="b", priority=7))
    gateway._apply_config(
        catalog._replace(version=4, routes={"drafts.example": routes})
    )
    assert gateway._store_backoff.is_shared
    gateway._apply_config(catalog._replace(version=5))
    assert not gateway._store_backoff.is_shared

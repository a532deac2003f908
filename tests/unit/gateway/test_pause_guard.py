"""A gateway that was paused starts no new work on what it knew before."""

import pytest
from twisted.internet import defer
from twisted.internet import task

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.gateway import pause_guard
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.store import client
from tests.unit.gateway.conftest import make_target
from tests.unit.gateway.test_app import catalog  # noqa: F401
from tests.unit.gateway.test_app import gateway  # noqa: F401
from tests.unit.gateway.test_app import serve_request


class Guarded:
    """A pause guard, with the reads that it makes.

    Attributes:
        clock: Clock of timers, which stands still during a pause.
        boot_time_s: Time that also counts pauses.
        reads: Deferreds of the reads of the store.
        refreshed_count: How often new work was allowed again.
    """

    def __init__(self):
        self.clock = task.Clock()
        self.boot_time_s = 100.0
        self.reads = []
        self.refreshed_count = 0
        self.guard = pause_guard.PauseGuard(
            self.clock,
            self._read,
            self._on_refreshed,
            lambda: self.boot_time_s,
        )
        self.guard.tick()

    def _read(self):
        self.reads.append(defer.Deferred())
        return self.reads[-1]

    def _on_refreshed(self):
        self.refreshed_count += 1

    def pause(self, duration_s):
        """Pauses the process."""
        self.boot_time_s += duration_s


@pytest.fixture
def guarded():
    return Guarded()


def test_a_short_delay_of_the_loop_is_no_pause(guarded):
    guarded.pause(pause_guard.MIN_PAUSE_S - 0.1)
    assert not guarded.guard.is_outdated()
    guarded.guard.tick()
    guarded.pause(pause_guard.MIN_PAUSE_S - 0.1)
    assert not guarded.guard.is_outdated()


def test_work_after_a_pause_waits_for_the_store(guarded):
    guarded.pause(3.0)
    assert guarded.guard.is_outdated()
    assert len(guarded.reads) == 1
    assert guarded.guard.is_outdated()
    guarded.reads[0].callback(None)
    assert not guarded.guard.is_outdated()
    assert (len(guarded.reads), guarded.refreshed_count) == (1, 1)


def test_a_pause_is_also_found_by_the_next_tick(guarded):
    guarded.pause(3.0)
    guarded.guard.tick()
    assert len(guarded.reads) == 1
    assert guarded.guard.is_outdated()


def test_without_an_answer_work_goes_on_soon(guarded):
    guarded.pause(3.0)
    assert guarded.guard.is_outdated()
    guarded.clock.advance(pause_guard.MAX_REFRESH_S)
    assert not guarded.guard.is_outdated()
    guarded.reads[0].callback(None)
    assert guarded.refreshed_count == 1


@pytest.fixture
def paused_gateway(gateway, catalog, monkeypatch):  # noqa: F811
    """A gateway that serves, and was paused for three seconds just now."""
    gateway._apply_config(catalog)
    now_s = [100.0]
    gateway._pause_guard._boot_time_s = lambda: now_s[0]
    gateway._pause_guard.tick()
    now_s[0] += 3.0
    return gateway


def answer_reads(paused_gateway, *listed):
    """Lets the store answer a listing of targets and an unchanged config."""
    listing = client.Listing(
        9, [client.StoredObject("t", one.name, 9, one) for one in listed]
    )
    paused_gateway._store.read_all = lambda kind: defer.succeed(listing)
    paused_gateway._store.read = lambda kind, name: defer.succeed(None)


def test_a_target_that_drained_during_a_pause_gets_no_call(paused_gateway):
    answer_reads(
        paused_gateway,
        make_target(
            "a", service="plain", accelerator="", state=fleet.DRAINING
        ),
        make_target("b", service="plain", accelerator="", port=2222),
    )
    serve_request(paused_gateway)
    (connection,) = paused_gateway._reactor.tcpClients
    assert connection[1] == 2222


def test_a_key_revoked_during_a_pause_is_rejected(
    paused_gateway,
    catalog,  # noqa: F811
):
    answer_reads(paused_gateway, make_target("a", service="plain"))
    newest = catalog._replace(version=4, workspaces={})
    stored = client.StoredObject("config", "main", 9, newest)
    paused_gateway._store.read = lambda kind, name: defer.succeed(stored)
    assert serve_request(paused_gateway).status == 401


def test_requests_are_held_while_the_store_is_read(paused_gateway):
    caller = serve_request(paused_gateway)
    assert not paused_gateway._reactor.tcpClients
    paused_gateway._reactor.advance(pause_guard.MAX_REFRESH_S + 0.01)
    assert len(paused_gateway._reactor.tcpClients) == 1
    assert caller.status == 0


def test_requests_are_served_if_the_store_fails_after_a_pause(paused_gateway):
    def fail(*call):
        return defer.fail(exceptions.StoreUnavailable("down"))

    paused_gateway._store.read_all = paused_gateway._store.read = fail
    serve_request(paused_gateway)
    assert len(paused_gateway._reactor.tcpClients) == 1

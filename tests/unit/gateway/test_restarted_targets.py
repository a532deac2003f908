"""A target's next process is not taken for the one that a request crashed."""

import itertools
import random
from typing import NamedTuple

import pytest

from hemlocktiller._internal.gateway import crashes
from hemlocktiller._internal.gateway import model
from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import suspects
from hemlocktiller._internal.store import client
from tests.unit.gateway.conftest import GatewayHarness
from tests.unit.gateway.conftest import make_target
from tests.unit.gateway.test_calls import make_plain_target
from tests.unit.gateway.test_peers import FakeLink
from tests.unit.gateway.test_target_ends import end_by_refusal
from tests.unit.gateway.test_target_ends import store_registration

STEP_S = 0.05
CONTACT_BOUND_S = 3.0
ALLOWED_LATE_ARRIVALS = 3
NEVER_S = 1e6
HEALTH_PAGE = (
    b"HTTP/1.1 200 OK\r\nTarget-Name: %s\r\nContent-Length: 0\r\n\r\n"
)
ANSWER = (
    b"HTTP/1.1 200 OK\r\nSignature: s\r\nRequest-Id: r1\r\n"
    b"Content-Length: 4\r\n\r\ndone"
)
DIGEST = 7


class Restart(NamedTuple):
    """How a target comes back after a crash.

    Attributes:
        after_s: When its next process listens.
        first_beat_s: When that one registers, after it listens.
        has_new_name: Whether it registers by another name.
    """

    after_s: float
    first_beat_s: float
    has_new_name: bool = False


class _Process:
    """A process that listens at an address, or is about to."""

    def __init__(self, name, born_ms, listens_s):
        self.name = name
        self.born_ms = born_ms
        self.listens_s = listens_s


class _Fleet:
    """Plain targets that one request crashes, and the gateways before them.

    Attributes:
        arrivals_s: When the request reached a target.
        crashes_s: When it crashed one.
    """

    def __init__(self, gateway_count, restart, resets=None):
        """Starts three targets.

        Args:
            gateway_count: Number of gateways.
            restart: How a target listens again.
            resets: Number of runs of the request that live targets reset, and
                then refuse connections for a while; None if each crashes one.
        """
        self.gateways = [GatewayHarness() for _ in range(gateway_count)]
        self.restart = restart
        self.resets_left = resets
        self.now_s = 0.0
        self.version = 0
        self.arrivals_s: list[float] = []
        self.crashes_s: list[float] = []
        self._born_ms = itertools.count(1000)
        self._names = itertools.count()
        self._registrations: list[tuple[float, str, fleet.Target]] = []
        self._processes: dict[int, _Process] = {}
        self._links_into(self.gateways)
        for number in range(3):
            target = make_plain_target(f"p{number}")
            process = _Process(target.name, next(self._born_ms), 0.0)
            self._processes[target.port] = process
            self._register_at(0.0, target.port, process)
        self.run(0.1)

    def _links_into(self, gateways):
        for one, other in itertools.permutations(gateways, 2):
            feed = one.context.crash_evidence.feed
            link = FakeLink(f"gateway-{gateways.index(other)}")
            peer_feed = other.context.crash_evidence.feed
            back = FakeLink(f"gateway-{gateways.index(one)}")
            link.send = lambda message, frame=None, to=peer_feed, by=back: (
                to.on_message(by, message)
            )
            feed.on_open(link)

    def _register_at(self, time_s, port, process):
        target = make_plain_target(process.name)._replace(
            port=port, born_ms=process.born_ms
        )
        self._registrations.append((time_s, process.name, target))

    def run(self, duration_s):
        """Lets time pass."""
        for _ in range(round(duration_s / STEP_S)):
            self.now_s += STEP_S
            for gateway in self.gateways:
                gateway.reactor.advance(STEP_S)
            self._answer_connections()
            self._apply_registrations()

    def _apply_registrations(self):
        for entry in list(self._registrations):
            time_s, name, target = entry
            is_there = self._processes[target.port].born_ms == target.born_ms
            if time_s > self.now_s:
                continue
            self._registrations.remove(entry)
            if not is_there:
                continue
            self.version += 1
            for gateway in self.gateways:
                gateway.targets.apply_registrations(
                    [client.StoredObject("t", name, self.version, target)],
                    [],
                    False,
                    self.version,
                )

    def _answer_connections(self):
        for gateway in self.gateways:
            while gateway.pending_connection_count():
                self._answer(gateway)

    def _answer(self, gateway):
        process = self._processes[gateway.next_port()]
        if process.listens_s > self.now_s:
            gateway.refuse_connection()
            return
        connection = gateway.accept_connection()
        sent = connection.transport.value()
        if b"/health" in sent:
            connection.respond(HEALTH_PAGE % process.name.encode())
        elif self.resets_left == 0:
            connection.respond(ANSWER)
        else:
            self.arrivals_s.append(self.now_s)
            self._reset(connection)

    def _reset(self, connection):
        """Resets the connection of a request, as its target may crash."""
        process = self._processes[connection.port]
        process.listens_s = self.now_s + self.restart.after_s
        if self.resets_left is None:
            self.crashes_s.append(self.now_s)
            if self.restart.has_new_name:
                process.name = f"{process.name}-{next(self._names)}"
            process.born_ms = next(self._born_ms)
            self._register_at(
                process.listens_s + self.restart.first_beat_s,
                connection.port,
                process,
            )
        else:
            self.resets_left -= 1
        connection.reset()

    def call(self, gateway, service, route):
        """Sends the request to a gateway; returns its status after 1 s."""
        admitted = gateway.admit(service, route)
        gateway.start_call(admitted)
        self._answer_connections()
        self.run(1.0)
        return admitted.caller_request.status


# Guards against a request that crashes plain targets without end, as the
# health page of each restarted one withdrew the death of the one before.
@pytest.mark.parametrize("gateway_count", [1, 2, 3])
@pytest.mark.parametrize("has_new_name", [False, True])
@pytest.mark.parametrize("first_beat_s", [0.0, 0.6, 3.0, NEVER_S])
@pytest.mark.parametrize("after_s", [0.05, 0.3, 0.7, 2.0, 5.0])
def test_a_request_that_crashes_restarted_plain_targets_is_stopped(
    plain_service,
    lookup_route,
    after_s,
    first_beat_s,
    has_new_name,
    gateway_count,
):
    crashing = _Fleet(
        gateway_count, Restart(after_s, first_beat_s, has_new_name)
    )
    rng = random.Random(1)
    for _ in range(25):
        crashing.call(
            rng.choice(crashing.gateways), plain_service, lookup_route
        )
        crashing.run(5.0)
    assert len(crashing.crashes_s) >= 2
    third_s = [*crashing.crashes_s, NEVER_S, NEVER_S][2]
    late = [
        at_s
        for at_s in crashing.arrivals_s
        if at_s > third_s + CONTACT_BOUND_S
    ]
    assert len(late) <= ALLOWED_LATE_ARRIVALS, late


# Guards against a sound request that is rejected for as long as evidence
# lives, as live targets reset it and refused the probes that followed.
@pytest.mark.parametrize("gateway_count", [1, 2, 3])
@pytest.mark.parametrize("resets", [1, 2, 3])
@pytest.mark.parametrize("after_s", [0.05, 0.7, 2.0, 5.0])
def test_a_sound_request_that_live_plain_targets_reset_is_served(
    plain_service, lookup_route, after_s, resets, gateway_count
):
    live = _Fleet(gateway_count, Restart(after_s, NEVER_S), resets=resets)
    for gateway in live.gateways:
        for _ in range(6):
            status = live.call(gateway, plain_service, lookup_route)
            if status == 200:
                break
            live.run(5.0)
        assert status == 200
    digest = crashes.digest("workspace", b"/drafts/1", b"body")
    for gateway in live.gateways:
        assert gateway.context.crash_evidence.state(digest) == "clear"


def record_crashes(harness, *names):
    """Records that targets went down under a request, past the decision."""
    for name in names:
        harness.context.crash_evidence.record_target_down(
            harness.targets.by_name[name], {DIGEST: "r1"}
        )
    harness.reactor.advance(suspects.CONDEMNATION_DELAY_S)


def state(harness):
    """Returns the state of the request."""
    return harness.context.crash_evidence.state(DIGEST)


def make_model_target(name):
    """Returns a model target that tells no start time."""
    return make_target(name, born_ms=0)


@pytest.mark.parametrize("make", [make_plain_target, make_model_target])
def test_an_answer_without_a_start_time_puts_a_death_in_doubt(harness, make):
    harness.targets._adapter = harness.adapter._replace(
        decode_report=lambda body: model.TargetReport(0, 0, False, 1.0, 0, 0)
    )
    harness.register(make("a"), make("b"))
    target = end_by_refusal(harness, "a")
    record_crashes(harness, "a", "b")
    assert state(harness) == "condemned"
    harness.reactor.advance(targets_module.PROBE_INTERVAL_S)
    harness.accept_connection().respond(HEALTH_PAGE % b"")
    assert not harness.targets.has_ended(target)
    assert state(harness) == "half_open"


@pytest.mark.parametrize("make", [make_plain_target, make_target])
def test_a_registration_written_before_the_end_is_no_survival(harness, make):
    harness.register(make("a"), make("b"))
    target = end_by_refusal(harness, "a")
    record_crashes(harness, "a", "b")
    late_write = target._replace(state=fleet.DRAINING)
    store_registration(harness, late_write, 2)
    assert state(harness) == "half_open"


def test_a_restart_confirms_a_death_in_doubt(harness):
    harness.register(make_plain_target("a"), make_plain_target("b"))
    target = end_by_refusal(harness, "a")
    record_crashes(harness, "a", "b")
    harness.reactor.advance(targets_module.PROBE_INTERVAL_S)
    harness.accept_connection().respond(HEALTH_PAGE % b"")
    link = FakeLink("gateway-2")
    feed = harness.context.crash_evidence.feed
    feed.on_open(link)
    ((told,),) = [message["entries"] for message in link.sent]
    assert told["targets"] == ["b/1"]
    store_registration(harness, target._replace(born_ms=9), 2)
    assert state(harness) == "condemned"
    (told,) = link.sent[1]["entries"]
    assert told["targets"] == ["a/1", "b/1"]


def test_a_death_after_one_in_doubt_is_another_one(harness):
    harness.register(make_plain_target("a"))
    for _ in range(2):
        target = end_by_refusal(harness, "a")
        harness.context.crash_evidence.record_target_down(
            target, {DIGEST: "r1"}
        )
        harness.reactor.advance(targets_module.PROBE_INTERVAL_S)
        harness.accept_connection().respond(HEALTH_PAGE % b"")
    harness.reactor.advance(suspects.CONDEMNATION_DELAY_S)
    assert state(harness) == "half_open"


def test_a_start_time_shows_that_a_target_in_doubt_has_survived(harness):
    harness.register(make_target("a"), make_target("b"))
    target = end_by_refusal(harness, "a")
    record_crashes(harness, "a", "b")
    late_write = target._replace(state=fleet.DRAINING)
    store_registration(harness, late_write, 2)
    harness.targets.probe_suspect(late_write, "test")
    harness.accept_connection().respond(HEALTH_PAGE % b"")
    assert state(harness) == "suspect"


@pytest.mark.parametrize("is_registered", [False, True])
def test_a_health_page_of_another_target_shows_the_end(harness, is_registered):
    harness.register(make_plain_target("a"))
    target = harness.targets.by_name["a"]
    if is_registered:
        harness.targets.probe_suspect(target, "test")
    else:
        harness.targets.apply_registrations([], ["a"], False, 2)
        harness.targets.record_connection_lost(target)
    harness.accept_connection().respond(HEALTH_PAGE % b"z")
    assert harness.targets.has_ended(target)
    assert not harness.targets.available("plain")


# Guards against a popular sound request that counts as a suspect, since its
# connection to a crashed target was lost after the end was known.
def test_a_connection_lost_after_the_end_is_no_evidence_of_another_death(
    harness, plain_service, booking_route
):
    harness.register(make_plain_target("a"))
    call = harness.start_call(harness.admit(plain_service, booking_route))
    connection = harness.accept_connection()
    target = end_by_refusal(harness, "a")
    evidence = harness.context.crash_evidence
    assert evidence.state(call.digest) == "suspect"
    evidence.record_first_data(call.digest)
    connection.reset()
    harness.reactor.advance(targets_module.PROBE_INTERVAL_S)
    harness.accept_connection().respond(HEALTH_PAGE % b"")
    harness.reactor.advance(1.0)
    store_registration(harness, target._replace(born_ms=9), 2)
    assert evidence.state(call.digest) == "clear"

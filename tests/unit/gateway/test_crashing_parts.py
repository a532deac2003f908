"""Requests that share a prompt part that crashes targets are rejected."""

import json
import random

import pytest

from hemlocktiller._internal.gateway import model
from hemlocktiller._internal.gateway import peers as peers_module
from hemlocktiller._internal.gateway import request_context
from hemlocktiller._internal.links import codec
from hemlocktiller._internal.store import client
from tests.unit.gateway.conftest import GatewayHarness
from tests.unit.gateway.conftest import make_target
from tests.unit.gateway.test_peers import LinkedGateway
from tests.unit.gateway.test_streams import chunk
from tests.unit.gateway.test_streams import event
from tests.unit.gateway.test_streams import RESPONSE_END
from tests.unit.gateway.test_streams import RESPONSE_HEAD

FIRST, CRASHING = 0xF1, 0xC1
SOUND = tuple(range(0x50, 0x5A))
CHAIN_COUNT = 8
STEP_S = 0.02
STEPS_PER_CHECK = round(request_context.PROGRESS_CHECK_INTERVAL_S / STEP_S)
LINK_LATENCY_S = 0.02
CRASH_DELAY_S = 0.06
ANSWER_DELAY_S = 0.1
RESTART_DELAY_S = 2.5
SOUND_INTERVAL_S = 0.1
CRASHING_INTERVAL_S = 0.3


class BridgeLink:
    """A link in one direction, whose messages arrive after a delay."""

    def __init__(self, play, name, receiver):
        self.peer = {"name": name, "config_version": 0}
        self.is_open = True
        self.reverse = None
        self._play = play
        self._receiver = receiver

    def peer_accepts(self, message_type):
        """Returns whether the peer has a type of message: it has all."""
        return True

    def send(self, message, frame=None):
        """Sends a message, which must be valid."""
        received = codec.decode(frame or codec.encode(message))
        self._play.call_later(
            LINK_LATENCY_S,
            lambda: self._receiver.peers._on_message(self.reverse, received),
        )


class Play:
    """Gateways and simulated targets, and the requests sent to them.

    A first target is lost as it begins to answer a request whose body starts
    with `crash`, and is started again some seconds later.

    Attributes:
        now_s: Time of all clocks.
        crash_times_s: Times at which targets were lost.
        crashing_arrivals_s: Times at which crashing requests reached targets.
        sound: Sound requests by the time at which they were sent.
    """

    def __init__(self, gateway_count, service, route):
        self.now_s = 0.0
        self.crash_times_s = []
        self.crashing_arrivals_s = []
        self.sound = []
        self._service = service
        self._route = route._replace(max_targets=2)
        self._rng = random.Random(7)
        self._calls = []
        self._version = 0
        self._request_count = 0
        self._step_count = 0
        self._lost_ports = set()
        self._open_by_port = {}
        self._targets = {
            f"{chain}{first}": make_target(
                f"{chain}{first}",
                first_layer=first,
                end_layer=first + 40,
                port=4000 + 100 * index + first,
                born_ms=1,
            )
            for index, chain in enumerate("abcdefgh"[:CHAIN_COUNT])
            for first in (0, 40)
        }
        self.harnesses = [GatewayHarness() for _ in range(gateway_count)]
        for harness in self.harnesses:
            harness.targets._adapter = harness.adapter._replace(
                decode_report=lambda body: model.TargetReport(
                    json.loads(body), 0, False, 1.0, 0, 0
                )
            )
        self._register(self._targets.values())
        self._link_gateways()

    def call_later(self, delay_s, function):
        """Calls a function after a delay."""
        self._calls.append((self.now_s + delay_s, function))

    def send(self, index, parts, body):
        """Sends a request to a gateway; returns its fake."""
        harness = self.harnesses[index]
        self._request_count += 1
        admitted = harness.admit(
            self._service, self._route, prompt_parts=parts
        )
        admitted = admitted._replace(
            body=body + str(self._request_count).encode()
        )
        harness.start_stream(admitted)
        return admitted.caller_request

    def run(
        self,
        duration_s,
        crashing=(),
        is_sound=True,
        crashing_interval_s=CRASHING_INTERVAL_S,
    ):
        """Lets requests arrive at all gateways in turn.

        Args:
            duration_s: How long.
            crashing: Gateways that crashing requests arrive at, or none.
            is_sound: Whether sound requests arrive.
            crashing_interval_s: Time between crashing requests.
        """
        end_s = self.now_s + duration_s
        sound_s = crashing_s = self.now_s
        while self.now_s < end_s:
            if is_sound and self.now_s >= sound_s:
                sound_s += SOUND_INTERVAL_S
                self._send_sound()
            if crashing and self.now_s >= crashing_s:
                crashing_s += crashing_interval_s
                parts = (FIRST, CRASHING, self._rng.choice(SOUND))
                self.send(self._rng.choice(crashing), parts, b"crash ")
            self._advance()

    def served_share(self, start_s):
        """Returns the share of sound requests served, of those sent since."""
        sent = [caller for time_s, caller in self.sound if time_s >= start_s]
        return sum(caller.ending == "whole" and caller.status == 200
                   for caller in sent) / len(sent)  # fmt: skip

    def _send_sound(self):
        index = self._rng.randrange(len(self.harnesses))
        parts = (FIRST, self._rng.choice(SOUND))
        self.sound.append((self.now_s, self.send(index, parts, b"sound ")))

    def _advance(self):
        self.now_s += STEP_S
        self._step_count += 1
        due = [call for call in self._calls if call[0] <= self.now_s]
        self._calls = [call for call in self._calls if call[0] > self.now_s]
        for _, function in due:
            function()
        for harness in self.harnesses:
            harness.reactor.advance(STEP_S)
            if self._step_count % STEPS_PER_CHECK == 0:
                harness.check_progress()
            while harness.pending_connection_count():
                self._answer_connection(harness)

    def _answer_connection(self, harness):
        port = harness.next_port()
        if port in self._lost_ports:
            harness.refuse_connection()
            return
        connection = harness.accept_connection()
        text = connection.transport.value()
        if text.startswith(b"GET "):
            born_ms = b"%d" % self._target_at(port).born_ms
            connection.respond(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                % (len(born_ms), born_ms)
            )
            return
        self._open_by_port.setdefault(port, []).append(connection)
        if b"crash " in text:
            self.crashing_arrivals_s.append(self.now_s)
            self.call_later(CRASH_DELAY_S, lambda: self._crash(port))
            return
        self.call_later(ANSWER_DELAY_S, lambda: self._answer(port, connection))

    def _answer(self, port, connection):
        if connection in self._open_by_port.get(port, []):
            self._open_by_port[port].remove(connection)
            connection.respond(RESPONSE_HEAD + chunk(event(1)) + RESPONSE_END)

    def _crash(self, port):
        if port in self._lost_ports:
            return
        self.crash_times_s.append(self.now_s)
        self._lost_ports.add(port)
        for connection in self._open_by_port.pop(port, []):
            connection.reset()
        self.call_later(RESTART_DELAY_S, lambda: self._restart(port))

    def _restart(self, port):
        self._lost_ports.discard(port)
        target = self._target_at(port)
        target = target._replace(born_ms=target.born_ms + 1)
        self._targets[target.name] = target
        self._register([target])

    def _target_at(self, port):
        return next(
            target for target in self._targets.values() if target.port == port
        )

    def _register(self, targets):
        self._version += 1
        for harness in self.harnesses:
            harness.targets.apply_registrations(
                [
                    client.StoredObject("t", one.name, self._version, one)
                    for one in targets
                ],
                [],
                False,
                self._version,
            )

    def _link_gateways(self):
        if len(self.harnesses) < 2:
            return
        first, second = [
            LinkedGateway(harness, peers_module.StoredCatalog(1, {}))
            for harness in self.harnesses
        ]
        there = BridgeLink(self, "second", second)
        back = BridgeLink(self, "first", first)
        there.reverse, back.reverse = back, there
        first.peers._on_open(there)
        second.peers._on_open(back)


@pytest.fixture
def make_play(model_service, stream_route):
    """Returns a function that makes a play with a number of gateways."""
    return lambda count: Play(count, model_service, stream_route)


def arrivals_after_fifth_crash(play):
    if len(play.crash_times_s) < 5:
        return []
    fifth_s = play.crash_times_s[4]
    return [time_s for time_s in play.crashing_arrivals_s if time_s > fifth_s]


@pytest.mark.parametrize("warm_up_s", [0.0, 3.0])
@pytest.mark.parametrize("gateway_count", [1, 2])
def test_different_requests_with_one_part_do_not_crash_target_after_target(
    make_play, gateway_count, warm_up_s
):
    play = make_play(gateway_count)
    play.run(warm_up_s)
    play.run(20.0, crashing=range(gateway_count))
    assert len(play.crash_times_s) >= 3
    assert len(arrivals_after_fifth_crash(play)) <= 3
    play.run(2.0, is_sound=False)
    assert play.served_share(10.0) > 0.95


@pytest.mark.parametrize("gateway_count", [1, 2])
def test_a_part_that_crashes_all_targets_at_once_is_rejected(
    make_play, gateway_count
):
    play = make_play(gateway_count)
    play.run(3.0)
    play.run(12.0, crashing=range(gateway_count), crashing_interval_s=0.1)
    fifth_s = play.crash_times_s[4]
    late = [t for t in play.crashing_arrivals_s if t > fifth_s + 1.0]
    assert len(late) <= 3
    play.run(2.0, is_sound=False)
    assert play.served_share(8.0) > 0.95


def test_a_gateway_learns_the_crashing_part_from_its_peer(make_play):
    play = make_play(2)
    play.run(3.0)
    play.run(8.0, crashing=[0])
    play.run(2.0)
    arrival_count = len(play.crashing_arrivals_s)
    play.run(10.0, crashing=[1])
    assert len(play.crashing_arrivals_s) == arrival_count
    play.run(2.0, is_sound=False)
    assert play.served_share(play.now_s - 8.0) > 0.95


def test_a_waiting_request_is_rejected_once_its_part_is_condemned(make_play):
    play = make_play(1)
    play.run(3.0)
    waiting = []
    original = play.harnesses[0].dispatcher.submit
    play.harnesses[0].dispatcher.submit = lambda request: play.call_later(
        6.0, lambda: original(request)
    )
    for _ in range(5):
        waiting.append(play.send(0, (FIRST, CRASHING), b"crash "))
    play.harnesses[0].dispatcher.submit = original
    play.run(5.0, crashing=[0])
    arrival_count = len(play.crashing_arrivals_s)
    play.run(4.0)
    assert len(play.crashing_arrivals_s) == arrival_count
    assert {caller.status for caller in waiting} == {422}


def test_loss_of_many_targets_rejects_no_sound_request(make_play):
    play = make_play(1)
    play.run(3.0)
    for port in range(4000, 4500, 100):
        play._crash(port)
    play.run(10.0)
    play.run(2.0, is_sound=False)
    assert 422 not in {caller.status for _, caller in play.sound}
    assert play.served_share(8.0) > 0.95


def test_a_last_event_id_of_the_caller_does_not_admit_a_condemned_part(
    harness, model_service, stream_route, monkeypatch
):
    evidence = harness.context.crash_evidence
    monkeypatch.setattr(
        evidence, "has_condemned_part", lambda parts: CRASHING in parts
    )
    harness.register(make_target("a", first_layer=0, end_layer=80))
    admitted = harness.admit(
        model_service,
        stream_route,
        prompt_parts=(FIRST, CRASHING),
        last_event_id="3",
    )
    harness.start_stream(admitted)
    assert admitted.caller_request.status == 422
    assert not harness.pending_connection_count()

"""Gateways on one virtual clock whose targets name limits in their answers."""

import random

from hemlocktiller._internal.gateway import demand
from hemlocktiller._internal.gateway import peers as peers_module
from hemlocktiller._internal.links import codec
from hemlocktiller._internal.policy import plain_loads
from tests.unit.gateway.conftest import GatewayHarness
from tests.unit.gateway.conftest import make_target
from tests.unit.gateway.test_app import make_settings
from tests.unit.gateway.test_app import UnresponsiveStore

STEP_S = 0.05
# Of the users' rule: requests that a target may get in any `WINDOW_S`, from
# `CONTACT_S` after it first named its limit.
WINDOW_S = 4.0
CONTACT_S = 3.0


def allowed_requests(limit_per_s):
    return 1.5 * limit_per_s * WINDOW_S + 5


def most_in_window(times_s, begin_s, window_s=WINDOW_S):
    """Returns the most of the times from `begin_s` on in any window."""
    times_s = sorted(one for one in times_s if one >= begin_s)
    return max(
        (
            sum(first <= one < first + window_s for one in times_s)
            for first in times_s
        ),
        default=0,
    )


class _LinkEnd:
    """One gateway's end of a link, which delivers messages at once."""

    def __init__(self, fleet, peer_name):
        self.peer = {"name": peer_name, "config_version": 0}
        self.is_open = True
        self.bytes_sent = 0
        self._fleet = fleet
        self.other = None

    def peer_accepts(self, message_type):
        """Returns whether the peer has a type of message: it has all."""
        return True

    def send(self, message, frame=None):
        """Delivers a message to the other end."""
        data = frame or codec.encode(message)
        self.bytes_sent += len(data)
        if self.is_open:
            receiver = self._fleet.gateways[self.peer["name"]]
            receiver.peers._on_message(self.other, codec.decode(data))


class _Gateway:
    """One gateway: its request handling and its links."""

    def __init__(self, name):
        self.harness = GatewayHarness()
        self.links = []
        self.calls = []
        self.peers = peers_module.Peers(
            self.harness.reactor,
            make_settings(name=name),
            UnresponsiveStore(self.harness.reactor),
            peers_module.PeerHooks(
                self.harness.targets,
                self.harness.dispatcher.occupancy,
                self.harness.context.crash_evidence.feed,
                self.harness.context.crash_evidence.part_feed,
                lambda: None,
                lambda stored: True,
                lambda: None,
                lambda is_watcher: None,
                self.harness.dispatcher.full_targets,
                demand.DemandBoard(),
                plain_loads.PlainLoads(),
            ),
            random.Random(name),
        )
        limits = self.harness.targets.limits
        limits.turns.turn_order = self.peers.turn_order
        limits.on_announcement = self.peers.broadcast_limit


class Fleet:
    """Linked gateways that send to the same targets.

    Attributes:
        gateways: The gateways by name.
        limits_per_s: Limits that the targets name now, by port.
        arrivals: Pairs of the time of a request and the gateway that sent
            it, by port of the target.
    """

    def __init__(self, count, *targets):
        self.now_s = 0.0
        self.gateways = {}
        self.limits_per_s = {}
        self.arrivals = {target.port: [] for target in targets}
        self._targets = targets
        self._rng = random.Random(count)
        for index in range(count):
            self.join(f"g{index}")

    def join(self, name):
        """Starts a gateway and links it to the others."""
        joined = self.gateways[name] = _Gateway(name)
        joined.harness.register(*self._targets)
        joined.harness.reactor.advance(self.now_s)
        for other_name in list(self.gateways):
            if other_name != name:
                self.link(name, other_name)
        return joined

    def link(self, name, other_name):
        """Opens a link between two gateways."""
        end, other = _LinkEnd(self, other_name), _LinkEnd(self, name)
        end.other, other.other = other, end
        for gateway_name, one in ((name, end), (other_name, other)):
            self.gateways[gateway_name].links.append(one)
            self.gateways[gateway_name].peers._links.add(one)
        for gateway_name, one in ((name, end), (other_name, other)):
            self.gateways[gateway_name].peers._on_open(one)

    def cut(self, name, other_name):
        """Closes the link between two gateways."""
        for one, peer in ((name, other_name), (other_name, name)):
            gateway = self.gateways[one]
            for link in list(gateway.links):
                if link.peer["name"] == peer:
                    link.is_open = False
                    gateway.links.remove(link)
                    gateway.peers._on_down(link, "cut")

    def leave(self, name):
        """Ends a gateway without a word."""
        for other_name in list(self.gateways):
            if other_name != name:
                self.cut(name, other_name)
        del self.gateways[name]

    def play(self, duration_s, start_requests):
        """Plays for some time.

        Args:
            duration_s: How long.
            start_requests: Called at each step with each gateway.
        """
        for _ in range(round(duration_s / STEP_S)):
            self.now_s += STEP_S
            for name, gateway in list(self.gateways.items()):
                gateway.harness.reactor.advance(STEP_S)
                start_requests(gateway)
                self._answer(name, gateway.harness)

    def _answer(self, name, harness):
        """Answers what a gateway has sent, with the limits of the targets."""
        while harness.pending_connection_count():
            connection = harness.accept_connection()
            if not connection.transport.value().startswith(b"POST"):
                continue
            self.arrivals[connection.port].append((self.now_s, name))
            limit_per_s = self.limits_per_s.get(connection.port)
            limit = b"" if limit_per_s is None else b"Limit: %a\r\n"
            connection.respond(
                b"HTTP/1.1 200 OK\r\nSignature: s\r\n"
                + (limit % limit_per_s if limit else b"")
                + b"Content-Length: 4\r\n\r\ndone"
            )

    def arrival_times_s(self, port):
        """Returns the times of the requests that a target got."""
        return [time_s for time_s, _ in self.arrivals[port]]


def plain_target(name):
    return make_target(name, service="plain", accelerator="", slots=6)


def starts_calls(service, route, *callers):
    """Returns a function that starts calls at a gateway.

    Args:
        service: The service.
        route: The route.
        callers: Fields of the admitted calls that are started at each step;
            one call without any by default.
    """

    def start(gateway):
        for fields in callers or ({},):
            admitted = gateway.harness.admit(service, route)._replace(**fields)
            gateway.calls.append(admitted)
            gateway.harness.start_call(admitted)

    return start


def ended_calls(fleet):
    """Returns the calls that have ended, in order for each gateway."""
    return [
        call
        for gateway in fleet.gateways.values()
        for call in gateway.calls
        if call.caller_request.ending
    ]


def statuses(calls):
    """Returns the statuses of calls."""
    return [call.caller_request.status for call in calls]

"""One websocket link between two processes, on a Twisted transport.

The websocket protocol itself is the Sans-I/O implementation of the
`websockets` library; this module moves its bytes, opens the link with a
`hello` from each end, and keeps it alive with heartbeats.
"""

from collections.abc import Callable
import hmac
from typing import Any
from typing import NamedTuple

import prometheus_client
from twisted.internet import protocol
from twisted.python import failure
from websockets import client as ws_client
from websockets import exceptions as ws_exceptions
from websockets import frames
from websockets import http11
from websockets import protocol as ws_protocol
from websockets import server as ws_server
from websockets import uri as ws_uri

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.links import codec

SUBPROTOCOLS = ("hemlocktiller.v1",)
AUTHORIZATION = "Authorization"
ACTIVE_S = 20.0  # Time after the last work for which a link is active.
IDLE_FACTOR = 8.0
CONTROL_KINDS = frozenset(
    (
        "hello",
        "heartbeat",
        "load",
        "leaving",
        "config",
        "suspects",
        "targets",
        "targets_wanted",
        "vm_leaving",
    )
)
RTT_WEIGHT = 0.2  # Share of a new sample in the moving average.
WATCH_INTERVAL_S = 0.15
WATCH_MISSES = 5  # 0.6 to 0.75 s of silence while there is work.
WORK_WINDOW_S = 5.0  # Time after a message of work for which it is watched.

FRAMES = prometheus_client.Counter(
    "hemlocktiller_link_frames", "Link frames by direction", ["direction"]
)
FRAME_BYTES = prometheus_client.Counter(
    "hemlocktiller_link_frame_bytes",
    "Bytes of link frames by direction",
    ["direction"],
)
LINKS_LOST = prometheus_client.Counter(
    "hemlocktiller_links_lost", "Links lost by reason", ["reason"]
)


class Handlers(NamedTuple):
    """What the owner of a link does on its events."""

    on_open: Callable[["Link"], None]
    on_message: Callable[["Link", codec.Message], None]
    on_down: Callable[["Link", str], None]


class Local(NamedTuple):
    """What a process says of itself on each link."""

    process: str
    role: str
    name: str
    data_centre: str
    config_version: Callable[[], int]


class Link(protocol.Protocol):
    """State of one link; either end may have dialled it.

    The end that dialled sends heartbeats and the other echoes them. A link
    that carried no work for a while beats and times out more slowly. One
    that carries other messages both ways needs no heartbeats. While there
    is work, the end that dialled watches the other closely; the other does
    not, since an entry that is late for a moment must not lose its streams.

    Attributes:
        beats: Whether this end sends heartbeats.
        peer: The peer's hello, or None before it arrived.
        rtt_s: Moving average of the heartbeat's round trip.
    """

    beats = False

    def __init__(
        self, reactor: Any, settings: Any, local: Local, handlers: Handlers
    ) -> None:
        self.peer: codec.Message | None = None
        self.rtt_s = 0.0
        self.up = False
        self._reactor = reactor
        self._settings = settings
        self._local = local
        self._handlers = handlers
        self._ws: ws_protocol.Protocol = self._new_ws()
        self._heard_s = 0.0
        self._sequence = 0
        self._sent_s: dict[int, float] = {}
        self._down_reason = "closed"
        self._down = False
        self._worked_s = -ACTIVE_S
        self._said_s = -ACTIVE_S
        self._timer: Any = None
        self._misses = 0
        self._watch: Any = None

    def connectionMade(self) -> None:
        """Starts the handshake and the silence timer."""
        self.transport.setTcpNoDelay(True)
        self._heard_s = self._reactor.seconds()
        self._begin()
        self._beat_later()

    def dataReceived(self, data: bytes) -> None:
        """Feeds received bytes to the websocket protocol."""
        self._heard_s = self._reactor.seconds()
        self._misses = 0
        self._ws.receive_data(data)
        try:
            for event in self._ws.events_received():
                self._on_event(event)
        except exceptions.ProtocolError:
            self._down_reason = "protocol error"
            self._ws.fail(frames.CloseCode.PROTOCOL_ERROR)
        self._flush()

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Tells the owner that the link is down, once."""
        self._stop_timer()
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        was_up = self.up
        self.up = False
        if self._down:
            return
        self._down = True
        if was_up:
            LINKS_LOST.labels(self._down_reason).inc()
        self._handlers.on_down(self, self._down_reason)

    def send(self, message: codec.Message, frame: bytes | None = None) -> None:
        """Sends one message.

        Args:
            message: The message.
            frame: Its frame, where it was encoded for several links.

        Raises:
            LinkDown: The link is not open.
        """
        if not self.up:
            raise exceptions.LinkDown("the link is not open")
        self._note_work(message)
        self._said_s = self._reactor.seconds()
        self._send_now(message, frame)

    def close(self) -> None:
        """Closes the link after what was sent before."""
        if self._ws.state is ws_protocol.State.OPEN:
            self._ws.send_close(frames.CloseCode.GOING_AWAY)
            self._flush()
        if self.transport is not None:
            self.transport.loseConnection()

    def abort(self, reason: str) -> None:
        """Drops the link at once, whatever is still to be sent."""
        self._down_reason = reason
        self.transport.abortConnection()

    def _new_ws(self) -> ws_protocol.Protocol:
        raise NotImplementedError

    def _begin(self) -> None:
        """Starts the handshake, if this end does."""

    def _on_handshake(self, event: Any) -> None:
        raise NotImplementedError

    def _on_event(self, event: Any) -> None:
        if not isinstance(event, frames.Frame):
            self._on_handshake(event)
            return
        if event.opcode is frames.Opcode.BINARY and event.fin:
            FRAMES.labels("in").inc()
            FRAME_BYTES.labels("in").inc(len(event.data))
            self._on_message(codec.decode(event.data))
        elif event.opcode in frames.DATA_OPCODES:
            raise exceptions.ProtocolError("only whole binary frames")

    def _on_message(self, message: codec.Message) -> None:
        kind = message["type"]
        if kind == "hello":
            self._on_hello(message)
        elif self.peer is None:
            raise exceptions.ProtocolError("a message came before hello")
        else:
            if kind == "heartbeat":
                self._on_heartbeat(message)
            self._note_work(message)
            self._handlers.on_message(self, message)

    def _on_hello(self, message: codec.Message) -> None:
        if self.peer is not None:
            raise exceptions.ProtocolError("hello came twice")
        self.peer = message
        self.up = True
        self._handlers.on_open(self)

    def _say_hello(self) -> None:
        self._send_now(
            {
                "type": "hello",
                "process": self._local.process,
                "role": self._local.role,
                "name": self._local.name,
                "data_centre": self._local.data_centre,
                "config_version": self._local.config_version(),
            }
        )

    @property
    def _pace(self) -> float:
        """How much longer than on an active link the intervals are."""
        idle_s = self._reactor.seconds() - self._worked_s
        return IDLE_FACTOR if self.up and idle_s > ACTIVE_S else 1.0

    def _note_work(self, message: codec.Message) -> None:
        """Returns to the short intervals when there is work again."""
        if message["type"] in CONTROL_KINDS:
            return
        was_idle = self._pace > 1.0
        now_s = self._reactor.seconds()
        self._worked_s = now_s
        if was_idle:
            self._heard_s = now_s
            self._stop_timer()
            self._beat()
        if self.beats and self.up and self._watch is None:
            self._misses = 0
            self._watch_later()

    def _is_lively(self, now_s: float) -> bool:
        """Tells whether other messages show both ends that the link lives."""
        oldest_s = min(self._heard_s, self._said_s)
        return now_s - oldest_s < self._settings["heartbeat_interval_s"]

    def _beat_later(self) -> None:
        wait_s = self._settings["heartbeat_interval_s"] * self._pace
        self._timer = self._reactor.callLater(wait_s, self._beat)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _beat(self) -> None:
        now_s = self._reactor.seconds()
        silence_s = self._settings["silence_timeout_s"] * self._pace
        if now_s - self._heard_s > silence_s:
            self.abort("silence")
            return
        if self.up and self.beats and not self._is_lively(now_s):
            self._probe()
        self._beat_later()

    def _probe(self) -> None:
        """Sends a heartbeat, which the peer echoes."""
        self._sequence += 1
        self._sent_s = {self._sequence: self._reactor.seconds()}
        self._send_heartbeat(self._sequence, echo=False)

    def _watch_later(self) -> None:
        self._watch = self._reactor.callLater(WATCH_INTERVAL_S, self._on_watch)

    def _on_watch(self) -> None:
        """Counts an interval in which nothing came.

        Intervals are counted, not timed, so that a pause of this process
        is not taken for silence of the peer.
        """
        self._watch = None
        self._misses += 1
        if self._misses >= WATCH_MISSES:
            self.abort("silence")
            return
        if self._misses > 1:
            self._probe()
        idle_s = self._reactor.seconds() - self._worked_s
        if idle_s < WORK_WINDOW_S:
            self._watch_later()

    def _send_heartbeat(self, sequence: int, echo: bool) -> None:
        self._send_now(
            {
                "type": "heartbeat",
                "sequence": sequence,
                "echo": echo,
                "config_version": self._local.config_version(),
            }
        )

    def _on_heartbeat(self, message: codec.Message) -> None:
        if not message["echo"]:
            self._send_heartbeat(message["sequence"], echo=True)
            return
        sent_s = self._sent_s.pop(message["sequence"], None)
        if sent_s is None:
            return
        sample_s = self._reactor.seconds() - sent_s
        if self.rtt_s == 0.0:
            self.rtt_s = sample_s
        self.rtt_s += RTT_WEIGHT * (sample_s - self.rtt_s)

    def _send_now(
        self, message: codec.Message, frame: bytes | None = None
    ) -> None:
        if self._ws.state is not ws_protocol.State.OPEN:
            return
        data = frame if frame is not None else codec.encode(message)
        FRAMES.labels("out").inc()
        FRAME_BYTES.labels("out").inc(len(data))
        self._ws.send_binary(data)
        self._flush()

    def _flush(self) -> None:
        for data in self._ws.data_to_send():
            if data:
                self.transport.write(data)
            else:
                self.transport.loseConnection()
        if self._ws.close_expected():
            self.transport.loseConnection()


class DialledLink(Link):
    """The end that opened the connection."""

    beats = True

    def _new_ws(self) -> ws_protocol.Protocol:
        return ws_client.ClientProtocol(
            ws_uri.parse_uri("ws://link/link"),
            subprotocols=list(SUBPROTOCOLS),
            max_size=self._settings["frame_bytes"],
        )

    def _begin(self) -> None:
        request = self._ws.connect()
        secret = self._settings["secret"]
        request.headers[AUTHORIZATION] = f"Bearer {secret}"
        self._ws.send_request(request)
        self._flush()

    def _on_handshake(self, event: Any) -> None:
        if self._ws.handshake_exc is not None:
            self._down_reason = "handshake refused"
            self.transport.loseConnection()
            return
        self._say_hello()


class AcceptedLink(Link):
    """The end that accepted the connection."""

    def _new_ws(self) -> ws_protocol.Protocol:
        return ws_server.ServerProtocol(
            subprotocols=list(SUBPROTOCOLS),
            max_size=self._settings["frame_bytes"],
        )

    def _on_handshake(self, event: http11.Request) -> None:
        if self._is_authentic(event):
            response = self._ws.accept(event)
        else:
            response = self._ws.reject(401, "the shared secret differs\n")
        self._ws.send_response(response)
        if self._ws.state is ws_protocol.State.OPEN:
            self._say_hello()

    def _is_authentic(self, request: http11.Request) -> bool:
        try:
            given = request.headers.get(AUTHORIZATION, "")
        except ws_exceptions.WebSocketException:
            return False
        except LookupError:
            return False
        wanted = f"Bearer {self._settings['secret']}"
        return hmac.compare_digest(given.encode(), wanted.encode())

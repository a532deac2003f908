"""WebSocket link between two processes, on a Twisted transport.

The `websockets` library implements the WebSocket protocol without I/O.
This module connects it to the transport, exchanges a `hello` message when
a link is opened, and detects dead peers with heartbeats.
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

# Newest first. Processes of an older version close the link on messages that
# it does not have.
SUBPROTOCOLS = (
    "hemlocktiller.v1.4",
    "hemlocktiller.v1.3",
    "hemlocktiller.v1.2",
    "hemlocktiller.v1.1",
    "hemlocktiller.v1",
)
# The version that a message type came with; the others are in all versions.
FIRST_SUBPROTOCOL_BY_TYPE = {
    "part_evidence": "hemlocktiller.v1.1",
    "layout": "hemlocktiller.v1.2",
    "target_limit": "hemlocktiller.v1.3",
    "responses_seen": "hemlocktiller.v1.4",
}
AUTHORIZATION = "Authorization"
ACTIVE_WINDOW_S = 20.0  # A link counts as active this long after work.
IDLE_INTERVAL_FACTOR = 8.0
CONTROL_MESSAGE_TYPES = frozenset(
    (
        "hello",
        "heartbeat",
        "load",
        "leaving",
        "config",
        "layout",
        "part_evidence",
        "responses_seen",
        "suspects",
        "targets",
        "targets_wanted",
        "vm_leaving",
    )
)
# State that gateways exchange. It keeps a link active, but no request waits
# for an answer on it, so silence need not be noticed at once.
STATE_MESSAGE_TYPES = frozenset(
    (
        "catalog",
        "catalog_wanted",
        "occupancy",
        "registration",
        "target_health",
        "target_limit",
        "target_pace",
        "full_target",
    )
)
RTT_SMOOTHING_FACTOR = 0.2  # Share of a new sample in the moving average.
SILENCE = "silence"
WATCH_INTERVAL_S = 0.15
MAX_SILENT_INTERVALS = 5  # 0.6 to 0.75 s of silence while there is work.
WATCH_AFTER_WORK_S = 5.0  # The link is watched this long after work.

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
    """Callbacks of the owner of a link.

    Attributes:
        on_open: Called when the peer's hello has arrived.
        on_message: Called with each later message.
        on_down: Called once with the reason when the link is lost or closed.
        on_silence: Called when `is_silent` has changed. Without it, a link
            whose peer falls silent during work is aborted at once.
    """

    on_open: Callable[["Link"], None]
    on_message: Callable[["Link", codec.Message], None]
    on_down: Callable[["Link", str], None]
    on_silence: Callable[["Link"], None] | None = None


class LocalProcess(NamedTuple):
    """Description of this process in its hello on each link.

    Attributes:
        process: Id of the process.
        role: Role of the process.
        name: Name of the process.
        data_centre: Data centre that the process runs in.
        config_version: Returns the version of its configuration.
    """

    process: str
    role: str
    name: str
    data_centre: str
    config_version: Callable[[], int]


class Link(protocol.Protocol):
    """One end of a link between two processes.

    The dialling end sends heartbeats and the accepting end echoes them. On
    a link without recent work, heartbeat interval and silence timeout are
    longer. No heartbeats are sent while other messages flow both ways.
    While there is work for requests, the dialling end watches for silence at a
    short interval. The accepting end does not, since an entry that is briefly
    delayed must not lose its streams.

    Work is any message of a type that is not in `CONTROL_MESSAGE_TYPES`, and
    work for requests any that is not in `STATE_MESSAGE_TYPES` either.

    Attributes:
        sends_heartbeats: Whether this end sends heartbeats.
        peer: The peer's hello, or None before it has arrived.
        rtt_s: Moving average of the round-trip time of heartbeats.
        is_open: Whether the link is open, with the peer's hello received.
        is_silent: Whether the peer has sent nothing for a moment while there
            is work for requests. It may be only paused.
    """

    sends_heartbeats = False

    def __init__(
        self,
        reactor: Any,
        settings: Any,
        local: LocalProcess,
        handlers: Handlers,
    ) -> None:
        self.peer: codec.Message | None = None
        self.rtt_s = 0.0
        self.is_open = False
        self.is_silent = False
        self._reactor = reactor
        self._settings = settings
        self._local = local
        self._handlers = handlers
        self._ws: ws_protocol.Protocol = self._new_ws()
        self._last_received_s = 0.0
        self._sequence = 0
        self._probe_sent_s: dict[int, float] = {}
        self._down_reason = "closed"
        self._down_reported = False
        self._last_work_s = -ACTIVE_WINDOW_S
        self._last_message_sent_s = -ACTIVE_WINDOW_S
        self._heartbeat_timer: Any = None
        self._heartbeat_wait_s = 0.0
        self._silent_s = 0.0
        self._silent_intervals = 0
        self._watch_timer: Any = None

    def connectionMade(self) -> None:
        """Starts the handshake and the heartbeat timer."""
        self.transport.setTcpNoDelay(True)
        self._last_received_s = self._reactor.seconds()
        self._start_handshake()
        self._schedule_heartbeat()

    def dataReceived(self, data: bytes) -> None:
        """Feeds received bytes to the WebSocket protocol."""
        self._last_received_s = self._reactor.seconds()
        self._silent_s = 0.0
        self._silent_intervals = 0
        if self.is_silent:
            self._set_silent(False)
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
        """Reports to the owner, once, that the link is down."""
        self._cancel_heartbeat_timer()
        if self._watch_timer is not None:
            self._watch_timer.cancel()
            self._watch_timer = None
        was_open = self.is_open
        self.is_open = False
        if self._down_reported:
            return
        self._down_reported = True
        if was_open:
            LINKS_LOST.labels(self._down_reason).inc()
        self._handlers.on_down(self, self._down_reason)

    def send(self, message: codec.Message, frame: bytes | None = None) -> None:
        """Sends a message.

        Args:
            message: The message.
            frame: The encoded message, if it was encoded before.

        Raises:
            LinkDown: The link is not open.
        """
        if not self.is_open:
            raise exceptions.LinkDown("link is not open")
        self._record_work(message)
        self._last_message_sent_s = self._reactor.seconds()
        self._write_message(message, frame)

    def peer_accepts(self, message_type: str) -> bool:
        """Returns whether the peer's version has a type of message."""
        first = FIRST_SUBPROTOCOL_BY_TYPE.get(message_type, SUBPROTOCOLS[-1])
        # Newest first; a peer that names none speaks the oldest.
        agreed = self._ws.subprotocol or SUBPROTOCOLS[-1]
        return SUBPROTOCOLS.index(agreed) <= SUBPROTOCOLS.index(first)

    def close(self) -> None:
        """Closes the link once all sent messages are written."""
        if self._ws.state is ws_protocol.State.OPEN:
            self._ws.send_close(frames.CloseCode.GOING_AWAY)
            self._flush()
        if self.transport is not None:
            self.transport.loseConnection()

    def abort(self, reason: str) -> None:
        """Closes the link at once and discards unsent data."""
        self._down_reason = reason
        self.transport.abortConnection()

    def _new_ws(self) -> ws_protocol.Protocol:
        """Returns the WebSocket protocol of this end."""
        raise NotImplementedError

    def _start_handshake(self) -> None:
        """Starts the handshake, if this end initiates it."""

    def _on_handshake(self, event: Any) -> None:
        """Handles the request or the response of the handshake."""
        raise NotImplementedError

    def _on_event(self, event: Any) -> None:
        """Handles an event of the WebSocket protocol.

        Raises:
            ProtocolError: The peer sent something other than valid messages.
        """
        if not isinstance(event, frames.Frame):
            self._on_handshake(event)
            return
        if event.opcode is frames.Opcode.BINARY and event.fin:
            FRAMES.labels("in").inc()
            FRAME_BYTES.labels("in").inc(len(event.data))
            self._on_message(codec.decode(event.data))
        elif event.opcode in frames.DATA_OPCODES:
            raise exceptions.ProtocolError("frame is text or fragmented")

    def _on_message(self, message: codec.Message) -> None:
        message_type = message["type"]
        if message_type == "hello":
            self._on_hello(message)
        elif self.peer is None:
            raise exceptions.ProtocolError("message received before hello")
        else:
            if message_type == "heartbeat":
                self._on_heartbeat(message)
            self._record_work(message)
            self._handlers.on_message(self, message)

    def _on_hello(self, message: codec.Message) -> None:
        if self.peer is not None:
            raise exceptions.ProtocolError("hello received twice")
        self.peer = message
        self.is_open = True
        self._handlers.on_open(self)

    def _send_hello(self) -> None:
        self._write_message(
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
    def _interval_factor(self) -> float:
        """Factor on heartbeat interval and timeout; 1 on an active link."""
        idle_s = self._reactor.seconds() - self._last_work_s
        return (
            IDLE_INTERVAL_FACTOR
            if self.is_open and idle_s > ACTIVE_WINDOW_S
            else 1.0
        )

    def _record_work(self, message: codec.Message) -> None:
        """Records work; an idle link returns to the short intervals."""
        if message["type"] in CONTROL_MESSAGE_TYPES:
            return
        was_idle = self._interval_factor > 1.0
        now_s = self._reactor.seconds()
        self._last_work_s = now_s
        if was_idle:
            self._last_received_s = now_s
            self._silent_s = 0.0
            self._cancel_heartbeat_timer()
            self._send_probe_without_traffic()
            self._schedule_heartbeat()
        if (
            self.sends_heartbeats
            and self.is_open
            and self._watch_timer is None
            and message["type"] not in STATE_MESSAGE_TYPES
        ):
            self._silent_intervals = 0
            self._schedule_watch()

    def _has_recent_traffic(self, now_s: float) -> bool:
        """Returns whether messages were sent and received recently."""
        older_s = min(self._last_received_s, self._last_message_sent_s)
        return now_s - older_s < self._settings["heartbeat_interval_s"]

    def _schedule_heartbeat(self) -> None:
        self._heartbeat_wait_s = (
            self._settings["heartbeat_interval_s"] * self._interval_factor
        )
        self._heartbeat_timer = self._reactor.callLater(
            self._heartbeat_wait_s, self._on_heartbeat_timer
        )

    def _cancel_heartbeat_timer(self) -> None:
        if (
            self._heartbeat_timer is not None
            and self._heartbeat_timer.active()
        ):
            self._heartbeat_timer.cancel()

    def _on_heartbeat_timer(self) -> None:
        """Aborts a silent link; sends a heartbeat on one without traffic.

        The time between two calls counts as one interval of heartbeats,
        however long it took, as in `_on_watch_timer`.
        """
        self._silent_s += self._heartbeat_wait_s
        timeout_s = self._settings["silence_timeout_s"] * self._interval_factor
        if self._silent_s > timeout_s:
            self.abort(SILENCE)
            return
        self._send_probe_without_traffic()
        self._schedule_heartbeat()

    def _send_probe_without_traffic(self) -> None:
        """Sends a heartbeat if this end does, unless messages flow."""
        if (
            self.is_open
            and self.sends_heartbeats
            and not self._has_recent_traffic(self._reactor.seconds())
        ):
            self._send_probe()

    def _send_probe(self) -> None:
        """Sends a heartbeat for the peer to echo."""
        self._sequence += 1
        self._probe_sent_s = {self._sequence: self._reactor.seconds()}
        self._send_heartbeat(self._sequence, echo=False)

    def _schedule_watch(self) -> None:
        self._watch_timer = self._reactor.callLater(
            WATCH_INTERVAL_S, self._on_watch_timer
        )

    def _on_watch_timer(self) -> None:
        """Counts an interval without data; reports silence after too many.

        The intervals are counted instead of measuring elapsed time, so that
        a pause of this process is not mistaken for silence of the peer.
        """
        self._watch_timer = None
        self._silent_intervals += 1
        if self._silent_intervals >= MAX_SILENT_INTERVALS:
            if self._handlers.on_silence is None:
                self.abort(SILENCE)
                return
            self._set_silent(True)
        if self._silent_intervals > 1:
            self._send_probe()
        idle_s = self._reactor.seconds() - self._last_work_s
        if self.is_open and idle_s < WATCH_AFTER_WORK_S:
            self._schedule_watch()

    def _set_silent(self, is_silent: bool) -> None:
        if self.is_silent != is_silent:
            self.is_silent = is_silent
            self._handlers.on_silence(self)

    def _send_heartbeat(self, sequence: int, echo: bool) -> None:
        self._write_message(
            {
                "type": "heartbeat",
                "sequence": sequence,
                "echo": echo,
                "config_version": self._local.config_version(),
            }
        )

    def _on_heartbeat(self, message: codec.Message) -> None:
        """Echoes a heartbeat; measures the round-trip time by an echo."""
        if not message["echo"]:
            self._send_heartbeat(message["sequence"], echo=True)
            return
        sent_s = self._probe_sent_s.pop(message["sequence"], None)
        if sent_s is None:
            return
        sample_s = self._reactor.seconds() - sent_s
        if self.rtt_s == 0.0:
            self.rtt_s = sample_s
        self.rtt_s += RTT_SMOOTHING_FACTOR * (sample_s - self.rtt_s)

    def _write_message(
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
        """Writes the pending data of the WebSocket protocol.

        The protocol asks for the connection to be closed by an empty item.
        """
        for data in self._ws.data_to_send():
            if data:
                self.transport.write(data)
            else:
                self.transport.loseConnection()
        if self._ws.close_expected():
            self.transport.loseConnection()


class DialledLink(Link):
    """Link at the end that opened the connection."""

    sends_heartbeats = True

    def _new_ws(self) -> ws_protocol.Protocol:
        return ws_client.ClientProtocol(
            ws_uri.parse_uri("ws://link/link"),
            subprotocols=list(SUBPROTOCOLS),
            max_size=self._settings["frame_bytes"],
        )

    def _start_handshake(self) -> None:
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
        self._send_hello()


class AcceptedLink(Link):
    """Link at the end that accepted the connection."""

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
            self._send_hello()

    def _is_authentic(self, request: http11.Request) -> bool:
        try:
            received = request.headers.get(AUTHORIZATION, "")
        except ws_exceptions.WebSocketException:
            return False
        except LookupError:
            return False
        expected = f"Bearer {self._settings['secret']}"
        return hmac.compare_digest(received.encode(), expected.encode())

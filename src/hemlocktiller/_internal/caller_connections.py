"""Callers' connections: their limits, and how they end as a server stops."""

from typing import Any
import weakref

from twisted.web import http

_BAD_REQUEST_RESPONSE = (
    b"HTTP/1.1 400 Bad Request\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)


class HeadLimitedChannel(http.HTTPChannel):
    """A connection that limits the head of a request by its size alone.

    The factory's `header_limit_bytes` is read at each line, so that a change
    is in force on open connections too.
    """

    @property
    def totalHeadersSize(self) -> int:
        """Maximum size of a request line and headers."""
        return self.factory.header_limit_bytes

    @property
    def MAX_LENGTH(self) -> int:
        """Maximum length of one line."""
        return self.factory.header_limit_bytes

    @property
    def maxHeaders(self) -> int:
        """Maximum number of headers: as many as fit into the size."""
        return self.factory.header_limit_bytes

    def lineLengthExceeded(self, line: bytes) -> None:
        """Rejects a line that is longer than the whole head may be."""
        self.transport.write(_BAD_REQUEST_RESPONSE)
        self.loseConnection()


class CallerConnections:
    """Connections of `twisted.web`, until they are closed.

    Closed ones are held until they are garbage-collected.
    """

    def __init__(self) -> None:
        self._channels: weakref.WeakSet[Any] = weakref.WeakSet()

    def add(self, channel: Any) -> None:
        """Adds a new connection."""
        self._channels.add(channel)

    def set_idle_timeout(self, timeout_s: float) -> None:
        """Sets how long each connection may be idle, from now on."""
        for channel in list(self._channels):
            if channel.timeOut is None:
                # A request is being served; the timer starts after it.
                channel._savedTimeOut = timeout_s
            else:
                channel.setTimeout(timeout_s)

    def close_after_response(self) -> None:
        """Closes each connection that serves a request once that has ended."""
        for channel in list(self._channels):
            if channel.requests:
                channel.persistent = False

    def close_idle(self) -> None:
        """Closes connections on which no request is in progress."""
        for channel in list(self._channels):
            if (
                _is_open(channel)
                and not channel.transport.disconnecting
                and not channel.requests
            ):
                channel.loseConnection()

    def has_open(self) -> bool:
        """Returns whether a connection is not closed yet."""
        return any(map(_is_open, self._channels))


def _is_open(channel):
    transport = channel.transport
    return transport is not None and transport.connected

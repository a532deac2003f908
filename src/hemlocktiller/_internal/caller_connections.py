"""Callers' connections of a server that stops gracefully."""

from typing import Any
import weakref


class CallerConnections:
    """Connections of `twisted.web`, until they are closed.

    Closed ones are held until they are garbage-collected.
    """

    def __init__(self) -> None:
        self._channels: weakref.WeakSet[Any] = weakref.WeakSet()

    def add(self, channel: Any) -> None:
        """Adds a new connection."""
        self._channels.add(channel)

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

"""Splits a stream of server-sent events into complete events."""

from typing import NamedTuple

_EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")
_MAX_TERMINATOR_BYTES = max(map(len, _EVENT_TERMINATORS))


class Event(NamedTuple):
    """One server-sent event.

    Attributes:
        event_id: Its id; empty if it has none.
        raw: Its bytes, including the blank line that ends it.
        has_fields: Whether it has any field; comments and blank lines alone
            are sent to keep a connection open.
    """

    event_id: str
    raw: bytes
    has_fields: bool


class EventSplitter:
    """Splits received data at event boundaries."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        # No event ends before this offset.
        self._searched_bytes = 0

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun that is not complete yet."""
        return bool(self._buffer.strip(b"\r\n"))

    @property
    def buffered_bytes(self) -> int:
        """Size of the event that is not complete yet."""
        return len(self._buffer)

    def rest(self) -> bytes:
        """Returns the bytes of the event that is not complete yet."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that the data completes."""
        self._buffer += data
        events = []
        while True:
            end = self._find_event_end()
            if end < 0:
                self._searched_bytes = max(
                    0, len(self._buffer) - _MAX_TERMINATOR_BYTES + 1
                )
                return events
            raw = bytes(self._buffer[:end])
            del self._buffer[:end]
            self._searched_bytes = 0
            events.append(Event(_parse_event_id(raw), raw, _has_fields(raw)))

    def _find_event_end(self):
        """Returns the offset after the first event, or -1 without one."""
        ends = [
            start + len(terminator)
            for terminator in _EVENT_TERMINATORS
            for start in (self._buffer.find(terminator, self._searched_bytes),)
            if start >= 0
        ]
        return min(ends, default=-1)


def _has_fields(raw):
    return any(line and line[:1] != b":" for line in raw.splitlines())


def _parse_event_id(raw):
    for line in raw.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""

"""Splits a stream of server-sent events into complete events."""

from typing import NamedTuple

_EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")


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
    """Splits received data at event boundaries.

    Attributes:
        buffer: Received bytes of the event that is not complete yet.
    """

    def __init__(self) -> None:
        self.buffer = b""

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun that is not complete yet."""
        return bool(self.buffer.strip(b"\r\n"))

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that the data completes."""
        self.buffer += data
        events = []
        while True:
            end = _find_event_end(self.buffer)
            if end < 0:
                return events
            raw, self.buffer = self.buffer[:end], self.buffer[end:]
            events.append(Event(_parse_event_id(raw), raw, _has_fields(raw)))


def _find_event_end(data):
    """Returns the offset after the first event, or -1 if none is complete."""
    ends = [
        data.index(terminator) + len(terminator)
        for terminator in _EVENT_TERMINATORS
        if terminator in data
    ]
    return min(ends, default=-1)


def _has_fields(raw):
    return any(line and line[:1] != b":" for line in raw.splitlines())


def _parse_event_id(raw):
    for line in raw.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""

"""Splits an event stream into whole events."""

from typing import NamedTuple

_ENDS = (b"\n\n", b"\r\n\r\n")


class Event(NamedTuple):
    """One event; the id is empty if it has none.

    Attributes:
        event_id: Its id.
        raw: Its bytes, blank line included.
    """

    event_id: str
    raw: bytes


class Splitter:
    """Holds back the bytes of an event that is not whole yet."""

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that the data completes."""
        self.rest += data
        events = []
        while True:
            end = _end(self.rest)
            if end < 0:
                return events
            raw, self.rest = self.rest[:end], self.rest[end:]
            events.append(Event(_event_id(raw), raw))


def _end(data):
    """Returns where the first event ends, or -1."""
    found = [data.index(mark) + len(mark) for mark in _ENDS if mark in data]
    return min(found, default=-1)


def _event_id(raw):
    for line in raw.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""

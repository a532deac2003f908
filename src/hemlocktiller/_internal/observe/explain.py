"""What was decided about each recent request, and why."""

import collections
from collections.abc import Callable
import time
from typing import Any

import cbor2

REQUEST_LIMIT = 2000
REQUEST_EVENT_LIMIT = 64
MEAN_EVENTS_PER_REQUEST = 8  # bounds the sum over all requests


class Journal:
    """Bounded record of the newest requests and their events.

    A request whose events are full keeps its newest ones. When there are too
    many requests, or too many events in sum, the oldest request goes first.
    Events are kept encoded, which takes about a third of their memory.
    """

    def __init__(
        self,
        limit: int = REQUEST_LIMIT,
        now: Callable[[], float] = time.time,
    ) -> None:
        """Creates an empty journal.

        Args:
            limit: Most requests kept.
            now: Clock in seconds; its values appear in the events.
        """
        self._request_limit = limit
        self._event_limit = limit * MEAN_EVENTS_PER_REQUEST
        self._now = now
        self._requests: collections.OrderedDict[str, list[bytes]] = (
            collections.OrderedDict()
        )
        self._event_count = 0

    def note(self, request: str, event: str, **fields: Any) -> None:
        """Adds an event to a request.

        Args:
            request: Request id.
            event: Short stable name of what happened.
            **fields: Values that led to it, fit for JSON.
        """
        events = self._requests.get(request)
        if events is None:
            events = self._requests[request] = []
        elif len(events) == REQUEST_EVENT_LIMIT:
            del events[0]
            self._event_count -= 1
        events.append(
            cbor2.dumps(
                {"at_s": self._now(), "event": event, **fields},
                default=_encode_as_text,
            )
        )
        self._event_count += 1
        self._evict()

    def events(self, request: str) -> list[dict[str, Any]] | None:
        """Returns the events of a request in order; None if not known."""
        events = self._requests.get(request)
        if events is None:
            return None
        return [cbor2.loads(event) for event in events]

    def __len__(self) -> int:
        """Returns the number of requests kept."""
        return len(self._requests)

    @property
    def event_count(self) -> int:
        """Events kept, over all requests."""
        return self._event_count

    def _evict(self) -> None:
        """Drops the oldest requests until both limits hold."""
        while (
            len(self._requests) > self._request_limit
            or self._event_count > self._event_limit
        ):
            _, events = self._requests.popitem(last=False)
            self._event_count -= len(events)


def _encode_as_text(encoder, value):
    """Encodes a value that CBOR has no type for."""
    encoder.encode(str(value))

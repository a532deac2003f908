"""In-memory log of the decisions made about recent requests."""

import collections
from collections.abc import Callable
import time
from typing import Any

import cbor2

REQUEST_LIMIT = 2000
REQUEST_EVENT_LIMIT = 64
MEAN_EVENTS_PER_REQUEST = 8  # limits the events of all requests together


class RequestLog:
    """Bounded log of the newest requests and their events.

    A request at its event limit keeps its newest events. When there are too
    many requests, or too many events in total, the oldest request is evicted.
    Events are stored as CBOR, which takes about a third of the memory.
    """

    def __init__(
        self,
        limit: int = REQUEST_LIMIT,
        now: Callable[[], float] = time.time,
    ) -> None:
        """Creates an empty log.

        Args:
            limit: Maximum number of requests kept.
            now: Returns the current time in seconds, as written to `at_s`.
        """
        self._request_limit = limit
        self._total_event_limit = limit * MEAN_EVENTS_PER_REQUEST
        self._now = now
        self._requests: collections.OrderedDict[str, list[bytes]] = (
            collections.OrderedDict()
        )
        self._event_count = 0

    def add_event(self, request: str, event: str, **fields: Any) -> None:
        """Adds an event to the log of a request.

        Args:
            request: Request id.
            event: Kind of event; a short, stable name.
            **fields: Values that led to the event, serializable as JSON.
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
        """Returns the events of a request, oldest first; None if unknown."""
        events = self._requests.get(request)
        if events is None:
            return None
        return [cbor2.loads(event) for event in events]

    def __len__(self) -> int:
        """Returns the number of requests kept."""
        return len(self._requests)

    @property
    def event_count(self) -> int:
        """Number of events kept, over all requests."""
        return self._event_count

    def _evict(self) -> None:
        """Evicts the oldest requests until both limits are met."""
        while (
            len(self._requests) > self._request_limit
            or self._event_count > self._total_event_limit
        ):
            _, events = self._requests.popitem(last=False)
            self._event_count -= len(events)


def _encode_as_text(encoder, value):
    """Encodes a value without a CBOR type as its text."""
    encoder.encode(str(value))

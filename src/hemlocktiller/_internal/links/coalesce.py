"""Collects small items for a moment, so that one frame carries many."""

from collections.abc import Callable
from typing import Any

MAX_ITEMS = 512


class Coalescer:
    """Items that wait to be sent together.

    An item waits `delay_s` at most. A full batch leaves at once.
    """

    def __init__(
        self,
        reactor: Any,
        delay_s: float,
        flush: Callable[[list[Any]], None],
    ) -> None:
        self._reactor = reactor
        self._delay_s = delay_s
        self._flush = flush
        self._items: list[Any] = []
        self._timer: Any = None

    def add(self, item: Any) -> None:
        """Adds an item and sends the batch when it is full."""
        self._items.append(item)
        if len(self._items) >= MAX_ITEMS:
            self.flush()
        elif self._timer is None:
            self._timer = self._reactor.callLater(self._delay_s, self._expire)

    def flush(self) -> None:
        """Sends what waits now."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._send()

    def _expire(self) -> None:
        self._timer = None
        self._send()

    def _send(self) -> None:
        if not self._items:
            return
        items = self._items
        self._items = []
        self._flush(items)

"""Collects small items in batches, so that one frame carries many."""

from collections.abc import Callable
from typing import Any

MAX_BATCH_ITEMS = 512


class Coalescer:
    """Batch of items to be sent together.

    Args:
        reactor: Twisted reactor that times the delay.
        delay_s: Longest time that an item waits in the batch.
        flush: Sends the items of a batch. A full batch is sent at once.
    """

    def __init__(
        self,
        reactor: Any,
        delay_s: float,
        flush: Callable[[list[Any]], None],
    ) -> None:
        self._reactor = reactor
        self._delay_s = delay_s
        self._send_items = flush
        self._items: list[Any] = []
        self._timer: Any = None

    def add(self, item: Any) -> None:
        """Adds an item; sends the batch if it is full."""
        self._items.append(item)
        if len(self._items) >= MAX_BATCH_ITEMS:
            self.flush()
        elif self._timer is None:
            self._timer = self._reactor.callLater(
                self._delay_s, self._on_timer
            )

    def flush(self) -> None:
        """Sends the pending items at once."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._flush_items()

    def _on_timer(self) -> None:
        self._timer = None
        self._flush_items()

    def _flush_items(self) -> None:
        if not self._items:
            return
        items = self._items
        self._items = []
        self._send_items(items)

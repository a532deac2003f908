"""Structured log lines: one JSON object for each decision.

Each kind of event has a rate limit of its own. The number of lines dropped
by it is logged with the next line of that kind. Writing never blocks: when
the reader of the stream is too slow, lines are dropped and counted.
"""

import errno
import json
import os
import time
from typing import Any
from typing import TextIO

import logbook
from prometheus_client import Counter

# A request writes up to five lines. The limit keeps all lines of 20 requests
# a second and bounds a flood of one kind of event to about 30 KB/s.
MAX_LINES_PER_S = 100.0
MAX_BURST_LINES = 200.0

LINES_DROPPED = Counter(
    "hemlocktiller_log_lines_dropped",
    "Log lines that were not written, by reason",
    ["reason"],
)

_LOG = logbook.Logger("events")


class _TokenBucket:
    """Token bucket that limits the lines of one kind of event."""

    def __init__(self) -> None:
        self.tokens_left = MAX_BURST_LINES
        self.refilled_at_s = time.monotonic()
        self.dropped_line_count = 0

    def try_take_token(self) -> bool:
        """Takes a token; returns whether there was one."""
        now_s = time.monotonic()
        refilled_tokens = (now_s - self.refilled_at_s) * MAX_LINES_PER_S
        self.tokens_left = min(
            MAX_BURST_LINES, self.tokens_left + refilled_tokens
        )
        self.refilled_at_s = now_s
        if self.tokens_left < 1.0:
            self.dropped_line_count += 1
            LINES_DROPPED.labels("rate").inc()
            return False
        self.tokens_left -= 1.0
        return True


_BUCKETS_BY_EVENT: dict[str, _TokenBucket] = {}


def emit(event: str, **fields: Any) -> None:
    """Writes one log line, subject to the rate limit of its kind.

    Args:
        event: Kind of event, such as `dispatch`.
        **fields: Values that led to the decision; the names of times end
            in their unit.
    """
    bucket = _BUCKETS_BY_EVENT.setdefault(event, _TokenBucket())
    if not bucket.try_take_token():
        return
    if bucket.dropped_line_count:
        fields["lines_dropped"] = bucket.dropped_line_count
        bucket.dropped_line_count = 0
    _LOG.info("{}", json.dumps({"event": event, **fields}, default=str))


class NonBlockingStream:
    """Text stream that drops lines instead of blocking on a full pipe."""

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream  # Garbage collection would close the descriptor.
        self._file_descriptor = stream.fileno()
        self._unwritten = b""
        os.set_blocking(self._file_descriptor, False)

    def write(self, text: str) -> int:
        """Writes a line, or drops it if the write would block."""
        data = self._unwritten + text.encode()
        try:
            written_byte_count = os.write(self._file_descriptor, data)
        except OSError as error:
            if error.errno not in (errno.EAGAIN, errno.EPIPE):
                raise
            LINES_DROPPED.labels("blocked").inc()
            return len(text)
        # The rest of a partly written line is sent before the next line.
        self._unwritten = data[written_byte_count:]
        return len(text)

    def flush(self) -> None:
        """Does nothing: lines are not buffered."""

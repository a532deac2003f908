"""Structured log lines: one JSON object for each decision.

The volume is bounded for each kind of event, and what was dropped is
counted on the next line. Writing never blocks: when nobody reads the
stream, lines are dropped and counted too.
"""

import errno
import json
import os
import time
from typing import Any
from typing import TextIO

import logbook
from prometheus_client import Counter

# A request makes up to five lines; this keeps those of 20 requests a second
# and bounds a flood to about 30 KB a second for each kind of event.
LINES_PER_S = 100.0
BURST_LINES = 200.0

DROPPED = Counter(
    "hemlocktiller_log_lines_dropped",
    "Log lines that were not written, by reason",
    ["reason"],
)

_LOG = logbook.Logger("events")


class _Bucket:
    """Tokens left for one kind of event."""

    def __init__(self) -> None:
        self.tokens = BURST_LINES
        self.filled_s = time.monotonic()
        self.dropped = 0

    def take(self) -> bool:
        now_s = time.monotonic()
        gained = (now_s - self.filled_s) * LINES_PER_S
        self.tokens = min(BURST_LINES, self.tokens + gained)
        self.filled_s = now_s
        if self.tokens < 1.0:
            self.dropped += 1
            DROPPED.labels("rate").inc()
            return False
        self.tokens -= 1.0
        return True


_BUCKETS: dict[str, _Bucket] = {}


def emit(event: str, **fields: Any) -> None:
    """Writes one line.

    Args:
        event: What happened, such as `dispatch`.
        fields: What decided it; times carry their unit.
    """
    bucket = _BUCKETS.setdefault(event, _Bucket())
    if not bucket.take():
        return
    if bucket.dropped:
        fields["lines_dropped"] = bucket.dropped
        bucket.dropped = 0
    _LOG.info("{}", json.dumps({"event": event, **fields}, default=str))


class NonBlockingStream:
    """Writes lines to a descriptor and drops those that it can't take."""

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream  # Closes its descriptor when collected.
        self._descriptor = stream.fileno()
        self._rest = b""
        os.set_blocking(self._descriptor, False)

    def write(self, text: str) -> int:
        """Writes a line, or drops it while the descriptor is full."""
        data = self._rest + text.encode()
        try:
            written = os.write(self._descriptor, data)
        except OSError as error:
            if error.errno not in (errno.EAGAIN, errno.EPIPE):
                raise
            DROPPED.labels("blocked").inc()
            return len(text)
        # The rest of a line that was cut goes out before the next one.
        self._rest = data[written:]
        return len(text)

    def flush(self) -> None:
        """Does nothing; each line is written at once."""

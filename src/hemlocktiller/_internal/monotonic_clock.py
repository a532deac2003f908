"""Makes Twisted reactors use the monotonic clock.

Twisted schedules by the system time. When the system time steps forward, all
timers fire at once and every peer seems to have timed out; when it steps back,
no timer fires until the time has caught up.
"""

import time
from typing import Any


def use_monotonic_clock(reactor: Any) -> None:
    """Makes a reactor schedule by the monotonic clock.

    Must be called before anything is scheduled.

    Args:
        reactor: A Twisted reactor, or a test clock.
    """
    reactor.seconds = time.monotonic

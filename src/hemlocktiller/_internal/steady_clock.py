"""Timers that steps of the time of day don't move.

Twisted times by the time of day. When that jumps ahead, all that runs looks
silent and every timer is due; when it jumps back, all of them stand still.
"""

import time
from typing import Any


def use(reactor: Any) -> None:
    """Has a reactor time by the system's steady clock.

    To be called before anything is scheduled.

    Args:
        reactor: A reactor of Twisted, or a clock of its tests.
    """
    reactor.seconds = time.monotonic

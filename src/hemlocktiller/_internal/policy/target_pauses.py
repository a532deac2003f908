"""Pauses that targets ask for when they reject requests.

Answers the load on targets that are full or in trouble: a process that keeps
sending to them delays their recovery, and all processes that return at the
same moment stop it again.
"""

import math
from typing import NamedTuple

# A target that asks for longer is tried again after this time.
MAX_PAUSE_S = 60.0
# A pause is extended by up to this share, so that processes that were rejected
# at the same moment don't return at the same moment.
MAX_EXTENSION_RATIO = 0.1
MAX_PROCESSES = 10_000
# Shows whether a target that is silent for streams in progress was lost.
PROBES_IN_PAUSE = 1


class _Pause(NamedTuple):
    """Pause of one process.

    Attributes:
        until_s: Its end.
        probes_left: Probes that may still be sent in it.
    """

    until_s: float
    probes_left: int


class TargetPauses:
    """Pauses that the processes of targets asked for."""

    def __init__(self) -> None:
        self._pauses: dict[str, _Pause] = {}

    def __len__(self) -> int:
        return len(self._pauses)

    def record(
        self, process_id: str, pause_s: float, now_s: float, extension: float
    ) -> None:
        """Records that a process wants no requests for some time.

        A pause that has begun is extended, and never shortened.

        Args:
            process_id: Id of the process, which differs after a restart.
            pause_s: Length of the pause. It is ignored if it is not a
                positive finite number, and limited to `MAX_PAUSE_S`.
            now_s: Current time.
            extension: Random number from 0 to 1, for the extension.
        """
        if not (math.isfinite(pause_s) and pause_s > 0):
            return
        length_s = min(pause_s, MAX_PAUSE_S)
        until_s = now_s + length_s * (1 + MAX_EXTENSION_RATIO * extension)
        current = self._pauses.pop(process_id, None)
        if current is not None and current.until_s > now_s:
            pause = current._replace(until_s=max(until_s, current.until_s))
        else:
            pause = _Pause(until_s, PROBES_IN_PAUSE)
        if len(self._pauses) >= MAX_PROCESSES:
            del self._pauses[next(iter(self._pauses))]
        self._pauses[process_id] = pause

    def left_s(self, process_id: str, now_s: float) -> float:
        """Returns how long a process still wants no requests; 0 if not."""
        pause = self._pauses.get(process_id)
        if pause is None:
            return 0.0
        if pause.until_s <= now_s:
            del self._pauses[process_id]
            return 0.0
        return pause.until_s - now_s

    def try_probe(self, process_id: str, now_s: float) -> bool:
        """Returns whether a probe may be sent now, and counts it."""
        if self.left_s(process_id, now_s) <= 0:
            return True
        pause = self._pauses[process_id]
        if pause.probes_left <= 0:
            return False
        self._pauses[process_id] = pause._replace(
            probes_left=pause.probes_left - 1
        )
        return True

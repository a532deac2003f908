"""Load of the targets of plain services; pure, without I/O.

It answers lookups and bookings at services of few slots, one of whose targets
becomes slow: the number of requests that a gateway has there says little at
a few requests a second, and each gateway alone learns of it from requests
that come late. Gateways thus tell each other how long the answers took.
"""

from collections.abc import Mapping
from collections.abc import Sequence

# Share of the newest answer in the mean time of a target's answers: one in a
# hundred takes several times as long as most, and one alone shows nothing.
NEWEST_ANSWER_SHARE = 0.3
# Times of answers expire: a target that was slow is tried again in time to
# share the load of the next burst. Those of a peer expire after its next one.
TIMES_TTL_S = 2.5
# No answer counts as faster, as scheduling takes some ms anywhere.
MIN_ANSWER_MS = 5.0
# More targets than plain services have; longer reports are ignored.
MAX_TARGETS = 512
# No answer takes longer, as the time limits of calls are shorter.
MAX_ANSWER_MS = 60_000


class PlainLoads:
    """Own requests and times of answers at plain targets, by name.

    Attributes:
        has_times: Whether times of answers count; without them the number
            of own requests alone does.
    """

    def __init__(self) -> None:
        self.has_times = False
        self._counts: dict[str, int] = {}
        # Pairs of the time of the last answer and the mean in ms.
        self._own_times: dict[str, tuple[float, float]] = {}
        self._peer_times: dict[str, tuple[float, Mapping[str, float]]] = {}

    def count(self, target: str) -> int:
        """Returns the number of own outstanding requests at a target."""
        return self._counts.get(target, 0)

    def adjust(self, target: str, delta: int) -> None:
        """Adds a difference to the count of a target."""
        count = self._counts.get(target, 0) + delta
        if count > 0:
            self._counts[target] = count
        else:
            self._counts.pop(target, None)

    def record_answer(self, target: str, took_s: float, now_s: float) -> None:
        """Records the time of an answer of a target."""
        took_ms = min(max(took_s * 1000.0, MIN_ANSWER_MS), MAX_ANSWER_MS)
        recorded_s, mean_ms = self._own_times.get(target, (now_s, took_ms))
        if not _is_expired(recorded_s, now_s):
            took_ms += (mean_ms - took_ms) * (1.0 - NEWEST_ANSWER_SHARE)
        self._own_times[target] = (now_s, took_ms)

    def record_unanswered(
        self, target: str, waited_s: float, now_s: float
    ) -> None:
        """Records that an answer took longer than this, if that is long."""
        _, mean_ms = self._own_times.get(target, (0.0, MIN_ANSWER_MS))
        if waited_s * 1000.0 > mean_ms:
            self.record_answer(target, waited_s, now_s)

    def answer_ms(self, target: str, now_s: float) -> float:
        """Returns the mean time of a target's answers; 0 if unknown."""
        if not self.has_times:
            return 0.0
        times_ms = [
            peer_times_ms[target]
            for received_s, peer_times_ms in self._peer_times.values()
            if target in peer_times_ms and not _is_expired(received_s, now_s)
        ]
        recorded_s, own_ms = self._own_times.get(target, (0.0, 0.0))
        if own_ms and not _is_expired(recorded_s, now_s):
            times_ms.append(own_ms)
        return sum(times_ms) / len(times_ms) if times_ms else 0.0

    def own_times_ms(self, now_s: float) -> dict[str, float]:
        """Returns the times by this process, and forgets expired ones."""
        for target, (recorded_s, _) in list(self._own_times.items()):
            if _is_expired(recorded_s, now_s):
                del self._own_times[target]
        if not self.has_times:
            return {}
        return {name: own_ms for name, (_, own_ms) in self._own_times.items()}

    def apply_peer_times(
        self,
        peer: str,
        targets: Sequence[str],
        times_ms: Sequence[float],
        now_s: float,
    ) -> bool:
        """Replaces the times that a peer reported before.

        Returns:
            Whether the report can be one; one that can't has no effect.
        """
        if not len(targets) == len(times_ms) <= MAX_TARGETS or any(
            not MIN_ANSWER_MS <= time_ms <= MAX_ANSWER_MS
            for time_ms in times_ms
        ):
            return False
        self._peer_times.pop(peer, None)
        if targets:
            self._peer_times[peer] = (
                now_s,
                dict(zip(targets, times_ms, strict=True)),
            )
        return True

    def forget_peer(self, peer: str) -> None:
        """Drops the times of a peer that was lost."""
        self._peer_times.pop(peer, None)


def _is_expired(recorded_s, now_s):
    return recorded_s <= now_s - TIMES_TTL_S

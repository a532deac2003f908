"""Decides how long a target whose registration was removed is still used.

Answers an outage of the store in which registrations expire while their
targets serve: these are written again soon after it. A target that leaves has
its registration removed too, and must get no more requests. What tells the
two apart is when the registration was removed. One that the store still listed
after its return has not expired in the outage, nor has one that was removed
in an outage shorter than a registration lives without heartbeats.
"""

import math
from typing import NamedTuple

# Registrations that expired during an outage of the object store are written
# again within two seconds after it.
RETURN_S = 2.4
# Missed heartbeats after which the store removes a registration.
LIFETIME_HEARTBEATS = 3
# Time for requests that are on their way to a target.
TRANSIT_S = 0.1


class Bounds(NamedTuple):
    """Time bounds of a deployment.

    Attributes:
        drain_s: Maximum time from the removal of a registration until its
            target gets no more requests.
        contact_s: Time after an outage in which a gateway may exceed that.
        heartbeat_s: Time between two writes of a registration.
    """

    drain_s: float
    contact_s: float
    heartbeat_s: float


DEFAULT_BOUNDS = Bounds(drain_s=2.0, contact_s=3.0, heartbeat_s=1.2)


class StoreContact:
    """What one process knows of the last outage of the store.

    Attributes:
        is_current: Whether the registrations were read since, so that those
            removed from now on have not expired in the outage.
    """

    def __init__(self, bounds: Bounds) -> None:
        self.is_current = True
        self._bounds = bounds
        self._answered_s = -math.inf
        # When the store was last away for certain: the start of a failed call.
        self._failed_s = -math.inf
        # When the last failure was known.
        self._failure_seen_s = -math.inf
        self._is_away = False
        self._away_since_s = -math.inf
        self._returned_s = -math.inf
        # Longest time without an answer since the registrations were current.
        self._away_s = 0.0

    def record_failure(self, now_s: float, failed_after_s: float) -> None:
        """Records a failed call.

        Args:
            now_s: Current time.
            failed_after_s: How long the call took. The store was away at
                some time of it, and may have returned since.
        """
        if not self._is_away:
            self._is_away = True
            self._away_since_s = self._answered_s
        self.is_current = False
        self._failed_s = max(self._failed_s, now_s - failed_after_s)
        self._failure_seen_s = now_s

    def record_loss(self, now_s: float) -> None:
        """Records that the store came back without some registrations."""
        self.record_failure(now_s, 0.0)
        self._is_away = False
        self._returned_s = now_s
        self._away_s = math.inf

    def record_answer(self, now_s: float) -> None:
        """Records that a call was answered."""
        self._answered_s = now_s
        if self._is_away:
            self._is_away = False
            self._returned_s = now_s
            away_s = now_s - self._away_since_s
            self._away_s = max(self._away_s, away_s)

    def record_registrations(self, sent_s: float) -> None:
        """Records that the registrations were read and applied.

        Args:
            sent_s: When the call that read them was sent.
        """
        if sent_s >= self._failure_seen_s:
            self.is_current = True
            self._away_s = 0.0

    def keep_until_s(self, now_s: float, is_from_peer: bool) -> float:
        """Returns until when a removed target is used; now if no longer.

        Args:
            now_s: Time at which the removal is known.
            is_from_peer: Whether a peer has told of it, which it does at once,
                instead of the store.
        """
        away_s = self._away_s
        if self._is_away:
            away_s = max(away_s, now_s - self._away_since_s)
        lifetime_s = LIFETIME_HEARTBEATS * self._bounds.heartbeat_s
        if self.is_current or away_s < lifetime_s - self._bounds.heartbeat_s:
            return now_s
        until_s = self._failed_s + self._bounds.contact_s - TRANSIT_S
        if is_from_peer:
            until_s = min(until_s, now_s + self._bounds.drain_s - TRANSIT_S)
        if not self._is_away:
            until_s = min(until_s, self._returned_s + RETURN_S)
        elif not is_from_peer:
            until_s = min(until_s, now_s + RETURN_S)
        return max(now_s, until_s)

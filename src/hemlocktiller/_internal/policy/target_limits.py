"""Turns of the gateways at targets that name a limit of requests a second.

Answers the load on targets in need, whose limit holds for all gateways
together: where each has far less than one request a second, what a gateway
saves up while it has no requests would be sent by all of them at once.

The requests that a target takes are numbered from the moment at which it named
its limit, at the rate of the limit. Each number is the turn of one gateway, in
the order of their names, and may be used for `SAVED_S` and until `SAVED_TURNS`
later ones have begun. So any time has at most the turns that begin in it and
these few, however many gateways there are. Gateways tell each other which turn
has begun, and the highest one counts; a gateway that restarts learns it with
the limit.

A limit begins with the first answer that names it, and ends with an answer to
a later request that names none. One that can't be read does neither. The
last value counts, and is kept between `MIN_LIMIT_PER_S` and `MAX_LIMIT_PER_S`.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import NamedTuple

import xxhash

# A target that takes fewer, or none, gets one request a minute, which shows
# whether it still says so.
MIN_LIMIT_PER_S = 1 / 60
# No target serves as many, so the share of each gateway is no limit any more.
MAX_LIMIT_PER_S = 100_000.0
# How long a turn may be used, as a gateway may have no request at the moment
# when it begins: this time, and until so many later turns have begun.
SAVED_S = 1.0
SAVED_TURNS = 2
MAX_PROCESSES = 10_000
# Shortest time between two announcements of a limit, and the same for each
# gateway: an announcement goes to all of them.
MIN_ANNOUNCEMENT_INTERVAL_S = 1.0
ANNOUNCEMENT_INTERVAL_PER_GATEWAY_S = 0.1
# Pause between two polls of the report of a process with a limit.
POLL_INTERVAL_S = 4.0
# Callers that are rejected are told to return after this time at most.
MAX_RETURN_S = 60.0


class TurnOrder(NamedTuple):
    """Place of this gateway among those that take turns.

    Attributes:
        index: Its place in the order of their names, from 0.
        count: Number of gateways.
    """

    index: int
    count: int


class Room(NamedTuple):
    """Requests that this gateway may start at targets with limits.

    Attributes:
        wait_s: Time until the next one.
        starts_per_s: Its share of the limits.
    """

    wait_s: float
    starts_per_s: float


class Announcement(NamedTuple):
    """What gateways tell each other of the limit of a process.

    Attributes:
        process_id: Id of the process.
        limit_per_s: The limit; None if the process names none any more.
        turns: Turns that have begun, with the part of the next one.
    """

    process_id: str
    limit_per_s: float | None
    turns: float


class _Limit:
    """Limit of one process, and the turns at it."""

    def __init__(self, process_id: str) -> None:
        self.offset = xxhash.xxh64_intdigest(process_id.encode())
        self.per_s: float | None = None
        # Turns that had begun at `counted_s`.
        self.turns = 0.0
        self.counted_s = 0.0
        self.last_used_turn = -1
        self._order: TurnOrder | None = None
        self.named_s = 0.0
        # Probes show the end of the limit only if they have shown it.
        self.is_named_to_probes = False
        self.announced_per_s: float | None = None
        self.announced_s = -math.inf
        self.polled_s = -math.inf

    def count_turns(self, now_s: float) -> float:
        """Returns the turns that have begun by now."""
        if self.per_s is None:
            return self.turns
        return self.turns + max(0.0, now_s - self.counted_s) * self.per_s

    def set_rate(self, per_s: float | None, now_s: float) -> None:
        """Replaces the limit; turns that have begun stay."""
        self.turns = self.count_turns(now_s)
        self.counted_s = now_s
        self.per_s = per_s

    def next_turn(self, order: TurnOrder, turns: float) -> int:
        """Returns the next turn of this gateway, which may have begun.

        Turns that began in another order are gone, as the gateway that had
        them then may have used them.
        """
        if order != self._order:
            if self._order is not None:
                self.last_used_turn = max(
                    self.last_used_turn, math.floor(turns)
                )
            self._order = order
        saved_turns = SAVED_TURNS + SAVED_S * (self.per_s or 0.0)
        earliest = max(
            self.last_used_turn + 1, math.floor(turns - saved_turns) + 1
        )
        return earliest + (order.index - earliest - self.offset) % order.count


class TargetLimits:
    """Limits that processes of targets name, and own turns at them.

    Attributes:
        turn_order: Returns the place of this gateway among all.
    """

    def __init__(self) -> None:
        self.turn_order: Callable[[], TurnOrder] = lambda: TurnOrder(0, 1)
        self._limits: dict[str, _Limit] = {}
        self._active_count = 0

    def __len__(self) -> int:
        return self._active_count

    def limit_per_s(self, process_id: str) -> float | None:
        """Returns the limit of a process; None if it names none."""
        limit = self._limits.get(process_id)
        return limit.per_s if limit is not None else None

    def record_named(
        self, process_id: str, limit_per_s: float, is_probe: bool, now_s: float
    ) -> bool:
        """Records that an answer named a limit; returns if it has changed.

        Args:
            process_id: Id of the process, which differs after a restart.
            limit_per_s: Requests a second that it takes from all gateways.
            is_probe: Whether it answered a probe.
            now_s: Current time.
        """
        limit = self._get_or_add(process_id, now_s)
        limit.named_s = now_s
        limit.is_named_to_probes |= is_probe
        return self._set_rate(limit, _clamp(limit_per_s), now_s)

    def record_unnamed(
        self, process_id: str, is_probe: bool, sent_s: float, now_s: float
    ) -> bool:
        """Records that an answer named no limit; returns if that ends one.

        Args:
            process_id: Id of the process.
            is_probe: Whether it answered a probe.
            sent_s: When the request was sent. The answer may be older than
                the limit if that was named afterwards.
            now_s: Current time.
        """
        limit = self._limits.get(process_id)
        if (
            limit is None
            or sent_s <= limit.named_s
            or (is_probe and not limit.is_named_to_probes)
        ):
            return False
        return self._set_rate(limit, None, now_s)

    def apply_announcement(
        self, announcement: Announcement, now_s: float
    ) -> bool:
        """Applies what a peer tells; returns if that changes the limit."""
        limit_per_s = announcement.limit_per_s
        is_new = announcement.process_id not in self._limits
        limit = self._get_or_add(announcement.process_id, now_s)
        limit.set_rate(limit.per_s, now_s)
        limit.turns = max(limit.turns, announcement.turns)
        if is_new:
            # An earlier process of this gateway may have used those so far.
            limit.last_used_turn = math.floor(limit.turns)
        limit.announced_s = now_s
        if limit_per_s is not None:
            limit.named_s = now_s
            limit_per_s = _clamp(limit_per_s)
        limit.announced_per_s = limit_per_s
        return self._set_rate(limit, limit_per_s, now_s)

    def take_announcement(
        self, process_id: str, now_s: float
    ) -> Announcement | None:
        """Returns what peers have to be told of a process now, if anything."""
        limit = self._limits.get(process_id)
        if limit is None or limit.per_s == limit.announced_per_s:
            return None
        interval_s = max(
            MIN_ANNOUNCEMENT_INTERVAL_S,
            self.turn_order().count * ANNOUNCEMENT_INTERVAL_PER_GATEWAY_S,
        )
        if now_s - limit.announced_s < interval_s:
            return None
        limit.announced_s = now_s
        limit.announced_per_s = limit.per_s
        return _announce(process_id, limit, now_s)

    def announcements(self, now_s: float) -> list[Announcement]:
        """Returns what a peer has to be told when its link opens."""
        return [
            _announce(process_id, limit, now_s)
            for process_id, limit in self._limits.items()
            if limit.per_s is not None
        ]

    def turn_wait_s(self, process_id: str, now_s: float) -> float:
        """Returns the time until a process takes a request of this gateway.

        It is 0 if it does now, or names no limit.
        """
        limit = self._limits.get(process_id)
        if limit is None or limit.per_s is None:
            return 0.0
        turns = limit.count_turns(now_s)
        turn = limit.next_turn(self.turn_order(), turns)
        return max(0.0, turn - turns) / limit.per_s

    def use_turn(self, process_id: str, now_s: float) -> None:
        """Records that a request is sent; it uses up the next turn."""
        limit = self._limits.get(process_id)
        if limit is not None and limit.per_s is not None:
            limit.last_used_turn = limit.next_turn(
                self.turn_order(), limit.count_turns(now_s)
            )

    def try_poll(self, process_id: str, now_s: float) -> bool:
        """Returns whether a process may be polled now, and counts the poll."""
        limit = self._limits.get(process_id)
        if limit is None or limit.per_s is None:
            return True
        if now_s - limit.polled_s < POLL_INTERVAL_S:
            return False
        limit.polled_s = now_s
        return True

    def room(self, waits_s: Iterable[tuple[str, float]], now_s: float) -> Room:
        """Returns what this gateway may start at processes with limits.

        Args:
            waits_s: Ids of the processes, and for how long each takes no
                requests for another reason.
            now_s: Current time.
        """
        count = self.turn_order().count
        next_wait_s = math.inf
        starts_per_s = 0.0
        for process_id, wait_s in waits_s:
            next_wait_s = min(
                next_wait_s, max(wait_s, self.turn_wait_s(process_id, now_s))
            )
            starts_per_s += (self.limit_per_s(process_id) or 0.0) / count
        return Room(next_wait_s, starts_per_s)

    def _set_rate(self, limit, per_s, now_s):
        """Replaces a limit; returns whether it has changed."""
        if limit.per_s == per_s:
            return False
        self._active_count += (per_s is not None) - (limit.per_s is not None)
        limit.set_rate(per_s, now_s)
        return True

    def _get_or_add(self, process_id, now_s):
        limit = self._limits.get(process_id)
        if limit is None:
            if len(self._limits) >= MAX_PROCESSES:
                oldest = self._limits.pop(next(iter(self._limits)))
                self._active_count -= oldest.per_s is not None
            limit = self._limits[process_id] = _Limit(process_id)
            limit.counted_s = now_s
        return limit


class ReturnTimes:
    """Times at which rejected callers return, one for each start.

    They go to any gateway, so each gateway gives as many times as it has
    turns: together they return no faster than requests start.
    """

    def __init__(self) -> None:
        self._last_s: dict[str, float] = {}

    def next_s(
        self,
        service: str,
        room: Room,
        waiting: int,
        time_left_s: float,
        now_s: float,
    ) -> float:
        """Returns after which time the next rejected caller should return.

        Args:
            service: Name of the service.
            room: What may start at it.
            waiting: Requests that wait for it already.
            time_left_s: Time until the caller's deadline; one that passes
                before that time leaves the start to the next caller.
            now_s: Current time.
        """
        interval_s = 1.0 / max(room.starts_per_s, MIN_LIMIT_PER_S)
        return_s = max(
            now_s + room.wait_s + waiting * interval_s,
            self._last_s.get(service, -math.inf) + interval_s,
        )
        if return_s <= now_s + min(time_left_s, MAX_RETURN_S):
            self._last_s[service] = return_s
        return min(return_s - now_s, MAX_RETURN_S)


def count_starts(room: Room, max_wait_s: float) -> int:
    """Returns how many requests can start within a time."""
    if room.wait_s > max_wait_s:
        return 0
    return 1 + math.floor((max_wait_s - room.wait_s) * room.starts_per_s)


def _clamp(limit_per_s):
    return min(max(limit_per_s, MIN_LIMIT_PER_S), MAX_LIMIT_PER_S)


def _announce(process_id, limit, now_s):
    return Announcement(process_id, limit.per_s, limit.count_turns(now_s))

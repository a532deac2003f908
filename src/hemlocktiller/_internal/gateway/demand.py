"""Demand by service and priority class, of this gateway and its peers.

Each gateway counts its arrivals, starts, waiting requests and the callers
that it told to come back, and tells peers the sums. Nothing is kept by
request.
"""

from collections.abc import Callable
from collections.abc import Mapping
import math
from typing import Any
from typing import NamedTuple

import prometheus_client

from hemlocktiller._internal.gateway import model
from hemlocktiller._internal.observe import events
from hemlocktiller._internal.policy import admission
from hemlocktiller._internal.policy import admission_level
from hemlocktiller._internal.policy import occupancy as occupancy_module

MAX_RANK = model.MAX_RANK
# Bounds of what a peer may tell, so that a message stays small and a faulty
# peer can't displace what the others know.
MAX_ROWS = 64
TOLD_WORKSPACES = 4
MAX_TOLD_COUNT = 100_000
# Routes of which the time that callers have is remembered.
MAX_ROUTES = 1024
# A peer that tells more than this many times the mean of the others, and
# more than a gateway usually serves, is not believed.
IMPLAUSIBLE_RATIO = 20.0
PLAUSIBLE_PER_S = 50.0
# Sums of a peer are used for this many report intervals: at least every
# fourth report is sent, and one may be lost.
SUMS_TTL_INTERVALS = 2 * occupancy_module.FULL_REPORT_EVERY
# Waiting requests that a peer told of have started or expired after this
# time: a request of the most urgent class waits no longer.
WAITING_TTL_S = 0.25
# Sums of peers are added up anew after this time, a fraction of the interval
# at which they arrive.
TOTALS_TTL_S = 0.05
# Part of the peers whose sums are needed to decide for all gateways.
KNOWN_PEERS_RATIO = 0.5
# Weight of the latest return in the share of returns that were refused.
FAULT_WEIGHT = 0.1
RATE_UNIT_S = 10.0
# A caller that came back has less time left than callers of its route have
# at first: by the shortest time told to come back at least, and by the
# longest and the wait for a refusal at most.
RETURN_SHORTFALL_S = (
    admission_level.RETRY_AFTER_MIN_S,
    admission_level.RETURN_HORIZON_S + 2.0,
)

RETURN_FAULTS = prometheus_client.Counter(
    "hemlocktiller_gateway_return_faults",
    "Callers refused again although they came back when told, by class",
    ["rank"],
)
RETURNS = prometheus_client.Counter(
    "hemlocktiller_gateway_returns",
    "Callers that came back after they were refused, by class",
    ["rank"],
)
KNOWN_PEERS = prometheus_client.Gauge(
    "hemlocktiller_gateway_demand_peers",
    "Peers whose demand by class is known",
)


class Sums(NamedTuple):
    """What a gateway tells about one class of a service.

    Attributes:
        demand: Rates, waiting requests and returns that are due.
        used_tokens: Recent cost of its largest workspaces.
    """

    demand: admission_level.ClassDemand
    used_tokens: Mapping[str, float]


class _OwnClass:
    """Counts of this gateway for one class of a service."""

    def __init__(self) -> None:
        self.arrivals = admission.RateWindow()
        self.starts = admission.RateWindow()
        self.started: list[tuple[float, str, float]] = []
        self.due_at_s: list[float] = []
        self.waiting = 0
        self.fault_ratio = 0.0

    def sums(self, now_s: float) -> Sums:
        """Returns the sums at a time, and forgets what is too old."""
        oldest_s = now_s - admission.RATE_WINDOW_S
        self.started = [one for one in self.started if one[0] >= oldest_s]
        self.due_at_s = [one for one in self.due_at_s if one >= now_s]
        used_tokens: dict[str, float] = {}
        for _, workspace, tokens in self.started:
            used_tokens[workspace] = used_tokens.get(workspace, 0.0) + tokens
        due = [0.0] * admission_level.RETURN_HORIZON_S
        for at_s in self.due_at_s:
            due[min(int(at_s - now_s), len(due) - 1)] += 1.0
        return Sums(
            admission_level.ClassDemand(
                self.arrivals.per_s(now_s),
                self.starts.per_s(now_s),
                float(self.waiting),
                tuple(due),
            ),
            used_tokens,
        )


Key = tuple[str, int]


class DemandBoard:
    """Sums of demand by service and class.

    Attributes:
        count_gateways: Returns how many gateways there are.
        report_interval_s: Returns the interval at which peers tell sums.
        services: Services whose classes compete; sums are told of these.
    """

    def __init__(self) -> None:
        self.count_gateways: Callable[[], int] = lambda: 1
        self.report_interval_s: Callable[[], float] = lambda: (
            occupancy_module.REPORT_INTERVAL_S
        )
        self.services: frozenset[str] = frozenset()
        self._own: dict[Key, _OwnClass] = {}
        self._peers: dict[str, tuple[float, dict[Key, Sums]]] = {}
        self._bad_peers: set[str] = set()
        self._totals: dict[Key, Sums] = {}
        self._totals_at_s = -math.inf
        self._is_view_complete = True
        self._longest_time_left_s: dict[str, float] = {}

    def own(self, service: str, rank: int) -> _OwnClass:
        """Returns the counts of this gateway for a class."""
        return self._own.setdefault((service, rank), _OwnClass())

    def record_arrival(
        self, service: str, rank: int, has_waited: bool, now_s: float
    ) -> None:
        """Counts a request."""
        self.own(service, rank).arrivals.record(now_s)
        if has_waited:
            RETURNS.labels(rank).inc()

    def record_time_left(self, route: str, time_left_s: float | None) -> bool:
        """Returns whether a caller was refused before and came back.

        Attempts carry no more than the time that the caller has left; a
        caller that repeats at once has as much as at first.
        """
        if time_left_s is None:
            return False
        if len(self._longest_time_left_s) > MAX_ROUTES:
            self._longest_time_left_s.clear()
        longest_s = max(time_left_s, self._longest_time_left_s.get(route, 0.0))
        self._longest_time_left_s[route] = longest_s
        shortest_s, furthest_s = RETURN_SHORTFALL_S
        return shortest_s <= longest_s - time_left_s <= furthest_s

    def record_start(
        self, key: Key, workspace: str, cost_tokens: float, now_s: float
    ) -> None:
        """Counts a start and charges its workspace."""
        own = self.own(*key)
        own.starts.record(now_s)
        own.started.append((now_s, workspace, cost_tokens))
        known = self._totals.get(key)
        if known is not None:
            used = known.used_tokens.get(workspace, 0.0) + cost_tokens
            self._totals[key] = known._replace(
                used_tokens={**known.used_tokens, workspace: used}
            )

    def record_return_outcome(
        self, service: str, rank: int, is_refused: bool
    ) -> None:
        """Learns whether the time told to a caller that came back was true."""
        own = self.own(service, rank)
        own.fault_ratio += FAULT_WEIGHT * (is_refused - own.fault_ratio)
        if is_refused:
            RETURN_FAULTS.labels(rank).inc()

    def record_due(
        self, service: str, rank: int, retry_after_s: float, now_s: float
    ) -> None:
        """Counts a caller that was told to come back."""
        self.own(service, rank).due_at_s.append(now_s + retry_after_s)

    def set_waiting(self, service: str, counts: Mapping[int, int]) -> None:
        """Replaces the numbers of requests that wait here, by class."""
        for (name, rank), own in self._own.items():
            if name == service:
                own.waiting = counts.get(rank, 0)

    def demand(
        self, service: str, now_s: float
    ) -> dict[int, admission_level.ClassDemand]:
        """Returns the demand of all gateways for a service, by class."""
        self._refresh(now_s)
        return {
            rank: sums.demand
            for (name, rank), sums in self._totals.items()
            if name == service
        }

    def used_tokens(
        self, service: str, rank: int, now_s: float
    ) -> Mapping[str, float]:
        """Returns the recent cost of workspaces in a class, everywhere."""
        self._refresh(now_s)
        sums = self._totals.get((service, rank))
        return sums.used_tokens if sums else {}

    def waiting_at_peers(
        self, service: str, before_rank: int, now_s: float
    ) -> float:
        """Returns how many more urgent requests wait at peers now.

        What a peer told counts less with its age, so that room isn't held
        for requests that have started since.
        """
        total = 0.0
        for received_s, by_key in self._peers.values():
            freshness = 1.0 - (now_s - received_s) / WAITING_TTL_S
            if freshness <= 0.0:
                continue
            for (name, rank), sums in by_key.items():
                if name == service and rank < before_rank:
                    total += sums.demand.waiting * freshness
        return total

    def rows(self, now_s: float) -> list[dict[str, Any]]:
        """Returns what peers are told: a row for each class."""
        return [
            _encode(service, rank, own.sums(now_s))
            for (service, rank), own in sorted(self._own.items())
            if service in self.services
        ][:MAX_ROWS]

    def apply_peer(self, peer: str, rows: Any, now_s: float) -> None:
        """Applies the rows that a peer told; None if it told none.

        A row with a bad field is left out and the others are used. One line
        is logged until a message of the peer is sound again.
        """
        if rows is None:
            self._peers.pop(peer, None)
            return
        by_key: dict[Key, Sums] = {}
        reason = "" if isinstance(rows, list) else "not a list"
        for row in rows[:MAX_ROWS] if not reason else ():
            try:
                key, sums = _decode(row)
                self._require_plausible(peer, key, sums)
            except (KeyError, TypeError, ValueError) as error:
                reason = repr(error)[:200]
                continue
            by_key[key] = sums
        self._peers[peer] = (now_s, by_key)
        if reason and peer not in self._bad_peers:
            events.emit("bad_demand", peer=peer, reason=reason)
        (self._bad_peers.add if reason else self._bad_peers.discard)(peer)

    def _require_plausible(self, peer, key, sums):
        others = [
            by_key[key].demand.arrivals_per_s
            for name, (_, by_key) in self._peers.items()
            if name != peer and key in by_key
        ]
        mean_per_s = sum(others) / len(others) if others else 0.0
        limit_per_s = max(PLAUSIBLE_PER_S, mean_per_s * IMPLAUSIBLE_RATIO)
        demand = sums.demand
        # A request waits for less than the window of the rates.
        most_waiting = demand.arrivals_per_s * admission.RATE_WINDOW_S + 1.0
        if (
            max(demand.arrivals_per_s, demand.starts_per_s) > limit_per_s
            or demand.waiting > most_waiting
            or sum(demand.due) > limit_per_s * admission_level.RETURN_HORIZON_S
        ):
            raise ValueError(f"implausible {demand}")

    def _refresh(self, now_s: float) -> None:
        """Adds up the sums of all gateways again, if these are too old."""
        if now_s - self._totals_at_s < TOTALS_TTL_S:
            for key, own in self._own.items():
                if key not in self._totals:
                    self._totals[key] = own.sums(now_s)
            return
        self._totals_at_s = now_s
        ttl_s = self.report_interval_s() * SUMS_TTL_INTERVALS
        for peer, (received_s, _) in list(self._peers.items()):
            if now_s - received_s > ttl_s:
                del self._peers[peer]
        totals = {key: own.sums(now_s) for key, own in self._own.items()}
        if self._knows_enough_peers():
            for received_s, by_key in self._peers.values():
                for key, sums in by_key.items():
                    aged = _aged(sums, now_s - received_s)
                    known = totals.get(key)
                    totals[key] = _add(known, aged) if known else aged
        self._totals = totals

    def _knows_enough_peers(self) -> bool:
        """Returns whether all gateways' demand is known; logs changes."""
        expected = self.count_gateways() - 1
        is_complete = len(self._peers) >= expected * KNOWN_PEERS_RATIO
        KNOWN_PEERS.set(len(self._peers))
        if is_complete != self._is_view_complete and self.services:
            self._is_view_complete = is_complete
            events.emit(
                "demand_view",
                view="all" if is_complete else "own",
                known_peers=len(self._peers),
                peers=expected,
            )
        return is_complete


def _encode(service, rank, sums):
    demand = sums.demand
    largest = sorted(
        sums.used_tokens.items(), key=lambda item: (-item[1], item[0])
    )[:TOLD_WORKSPACES]
    return {
        "service": service,
        "rank": rank,
        "arrivals": round(demand.arrivals_per_s * RATE_UNIT_S),
        "starts": round(demand.starts_per_s * RATE_UNIT_S),
        "waiting": round(demand.waiting),
        "due": [round(count) for count in demand.due],
        "used_tokens": {name: round(tokens) for name, tokens in largest},
    }


def _decode(row):
    """Returns the key and sums of a row.

    Raises:
        KeyError, TypeError, ValueError: A field is missing or bad.
    """
    rank = row["rank"]
    if _count(rank) > MAX_RANK or not isinstance(row["service"], str):
        raise ValueError(f"class {rank!r}")
    due = tuple(float(_count(one)) for one in row["due"])
    if len(due) != admission_level.RETURN_HORIZON_S:
        raise ValueError("returns of other seconds")
    used_tokens = dict(row["used_tokens"])
    if len(used_tokens) > TOLD_WORKSPACES:
        raise ValueError("too many workspaces")
    return (row["service"], rank), Sums(
        admission_level.ClassDemand(
            _count(row["arrivals"]) / RATE_UNIT_S,
            _count(row["starts"]) / RATE_UNIT_S,
            float(_count(row["waiting"])),
            due,
        ),
        {
            str(name)[:200]: float(_count(tokens, 10**9))
            for name, tokens in used_tokens.items()
        },
    )


def _count(value, maximum=MAX_TOLD_COUNT):
    """Returns a count; raises ValueError for anything else."""
    if type(value) is not int or not 0 <= value <= maximum:
        raise ValueError(f"not a count: {str(value)[:50]}")
    return value


def _aged(sums, age_s):
    """Returns sums whose returns that are due moved on with the time."""
    seconds = min(int(age_s), admission_level.RETURN_HORIZON_S)
    if not seconds:
        return sums
    due = sums.demand.due[seconds:] + (0.0,) * seconds
    return sums._replace(demand=sums.demand._replace(due=due))


def _add(left, right):
    used_tokens = dict(left.used_tokens)
    for workspace, tokens in right.used_tokens.items():
        used_tokens[workspace] = used_tokens.get(workspace, 0.0) + tokens
    return Sums(
        admission_level.add_demand(left.demand, right.demand), used_tokens
    )

"""Admission of classes that compete for room, alike at all gateways.

Answers the load in which many gateways decide side by side over targets that
can't serve all. From the demand of all gateways each derives the wait that a
class would have, and thus the same level: the class from which requests are
refused. A class waits for those before it and for what arrives before it in
the meantime, so the least urgent class reaches its bound first. Also finds
when a refused caller should come back.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

# Least part of the starts for a class that is refused. Callers need a more
# urgent class to be served at most 5 in 100 less often than others, so no
# more than this may be taken from it.
LEAST_START_RATIO = 0.05
# Starts per second of a gateway that are assumed while none is known.
DEFAULT_START_RATE_PER_S = 4.0
# A workspace with less than this share of the mean recent cost of workspaces
# is not what fills its class. It is admitted while larger ones are refused.
SMALL_WORKSPACE_RATIO = 0.5
# Callers honour a time to come back only up to this part of the time left.
HONOURED_RATIO = 1.0 / 3.0
RETRY_AFTER_MIN_S = 0.3
# Seconds ahead for which returns are planned: a third of the usual time that
# callers of streams have.
RETURN_HORIZON_S = 6


class ClassDemand(NamedTuple):
    """Demand of one class.

    Attributes:
        arrivals_per_s: Recent arrivals, returns included.
        starts_per_s: Recent starts.
        waiting: Requests that wait.
        due: Callers told to come back, in each of the next seconds.
    """

    arrivals_per_s: float = 0.0
    starts_per_s: float = 0.0
    waiting: float = 0.0
    due: tuple[float, ...] = (0.0,) * RETURN_HORIZON_S


NO_DEMAND = ClassDemand()
Demand = Mapping[int, ClassDemand]


def add_demand(left: ClassDemand, right: ClassDemand) -> ClassDemand:
    """Returns the sum of two demands."""
    return ClassDemand(
        left.arrivals_per_s + right.arrivals_per_s,
        left.starts_per_s + right.starts_per_s,
        left.waiting + right.waiting,
        tuple(
            one + other for one, other in zip(left.due, right.due, strict=True)
        ),
    )


def starts_per_s(demand: Demand) -> float:
    """Returns the starts of all classes, or an assumption if none is known."""
    total = sum(one.starts_per_s for one in demand.values())
    return total or DEFAULT_START_RATE_PER_S


def rate_for(rank: int, demand: Demand) -> float:
    """Returns the starts per second that more urgent classes leave a class."""
    total = starts_per_s(demand)
    more_urgent = sum(
        one.arrivals_per_s for other, one in demand.items() if other < rank
    )
    return max(total - more_urgent, LEAST_START_RATIO * total)


def wait_s(rank: int, demand: Demand, is_own_included: bool = True) -> float:
    """Returns the time until the requests before a new one have started.

    Args:
        rank: Class of the new request.
        demand: Demand of all classes.
        is_own_included: Whether requests of the same class are before it.
    """
    ahead = sum(
        one.waiting
        for other, one in demand.items()
        if other < rank or (is_own_included and other == rank)
    )
    return ahead / rate_for(rank, demand)


def closed_from(
    demand: Demand, useful_wait_s_by_rank: Mapping[int, float]
) -> int | None:
    """Returns the first class that is refused; None if none is.

    Args:
        demand: Demand of all gateways.
        useful_wait_s_by_rank: Time that a request may wait, by class.
    """
    for rank in sorted(useful_wait_s_by_rank):
        if wait_s(rank, demand) > useful_wait_s_by_rank[rank]:
            return rank
    return None


def is_small(workspace: str, used_tokens: Mapping[str, float]) -> bool:
    """Returns whether a workspace uses far less than others in its class."""
    if len(used_tokens) < 2:
        return False
    mean_tokens = sum(used_tokens.values()) / len(used_tokens)
    return (
        used_tokens.get(workspace, 0.0) < SMALL_WORKSPACE_RATIO * mean_tokens
    )


def least_part_ratio(rank: int, demand: Demand, has_waited: bool) -> float:
    """Returns which share of a refused class is admitted nevertheless.

    Callers that came back as told are first; it bounds what all gateways
    together admit, however many they are.
    """
    own = demand.get(rank, NO_DEMAND)
    least_per_s = LEAST_START_RATIO * starts_per_s(demand)
    returns_per_s = own.due[0]
    if has_waited:
        return min(1.0, least_per_s / max(returns_per_s, 1e-9))
    left_per_s = max(0.0, least_per_s - returns_per_s)
    return min(1.0, left_per_s / max(own.arrivals_per_s, 1e-9))


def retry_after_s(
    rank: int,
    demand: Demand,
    time_left_s: float,
    fault_ratio: float,
    uniform: Callable[[float, float], float],
) -> float:
    """Returns the time at which a refused caller should come back.

    Each of the next seconds has the room that more urgent arrivals, waiting
    requests and returns that are due leave. The time is drawn from the first
    seconds whose room suffices, in proportion to it; without room, from the
    later half of the time that callers honour.

    Args:
        rank: Class of the request.
        demand: Demand of all gateways.
        time_left_s: Time that the caller has left.
        fault_ratio: Recent share of returns that had to be refused, 0 to 1;
            the higher it is, the later is the earliest time.
        uniform: Draws a number between two others.
    """
    latest_s = max(
        RETRY_AFTER_MIN_S,
        min(RETURN_HORIZON_S, time_left_s * HONOURED_RATIO),
    )
    earliest_s = min(
        latest_s,
        RETRY_AFTER_MIN_S + fault_ratio * RETURN_HORIZON_S / 2.0,
    )
    own = demand.get(rank, NO_DEMAND)
    total = starts_per_s(demand)
    before = [one for other, one in demand.items() if other <= rank]
    free_per_s = total - sum(one.arrivals_per_s for one in before)
    backlog = sum(one.waiting for one in before)
    if backlog < 1.0:
        # Starts don't show how much room there is while nothing waits.
        free_per_s = max(free_per_s, LEAST_START_RATIO * total)
    refused_per_s = max(1.0, own.arrivals_per_s - own.starts_per_s)
    rooms = []
    for second in range(RETURN_HORIZON_S):
        backlog += sum(one.due[second] for one in before) - free_per_s
        rooms.append(max(0.0, -backlog) if backlog < 0.0 else 0.0)
        backlog = max(0.0, backlog)
    drawn = _draw_second(rooms, earliest_s, latest_s, refused_per_s, uniform)
    if drawn is None:
        return uniform((earliest_s + latest_s) / 2.0, latest_s)
    return min(latest_s, max(earliest_s, drawn))


def _draw_second(
    rooms: Sequence[float],
    earliest_s: float,
    latest_s: float,
    needed: float,
    uniform: Callable[[float, float], float],
) -> float | None:
    """Draws a time from the first seconds with enough room; None if none."""
    candidates = []
    found = 0.0
    for second, room in enumerate(rooms):
        if room <= 0.0 or second + 1 <= earliest_s or second >= latest_s:
            continue
        candidates.append((second, room))
        found += room
        if found >= needed:
            break
    mark = uniform(0.0, found)
    for second, room in candidates:
        if mark <= room or second == candidates[-1][0]:
            return second + uniform(0.0, 1.0)
        mark -= room
    return None

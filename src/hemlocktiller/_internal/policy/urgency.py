"""Order of waiting requests whose priority classes compete for room.

Answers the load in which targets are lost under competing demand: the room
that is left goes to the most urgent class, inside a class to the workspace
that used the least, inside a workspace to the request with the least time
left. Requests of the least part, which keeps every class served, go first;
`admission_level` bounds how many these are.
"""

import bisect
from collections.abc import Iterator
from collections.abc import Mapping
from typing import NamedTuple

# Order of a request that is served as part of its class's least part.
LEAST_PART_ORDER = -1
# Share of the latency objective that a request may wait for its start. The
# rest is for its prompt, so that its first event isn't late.
USEFUL_WAIT_RATIO = 0.5
# A caller that came back as told is late already; it may wait for as long as
# its prompt can still be processed before it gives up.
RETURN_WAIT_S = 1.2


class WaitingRequest(NamedTuple):
    """A request in the queue.

    Attributes:
        request_id: Request id.
        rank: Its priority class; 0 is the most urgent.
        order: What it is ordered by: its class, or `LEAST_PART_ORDER`.
        workspace: Workspace that sent it.
        cost_tokens: Its estimated cost.
        latest_start_s: When its start would no longer be useful.
        has_waited: Whether its caller was refused before and came back.
    """

    request_id: str
    rank: int
    order: int
    workspace: str
    cost_tokens: float
    latest_start_s: float
    has_waited: bool = False


def useful_wait_s(latency_objective_s: float, has_waited: bool) -> float:
    """Returns how long a request may wait for its start."""
    if has_waited:
        return RETURN_WAIT_S
    return min(RETURN_WAIT_S, latency_objective_s * USEFUL_WAIT_RATIO)


def order_of(rank: int, has_waited: bool) -> int:
    """Returns the class that a request is ordered in.

    A caller that came back as told goes one class up: it is not asked a third
    time, so a second refusal would lose its request for good.
    """
    return max(0, rank - 1) if has_waited else rank


class UrgencyQueue:
    """Waiting requests of one service by class, workspace and time left."""

    def __init__(self) -> None:
        self._items: dict[str, WaitingRequest] = {}
        # Sorted items by order and workspace.
        self._lanes: dict[int, dict[str, list[tuple]]] = {}

    def __len__(self) -> int:
        return len(self._items)

    def orders(self) -> list[int]:
        """Returns the orders that have waiting requests, first ones first."""
        return sorted(self._lanes)

    def count_up_to(self, order: int) -> int:
        """Returns how many requests wait at an order or before it."""
        return sum(
            len(items)
            for one, workspaces in self._lanes.items()
            if one <= order
            for items in workspaces.values()
        )

    def count_by_rank(self) -> dict[int, int]:
        """Returns how many requests of each class wait."""
        counts: dict[int, int] = {}
        for item in self._items.values():
            counts[item.rank] = counts.get(item.rank, 0) + 1
        return counts

    def push(self, item: WaitingRequest) -> None:
        """Adds a request."""
        self._items[item.request_id] = item
        workspaces = self._lanes.setdefault(item.order, {})
        bisect.insort(
            workspaces.setdefault(item.workspace, []), _lane_entry(item)
        )

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Removes a request, if it waits."""
        item = self._items.pop(request_id, None)
        if item is None:
            return None
        workspaces = self._lanes[item.order]
        workspaces[item.workspace].remove(_lane_entry(item))
        if not workspaces[item.workspace]:
            del workspaces[item.workspace]
        if not workspaces:
            del self._lanes[item.order]
        return item

    def first(
        self, order: int, used_tokens: Mapping[str, float]
    ) -> WaitingRequest | None:
        """Returns the request of an order that is started next.

        Args:
            order: The order.
            used_tokens: Recent cost of each workspace in this class.
        """
        workspaces = self._lanes.get(order)
        if not workspaces:
            return None
        workspace = min(
            workspaces, key=lambda name: (used_tokens.get(name, 0.0), name)
        )
        return self._items[workspaces[workspace][0][-1]]

    def last(self) -> WaitingRequest | None:
        """Returns the request to displace when too many wait.

        It is the last one of the least urgent class, in the workspace with
        the most requests.
        """
        if not self._lanes:
            return None
        workspaces = self._lanes[max(self._lanes)]
        longest = max(workspaces, key=lambda name: len(workspaces[name]))
        return self._items[workspaces[longest][-1][-1]]

    def expired(self, now_s: float) -> Iterator[WaitingRequest]:
        """Yields the requests whose start would no longer be useful."""
        for item in list(self._items.values()):
            if item.latest_start_s < now_s:
                yield item

    def hopeless(
        self, now_s: float, wait_s_by_order: Mapping[int, float]
    ) -> Iterator[WaitingRequest]:
        """Yields requests that more urgent ones keep from a useful start.

        Args:
            now_s: The time.
            wait_s_by_order: Time until the more urgent requests of all
                gateways have started, by order.
        """
        for item in list(self._items.values()):
            wait_s = wait_s_by_order.get(item.order, 0.0)
            if item.latest_start_s < now_s + wait_s:
                yield item


def _lane_entry(item):
    return (not item.has_waited, item.latest_start_s, item.request_id)

"""Start-time fair queue by plan, then by workspace within a plan.

Costs are in estimated tokens and corrected once the real cost is known.
The queue is work-conserving: a plan without waiting work leaves its share
to the others and gets it back with its next request.
"""

import bisect
from collections.abc import Mapping
import heapq
from typing import NamedTuple

from prometheus_client import Counter

from hemlocktiller._internal.policy import start_tags
from hemlocktiller._internal.policy import waiting
from hemlocktiller._internal.schemas import agent_settings

DISPLACED = Counter(
    "hemlocktiller_queue_displaced_requests",
    "Requests that lost their place in a full queue, by plan",
    ["plan"],
)
EXPIRED = Counter(
    "hemlocktiller_queue_expired_requests",
    "Requests that could no longer meet their deadline, by plan",
    ["plan"],
)
HEAP_SLACK = 64
SHORT = waiting.SHORT
LONG = waiting.LONG
Item = waiting.Item
by_worth_per_token = waiting.by_worth_per_token
by_worth_and_deadline = waiting.by_worth_and_deadline


class Pushed(NamedTuple):
    """The outcome of a push.

    Attributes:
        accepted: Whether the item waits now.
        displaced: The item that lost its place to it.
    """

    accepted: bool
    displaced: Item | None = None


class FairQueue:
    """A bounded queue that shares service by plan and workspace.

    Args:
        limits: Limits of the agent: places, reserved places, queue length.
        shares: Entitled share of each plan.
        order: Order of the requests of one workspace.
    """

    def __init__(
        self,
        limits: agent_settings.AgentLimits,
        shares: Mapping[str, float],
        order: waiting.Order = by_worth_per_token,
    ) -> None:
        self._limits = limits
        self._shares = shares
        self._order = order
        self._tags = start_tags.StartTags()
        self._plans: dict[str, waiting.Plan] = {}
        self._waiting: dict[str, waiting.Waiting] = {}
        self._latest_starts: list[tuple[float, int, str]] = []
        self._number = 0
        self._cost_tokens = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request: str) -> bool:
        return request in self._waiting

    @property
    def cost_tokens(self) -> float:
        """Cost of all that waits."""
        return self._cost_tokens

    def set_shares(self, shares: Mapping[str, float]) -> None:
        """Takes the shares of a new configuration."""
        self._shares = shares

    def push(self, item: Item) -> Pushed:
        """Queues an item; a full queue refuses or displaces one.

        The place comes from the plan that is furthest over its share of
        the queue, the new item counted.
        """
        if item.request in self._waiting:
            return Pushed(False)
        self._insert(item)
        if len(self._waiting) <= self._limits["queued"]:
            return Pushed(True)
        displaced = self._furthest_over_share()
        DISPLACED.labels(displaced.plan).inc()
        self.remove(displaced.request)
        if displaced is item:
            return Pushed(False)
        return Pushed(True, displaced)

    def pop(
        self, now_s: float, running_short: int, running_long: int
    ) -> Item | None:
        """Takes the item to start next, if a place is free for one.

        Items past hope are passed over; `expired` returns them.

        Args:
            now_s: The time.
            running_short: Short requests that run.
            running_long: Long requests that run.
        """
        lanes = self._open_lanes(now_s, running_short, running_long)
        item = self._first(lanes, now_s)
        if item is not None:
            self._charge(item)
            self.remove(item.request)
        return item

    def peek(self, now_s: float) -> Item | None:
        """Returns the item that has the next turn, whatever is free."""
        return self._first(list(waiting.LANES), now_s)

    def remove(self, request: str) -> Item | None:
        """Takes an item out, if it waits."""
        entry = self._waiting.pop(request, None)
        if entry is None:
            return None
        item = entry.item
        self._cost_tokens -= item.cost_tokens
        if not self._waiting:
            self._cost_tokens = 0.0
            self._latest_starts.clear()
        plan = self._plans[item.plan]
        workspace = plan.workspaces[item.workspace]
        lane = workspace.lanes[self.lane(item)]
        del lane[bisect.bisect_left(lane, entry)]
        if not len(workspace):
            del plan.workspaces[item.workspace]
        return item

    def correct(
        self,
        plan: str,
        workspace: str,
        estimated_tokens: float,
        actual_tokens: float,
    ) -> None:
        """Replaces the estimated cost of a started item by the real one."""
        change = actual_tokens - estimated_tokens
        self._tags.correct(plan, change, self._weight(plan))
        if plan in self._plans:
            self._plans[plan].tags.correct(workspace, change, 1.0)

    def expired(self, now_s: float) -> list[Item]:
        """Takes out the items that can't meet their deadline any more."""
        expired = []
        while self._latest_starts and self._latest_starts[0][0] < now_s:
            _, number, request = heapq.heappop(self._latest_starts)
            entry = self._waiting.get(request)
            if entry is None or entry.number != number:
                continue
            EXPIRED.labels(entry.item.plan).inc()
            self.remove(request)
            expired.append(entry.item)
        return expired

    def estimate_wait_s(self, item: Item, tokens_per_s: float) -> float:
        """Estimates how long an item would wait if it were pushed now.

        Args:
            item: The item.
            tokens_per_s: Cost that the target serves in a second.
        """
        tokens = self._backlog(item.plan, self._cost_ahead(item))
        return tokens / max(tokens_per_s, 1e-9)

    def backlogs(self) -> dict[str, float]:
        """Returns the cost served before each waiting plan's last item.

        It counts what other plans are served meanwhile, by their shares.
        """
        costs: dict[str, float] = {}
        for entry in self._waiting.values():
            item = entry.item
            costs[item.plan] = costs.get(item.plan, 0.0) + item.cost_tokens
        return {
            plan: self._backlog(plan, cost) for plan, cost in costs.items()
        }

    def lane(self, item: Item) -> str:
        """Returns the lane of an item."""
        if item.cost_tokens <= self._limits["short_cost_tokens"]:
            return SHORT
        return LONG

    def _backlog(self, plan: str, ahead_tokens: float) -> float:
        """Returns the cost served until a plan has got a given cost."""
        plans = {name for name, state in self._plans.items() if len(state)}
        plans.add(plan)
        weight = self._weight(plan)
        fraction = weight / sum(self._weight(name) for name in plans)
        ahead_tokens += self._tags.lag(plan, weight)
        return min(ahead_tokens / fraction, self.cost_tokens)

    def _open_lanes(
        self, now_s: float, running_short: int, running_long: int
    ) -> list[str]:
        """Returns the lanes that may start one more item.

        Places kept for a lane without waiting items are lent to the other.
        """
        free = self._limits["running"] - running_short - running_long
        kept_short = self._limits["reserved_short"] - running_short
        kept_long = self._limits["reserved_long"] - running_long
        lanes = []
        if free > max(0, kept_long) or (free and not self._has(LONG, now_s)):
            lanes.append(SHORT)
        if free > max(0, kept_short) or (free and not self._has(SHORT, now_s)):
            lanes.append(LONG)
        return lanes

    def _has(self, lane: str, now_s: float) -> bool:
        """Returns whether an item of a lane waits that is not past hope."""
        return any(
            waiting.first_hopeful(workspace.lanes[lane], now_s)
            for plan in self._plans.values()
            for workspace in plan.workspaces.values()
        )

    def _first(self, lanes: list[str], now_s: float) -> Item | None:
        """Returns the item of the given lanes that has the next turn."""
        backlogged = [name for name, plan in self._plans.items() if len(plan)]
        for name in self._tags.ordered(backlogged if lanes else ()):
            head = self._plans[name].first(lanes, now_s)
            if head is not None:
                return head.item
        return None

    def _cost_ahead(self, item: Item) -> float:
        """Returns the cost that the plan would serve before the item."""
        plan = self._plans.get(item.plan)
        if plan is None:
            return 0.0
        own = plan.workspaces.get(item.workspace)
        others = len(plan.workspaces) - (own is not None)
        if own is None:
            return 0.0
        order = self._order(item)
        cost = sum(
            entry.item.cost_tokens
            for lane in own.lanes.values()
            for entry in lane
            if entry.order <= order
        )
        return cost * (others + 1)

    def _insert(self, item: Item) -> None:
        """Adds an item to its lane."""
        plan = self._plans.setdefault(item.plan, waiting.Plan())
        if not len(plan):
            self._tags.activate(item.plan)
        if item.workspace not in plan.workspaces:
            plan.tags.activate(item.workspace)
            plan.workspaces[item.workspace] = waiting.Workspace()
        self._number += 1
        entry = waiting.Waiting(self._order(item), self._number, item)
        self._waiting[item.request] = entry
        self._cost_tokens += item.cost_tokens
        self._note_latest_start(entry)
        lane = plan.workspaces[item.workspace].lanes[self.lane(item)]
        bisect.insort(lane, entry)

    def _note_latest_start(self, entry: waiting.Waiting) -> None:
        """Keeps the time after which an item is past hope.

        Entries of removed items stay until they outnumber the others.
        """
        if len(self._latest_starts) > 2 * len(self._waiting) + HEAP_SLACK:
            self._latest_starts = [
                waiting.latest_start(one) for one in self._waiting.values()
            ]
            heapq.heapify(self._latest_starts)
            return
        heapq.heappush(self._latest_starts, waiting.latest_start(entry))

    def _charge(self, item: Item) -> None:
        """Charges the cost of a started item to its plan and workspace."""
        weight = self._weight(item.plan)
        self._tags.charge(item.plan, item.cost_tokens, weight)
        tags = self._plans[item.plan].tags
        tags.charge(item.workspace, item.cost_tokens, 1.0)

    def _furthest_over_share(self) -> Item:
        """Returns the last item of the plan furthest over its share."""
        plan = max(
            (plan for plan in self._plans if len(self._plans[plan])),
            key=lambda name: len(self._plans[name]) / self._weight(name),
        )
        workspaces = self._plans[plan].workspaces
        workspace = max(workspaces, key=lambda name: len(workspaces[name]))
        return workspaces[workspace].last().item

    def _weight(self, plan: str) -> float:
        """Returns the weight of a plan."""
        return max(self._shares.get(plan, 0.0), start_tags.MIN_WEIGHT)

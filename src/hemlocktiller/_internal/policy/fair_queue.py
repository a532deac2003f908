"""Start-time fair queue by plan, then by workspace within a plan.

Costs are estimated in tokens and corrected once the actual cost is known.
The queue is work-conserving: the share of a plan without queued requests
goes to the other plans until the plan's next request arrives.
"""

import bisect
from collections.abc import Mapping
import heapq
from typing import NamedTuple

from prometheus_client import Counter

from hemlocktiller._internal.policy import plan_queue
from hemlocktiller._internal.policy import start_tags
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
MAX_STALE_HEAP_ENTRIES = 64
SHORT = plan_queue.SHORT
LONG = plan_queue.LONG
QueuedRequest = plan_queue.QueuedRequest
by_worth_per_token = plan_queue.by_worth_per_token
by_worth_and_deadline = plan_queue.by_worth_and_deadline


class PushResult(NamedTuple):
    """Result of a push.

    Attributes:
        accepted: Whether the item was queued.
        displaced: Request that was removed from the full queue for it.
    """

    accepted: bool
    displaced: QueuedRequest | None = None


class FairQueue:
    """Bounded queue that shares service fairly by plan and by workspace.

    Args:
        limits: Limits of the agent: slots, reserved slots, queue length.
        shares: Entitled share of each plan.
        sort_key: Sort key for the requests of one workspace.
    """

    def __init__(
        self,
        limits: agent_settings.AgentLimits,
        shares: Mapping[str, float],
        sort_key: plan_queue.SortKey = by_worth_per_token,
    ) -> None:
        self._limits = limits
        self._shares = shares
        self._sort_key = sort_key
        self._plan_tags = start_tags.StartTags()
        self._plans: dict[str, plan_queue.PlanQueue] = {}
        self._entries: dict[str, plan_queue.QueueEntry] = {}
        self._latest_starts: list[tuple[float, int, str]] = []
        self._sequence = 0
        self._cost_tokens = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._entries

    @property
    def cost_tokens(self) -> float:
        """Total estimated cost of the queued items."""
        return self._cost_tokens

    def set_shares(self, shares: Mapping[str, float]) -> None:
        """Replaces the shares, after a change of the configuration."""
        self._shares = shares

    def push(self, item: QueuedRequest) -> PushResult:
        """Adds an item; if the queue is full, rejects or displaces one.

        The item removed is the last one of the plan that is furthest over
        its share of the queue, counting the new item.
        """
        if item.request_id in self._entries:
            return PushResult(False)
        self._insert(item)
        if len(self._entries) <= self._limits["queued"]:
            return PushResult(True)
        displaced = self.displace()
        if displaced is item:
            return PushResult(False)
        return PushResult(True, displaced)

    def displace(self) -> QueuedRequest:
        """Removes and returns the item that has the least claim to a place.

        It is the last one of the plan that is furthest over its share of the
        queue, which must not be empty.
        """
        displaced = self._last_of_plan_over_share()
        DISPLACED.labels(displaced.plan).inc()
        self.remove(displaced.request_id)
        return displaced

    def pop(
        self, now_s: float, running_short: int, running_long: int
    ) -> QueuedRequest | None:
        """Removes and returns the item to start next, if a slot is free.

        Items that can't meet their deadline are skipped; `pop_expired` returns
        them.

        Args:
            now_s: Current time.
            running_short: Number of short requests that run.
            running_long: Number of long requests that run.
        """
        size_classes = self._startable_classes(
            now_s, running_short, running_long
        )
        item = self._next_item(size_classes, now_s)
        if item is not None:
            self._charge(item)
            self.remove(item.request_id)
        return item

    def peek(self, now_s: float) -> QueuedRequest | None:
        """Returns the item to start next, regardless of free slots."""
        return self._next_item(list(plan_queue.SIZE_CLASSES), now_s)

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Removes the item of a request, if it is queued."""
        entry = self._entries.pop(request_id, None)
        if entry is None:
            return None
        item = entry.item
        self._cost_tokens -= item.cost_tokens
        if not self._entries:
            self._cost_tokens = 0.0
            self._latest_starts.clear()
        plan = self._plans[item.plan]
        workspace = plan.workspaces[item.workspace]
        queue = workspace.queues[self.size_class(item)]
        del queue[bisect.bisect_left(queue, entry)]
        if not len(workspace):
            del plan.workspaces[item.workspace]
        return item

    def correct_cost(
        self,
        plan: str,
        workspace: str,
        estimated_tokens: float,
        actual_tokens: float,
    ) -> None:
        """Replaces the estimated cost of a started item by the actual one."""
        cost_change = actual_tokens - estimated_tokens
        self._plan_tags.correct(plan, cost_change, self._plan_weight(plan))
        if plan in self._plans:
            self._plans[plan].workspace_tags.correct(
                workspace, cost_change, 1.0
            )

    def pop_expired(self, now_s: float) -> list[QueuedRequest]:
        """Removes and returns the items that can't meet their deadline."""
        expired = []
        while self._latest_starts and self._latest_starts[0][0] < now_s:
            _, sequence, request_id = heapq.heappop(self._latest_starts)
            entry = self._entries.get(request_id)
            if entry is None or entry.sequence != sequence:
                continue
            EXPIRED.labels(entry.item.plan).inc()
            self.remove(request_id)
            expired.append(entry.item)
        return expired

    def estimate_wait_s(
        self, item: QueuedRequest, tokens_per_s: float
    ) -> float:
        """Estimates how long an item would wait if it were pushed now.

        Args:
            item: Request that would be pushed.
            tokens_per_s: Cost that the target serves per second.
        """
        tokens = self._backlog_tokens(item.plan, self._cost_ahead_tokens(item))
        return tokens / max(tokens_per_s, 1e-9)

    def backlog_tokens_by_plan(self) -> dict[str, float]:
        """Returns the cost that is served until each plan's queue is empty.

        This includes what other plans are served in the meantime, in
        proportion to their shares.
        """
        costs: dict[str, float] = {}
        for entry in self._entries.values():
            item = entry.item
            costs[item.plan] = costs.get(item.plan, 0.0) + item.cost_tokens
        return {
            plan: self._backlog_tokens(plan, cost)
            for plan, cost in costs.items()
        }

    def size_class(self, item: QueuedRequest) -> str:
        """Returns the size class of an item, by its estimated cost."""
        if item.cost_tokens <= self._limits["short_cost_tokens"]:
            return SHORT
        return LONG

    def _backlog_tokens(self, plan: str, tokens_ahead: float) -> float:
        """Returns the total cost served until a plan is served `tokens_ahead`.

        Other plans are served in the meantime, by their shares.
        """
        plans = {name for name, state in self._plans.items() if len(state)}
        plans.add(plan)
        weight = self._plan_weight(plan)
        fraction = weight / sum(self._plan_weight(name) for name in plans)
        tokens_ahead += self._plan_tags.lead(plan, weight)
        return min(tokens_ahead / fraction, self.cost_tokens)

    def _startable_classes(
        self, now_s: float, running_short: int, running_long: int
    ) -> list[str]:
        """Returns the size classes that may start one more item.

        Slots reserved for a size class without startable items may be used
        by the other one.
        """
        free_slots = self._limits["running"] - running_short - running_long
        reserved_for_short = self._limits["reserved_short"] - running_short
        reserved_for_long = self._limits["reserved_long"] - running_long
        size_classes = []
        if free_slots > max(0, reserved_for_long) or (
            free_slots and not self._has_feasible(LONG, now_s)
        ):
            size_classes.append(SHORT)
        if free_slots > max(0, reserved_for_short) or (
            free_slots and not self._has_feasible(SHORT, now_s)
        ):
            size_classes.append(LONG)
        return size_classes

    def _has_feasible(self, size_class: str, now_s: float) -> bool:
        """Returns whether any item of a size class can meet its deadline."""
        return any(
            plan_queue.first_feasible(workspace.queues[size_class], now_s)
            for plan in self._plans.values()
            for workspace in plan.workspaces.values()
        )

    def _next_item(
        self, size_classes: list[str], now_s: float
    ) -> QueuedRequest | None:
        """Returns the item to start next among the given size classes."""
        backlogged = [name for name, plan in self._plans.items() if len(plan)]
        for name in self._plan_tags.sort_flows(
            backlogged if size_classes else ()
        ):
            entry = self._plans[name].next_entry(size_classes, now_s)
            if entry is not None:
                return entry.item
        return None

    def _cost_ahead_tokens(self, item: QueuedRequest) -> float:
        """Returns the cost that the plan would be served before the item.

        Each other workspace of the plan is assumed to be served as much as
        the item's own.
        """
        plan = self._plans.get(item.plan)
        if plan is None:
            return 0.0
        own_queue = plan.workspaces.get(item.workspace)
        other_workspaces = len(plan.workspaces) - (own_queue is not None)
        if own_queue is None:
            return 0.0
        sort_key = self._sort_key(item)
        cost = sum(
            entry.item.cost_tokens
            for queue in own_queue.queues.values()
            for entry in queue
            if entry.sort_key <= sort_key
        )
        return cost * (other_workspaces + 1)

    def _insert(self, item: QueuedRequest) -> None:
        """Adds an item to the queue of its workspace and size class."""
        plan = self._plans.setdefault(item.plan, plan_queue.PlanQueue())
        if not len(plan):
            self._plan_tags.activate(item.plan)
        if item.workspace not in plan.workspaces:
            plan.workspace_tags.activate(item.workspace)
            plan.workspaces[item.workspace] = plan_queue.WorkspaceQueue()
        self._sequence += 1
        entry = plan_queue.QueueEntry(
            self._sort_key(item), self._sequence, item
        )
        self._entries[item.request_id] = entry
        self._cost_tokens += item.cost_tokens
        self._track_latest_start(entry)
        queue = plan.workspaces[item.workspace].queues[self.size_class(item)]
        bisect.insort(queue, entry)

    def _track_latest_start(self, entry: plan_queue.QueueEntry) -> None:
        """Records the time after which an item can't meet its deadline.

        Heap entries of removed items stay until they outnumber the queued
        ones; the heap is then rebuilt.
        """
        if (
            len(self._latest_starts)
            > 2 * len(self._entries) + MAX_STALE_HEAP_ENTRIES
        ):
            self._latest_starts = [
                plan_queue.latest_start(one) for one in self._entries.values()
            ]
            heapq.heapify(self._latest_starts)
            return
        heapq.heappush(self._latest_starts, plan_queue.latest_start(entry))

    def _charge(self, item: QueuedRequest) -> None:
        """Charges the cost of a started item to its plan and workspace."""
        weight = self._plan_weight(item.plan)
        self._plan_tags.charge(item.plan, item.cost_tokens, weight)
        workspace_tags = self._plans[item.plan].workspace_tags
        workspace_tags.charge(item.workspace, item.cost_tokens, 1.0)

    def _last_of_plan_over_share(self) -> QueuedRequest:
        """Returns the item to displace.

        It sorts last in the longest workspace queue of the plan that is
        furthest over its share of the queue.
        """
        plan = max(
            (plan for plan in self._plans if len(self._plans[plan])),
            key=lambda name: len(self._plans[name]) / self._plan_weight(name),
        )
        workspaces = self._plans[plan].workspaces
        workspace = max(workspaces, key=lambda name: len(workspaces[name]))
        return workspaces[workspace].last_entry().item

    def _plan_weight(self, plan: str) -> float:
        """Returns the share of a plan, with a minimum above zero."""
        return max(self._shares.get(plan, 0.0), start_tags.MIN_WEIGHT)

"""Queued requests of a plan, by workspace and by size class.

A request is short or long by its estimated cost. A workspace has a sorted
queue for each of these size classes.
"""

from collections.abc import Callable
from typing import NamedTuple

from hemlocktiller._internal.policy import start_tags

SHORT = "short"
LONG = "long"
SIZE_CLASSES = (SHORT, LONG)
LIGHT_BACKLOG_ITEMS = 4
URGENT_SLACK_S = 2.0


class QueuedRequest(NamedTuple):
    """A request in the queue.

    Attributes:
        request_id: Request id.
        plan: Plan that the request is billed to.
        workspace: Workspace that sent the request.
        cost_tokens: Estimated cost.
        worth: Value of an answer that meets the deadline.
        deadline_s: Time by which the answer must be complete.
        expected_run_s: Expected time from start to the complete answer.
    """

    request_id: str
    plan: str
    workspace: str
    cost_tokens: float
    worth: float
    deadline_s: float
    expected_run_s: float = 0.0


SortKey = Callable[[QueuedRequest], tuple[float, float]]


def by_worth_per_token(item: QueuedRequest) -> tuple[float, float]:
    """Sort key: highest worth per token first, then earliest deadline."""
    return (-item.worth / max(item.cost_tokens, 1.0), item.deadline_s)


def by_worth_and_deadline(item: QueuedRequest) -> tuple[float, float]:
    """Sort key: highest worth first, then earliest deadline."""
    return (-item.worth, item.deadline_s)


class QueueEntry(NamedTuple):
    """A queued item with its sort key.

    Attributes:
        sort_key: Position of the item in its workspace; lowest first.
        sequence: Number of the insertion; breaks ties.
        item: The queued request.
    """

    sort_key: tuple[float, float]
    sequence: int
    item: QueuedRequest


class WorkspaceQueue:
    """Queued items of a workspace.

    Attributes:
        queues: Sorted entries of each size class.
    """

    def __init__(self) -> None:
        self.queues: dict[str, list[QueueEntry]] = {
            size_class: [] for size_class in SIZE_CLASSES
        }

    def __len__(self) -> int:
        return sum(len(queue) for queue in self.queues.values())

    def next_entry(
        self, size_classes: list[str], now_s: float
    ) -> QueueEntry | None:
        """Returns the entry to start next among the given size classes.

        With a short queue, an item whose latest start is near goes first.
        With a long queue, that would give up more worth than it saves.
        """
        if len(self) <= LIGHT_BACKLOG_ITEMS:
            urgent = self._most_urgent(size_classes, now_s)
            if urgent is not None:
                return urgent
        candidates = [
            first_feasible(self.queues[size_class], now_s)
            for size_class in size_classes
        ]
        return min((entry for entry in candidates if entry), default=None)

    def _most_urgent(
        self, size_classes: list[str], now_s: float
    ) -> QueueEntry | None:
        """Returns the entry with the least slack, if its slack is small."""
        urgent = [
            entry
            for size_class in size_classes
            for entry in self.queues[size_class]
            if 0.0 <= _slack_s(entry.item, now_s) < URGENT_SLACK_S
        ]
        return min(
            urgent,
            key=lambda entry: _slack_s(entry.item, now_s),
            default=None,
        )

    def last_entry(self) -> QueueEntry:
        """Returns the entry that sorts last in the workspace."""
        return max(queue[-1] for queue in self.queues.values() if queue)


class PlanQueue:
    """Queued items of a plan.

    Attributes:
        workspace_tags: Start tags of the workspaces.
        workspaces: Queue of each workspace that has queued items.
    """

    def __init__(self) -> None:
        self.workspace_tags = start_tags.StartTags()
        self.workspaces: dict[str, WorkspaceQueue] = {}

    def __len__(self) -> int:
        return sum(len(workspace) for workspace in self.workspaces.values())

    def next_entry(
        self, size_classes: list[str], now_s: float
    ) -> QueueEntry | None:
        """Returns the entry to start next among the given size classes."""
        for name in self.workspace_tags.sort_flows(self.workspaces):
            entry = self.workspaces[name].next_entry(size_classes, now_s)
            if entry is not None:
                return entry
        return None


def would_miss_deadline(item: QueuedRequest, now_s: float) -> bool:
    """Returns whether an item would miss its deadline if started now."""
    return _slack_s(item, now_s) < 0.0


def latest_start(entry: QueueEntry) -> tuple[float, int, str]:
    """Returns an entry's latest useful start, its sequence and request id."""
    item = entry.item
    latest_s = item.deadline_s - item.expected_run_s
    return latest_s, entry.sequence, item.request_id


def _slack_s(item: QueuedRequest, now_s: float) -> float:
    """Returns how long the start of an item may still be delayed."""
    return item.deadline_s - item.expected_run_s - now_s


def first_feasible(queue: list[QueueEntry], now_s: float) -> QueueEntry | None:
    """Returns the first entry of a queue that can meet its deadline."""
    return next(
        (
            entry
            for entry in queue
            if not would_miss_deadline(entry.item, now_s)
        ),
        None,
    )

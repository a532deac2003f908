"""Items that wait in a fair queue, in the order of their workspaces."""

from collections.abc import Callable
from typing import NamedTuple

from hemlocktiller._internal.policy import start_tags

SHORT = "short"
LONG = "long"
LANES = (SHORT, LONG)
LIGHT_BACKLOG = 4
URGENT_S = 2.0


class Item(NamedTuple):
    """A request that waits.

    Attributes:
        request: Request id.
        plan: Plan that pays for it.
        workspace: Workspace that sent it.
        cost_tokens: Estimated cost.
        worth: Worth of an answer in time.
        deadline_s: Time by which the answer must be complete.
        expected_run_s: Expected time from start to the complete answer.
    """

    request: str
    plan: str
    workspace: str
    cost_tokens: float
    worth: float
    deadline_s: float
    expected_run_s: float = 0.0


Order = Callable[[Item], tuple[float, float]]


def by_worth_per_token(item: Item) -> tuple[float, float]:
    """Orders by worth per token, then by deadline."""
    return (-item.worth / max(item.cost_tokens, 1.0), item.deadline_s)


def by_worth_and_deadline(item: Item) -> tuple[float, float]:
    """Orders by worth, then by deadline."""
    return (-item.worth, item.deadline_s)


class Waiting(NamedTuple):
    """An item with its place in the order of its workspace."""

    order: tuple[float, float]
    number: int
    item: Item


class Workspace:
    """The waiting items of a workspace, by lane, in order."""

    def __init__(self) -> None:
        self.lanes: dict[str, list[Waiting]] = {lane: [] for lane in LANES}

    def __len__(self) -> int:
        return sum(len(lane) for lane in self.lanes.values())

    def first(self, lanes: list[str], now_s: float) -> Waiting | None:
        """Returns the item to start next.

        While few items wait, one that must start soon goes first; among
        many, that would give up more worth than it saves.
        """
        if len(self) <= LIGHT_BACKLOG:
            urgent = self._urgent(lanes, now_s)
            if urgent is not None:
                return urgent
        heads = [first_hopeful(self.lanes[lane], now_s) for lane in lanes]
        return min((head for head in heads if head), default=None)

    def _urgent(self, lanes: list[str], now_s: float) -> Waiting | None:
        """Returns the item that must start first, if it must soon."""
        urgent = [
            entry
            for lane in lanes
            for entry in self.lanes[lane]
            if 0.0 <= _slack_s(entry.item, now_s) < URGENT_S
        ]
        return min(
            urgent,
            key=lambda entry: _slack_s(entry.item, now_s),
            default=None,
        )

    def last(self) -> Waiting:
        """Returns the last item in the order of the workspace."""
        return max(lane[-1] for lane in self.lanes.values() if lane)


class Plan:
    """The backlogged workspaces of a plan and their start tags."""

    def __init__(self) -> None:
        self.tags = start_tags.StartTags()
        self.workspaces: dict[str, Workspace] = {}

    def __len__(self) -> int:
        return sum(len(workspace) for workspace in self.workspaces.values())

    def first(self, lanes: list[str], now_s: float) -> Waiting | None:
        """Returns the item to start next."""
        for name in self.tags.ordered(self.workspaces):
            head = self.workspaces[name].first(lanes, now_s)
            if head is not None:
                return head
        return None


def hopeless(item: Item, now_s: float) -> bool:
    """Returns whether an item would miss its deadline if started now."""
    return _slack_s(item, now_s) < 0.0


def latest_start(entry: Waiting) -> tuple[float, int, str]:
    """Returns an item's latest start with what identifies it."""
    item = entry.item
    latest_s = item.deadline_s - item.expected_run_s
    return latest_s, entry.number, item.request


def _slack_s(item: Item, now_s: float) -> float:
    """Returns how long an item may still wait."""
    return item.deadline_s - item.expected_run_s - now_s


def first_hopeful(lane: list[Waiting], now_s: float) -> Waiting | None:
    """Returns the first item of a lane that can meet its deadline."""
    return next(
        (entry for entry in lane if not hopeless(entry.item, now_s)), None
    )

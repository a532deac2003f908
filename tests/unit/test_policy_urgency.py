"""Order, admission and time to return where priority classes compete."""

import random

import pytest

from hemlocktiller._internal.policy import admission_level
from hemlocktiller._internal.policy import urgency

ClassDemand = admission_level.ClassDemand
USEFUL_WAITS_S = {0: 0.25, 1: 0.3, 2: 0.6}
# 60 starts a second, 24 and 40 urgent arrivals: the last class has no room.
OVERLOADED = {
    0: ClassDemand(24.0, 24.0, 2.0),
    1: ClassDemand(40.0, 34.0, 7.0),
    2: ClassDemand(15.0, 2.0, 6.0),
}


def make_item(name, rank, **fields):
    return urgency.WaitingRequest(name, rank, rank, "w", 900.0, 10.0)._replace(
        **fields
    )


@pytest.fixture
def queue():
    """An empty queue."""
    return urgency.UrgencyQueue()


def start_order(queue, used_tokens):
    """Returns the ids of the requests in the order in which they start."""
    names = []
    while len(queue):
        item = queue.first(queue.orders()[0], used_tokens)
        queue.remove(item.request_id)
        used_tokens[item.workspace] = (
            used_tokens.get(item.workspace, 0.0) + item.cost_tokens
        )
        names.append(item.request_id)
    return names


def test_the_most_urgent_class_starts_first(queue):
    for name, rank in (("c", 2), ("a", 0), ("b", 1)):
        queue.push(make_item(name, rank))
    queue.push(make_item("least", 2, order=urgency.LEAST_PART_ORDER))
    assert start_order(queue, {}) == ["least", "a", "b", "c"]


def test_a_large_workspace_passes_no_small_one_by_being_many(queue):
    for number in range(5):
        queue.push(make_item(f"large{number}", 1, workspace="large"))
    queue.push(make_item("small", 1, workspace="small", latest_start_s=20.0))
    assert start_order(queue, {"large": 900.0})[0] == "small"


def test_returns_start_first_and_then_what_has_the_least_time(queue):
    queue.push(make_item("later", 1, latest_start_s=9.0))
    queue.push(make_item("sooner", 1, latest_start_s=8.0))
    queue.push(make_item("back", 1, latest_start_s=10.0, has_waited=True))
    assert start_order(queue, {}) == ["back", "sooner", "later"]


def test_the_least_urgent_is_displaced(queue):
    queue.push(make_item("urgent", 0))
    queue.push(make_item("large1", 2, workspace="large"))
    queue.push(make_item("large2", 2, workspace="large", latest_start_s=11.0))
    queue.push(make_item("small", 2, workspace="small"))
    assert queue.last().request_id == "large2"


def test_what_urgent_work_keeps_from_a_useful_start_is_refused(queue):
    queue.push(make_item("urgent", 0, latest_start_s=1.0))
    queue.push(make_item("hopeless", 2, latest_start_s=1.0))
    queue.push(make_item("patient", 2, latest_start_s=3.0))
    hopeless = queue.hopeless(0.0, {0: 0.0, 2: 2.0})
    assert [item.request_id for item in hopeless] == ["hopeless"]


def test_the_least_urgent_class_is_refused_first():
    assert admission_level.closed_from({}, USEFUL_WAITS_S) is None
    closed_from = admission_level.closed_from(OVERLOADED, USEFUL_WAITS_S)
    assert closed_from == 2
    more = {**OVERLOADED, 0: ClassDemand(70.0, 50.0, 30.0)}
    assert admission_level.closed_from(more, USEFUL_WAITS_S) == 0


def test_urgent_work_is_not_refused_for_less_urgent_work_that_waits():
    demand = {2: ClassDemand(80.0, 30.0, 400.0), 0: ClassDemand(5.0, 5.0)}
    assert admission_level.closed_from(demand, USEFUL_WAITS_S) == 2


@pytest.mark.parametrize("gateway_count", [1, 27, 420])
def test_the_least_part_does_not_grow_with_the_gateways(gateway_count):
    """Each gateway admits the same share of what arrives at it."""
    arrivals_per_s = OVERLOADED[2].arrivals_per_s / gateway_count
    ratio = admission_level.least_part_ratio(2, OVERLOADED, False)
    admitted_per_s = ratio * arrivals_per_s * gateway_count
    assert admitted_per_s == pytest.approx(
        admission_level.LEAST_START_RATIO * 60.0
    )


def test_a_workspace_far_below_the_mean_is_small():
    used_tokens = {"large": 9000.0, "small": 500.0}
    assert admission_level.is_small("small", used_tokens)
    assert admission_level.is_small("new", used_tokens)
    assert not admission_level.is_small("large", used_tokens)


def drawn_times_s(rank, demand, count=400, time_left_s=20.0, faults=0.0):
    rng = random.Random(3)
    return [
        admission_level.retry_after_s(
            rank, demand, time_left_s, faults, rng.uniform
        )
        for _ in range(count)
    ]


def test_urgent_callers_are_told_to_come_back_sooner():
    urgent, least = (sum(drawn_times_s(rank, OVERLOADED)) for rank in (0, 2))
    assert urgent < least


def test_returns_are_spread_over_the_seconds_with_room():
    """Two seconds are taken by returns that are due already."""
    due = (0.0, 0.0, 60.0, 60.0, 0.0, 0.0)
    demand = {0: ClassDemand(60.0, 20.0, 0.0, due), 1: ClassDemand(0.0, 50.0)}
    times_s = drawn_times_s(0, demand)
    by_second = [
        sum(second <= time_s < second + 1 for time_s in times_s)
        for second in range(admission_level.RETURN_HORIZON_S)
    ]
    assert by_second[2] == by_second[3] == 0
    assert max(by_second) <= 0.6 * len(times_s)


def test_a_time_to_return_is_honoured_and_later_after_faults():
    times_s = drawn_times_s(2, OVERLOADED, time_left_s=9.0)
    assert max(times_s) <= 9.0 * admission_level.HONOURED_RATIO
    free = {0: ClassDemand(5.0, 20.0)}
    assert min(drawn_times_s(0, free, faults=1.0)) > max(
        admission_level.RETRY_AFTER_MIN_S, min(drawn_times_s(0, free))
    )


@pytest.mark.parametrize(
    ("rank", "has_waited", "expected"),
    [(2, False, 2), (2, True, 1), (1, True, 0), (0, True, 0)],
)
def test_a_caller_that_came_back_goes_one_class_up(rank, has_waited, expected):
    assert urgency.order_of(rank, has_waited) == expected

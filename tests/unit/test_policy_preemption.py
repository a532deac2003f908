import collections

import hypothesis
from hypothesis import strategies
import pytest

from hemlocktiller._internal.policy import fair_queue
from hemlocktiller._internal.policy import preemption

SHARES = {"gold": 0.5, "silver": 0.4, "free": 0.1}
WORTH = {"gold": 3.0, "silver": 2.0, "free": 1.0}


def make_running(plans, **fields):
    return [
        preemption.RunningRequest(
            str(number), plan, WORTH[plan], number, **fields
        )
        for number, plan in enumerate(plans)
    ]


def make_item(plan):
    return fair_queue.QueuedRequest("new", plan, "w", 10.0, WORTH[plan], 100.0)


@pytest.fixture
def preemptor():
    return preemption.Preemptor()


def test_the_newest_of_the_lowest_worth_goes(preemptor):
    running = make_running(["silver"] * 6 + ["free"] * 3)
    victim = preemptor.preempt(make_item("gold"), running, SHARES, 10, 0.0)
    assert victim.request_id == "8"


def test_nothing_is_taken_for_a_plan_that_has_its_share(preemptor):
    running = make_running(["gold"] * 5 + ["free"] * 5)
    assert not preemptor.preempt(make_item("gold"), running, SHARES, 10, 0.0)


def test_a_request_is_not_cancelled_again_and_again(preemptor):
    running = make_running(["free"] * 10, preemptions=2)
    assert not preemptor.preempt(make_item("gold"), running, SHARES, 10, 0.0)


def test_a_place_that_comes_free_soon_is_waited_for(preemptor):
    running = make_running(["free"] * 10)
    item = make_item("gold")
    assert not preemptor.preempt(item, running, SHARES, 10, 0.0, 0.4)
    assert preemptor.preempt(item, running, SHARES, 10, 0.0, 0.6)


def test_the_rate_is_bounded(preemptor):
    running = make_running(["free"] * 10)

    def taken(count, now_s):
        victims = [
            preemptor.preempt(make_item("gold"), running, SHARES, 10, now_s)
            for _ in range(count)
        ]
        return len([victim for victim in victims if victim])

    assert taken(10, 0.0) == 4
    assert taken(10, 1.0) == 2


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    strategies.lists(strategies.sampled_from(sorted(SHARES)), max_size=20),
    strategies.sampled_from(sorted(SHARES)),
)
def test_no_plan_is_taken_below_its_share(plans, plan):
    running = make_running(plans)
    victim = preemption.choose_victim(plan, running, SHARES, 20)
    if victim is None:
        return
    used = collections.Counter(plans)
    assert used[victim.plan] - 1 >= SHARES[victim.plan] * 20 - 1e-9
    assert used[plan] + 1 <= SHARES[plan] * 20 + 1e-9

import random

import hypothesis
from hypothesis import strategies
import pytest

from hemlocktiller._internal.policy import budget

SETTINGS = {
    "budget_ratio": 0.1,
    "budget_min_per_s": 2.0,
    "backoff_min_s": 0.01,
    "backoff_max_s": 0.5,
}


@pytest.fixture
def retry_budget():
    return budget.RetryBudget(SETTINGS)


def test_minimum_retry_rate_applies_without_successes(retry_budget):
    allowed = [retry_budget.try_retry(0.0) for _ in range(100)]
    assert allowed.count(True) == 20
    assert not retry_budget.try_retry(9.0)
    assert retry_budget.try_retry(10.5)


def test_successes_add_to_the_budget_until_they_leave_the_window(retry_budget):
    for number in range(1000):
        retry_budget.record_success(number / 1000)
    assert retry_budget.remaining(1.0) == pytest.approx(120)
    assert retry_budget.remaining(30.0) == pytest.approx(20)


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.floats(0, 0.5), strategies.booleans()),
        max_size=300,
    )
)
def test_retries_stay_within_the_budget(steps):
    retries = budget.RetryBudget(SETTINGS)
    now_s = 0.0
    successes = 0
    made = 0
    for wait_s, success in steps:
        now_s += wait_s
        if success:
            retries.record_success(now_s)
            successes += 1
        else:
            made += retries.try_retry(now_s)
    windows = now_s // (budget.WINDOW_S - budget.SLOT_S) + 1
    assert made <= 20 * windows + 0.1 * successes * 3


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(strategies.integers(1, 10_000), strategies.integers())
def test_backoff_grows_and_stays_in_bounds(attempt, seed):
    wait_s = budget.backoff_s(attempt, SETTINGS, random.Random(seed))
    assert 0.01 <= wait_s <= min(0.5, 0.01 * 2 ** min(attempt, 32))

import hypothesis
from hypothesis import strategies
import pytest

from hemlocktiller._internal.policy import limits

LIMITS = {
    "requests_per_s": 10.0,
    "burst_requests": 20.0,
    "running_requests": 30,
    "output_tokens": 100,
}


@pytest.fixture
def state():
    return limits.WorkspaceLimits()


def admit_many(state, count, now_s, entries=1):
    admissions = [
        state.admit("w", LIMITS, entries, now_s) for _ in range(count)
    ]
    return [admission for admission in admissions if admission.allowed]


def test_a_burst_and_then_the_rate(state):
    assert len(admit_many(state, 50, 0.0)) == 20
    refused = state.admit("w", LIMITS, 1, 0.0)
    assert refused.limit == "requests_per_s"
    assert refused.retry_after_s == pytest.approx(0.1)
    assert len(admit_many(state, 50, 0.5)) == 5
    assert state.admit("other", LIMITS, 1, 0.5).allowed


def test_running_requests_are_bounded(state):
    for second in range(3):
        admit_many(state, 10, float(second))
    refused = state.admit("w", LIMITS, 1, 10.0)
    assert refused.limit == "running_requests"
    assert refused.retry_after_s > 0
    state.release("w")
    assert state.admit("w", LIMITS, 1, 10.0).allowed


def test_entries_share_the_limits(state):
    assert len(admit_many(state, 50, 0.0, entries=4)) == 5
    assert len(admit_many(state, 50, 2.0, entries=4)) == 3
    assert state.running("w") == 8


def test_a_small_limit_leaves_each_entry_one(state):
    small = {**LIMITS, "burst_requests": 1.0, "running_requests": 1}
    assert state.admit("w", small, 100, 0.0).allowed
    state.release("w")
    assert not state.admit("w", small, 100, 1.0).allowed


def test_no_rate_at_all_has_a_finite_retry_time(state):
    none = {**LIMITS, "requests_per_s": 0.0}
    for _ in range(20):
        state.admit("w", none, 1, 0.0)
    assert state.admit("w", none, 1, 0.0).retry_after_s == 3600.0


def test_answers_are_cut_to_the_limit():
    assert limits.allowed_output_tokens(500, LIMITS) == 100
    assert limits.allowed_output_tokens(50, LIMITS) == 50


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(strategies.lists(strategies.floats(0, 2), max_size=200))
def test_admissions_stay_under_rate_and_burst(waits):
    state = limits.WorkspaceLimits()
    now_s = 0.0
    admitted = 0
    for wait_s in waits:
        now_s += wait_s
        if state.admit("w", LIMITS, 1, now_s).allowed:
            admitted += 1
            state.release("w")
    assert admitted <= 20 + 10 * now_s + 1e-6

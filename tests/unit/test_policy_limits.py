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
def workspace_limits():
    return limits.WorkspaceLimits()


def admit_many(workspace_limits, count, now_s, entries=1):
    admissions = [
        workspace_limits.admit("w", LIMITS, entries, now_s)
        for _ in range(count)
    ]
    return [admission for admission in admissions if admission.allowed]


def test_burst_is_admitted_and_then_the_steady_rate(workspace_limits):
    assert len(admit_many(workspace_limits, 50, 0.0)) == 20
    refused = workspace_limits.admit("w", LIMITS, 1, 0.0)
    assert refused.limit == "requests_per_s"
    assert refused.retry_after_s == pytest.approx(0.1)
    assert len(admit_many(workspace_limits, 50, 0.5)) == 5
    assert workspace_limits.admit("other", LIMITS, 1, 0.5).allowed


def test_running_requests_are_bounded(workspace_limits):
    for second in range(3):
        admit_many(workspace_limits, 10, float(second))
    refused = workspace_limits.admit("w", LIMITS, 1, 10.0)
    assert refused.limit == "running_requests"
    assert refused.retry_after_s > 0
    workspace_limits.release("w")
    assert workspace_limits.admit("w", LIMITS, 1, 10.0).allowed


def test_limits_are_divided_among_entries(workspace_limits):
    assert len(admit_many(workspace_limits, 50, 0.0, entries=4)) == 5
    assert len(admit_many(workspace_limits, 50, 2.0, entries=4)) == 3
    assert workspace_limits.running("w") == 8


@pytest.mark.parametrize("entries", [4, 420])
def test_entries_together_admit_no_more_than_the_burst_of_a_workspace(
    entries,
):
    admitted = sum(
        len(admit_many(limits.WorkspaceLimits(), 2, 0.0, entries))
        for _ in range(entries)
    )
    assert admitted <= LIMITS["burst_requests"]


def test_each_entry_admits_at_least_one_request(workspace_limits):
    small_limits = {**LIMITS, "burst_requests": 1.0, "running_requests": 1}
    assert workspace_limits.admit("w", small_limits, 100, 0.0).allowed
    workspace_limits.release("w")
    assert not workspace_limits.admit("w", small_limits, 100, 1.0).allowed


def test_zero_rate_has_a_finite_retry_time(workspace_limits):
    zero_rate = {**LIMITS, "requests_per_s": 0.0}
    for _ in range(20):
        workspace_limits.admit("w", zero_rate, 1, 0.0)
    assert (
        workspace_limits.admit("w", zero_rate, 1, 0.0).retry_after_s == 3600.0
    )


def test_output_tokens_are_capped_at_the_limit():
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

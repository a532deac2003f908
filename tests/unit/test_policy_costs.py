import pytest

from hemlocktiller._internal.policy import costs


def test_estimate_follows_the_actual_usage_of_a_workspace():
    estimator = costs.Estimator()
    for _ in range(200):
        estimator.record("w", 1000, 100)
    assert estimator.output_tokens("w", 500) == pytest.approx(50, rel=0.01)
    assert estimator.output_tokens("new", 500) == 250
    assert estimator.cost_tokens("w", 200, 500) == pytest.approx(70, rel=0.01)


def test_number_of_tracked_workspaces_is_bounded():
    estimator = costs.Estimator()
    for number in range(costs.MAX_WORKSPACES + 10):
        estimator.record(str(number), 100, 100)
    assert estimator.output_tokens("0", 100) == 50
    recent = str(costs.MAX_WORKSPACES)
    assert estimator.output_tokens(recent, 100) > 50


def test_expected_run_time_includes_a_margin():
    assert costs.run_time_bound_s(100, 0.1) > 10.0

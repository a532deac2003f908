import pytest

from hemlocktiller._internal.policy import costs


def test_the_estimate_follows_what_a_workspace_uses():
    estimator = costs.Estimator()
    for _ in range(200):
        estimator.record("w", 1000, 100)
    assert estimator.output_tokens("w", 500) == pytest.approx(50, rel=0.01)
    assert estimator.output_tokens("new", 500) == 250
    assert estimator.cost_tokens("w", 200, 500) == pytest.approx(70, rel=0.01)


def test_workspaces_remembered_are_bounded():
    estimator = costs.Estimator()
    for number in range(costs.MAX_WORKSPACES + 10):
        estimator.record(str(number), 100, 100)
    assert estimator.output_tokens("0", 100) == 50
    recent = str(costs.MAX_WORKSPACES)
    assert estimator.output_tokens(recent, 100) > 50


def test_the_expected_run_has_a_margin():
    assert costs.run_time_bound_s(100, 0.1) > 10.0

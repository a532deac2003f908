"""Regression tests of the policy's simulated goodput and fairness."""

import pytest

from benchmarks import policy_goodput
from benchmarks import policy_model

MIN_GOODPUT_RATIO = 0.95
MIN_SERVICE_RATIO = 0.98
MAX_RETRY_WASTE_RATIO = 0.05


@pytest.fixture(scope="module")
def experiment():
    return policy_goodput.Experiment(seed=1, duration_s=80.0, target_count=9)


@pytest.mark.parametrize("overload", [1.5, 3.0])
def test_goodput_weighted_by_worth_is_near_the_upper_bound(
    experiment, overload
):
    policy = policy_goodput.POLICY
    result = policy_goodput.measure_goodput(experiment, policy, overload)
    assert MIN_GOODPUT_RATIO <= result.workspace_bound_ratio <= 1.0
    assert result.long_in_time_ratio > 0.1


def test_backlogged_plans_get_their_share_during_a_flood(experiment):
    policy = policy_goodput.POLICY
    served = policy_goodput.measure_backlogged_service(experiment, policy)
    assert min(served["gold"], served["silver"]) >= MIN_SERVICE_RATIO


def test_plans_within_their_share_are_served_during_a_flood(experiment):
    policy = policy_goodput.POLICY
    served = policy_goodput.measure_service_within_share(experiment, policy)
    assert min(served["gold"], served["silver"]) >= MIN_SERVICE_RATIO


def test_loss_of_half_the_fleet_wastes_little_work(experiment):
    policy = policy_goodput.POLICY
    wasted_ratio, attempts, _ = policy_goodput.measure_half_fleet_loss(
        experiment, policy
    )
    assert wasted_ratio < MAX_RETRY_WASTE_RATIO
    assert attempts < 1.2


def test_goodput_exceeds_that_of_the_baselines(experiment):
    policy = policy_goodput.POLICY
    policy_result = policy_goodput.measure_goodput(experiment, policy, 1.5)
    for baseline in policy_goodput.BASELINES:
        baseline_result = policy_goodput.measure_goodput(
            experiment, baseline, 1.5
        )
        assert (
            policy_result.workspace_bound_ratio
            > 1.2 * baseline_result.workspace_bound_ratio
        )


def test_upper_bound_is_the_most_worth_that_fits_the_capacity():
    requests = policy_model.generate_workload(1, 1.0, 20.0, {"gold": 0.4})
    offered_s = sum(one.work_s for one in requests)
    offered_worth = sum(one.worth for one in requests)
    assert policy_model.worth_upper_bound(
        requests, offered_s
    ) == pytest.approx(offered_worth)
    bound_of_half_capacity = policy_model.worth_upper_bound(
        requests, offered_s / 2
    )
    assert offered_worth / 2 < bound_of_half_capacity < offered_worth
    assert policy_model.worth_upper_bound(requests, 0.0) == 0.0

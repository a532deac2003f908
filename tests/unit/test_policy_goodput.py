"""Regression bounds of the policy benchmark, on a virtual clock."""

import pytest

from benchmarks import policy_goodput
from benchmarks import policy_model

GOODPUT_RATIO = 0.95
SERVICE_RATIO = 0.98
RETRY_WASTE_RATIO = 0.05


@pytest.fixture(scope="module")
def setting():
    return policy_goodput.Setting(seed=1, duration_s=80.0, targets=9)


@pytest.mark.parametrize("overload", [1.5, 3.0])
def test_goodput_by_worth_is_near_the_bound(setting, overload):
    policy = policy_goodput.POLICY
    found = policy_goodput.goodput(setting, policy, overload)
    assert GOODPUT_RATIO <= found.ratio <= 1.0
    assert found.long_ratio > 0.1


def test_a_flood_leaves_backlogged_plans_their_share(setting):
    policy = policy_goodput.POLICY
    served = policy_goodput.backlogged(setting, policy)
    assert min(served["gold"], served["silver"]) >= SERVICE_RATIO


def test_a_flood_leaves_plans_within_their_share_alone(setting):
    policy = policy_goodput.POLICY
    served = policy_goodput.within_share(setting, policy)
    assert min(served["gold"], served["silver"]) >= SERVICE_RATIO


def test_the_loss_of_half_the_fleet_wastes_little(setting):
    policy = policy_goodput.POLICY
    wasted, attempts, _ = policy_goodput.half_fleet_loss(setting, policy)
    assert wasted < RETRY_WASTE_RATIO
    assert attempts < 1.2


def test_the_policy_beats_the_baselines(setting):
    policy = policy_goodput.POLICY
    ours = policy_goodput.goodput(setting, policy, 1.5)
    for baseline in policy_goodput.BASELINES:
        theirs = policy_goodput.goodput(setting, baseline, 1.5)
        assert ours.ratio > 1.2 * theirs.ratio


def test_the_bound_is_what_fits_by_worth():
    requests = policy_model.workload(1, 1.0, 20.0, {"gold": 0.4})
    offered_s = sum(one.work_s for one in requests)
    worth = sum(one.worth for one in requests)
    assert policy_model.bound(requests, offered_s) == pytest.approx(worth)
    half = policy_model.bound(requests, offered_s / 2)
    assert worth / 2 < half < worth
    assert policy_model.bound(requests, 0.0) == 0.0

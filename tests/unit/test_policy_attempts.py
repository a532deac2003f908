"""Tests of how often a request may run and at which targets it may start."""

import pytest

from hemlocktiller._internal.policy import attempts
from tests.unit.gateway.conftest import make_target

TWO_TARGETS = attempts.Allowance(True, 2)
A, B, C = (make_target(name) for name in "abc")


@pytest.mark.parametrize(
    ("allowance", "runs", "expected"),
    [
        (TWO_TARGETS, 0, True),
        (TWO_TARGETS, 1, True),
        (TWO_TARGETS, 2, False),
        (attempts.Allowance(False, 2), 0, False),
        (attempts.Allowance(False, 2), 1, False),
        (attempts.Allowance(True, 1), 1, False),
    ],
)
def test_only_repeatable_requests_below_the_limit_run_again(
    allowance, runs, expected
):
    assert attempts.may_run_again(allowance, runs) == expected


def test_run_may_start_at_any_target_below_the_limit():
    assert (
        attempts.required_first_targets(TWO_TARGETS, [A], lambda target: False)
        is None
    )


def test_run_at_the_limit_must_start_at_an_earlier_target():
    started_on = [A, B, A]
    required_targets = attempts.required_first_targets(
        TWO_TARGETS, started_on, lambda target: False
    )
    assert required_targets == {"a", "b"}


def test_targets_that_are_down_do_not_count():
    started_on = [A, B, C]
    assert attempts.required_first_targets(
        TWO_TARGETS, started_on, lambda target: target is A
    ) == {"b", "c"}
    assert (
        attempts.required_first_targets(
            TWO_TARGETS, started_on, lambda target: target is not C
        )
        is None
    )

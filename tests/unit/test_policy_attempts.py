"""How often a request runs, and where it must begin."""

import pytest

from hemlocktiller._internal.policy import attempts
from tests.unit.gateway.conftest import make_target

TWICE = attempts.Allowance(True, 2)
A, B, C = (make_target(name) for name in "abc")


@pytest.mark.parametrize(
    ("allowance", "runs", "expected"),
    [
        (TWICE, 0, True),
        (TWICE, 1, True),
        (TWICE, 2, False),
        (attempts.Allowance(False, 2), 0, False),
        (attempts.Allowance(False, 2), 1, False),
        (attempts.Allowance(True, 1), 1, False),
    ],
)
def test_only_what_may_repeat_runs_again(allowance, runs, expected):
    assert attempts.may_run_again(allowance, runs) == expected


def test_a_run_begins_anywhere_while_targets_are_left():
    assert (
        attempts.required_first_targets(TWICE, [A], lambda target: False)
        is None
    )


def test_a_run_beyond_that_begins_where_an_earlier_one_did():
    began_at = [A, B, A]
    found = attempts.required_first_targets(
        TWICE, began_at, lambda target: False
    )
    assert found == {"a", "b"}


def test_a_target_that_has_ended_does_not_count():
    began_at = [A, B, C]
    assert attempts.required_first_targets(
        TWICE, began_at, lambda target: target is A
    ) == {"b", "c"}
    assert (
        attempts.required_first_targets(
            TWICE, began_at, lambda target: target is not C
        )
        is None
    )

"""Tests of the checks that fault-injection tests apply to their records."""

import pytest

from tests.functional import client
from tests.functional import history

Run = history.Run


def exchange(**fields):
    defaults = {
        "name": "n1",
        "kind": "completion",
        "sent": "p",
        "status": 200,
        "request": "r1",
        "wanted_tokens": 3,
    }
    return client.Exchange(**{**defaults, **fields})


def call_exchange(**fields):
    return exchange(kind="call", sent='{"item": 1}', **fields)


def reference_tokens(prompt, count):
    answers = {"p": (1, 2, 3), "q": (4, 5, 6)}
    return answers[prompt][:count]


VALID_RUNS = [
    Run("a", "r1/1", 0, 0, 4, 1.0),
    Run("b", "r1/1", 0, 4, 8, 2.0),
    Run("a", "r1/1", 1, 0, 4, 3.0),
    Run("b", "r1/1", 1, 4, 8, 4.0),
]
DUPLICATE_RUN = Run("a", "r1/1", 1, 0, 4, 5.0)
RUN_AFTER_GAP = Run("b", "r1/1", 2, 4, 8, 5.0)
RERUN_OF_EARLIER_RANGE = Run("c", "r1/1", 1, 0, 4, 5.0)
RERUN_OF_NEWEST_RANGE = Run("c", "r1/1", 1, 4, 8, 5.0)
TOKENS_OUT_OF_ORDER = [
    Run("a", "r2/1", 1, 0, 8, 1.0),
    Run("a", "r2/1", 0, 0, 8, 2.0),
]


def test_valid_layer_runs_pass():
    assert history.check_layers(VALID_RUNS) == []


@pytest.mark.parametrize(
    ("runs", "lossy", "late"),
    [
        ([*VALID_RUNS, DUPLICATE_RUN], (), ()),
        ([*VALID_RUNS, DUPLICATE_RUN], ("a", "b"), ("a", "b")),
        ([*VALID_RUNS, RUN_AFTER_GAP], (), ()),
        ([*VALID_RUNS, RUN_AFTER_GAP], ("a", "b"), ("b",)),
        ([*VALID_RUNS, RERUN_OF_EARLIER_RANGE], (), ()),
        ([*VALID_RUNS, RERUN_OF_EARLIER_RANGE], ("a", "b"), ("a", "b")),
        ([*VALID_RUNS, RERUN_OF_NEWEST_RANGE], (), ()),
        ([*VALID_RUNS, RERUN_OF_NEWEST_RANGE], ("a",), ("a", "b")),
        (TOKENS_OUT_OF_ORDER, ("a",), ("a",)),
    ],
)
def test_invalid_layer_runs_are_reported(runs, lossy, late):
    assert history.check_layers(runs, lossy, late)


def test_lost_output_permits_a_rerun_of_the_newest_range():
    assert (
        history.check_layers(
            [*VALID_RUNS, RERUN_OF_NEWEST_RANGE], lossy=("b",)
        )
        == []
    )


def test_delayed_engine_may_rerun_an_earlier_range():
    assert (
        history.check_layers(
            [*VALID_RUNS, RERUN_OF_EARLIER_RANGE], late=("c",)
        )
        == []
    )


def test_token_completed_by_two_attempts_is_reported():
    second_attempt = [run._replace(sequence="r1/2") for run in VALID_RUNS]
    assert history.check_one_attempt([*VALID_RUNS, second_attempt[0]], 8) == []
    assert history.check_one_attempt([*VALID_RUNS, *second_attempt], 8)


def test_rebuilds_are_not_counted_as_runs():
    lines = [
        {
            "sequence": "r1/1",
            "token_index": 0,
            "first_layer": 0,
            "end_layer": 4,
            "kind": kind,
            "at_s": 1.0,
        }
        for kind in ("run", "rebuild")
    ]
    assert history.parse_runs("a", lines) == VALID_RUNS[:1]


def test_answered_tokens_need_runs_of_all_layers():
    exchanges = [exchange(tokens=(1, 2))]
    assert history.check_covered(exchanges, VALID_RUNS, 8) == []
    assert history.check_covered(exchanges, VALID_RUNS[:3], 8)
    assert history.check_covered(exchanges, VALID_RUNS, 12)
    assert history.check_covered([exchange(tokens=(1, 2, 3))], VALID_RUNS, 8)


@pytest.mark.parametrize(
    "fields",
    [
        {"tokens": (1, 2, 3), "whole": True},
        {"tokens": (1, 2), "code": "interrupted"},
        {"tokens": (), "code": "overloaded", "status": 503},
    ],
)
def test_valid_answers_pass(fields):
    assert history.check_answers([exchange(**fields)], reference_tokens) == []


@pytest.mark.parametrize(
    "fields",
    [
        {"tokens": (4, 5, 6), "whole": True},
        {"tokens": (1, 2), "whole": True},
        {"tokens": (1, 2, 3), "whole": True, "code": "interrupted"},
        {"tokens": (1, 5), "code": "interrupted"},
        {"tokens": (1, 2, 3, 3), "code": "interrupted"},
    ],
)
def test_invalid_answers_are_reported(fields):
    assert history.check_answers([exchange(**fields)], reference_tokens)


def test_repeated_request_ids_are_reported():
    valid_exchange = exchange(tokens=(1, 2, 3), whole=True)
    assert history.check_answers(
        [valid_exchange, valid_exchange], reference_tokens
    )


def test_interrupted_answers_are_reported():
    whole = exchange(tokens=(1, 2, 3), whole=True)
    interrupted = exchange(tokens=(1, 2), code="interrupted")
    assert history.check_all_whole([whole]) == []
    assert history.check_all_whole([whole, interrupted])


def test_engine_run_of_a_request_reported_as_not_run_is_found():
    refused = exchange(status=503, code="overloaded", ran="no")
    assert history.check_not_run([refused], [], []) == []
    assert history.check_not_run([refused], VALID_RUNS[:1], [])
    unknown = refused._replace(ran="unknown")
    assert history.check_not_run([unknown], VALID_RUNS, []) == []


def test_service_call_reported_as_not_run_is_found():
    bookings = [history.Booking("s", '{"item": 1}')]
    refused = call_exchange(status=503, code="store_unavailable", ran="no")
    answered = call_exchange(body={"ok": 1}, whole=True)
    assert history.check_not_run([refused], [], []) == []
    assert history.check_not_run([refused], [], bookings)
    assert history.check_not_run([refused, answered], [], bookings) == []


def test_error_without_ran_field_is_reported():
    refused = exchange(status=503, code="overloaded", ran="no")
    assert history.check_errors([refused, exchange()]) == []
    assert history.check_errors([refused._replace(ran="")])


def test_booking_must_run_at_most_once():
    one_booking = [history.Booking("s", '{"item": 1}')]
    answered = call_exchange(body={"id": 7}, whole=True)
    other_answer = call_exchange(body={"id": 8}, whole=True)
    assert history.check_at_most_once([answered, answered], one_booking) == []
    assert history.check_at_most_once([], one_booking) == []
    assert history.check_at_most_once([answered], one_booking * 2)
    assert history.check_at_most_once([answered], [])
    assert history.check_at_most_once([answered, other_answer], one_booking)


def test_decreasing_config_version_is_reported():
    samples = [history.Sample("e", version) for version in (0, 3, 3, 0, 4)]
    assert history.check_versions(samples) == []
    assert history.check_versions([*samples, history.Sample("e", 3)])
    sample_of_other_entry = history.Sample("f", 2)
    assert history.check_versions([*samples, sample_of_other_entry]) == []

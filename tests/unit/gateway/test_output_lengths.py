"""Predicted lengths of answers, and what streams make of them."""

import random

import pytest

from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import output_lengths
from tests.unit.gateway import test_streams

ROUTE = "drafts"


def record_many(lengths, hint_tokens, ratio, count=100, route=ROUTE):
    rng = random.Random(1)
    for _ in range(count):
        lengths.record(
            route, hint_tokens, hint_tokens * ratio * rng.uniform(0.9, 1.1)
        )


def test_the_hint_is_the_prediction_until_there_are_answers():
    lengths = output_lengths.OutputLengths()
    record_many(lengths, 100.0, 3.0, output_lengths.MIN_ANSWERS - 1)
    prediction = lengths.predict(ROUTE, 100.0, 0)
    assert prediction.remaining_tokens(0.0) == 100.0
    assert prediction.remaining_tokens(60.0) == 40.0


def test_answers_that_exceed_hints_are_expected_to_do_so_again():
    lengths = output_lengths.OutputLengths()
    record_many(lengths, 100.0, 3.0)
    prediction = lengths.predict(ROUTE, 100.0, 0)
    assert prediction.remaining_tokens(0.0) == pytest.approx(300, rel=0.1)
    # Hints of another size are judged by those of the route.
    assert lengths.predict(ROUTE, 1000.0, 0).remaining_tokens(
        0.0
    ) == pytest.approx(3000, rel=0.1)
    assert lengths.predict("other", 100.0, 0).remaining_tokens(0.0) == 100.0


def test_an_answer_that_goes_on_is_expected_to_be_one_of_the_long_ones():
    lengths = output_lengths.OutputLengths()
    record_many(lengths, 100.0, 0.5)
    record_many(lengths, 100.0, 4.0)
    prediction = lengths.predict(ROUTE, 100.0, 0)
    assert prediction.remaining_tokens(0.0) == pytest.approx(225, rel=0.15)
    assert prediction.remaining_tokens(100.0) == pytest.approx(300, rel=0.15)
    assert prediction.remaining_tokens(1000.0) == 250.0


def test_no_answer_is_expected_to_exceed_the_callers_limit():
    lengths = output_lengths.OutputLengths()
    record_many(lengths, 100.0, 3.0)
    prediction = lengths.predict(ROUTE, 100.0, 150)
    assert prediction.remaining_tokens(0.0) == 150.0
    assert prediction.remaining_tokens(160.0) == 0.0


def test_a_route_whose_answers_become_longer_is_predicted_anew():
    lengths = output_lengths.OutputLengths()
    record_many(lengths, 100.0, 0.5, 10_000)
    record_many(lengths, 100.0, 4.0, 2 * output_lengths.MAX_ANSWERS)
    assert lengths.predict(ROUTE, 100.0, 0).remaining_tokens(0.0) > 300.0


def test_of_many_routes_the_last_used_ones_are_kept():
    lengths = output_lengths.OutputLengths()
    for number in range(output_lengths.MAX_HISTOGRAMS):
        record_many(lengths, 100.0, 3.0, 20, f"route {number}")
    assert len(lengths._histograms) <= output_lengths.MAX_HISTOGRAMS
    last = f"route {output_lengths.MAX_HISTOGRAMS - 1}"
    assert lengths.predict(last, 100.0, 0).remaining_tokens(0.0) > 250.0
    assert lengths.predict("route 0", 100.0, 0).remaining_tokens(0.0) == 100.0


@pytest.mark.parametrize("answer_tokens", [0.0, -1.0, 1e300])
def test_lengths_that_no_answer_has_do_no_harm(answer_tokens):
    lengths = output_lengths.OutputLengths()
    for _ in range(20):
        lengths.record(ROUTE, 100.0, answer_tokens)
    left = lengths.predict(ROUTE, 100.0, 300).remaining_tokens(0.0)
    assert 0.0 < left <= 300.0


@pytest.fixture
def uneven_service(model_service, engine):
    accelerators = {
        **engine.accelerators,
        "slowest": fleet.Accelerator("slowest", 14_400.0, 30.0, 15.0),
    }
    return model_service._replace(
        engine=engine._replace(accelerators=accelerators)
    )


def run_stream(harness, service, route, event_count, **overrides):
    """Serves a whole answer; returns the reserved token layers by event."""
    harness.register(*test_streams.make_two_chains())
    admitted = harness.admit(service, route, **overrides)
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    connection.respond(test_streams.RESPONSE_HEAD)
    reserved = []
    for number in range(1, event_count + 1):
        connection.respond(test_streams.chunk(test_streams.event(number)))
        reserved.append(
            max(
                load.token_layers
                for load in harness.dispatcher.occupancy.own_loads().values()
            )
            / 40
        )
    connection.respond(test_streams.RESPONSE_END)
    assert admitted.caller_request.ending == "whole"
    return reserved


def test_a_stream_reserves_memory_for_what_it_has_written(
    harness, uneven_service, stream_route
):
    reserved = run_stream(
        harness, uneven_service, stream_route, 80, prompt_tokens=700,
        expected_output_tokens=100,
    )  # fmt: skip
    assert reserved[0] == 750.0
    # An event has three tokens, the stride of the engine.
    assert reserved[15] == 750.0
    assert reserved[23] == 700.0 + 24 * 3
    assert reserved[79] == 700.0 + 80 * 3


def test_the_length_of_a_whole_answer_is_learned_by_route(
    harness, uneven_service, stream_route
):
    for _ in range(output_lengths.MIN_ANSWERS):
        run_stream(harness, uneven_service, stream_route, 100)
        harness.skip_cancelled_connections()
    left = harness.dispatcher.output_lengths.predict("drafts", 200.0, 0)
    assert left.remaining_tokens(0.0) == pytest.approx(300.0, rel=0.1)


def test_the_end_of_an_earlier_stream_is_no_length(
    harness, uneven_service, stream_route
):
    run_stream(harness, uneven_service, stream_route, 5, last_event_id="0")
    assert not harness.dispatcher.output_lengths._histograms


def test_nothing_is_learned_where_accelerators_are_even(
    harness, model_service, stream_route
):
    reserved = run_stream(
        harness, model_service, stream_route, 80, prompt_tokens=700,
        expected_output_tokens=100,
    )  # fmt: skip
    assert set(reserved) == {750.0}
    assert not harness.dispatcher.output_lengths._histograms

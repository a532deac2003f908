"""Admission: queueing, refusal and the Retry-After time."""

import pytest

from hemlocktiller._internal.policy import admission


def queue_state(waiting, starts_per_s, arrivals_per_s):
    return admission.QueueState(waiting, starts_per_s, arrivals_per_s)


def test_a_request_may_wait_in_a_short_queue():
    assert admission.decide_wait(queue_state(3, 20.0, 20.0), 20.0).may_wait


def test_a_request_is_refused_if_its_expected_wait_is_too_long():
    decision = admission.decide_wait(queue_state(60, 20.0, 30.0), 20.0)
    assert not decision.may_wait


def test_a_request_does_not_wait_longer_than_its_time_left():
    assert not admission.decide_wait(queue_state(9, 20.0, 20.0), 0.3).may_wait


def test_retry_after_is_longer_while_the_queue_grows():
    draining_s = admission.retry_after_s(queue_state(40, 20.0, 10.0))
    growing_s = admission.retry_after_s(queue_state(40, 20.0, 30.0))
    assert draining_s == 41 / 20.0
    assert growing_s > draining_s + 1.0


def test_retry_after_is_bounded():
    longest_s = admission.retry_after_s(queue_state(10_000, 1.0, 99.0))
    assert longest_s == admission.RETRY_AFTER_MAX_S


def test_a_rate_ignores_events_before_its_window():
    rate = admission.RateWindow()
    for _ in range(6):
        rate.record(10.0)
    window_end_s = 10.0 + admission.RATE_WINDOW_S
    assert rate.per_s(window_end_s) == 6 / admission.RATE_WINDOW_S
    assert rate.per_s(20.0) == 0.0


def test_a_rate_is_known_soon_after_the_start_of_a_process():
    rate = admission.RateWindow()
    for number in range(10):
        rate.record(50.0 + number * 0.05)
    assert rate.per_s(50.5) == pytest.approx(20.0)
    first = admission.RateWindow()
    first.record(50.0)
    assert first.per_s(50.0) <= 1 / admission.MIN_RATE_WINDOW_S


def test_callers_that_return_after_a_restart_may_wait():
    """The queue drains at 20 a second, of which 0.5 s have been seen."""
    starts = admission.RateWindow()
    for number in range(10):
        starts.record(number * 0.05)
    state = queue_state(15, starts.per_s(0.5), 60.0)
    assert admission.decide_wait(state, 20.0).may_wait


def test_a_burst_may_wait_longer_than_a_lasting_overload():
    burst = queue_state(19, 20.0, 30.0)
    lasting = burst._replace(standing_s=admission.STANDING_QUEUE_S + 0.1)
    assert admission.decide_wait(burst, 20.0, 0.5).may_wait
    assert not admission.decide_wait(lasting, 20.0, 0.5).may_wait


def test_in_a_lasting_overload_the_wait_leaves_time_for_the_prompt():
    lasting = queue_state(1, 20.0, 30.0)._replace(standing_s=9.0)
    assert admission.decide_wait(lasting, 20.0, 0.5).may_wait
    assert not admission.decide_wait(lasting, 20.0, 0.1).may_wait

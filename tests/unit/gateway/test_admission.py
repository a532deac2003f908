"""Waiting, refusing, and the time to come back."""

from hemlocktiller._internal.policy import admission


def traffic(waiting, starts, arrivals):
    return admission.QueueState(waiting, starts, arrivals)


def test_a_short_queue_is_waited_in():
    assert admission.decide_wait(traffic(3, 20.0, 20.0), 20.0).may_wait


def test_a_queue_beyond_patience_is_refused_at_once():
    verdict = admission.decide_wait(traffic(60, 20.0, 30.0), 20.0)
    assert not verdict.may_wait


def test_nothing_waits_beyond_its_own_time():
    assert not admission.decide_wait(traffic(9, 20.0, 20.0), 0.3).may_wait


def test_callers_come_back_later_while_the_queue_does_not_drain():
    drains = admission.retry_after_s(traffic(40, 20.0, 10.0))
    grows = admission.retry_after_s(traffic(40, 20.0, 30.0))
    assert drains == 41 / 20.0
    assert grows > drains + 1.0


def test_the_time_to_come_back_is_bounded():
    longest = admission.retry_after_s(traffic(10_000, 1.0, 99.0))
    assert longest == admission.RETRY_AFTER_MAX_S


def test_rates_forget():
    rate = admission.RateWindow()
    for _ in range(6):
        rate.record(10.0)
    assert rate.per_s(10.0) == 6 / admission.RATE_WINDOW_S
    assert rate.per_s(20.0) == 0.0

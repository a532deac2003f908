"""Timers go by the steady clock."""

import time

import pytest
from twisted.internet import selectreactor

from hemlocktiller._internal import monotonic_clock


def test_a_call_is_due_by_the_steady_clock():
    reactor = selectreactor.SelectReactor()
    monotonic_clock.use_monotonic_clock(reactor)
    call = reactor.callLater(5.0, lambda: None)
    assert call.getTime() - time.monotonic() == pytest.approx(5.0, abs=0.5)
    call.delay(2.0)
    assert call.getTime() - time.monotonic() == pytest.approx(7.0, abs=0.5)
    assert reactor.timeout() == pytest.approx(7.0, abs=0.5)

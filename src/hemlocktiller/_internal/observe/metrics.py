"""Metrics that every process has, and helpers for those of its modules."""

from collections.abc import Callable

import prometheus_client

SECONDS_BUCKETS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.063,
    0.1,
    0.25,
    0.5,
    0.89,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)
LOOP_PROBE_S = 0.25

LOOP_DELAY = prometheus_client.Histogram(
    "hemlocktiller_loop_delay_seconds",
    "How late the event loop ran a timer.",
    buckets=SECONDS_BUCKETS,
)

PAGE_CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST


def page() -> bytes:
    """Returns all metrics in Prometheus' text format."""
    return prometheus_client.generate_latest()


def probe_loop(reactor) -> Callable[[], None]:
    """Measures how late the event loop runs its timers.

    Args:
        reactor: Reactor whose loop is measured.

    Returns:
        A function that ends the measurement.
    """
    pending = None

    def wait():
        nonlocal pending
        due_s = reactor.seconds() + LOOP_PROBE_S
        pending = reactor.callLater(LOOP_PROBE_S, check, due_s)

    def check(due_s):
        LOOP_DELAY.observe(max(0.0, reactor.seconds() - due_s))
        wait()

    def stop():
        if pending.active():
            pending.cancel()

    wait()
    return stop

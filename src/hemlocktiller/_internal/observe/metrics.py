"""Metrics common to all processes, and the text of the metrics page."""

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
LOOP_PROBE_INTERVAL_S = 0.25

EVENT_LOOP_DELAY = prometheus_client.Histogram(
    "hemlocktiller_loop_delay_seconds",
    "How late the event loop ran a timer.",
    buckets=SECONDS_BUCKETS,
)

PAGE_CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST


def render_page() -> bytes:
    """Returns all metrics in the Prometheus text format."""
    return prometheus_client.generate_latest()


def start_loop_probe(reactor) -> Callable[[], None]:
    """Starts to measure how late the event loop runs its timers.

    Args:
        reactor: Reactor whose event loop is measured.

    Returns:
        A function that stops the measurement.
    """
    timer = None

    def schedule_check():
        nonlocal timer
        due_s = reactor.seconds() + LOOP_PROBE_INTERVAL_S
        timer = reactor.callLater(LOOP_PROBE_INTERVAL_S, record_delay, due_s)

    def record_delay(due_s):
        EVENT_LOOP_DELAY.observe(max(0.0, reactor.seconds() - due_s))
        schedule_check()

    def stop_probe():
        if timer.active():
            timer.cancel()

    schedule_check()
    return stop_probe

"""Short requests of the gateway to targets, such as for status reports."""

from collections.abc import Callable
from typing import Any

from hemlocktiller._internal import http_exchange
from hemlocktiller._internal.policy import fleet

# A timeout is split into this many timers, so that the reactor polls sockets
# between them: once for the connection, once for the response, and once in
# reserve. If the reactor was blocked for longer than the timeout, a single
# timer would fire before a response that has already arrived is read.
TIMEOUT_TIMERS = 3
# A status report has some hundred bytes.
MAX_REPORT_BYTES = 65_536


def request_once(
    reactor: Any,
    target: fleet.Target,
    request: tuple[str, str, bytes],
    timeout_s: float,
    on_done: Callable[[int, bytes], None],
    on_failed: Callable[[http_exchange.ExchangeFailure], None],
    on_response_head: Callable[[int, http_exchange.Headers], None],
) -> None:
    """Sends a request and collects its response, such as a status report.

    Args:
        reactor: Reactor.
        target: The target.
        request: Method, path and JSON body.
        timeout_s: Limit for the complete response. It is extended while
            the reactor is blocked, since the response may wait to be read.
        on_done: Called with status and body.
        on_failed: Called if there is no complete response in time.
        on_response_head: Called with status and headers, before the others.
    """
    method, path, body = request
    headers = [(b"Host", target.address.encode())]
    if body:
        headers.append((b"Content-Type", b"application/json"))
    status = 0
    body_read = bytearray()

    def on_head(response_status, response_headers):
        nonlocal status
        status = response_status
        on_response_head(response_status, response_headers)

    def on_end(exchange_failure):
        if timer.active():
            timer.cancel()
        if exchange_failure is None:
            on_done(status, bytes(body_read))
        else:
            on_failed(exchange_failure)

    def on_timer():
        nonlocal timer, timers_left
        timers_left -= 1
        if timers_left > 0:
            timer = reactor.callLater(timeout_s / TIMEOUT_TIMERS, on_timer)
            return
        exchange.cancel()
        on_failed(
            http_exchange.ExchangeFailure(
                "no answer in time", exchange.is_sent, has_timed_out=True
            )
        )

    timers_left = TIMEOUT_TIMERS
    timer = reactor.callLater(timeout_s / TIMEOUT_TIMERS, on_timer)
    exchange = http_exchange.Exchange(
        reactor,
        (target.host, target.port),
        (method, path, headers, body),
        http_exchange.ExchangeCallbacks(on_head, body_read.extend, on_end),
        MAX_REPORT_BYTES,
    )

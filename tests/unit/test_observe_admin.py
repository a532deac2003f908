import json

import pytest
from twisted.internet import task
from twisted.internet import testing

from hemlocktiller._internal.observe import admin
from hemlocktiller._internal.observe import metrics


class ProcessState:
    """The state that the admin pages show."""

    reason = ""
    drain_count = 0


@pytest.fixture
def state():
    return ProcessState()


@pytest.fixture
def fetch(state):
    def drain():
        state.drain_count += 1
        state.reason = "draining"

    admin_pages = admin.PageFunctions(
        unready_reason=lambda: state.reason,
        status=lambda: {"config_version": 7},
        drain=drain,
        find_events={"r1": [{"event": "placed"}]}.get,
        find_spans=lambda trace_id: [{"trace": trace_id}],
    )
    site = admin.create_site(admin_pages)
    site.timeOut = None

    def fetch_page(path, method="GET"):
        protocol = site.buildProtocol(None)
        transport = testing.StringTransport()
        protocol.makeConnection(transport)
        protocol.dataReceived(f"{method} {path} HTTP/1.0\r\n\r\n".encode())
        response_head, _, body = transport.value().partition(b"\r\n\r\n")
        return int(response_head.split()[1]), body

    return fetch_page


def test_readiness_reports_the_unready_reason(fetch, state):
    assert fetch("/readyz") == (200, b"ready\n")
    state.reason = "no configuration"
    assert fetch("/readyz") == (503, b"no configuration\n")
    assert fetch("/healthz")[0] == 200


def test_draining_requires_a_post(fetch, state):
    assert fetch("/drain")[0] == 405
    assert state.drain_count == 0
    assert fetch("/drain", "POST") == (202, b"{}\n")
    assert state.drain_count == 1
    assert fetch("/readyz")[0] == 503


def test_status_is_json(fetch):
    status, body = fetch("/status")
    assert (status, json.loads(body)) == (200, {"config_version": 7})


def test_explain_returns_the_events_of_a_known_request(fetch):
    status, body = fetch("/explain?request=r1")
    assert status == 200
    assert json.loads(body)["events"] == [{"event": "placed"}]
    assert fetch("/explain?request=r2")[0] == 404
    assert fetch("/explain")[0] == 400


def test_spans_are_looked_up_by_trace_id(fetch):
    status, body = fetch("/spans?trace=ab12")
    assert status == 200
    assert json.loads(body)["spans"] == [{"trace": "ab12"}]
    assert fetch("/spans")[0] == 400


def test_metrics_include_the_loop_delay(fetch):
    clock = task.Clock()
    stop = metrics.start_loop_probe(clock)
    clock.advance(metrics.LOOP_PROBE_INTERVAL_S)
    stop()
    assert not clock.getDelayedCalls()
    status, body = fetch("/metrics")
    assert status == 200
    assert b"hemlocktiller_loop_delay_seconds_count" in body

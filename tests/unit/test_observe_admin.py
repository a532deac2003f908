import json

import pytest
from twisted.internet import task
from twisted.internet import testing

from hemlocktiller._internal.observe import admin
from hemlocktiller._internal.observe import metrics


class State:
    """What the pages under test show."""

    reason = ""
    drained = 0


@pytest.fixture
def state():
    return State()


@pytest.fixture
def fetch(state):
    def drain():
        state.drained += 1
        state.reason = "draining"

    pages = admin.PageFunctions(
        unready_reason=lambda: state.reason,
        status=lambda: {"config_version": 7},
        drain=drain,
        find_events={"r1": [{"event": "placed"}]}.get,
        find_spans=lambda trace: [{"trace": trace}],
    )
    site = admin.create_site(pages)
    site.timeOut = None

    def fetch_page(path, method="GET"):
        protocol = site.buildProtocol(None)
        transport = testing.StringTransport()
        protocol.makeConnection(transport)
        protocol.dataReceived(f"{method} {path} HTTP/1.0\r\n\r\n".encode())
        head, _, body = transport.value().partition(b"\r\n\r\n")
        return int(head.split()[1]), body

    return fetch_page


def test_readiness_follows_the_process(fetch, state):
    assert fetch("/readyz") == (200, b"ready\n")
    state.reason = "no configuration"
    assert fetch("/readyz") == (503, b"no configuration\n")
    assert fetch("/healthz")[0] == 200


def test_only_a_post_drains(fetch, state):
    assert fetch("/drain")[0] == 405
    assert state.drained == 0
    assert fetch("/drain", "POST") == (202, b"{}\n")
    assert state.drained == 1
    assert fetch("/readyz")[0] == 503


def test_status_is_json(fetch):
    code, body = fetch("/status")
    assert (code, json.loads(body)) == (200, {"config_version": 7})


def test_explain_shows_a_known_request(fetch):
    code, body = fetch("/explain?request=r1")
    assert code == 200
    assert json.loads(body)["events"] == [{"event": "placed"}]
    assert fetch("/explain?request=r2")[0] == 404
    assert fetch("/explain")[0] == 400


def test_spans_are_found_by_trace(fetch):
    code, body = fetch("/spans?trace=ab12")
    assert code == 200
    assert json.loads(body)["spans"] == [{"trace": "ab12"}]
    assert fetch("/spans")[0] == 400


def test_metrics_include_the_loop_delay(fetch):
    clock = task.Clock()
    stop = metrics.start_loop_probe(clock)
    clock.advance(metrics.LOOP_PROBE_INTERVAL_S)
    stop()
    assert not clock.getDelayedCalls()
    code, body = fetch("/metrics")
    assert code == 200
    assert b"hemlocktiller_loop_delay_seconds_count" in body

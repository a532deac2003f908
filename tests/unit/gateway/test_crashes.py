"""Requests that crash targets are stopped, and bystanders are not."""

import itertools

import pytest

from hemlocktiller._internal.gateway import crashes
from tests.unit.gateway.conftest import make_target
from tests.unit.gateway.test_peers import FakeLink
from tests.unit.gateway.test_streams import chunk
from tests.unit.gateway.test_streams import event
from tests.unit.gateway.test_streams import HEAD
from tests.unit.gateway.test_streams import is_probe
from tests.unit.gateway.test_streams import REPORT

BODY = b"body"
URI = b"/drafts/1"
DIGEST = crashes.digest("workspace", URI, BODY)


def copies(names):
    """Whole chains of two targets each."""
    return [
        make_target(
            f"{chain}{first}",
            first_layer=first,
            end_layer=first + 40,
            port=4000 + 100 * index + first,
        )  # fmt: skip
        for index, chain in enumerate(names)
        for first in (0, 40)
    ]


@pytest.fixture
def streaming(bench, model_service, stream_route):
    """A bench with five chains and an admitted stream."""
    bench.register(*copies("abcde"))
    return bench, bench.admitted(model_service, stream_route)


def crash_all(bench, before_crash=lambda run: None):
    """Crashes each target that is sent a run; returns their ports."""
    crashed = []
    for _ in range(100):
        bench.reactor.advance(0.05)
        while bench.opened():
            if bench.next_port() in crashed:
                bench.refuse()
                continue
            sent = bench.connect()
            if is_probe(sent):
                sent.answer(REPORT)
                continue
            crashed.append(sent.port)
            before_crash(sent)
            sent.reset()
    return crashed


def runs(bench):
    """Returns the runs among the connections that were opened."""
    found = [bench.connect() for _ in range(bench.opened())]
    return [sent for sent in found if not is_probe(sent)]


def crash_at(bench, name, digest=DIGEST):
    """Notes that a target went down on a request."""
    bench.context.crash_evidence.record_target_down(
        bench.targets.by_name[name], {digest: "r1"}
    )


def condemn(bench):
    """Notes two crashes, and lets the time of the decision pass."""
    crash_at(bench, "a0")
    crash_at(bench, "b0")
    bench.reactor.advance(crashes.CONDEMNATION_DELAY_S)


def test_a_stream_that_crashes_targets_is_stopped(streaming):
    bench, admitted = streaming
    bench.stream(admitted)
    assert len(crash_all(bench)) <= 3
    assert admitted.caller_request.status == 422
    assert admitted.caller_request.ending == "whole"
    assert bench.over


def test_it_is_not_sent_when_it_comes_again(streaming):
    bench, admitted = streaming
    condemn(bench)
    bench.stream(admitted)
    assert admitted.caller_request.status == 422
    assert not runs(bench)


def test_it_waits_while_the_evidence_is_open(streaming):
    bench, admitted = streaming
    crash_at(bench, "a0")
    crash_at(bench, "b0")
    bench.stream(admitted)
    assert not runs(bench)
    bench.reactor.advance(crashes.CONDEMNATION_DELAY_S)
    assert admitted.caller_request.status == 422


def test_many_targets_lost_at_once_condemn_nobody(streaming):
    bench, admitted = streaming
    for name in ("a0", "b0", "c0", "d0"):
        crash_at(bench, name)
    bench.reactor.advance(crashes.CONDEMNATION_DELAY_S)
    bench.stream(admitted)
    assert len(runs(bench)) == 1


def test_the_evidence_of_a_peer_counts(streaming):
    bench, admitted = streaming
    message = {
        "entries": [
            {"digest": DIGEST, "targets": ["x/1", "y/1"], "expires_in_s": 9.0}
        ]
    }
    bench.context.crash_evidence.feed.on_message(
        FakeLink("gateway-2"), message
    )
    bench.reactor.advance(crashes.CONDEMNATION_DELAY_S)
    bench.stream(admitted)
    assert admitted.caller_request.status == 422


def test_evidence_goes_to_all_peers_once(bench):
    bench.register(*copies("a"))
    feed = bench.context.crash_evidence.feed
    links = [FakeLink(name) for name in ("gateway-2", "gateway-3")]
    for link in links:
        feed.on_open(link)
    crash_at(bench, "a0")
    (message,) = links[0].sent
    assert message == links[1].sent[0]
    feed.on_message(links[0], {"entries": message["entries"]})
    assert len(links[1].sent) == 1


def test_a_stream_that_had_begun_is_no_suspect(streaming):
    bench, admitted = streaming
    bench.stream(admitted)
    numbers = itertools.count(1)
    crash_all(
        bench, lambda run: run.answer(HEAD + chunk(event(next(numbers))))
    )
    assert next(numbers) > 2
    assert bench.context.crash_evidence.state(DIGEST) == "clear"


def test_a_first_event_clears_a_suspect(streaming):
    bench, admitted = streaming
    crash_at(bench, "a0")
    assert bench.context.crash_evidence.state(DIGEST) == "suspect"
    bench.stream(admitted)
    (run,) = runs(bench)
    run.answer(HEAD + chunk(event(1)))
    assert bench.context.crash_evidence.state(DIGEST) == "clear"


def test_a_target_that_starts_again_crashes_anew(bench):
    bench.register(*copies("a"))
    crash_at(bench, "a0")
    again = bench.targets.by_name["a0"]._replace(born_ms=2)
    bench.context.crash_evidence.record_target_down(again, {DIGEST: "r1"})
    assert bench.context.crash_evidence.state(DIGEST) == "undecided"


def test_a_lookup_that_crashes_targets_is_not_sent(
    bench, plain_service, lookup_route
):
    bench.register(*copies("ab"), make_target("p", service="plain"))
    condemn(bench)
    admitted = bench.admitted(plain_service, lookup_route)
    bench.call(admitted)
    assert admitted.caller_request.status == 422
    assert not runs(bench)


def test_a_lookup_comes_back_while_the_evidence_is_open(
    bench, plain_service, lookup_route
):
    bench.register(*copies("ab"), make_target("p", service="plain"))
    crash_at(bench, "a0")
    crash_at(bench, "b0")
    admitted = bench.admitted(plain_service, lookup_route)
    bench.call(admitted)
    assert admitted.caller_request.status == 503
    assert float(
        admitted.caller_request.header(b"Retry-After")
    ) == pytest.approx(crashes.CONDEMNATION_DELAY_S)


def test_a_suspected_request_is_named_in_the_log(bench, monkeypatch):
    bench.register(*copies("a"))
    emitted = []
    monkeypatch.setattr(
        crashes.events,
        "emit",
        lambda event, **facts: emitted.append((event, facts)),
    )
    crash_at(bench, "a0")
    ((event, facts),) = emitted
    assert event == "request_suspected"
    assert (facts["request"], facts["target"]) == ("r1", "a0")
    assert facts["state"] == "suspect"

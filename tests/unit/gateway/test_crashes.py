"""Requests that crash targets are rejected; other requests are not."""

import itertools

import pytest

from hemlocktiller._internal.gateway import crashes
from hemlocktiller._internal.gateway import model
from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.policy import suspects
from tests.unit.gateway.conftest import make_target
from tests.unit.gateway.test_calls import OK_RESPONSE
from tests.unit.gateway.test_peers import FakeLink
from tests.unit.gateway.test_streams import chunk
from tests.unit.gateway.test_streams import event
from tests.unit.gateway.test_streams import is_probe
from tests.unit.gateway.test_streams import REPORT_RESPONSE
from tests.unit.gateway.test_streams import RESPONSE_HEAD

BODY = b"body"
URI = b"/drafts/1"
DIGEST = crashes.digest("workspace", URI, BODY)


def make_chains(names):
    """Returns complete chains of two targets each."""
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
def streaming(harness, model_service, stream_route):
    """A harness with five chains, and an admitted stream request."""
    harness.register(*make_chains("abcde"))
    return harness, harness.admit(model_service, stream_route)


def crash_targets(harness, before_reset=lambda attempt: None):
    """Crashes each target that an attempt is sent to; returns their ports."""
    crashed_ports = []
    for _ in range(100):
        harness.reactor.advance(0.05)
        while harness.pending_connection_count():
            if harness.next_port() in crashed_ports:
                harness.refuse_connection()
                continue
            connection = harness.accept_connection()
            if is_probe(connection):
                connection.respond(REPORT_RESPONSE)
                continue
            crashed_ports.append(connection.port)
            before_reset(connection)
            connection.reset()
    return crashed_ports


def accept_attempts(harness):
    """Accepts all pending connections; returns those that are no probes."""
    connections = [
        harness.accept_connection()
        for _ in range(harness.pending_connection_count())
    ]
    return [
        connection for connection in connections if not is_probe(connection)
    ]


def record_crash(harness, name, digest=DIGEST):
    """Records that a target went down while it ran a request."""
    harness.context.crash_evidence.record_target_down(
        harness.targets.by_name[name], {digest: "r1"}
    )


def condemn_request(harness):
    """Records two crashes, and lets the decision period pass."""
    record_crash(harness, "a0")
    record_crash(harness, "b0")
    harness.reactor.advance(crashes.CONDEMNATION_DELAY_S)


def test_a_stream_that_crashes_targets_is_rejected(streaming):
    harness, admitted = streaming
    harness.start_stream(admitted)
    assert len(crash_targets(harness)) <= 3
    assert admitted.caller_request.status == 422
    assert admitted.caller_request.ending == "whole"
    assert harness.finished


def test_a_condemned_request_is_not_sent_again(streaming):
    harness, admitted = streaming
    condemn_request(harness)
    harness.start_stream(admitted)
    assert admitted.caller_request.status == 422
    assert not accept_attempts(harness)


def test_a_stream_waits_while_the_evidence_is_undecided(streaming):
    harness, admitted = streaming
    record_crash(harness, "a0")
    record_crash(harness, "b0")
    harness.start_stream(admitted)
    assert not accept_attempts(harness)
    harness.reactor.advance(crashes.CONDEMNATION_DELAY_S)
    assert admitted.caller_request.status == 422


def test_many_targets_lost_at_once_condemn_no_request(streaming):
    harness, admitted = streaming
    for name in ("a0", "b0", "c0", "d0"):
        record_crash(harness, name)
    harness.reactor.advance(crashes.CONDEMNATION_DELAY_S)
    harness.start_stream(admitted)
    assert len(accept_attempts(harness)) == 1


def test_the_evidence_of_a_peer_counts(streaming):
    harness, admitted = streaming
    message = {
        "type": "suspects",
        "entries": [
            {"digest": DIGEST, "targets": ["x/1", "y/1"], "expires_in_s": 9.0}
        ],
    }
    harness.context.crash_evidence.feed.on_message(
        FakeLink("gateway-2"), message
    )
    harness.reactor.advance(crashes.CONDEMNATION_DELAY_S)
    harness.start_stream(admitted)
    assert admitted.caller_request.status == 422


def test_evidence_is_sent_to_each_peer_once(harness):
    harness.register(*make_chains("a"))
    feed = harness.context.crash_evidence.feed
    links = [FakeLink(name) for name in ("gateway-2", "gateway-3")]
    for link in links:
        feed.on_open(link)
    record_crash(harness, "a0")
    (message,) = links[0].sent
    assert message == links[1].sent[0]
    feed.on_message(links[0], message)
    assert len(links[1].sent) == 1


def test_a_stream_that_returned_events_is_not_suspected(streaming):
    harness, admitted = streaming
    harness.start_stream(admitted)
    numbers = itertools.count(1)
    crash_targets(
        harness,
        lambda attempt: attempt.respond(
            RESPONSE_HEAD + chunk(event(next(numbers)))
        ),
    )
    assert next(numbers) > 2
    assert harness.context.crash_evidence.state(DIGEST) == "clear"


def test_a_first_event_clears_a_suspected_request(streaming):
    harness, admitted = streaming
    record_crash(harness, "a0")
    assert harness.context.crash_evidence.state(DIGEST) == "suspect"
    harness.start_stream(admitted)
    (attempt,) = accept_attempts(harness)
    attempt.respond(RESPONSE_HEAD + chunk(event(1)))
    assert harness.context.crash_evidence.state(DIGEST) == "clear"


def test_a_crash_after_a_restart_counts_as_a_second_crash(harness):
    harness.register(*make_chains("a"))
    record_crash(harness, "a0")
    restarted = harness.targets.by_name["a0"]._replace(born_ms=2)
    harness.context.crash_evidence.record_target_down(
        restarted, {DIGEST: "r1"}
    )
    assert harness.context.crash_evidence.state(DIGEST) == "undecided"


def test_an_idempotent_call_that_crashes_targets_is_not_sent(
    harness, plain_service, lookup_route
):
    harness.register(*make_chains("ab"), make_target("p", service="plain"))
    condemn_request(harness)
    admitted = harness.admit(plain_service, lookup_route)
    harness.start_call(admitted)
    assert admitted.caller_request.status == 422
    assert not accept_attempts(harness)


def test_an_idempotent_call_gets_a_retry_after_while_undecided(
    harness, plain_service, lookup_route
):
    harness.register(*make_chains("ab"), make_target("p", service="plain"))
    record_crash(harness, "a0")
    record_crash(harness, "b0")
    admitted = harness.admit(plain_service, lookup_route)
    harness.start_call(admitted)
    assert admitted.caller_request.status == 503
    assert float(
        admitted.caller_request.header(b"Retry-After")
    ) == pytest.approx(crashes.CONDEMNATION_DELAY_S)


def test_a_suspected_request_is_logged(harness, monkeypatch):
    harness.register(*make_chains("a"))
    emitted_events = []
    monkeypatch.setattr(
        crashes.events,
        "emit",
        lambda event, **fields: emitted_events.append((event, fields)),
    )
    record_crash(harness, "a0")
    ((event, fields),) = emitted_events
    assert event == "request_suspected"
    assert (fields["request"], fields["target"]) == ("r1", "a0")
    assert fields["state"] == "suspect"


def answer_probes(harness, born_ms):
    """Lets targets that are down answer a probe as a process of that start."""
    harness.adapter = harness.adapter._replace(
        decode_report=lambda body: model.TargetReport(
            born_ms, 0, False, 1.0, 0, 0
        )
    )
    harness.targets._adapter = harness.adapter
    harness.reactor.advance(targets_module.PROBE_INTERVAL_S)
    while harness.pending_connection_count():
        harness.accept_connection().respond(REPORT_RESPONSE)


def silence_two_targets(harness):
    """Marks two targets as down while both run the request."""
    record_crash(harness, "a0")
    record_crash(harness, "b0")
    for name in ("a0", "b0"):
        target = harness.targets.by_name[name]
        harness.targets.mark_down(target, "no answer in time")
    harness.reactor.advance(crashes.CONDEMNATION_DELAY_S / 2)


def test_targets_that_were_only_silent_condemn_no_request(streaming):
    harness, admitted = streaming
    silence_two_targets(harness)
    answer_probes(harness, harness.targets.by_name["a0"].born_ms)
    harness.reactor.advance(crashes.CONDEMNATION_DELAY_S)
    assert harness.context.crash_evidence.state(DIGEST) == "clear"
    harness.start_stream(admitted)
    (attempt,) = accept_attempts(harness)
    attempt.respond(RESPONSE_HEAD + chunk(event(1)))
    assert admitted.caller_request.status == 200


def test_targets_that_were_started_again_still_condemn_a_request(streaming):
    harness, admitted = streaming
    silence_two_targets(harness)
    answer_probes(harness, harness.targets.by_name["a0"].born_ms + 1)
    harness.reactor.advance(crashes.CONDEMNATION_DELAY_S)
    harness.start_stream(admitted)
    assert admitted.caller_request.status == 422


def make_popular(harness, digest=DIGEST):
    """Lets a request with earlier responses be under way at two crashes."""
    harness.context.crash_evidence.record_first_data(digest)
    condemn_request(harness)


def accept_calls(harness):
    """Accepts pending connections and answers health probes.

    Returns:
        Those with the request.
    """
    calls = []
    for connection in accept_attempts(harness):
        if b" /drafts/1 " in connection.transport.value():
            calls.append(connection)
        else:
            connection.respond(OK_RESPONSE)
    return calls


@pytest.fixture
def popular_lookup(harness, plain_service, lookup_route):
    """A harness with plain targets, and an admitted popular lookup."""
    harness.register(
        *make_chains("ab"),
        make_target("p", service="plain", accelerator="", port=4500),
        make_target("q", service="plain", accelerator="", port=4501),
    )
    make_popular(harness)
    return harness, lambda: harness.admit(plain_service, lookup_route)


def test_one_lookup_is_the_trial_and_the_others_get_a_retry_after(
    popular_lookup,
):
    """Guards against review/3 where no response comes between crashes."""
    harness, admit = popular_lookup
    trial, other = admit(), admit()
    harness.start_call(trial)
    harness.start_call(other)
    assert other.caller_request.status == 503
    assert float(other.caller_request.header(b"Retry-After")) > 0
    (connection,) = accept_calls(harness)
    connection.respond(OK_RESPONSE)
    assert trial.caller_request.status == 200
    assert harness.context.crash_evidence.state(DIGEST) == "clear"
    later = admit()
    harness.start_call(later)
    assert len(accept_calls(harness)) == 1


def test_a_trial_is_neither_hedged_nor_retried(popular_lookup):
    harness, admit = popular_lookup
    trial = admit()
    harness.start_call(trial)
    (connection,) = accept_calls(harness)
    harness.reactor.advance(0.3)
    assert not harness.pending_connection_count()
    connection.reset()
    assert trial.caller_request.status == 502
    assert not accept_calls(harness)


def test_a_lookup_is_rejected_for_good_once_its_trials_crashed_targets(
    popular_lookup,
):
    harness, admit = popular_lookup
    trial_count = 0
    for number in range(40):
        admitted = admit()
        harness.start_call(admitted)
        for connection in accept_calls(harness):
            trial_count += 1
            connection.reset()
            restarted = harness.targets.by_name["p"]._replace(
                born_ms=number + 2
            )
            harness.context.crash_evidence.record_target_down(
                restarted, {DIGEST: "r1"}
            )
        accept_calls(harness)
        harness.reactor.advance(5.0)
    assert trial_count == len(suspects.TRIAL_WAITS_S)
    assert admitted.caller_request.status == 422


def test_one_popular_stream_is_the_trial_and_others_get_a_retry_after(
    harness, model_service, stream_route
):
    harness.register(*make_chains("abcde"))
    make_popular(harness)
    trial = harness.admit(model_service, stream_route)
    other = harness.admit(model_service, stream_route, request_id="r2")
    harness.start_stream(trial)
    harness.start_stream(other)
    assert other.caller_request.status == 503
    (attempt,) = accept_attempts(harness)
    attempt.respond(RESPONSE_HEAD + chunk(event(1)))
    assert harness.context.crash_evidence.state(DIGEST) == "clear"


def test_a_stream_that_crashed_its_trial_is_not_sent_again(
    harness, model_service, stream_route
):
    harness.register(*make_chains("abcde"))
    make_popular(harness)
    trial = harness.admit(model_service, stream_route)
    harness.start_stream(trial)
    assert len(crash_targets(harness)) == 1
    assert trial.caller_request.status == 502

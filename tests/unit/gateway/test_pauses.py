"""Targets that reject requests and say for how long they want none."""

import pytest

from hemlocktiller._internal.gateway import layout_controller
from hemlocktiller._internal.gateway import targets as targets_module
from tests.unit.gateway.conftest import make_target
from tests.unit.gateway.test_silent_targets import make_silent
from tests.unit.gateway.test_silent_targets import stay_silent
from tests.unit.gateway.test_streams import accept_attempt
from tests.unit.gateway.test_streams import make_two_chains
from tests.unit.gateway.test_streams import path_target_names

PAUSE_S = 3.0
# An answer to a request that the target asks not to send again for a while.
PAUSE_ANSWER = (
    b"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nPause: 3.0\r\n"
    b"Content-Length: 0\r\n\r\n"
)
# The pause is extended by a tenth at most.
LONGEST_PAUSE_S = 3.4


def plain_target(name, **fields):
    return make_target(
        name, service="plain", accelerator="", slots=6, **fields
    )


def names(targets):
    return [target.name for target in targets]


def test_a_call_goes_elsewhere_and_the_target_gets_no_other(
    harness, plain_service, booking_route
):
    harness.register(plain_target("a"), plain_target("b"))
    admitted = harness.admit(plain_service, booking_route)
    harness.start_call(admitted)
    first = harness.accept_connection()
    first.respond(PAUSE_ANSWER)
    second = harness.accept_connection()
    assert second.port != first.port
    (available,) = harness.targets.available("plain")
    assert available.port == second.port
    for _ in range(5):
        harness.start_call(harness.admit(plain_service, booking_route))
        assert harness.accept_connection().port == second.port
    assert harness.pending_connection_count() == 0


def test_a_pause_is_no_failure_of_the_target(
    harness, plain_service, booking_route
):
    harness.register(plain_target("a"))
    for answer in (PAUSE_ANSWER, PAUSE_ANSWER.replace(b"Not-Run: 1\r\n", b"")):
        harness.start_call(harness.admit(plain_service, booking_route))
        harness.accept_connection().respond(
            answer.replace(b"Pause", b"Signature: s\r\nPause")
        )
        assert harness.targets.failure_ratio("a") == 0
        assert harness.pending_connection_count() == 0
        harness.reactor.advance(LONGEST_PAUSE_S)
    assert names(harness.targets.available("plain")) == ["a"]


def test_callers_are_rejected_at_once_with_the_end_of_the_pause(
    harness, plain_service, booking_route
):
    harness.register(plain_target("a"), plain_target("b"))
    harness.start_call(harness.admit(plain_service, booking_route))
    harness.accept_connection().respond(PAUSE_ANSWER)
    harness.accept_connection().respond(PAUSE_ANSWER)
    harness.reactor.advance(1.0)
    admitted = harness.admit(plain_service, booking_route)
    harness.start_call(admitted)
    assert admitted.caller_request.status == 503
    retry_after_s = float(admitted.caller_request.header(b"Retry-After"))
    assert PAUSE_S - 1.0 <= retry_after_s <= LONGEST_PAUSE_S - 1.0
    harness.reactor.advance(retry_after_s + 0.01)
    harness.start_call(harness.admit(plain_service, booking_route))
    assert harness.pending_connection_count() == 1


def test_a_stream_takes_a_path_without_the_target(
    harness, model_service, stream_route
):
    harness.register(*make_two_chains())
    harness.start_stream(harness.admit(model_service, stream_route))
    first = harness.accept_connection()
    paused_name = path_target_names(first)[0]
    first.respond(PAUSE_ANSWER)
    assert paused_name not in path_target_names(accept_attempt(harness))
    harness.start_stream(
        harness.admit(model_service, stream_route, request_id="r2")
    )
    assert paused_name not in path_target_names(accept_attempt(harness))


def test_a_stream_is_rejected_at_once_if_all_first_targets_pause(
    harness, model_service, stream_route
):
    harness.register(*make_two_chains()[:2])
    harness.start_stream(harness.admit(model_service, stream_route))
    harness.accept_connection().respond(PAUSE_ANSWER)
    admitted = harness.admit(model_service, stream_route, request_id="r2")
    harness.start_stream(admitted)
    assert admitted.caller_request.status == 503
    retry_after_s = float(admitted.caller_request.header(b"Retry-After"))
    assert PAUSE_S <= retry_after_s <= LONGEST_PAUSE_S


@pytest.mark.parametrize("born_ms", [1, 9])
def test_a_new_process_of_the_same_name_has_no_pause(harness, born_ms):
    harness.register(plain_target("a"))
    target = harness.targets.by_name["a"]
    harness.targets.record_response_head(target, 503, [(b"Pause", b"3.0")])
    harness.targets._apply_registration(
        "a", 2, plain_target("a", born_ms=born_ms)
    )
    is_available = names(harness.targets.available("plain")) == ["a"]
    assert is_available == (born_ms == 9)


def test_a_target_in_a_pause_is_probed_once_at_most(harness):
    target = make_target("a0", first_layer=0, end_layer=80)
    harness.register(target)
    harness.targets.record_response_head(target, 503, [(b"Pause", b"3.0")])
    probe_count = 0
    for _ in range(6):
        harness.targets.probe_suspect(target, "silent")
        harness.targets.poll_reports(lambda name: True)
        harness.reactor.advance(targets_module.PROBE_TIMEOUT_S)
        while harness.pending_connection_count():
            harness.accept_connection().reset()
            probe_count += 1
    assert probe_count == 1


def test_a_target_in_a_pause_is_not_lost_as_it_missed_one_probe(harness):
    max_silence_s = layout_controller.MAX_SILENCE_S
    harness.register(make_target("a", first_layer=0, end_layer=80))
    target = harness.targets.by_name["a"]
    harness.targets.record_response_head(target, 503, [(b"Pause", b"9.0")])
    make_silent(harness, "a")
    while not harness.pending_connection_count():
        assert harness.targets.possibly_serving("model", max_silence_s) == [
            target
        ]
        harness.reactor.advance(0.1)
    assert harness.targets.pause_left_s(target) == 0
    assert harness.targets.possibly_serving("model", max_silence_s) == [target]
    stay_silent(harness, max_silence_s + 0.5)
    assert harness.targets.possibly_serving("model", max_silence_s) == []


def test_a_target_that_refused_a_probe_in_a_pause_is_lost(harness):
    harness.register(make_target("a", first_layer=0, end_layer=80))
    target = harness.targets.by_name["a"]
    harness.targets.record_response_head(target, 503, [(b"Pause", b"9.0")])
    harness.targets.probe_suspect(target, "silent")
    harness.refuse_connection()
    assert harness.targets.possibly_serving("model", 60.0) == []


def test_a_target_down_in_a_pause_is_probed_again_after_it(harness):
    target = make_target("a0", first_layer=0, end_layer=80)
    harness.register(target)
    harness.targets.record_response_head(target, 503, [(b"Pause", b"3.0")])
    harness.targets.probe_suspect(target, "silent")
    harness.accept_connection().reset()
    assert harness.targets.is_down(target)
    harness.reactor.pump([0.1] * 28)
    assert harness.pending_connection_count() == 0
    harness.reactor.pump([0.1] * 8)
    assert harness.pending_connection_count() == 1

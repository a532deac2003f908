"""A sound target may fall silent for a second or so and then go on."""

import pytest
from twisted.internet import error
from twisted.python import failure

from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.observe import events
from hemlocktiller._internal.store import client
from tests.unit.gateway.conftest import make_target
from tests.unit.gateway.test_streams import answer_reports
from tests.unit.gateway.test_streams import chunk
from tests.unit.gateway.test_streams import event
from tests.unit.gateway.test_streams import is_probe
from tests.unit.gateway.test_streams import path_target_names
from tests.unit.gateway.test_streams import REPORT_RESPONSE
from tests.unit.gateway.test_streams import RESPONSE_END
from tests.unit.gateway.test_streams import RESPONSE_HEAD
from tests.unit.gateway.test_streams import spend_retries
from tests.unit.gateway.test_streams import UNFRAMED_HEAD

SILENCE_S = 1.2
OK_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nSignature: s\r\nRequest-Id: r1\r\n"
    b"Content-Length: 4\r\n\r\ndone"
)


def register_chains(harness, names):
    """Registers complete chains of two targets each."""
    harness.register(
        *(
            make_target(
                f"{chain}{first}",
                first_layer=first,
                end_layer=first + 40,
                port=4000 + 100 * index + first,
            )
            for index, chain in enumerate(names)
            for first in (0, 40)
        )
    )


def stay_silent(harness, duration_s=SILENCE_S):
    """Accepts all connections and answers none; returns those of attempts."""
    attempts = []
    for _ in range(round(duration_s / 0.1)):
        harness.advance_clock(0.1)
        while harness.pending_connection_count():
            connection = harness.accept_connection()
            request = connection.transport.value()
            if not request.startswith((b"GET /report", b"GET /health")):
                attempts.append(connection)
    return attempts


def answer_probes(harness, duration_s):
    """Answers the probes of all targets; returns the last attempt, if any."""
    attempts = []
    for _ in range(round(duration_s / 0.1)):
        harness.advance_clock(0.1)
        attempts.extend(answer_reports(harness))
    return attempts[-1] if attempts else None


def start_answered_stream(harness, service, route, names):
    """Returns a request on new chains, and its run after the first event."""
    register_chains(harness, names)
    admitted = harness.admit(service, route)
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    connection.respond(RESPONSE_HEAD + chunk(event(1)))
    return admitted, connection


def go_on(harness, admitted, connection, number):
    """Ends the stream of a target that was silent after event `number`."""
    connection.respond(chunk(event(number + 1)) + RESPONSE_END)
    assert admitted.caller_request.ending == "whole"
    assert admitted.caller_request.body == b"".join(
        event(one) for one in range(1, number + 2)
    )


@pytest.mark.parametrize("has_answered", [True, False])
def test_silent_targets_count_against_the_attempts_of_a_route(
    harness, model_service, stream_route, has_answered
):
    register_chains(harness, "abcd")
    admitted = harness.admit(model_service, stream_route)
    harness.start_stream(admitted)
    attempts = [harness.accept_connection()]
    for number in (1, 2, 3):
        if has_answered:
            attempts[-1].respond(RESPONSE_HEAD + chunk(event(number)))
        attempts += stay_silent(harness)
    first_targets = {path_target_names(attempt)[0] for attempt in attempts}
    assert len(first_targets) <= stream_route.max_targets
    assert admitted.caller_request.ending == ""


def test_a_stream_without_another_path_outlives_the_silence_of_its_target(
    harness, model_service, stream_route
):
    admitted, connection = start_answered_stream(
        harness, model_service, stream_route, "a"
    )
    assert stay_silent(harness, 2.8) == []
    go_on(harness, admitted, connection, 1)


def test_a_stream_without_retries_outlives_the_silence_of_its_target(
    harness, model_service, stream_route
):
    admitted, connection = start_answered_stream(
        harness, model_service, stream_route, "ab"
    )
    for _ in range(24):
        spend_retries(harness, 0)
        assert stay_silent(harness, 0.1) == []
    go_on(harness, admitted, connection, 1)


def test_a_stream_that_must_not_be_repeated_outlives_the_silence_of_its_target(
    harness, model_service, stream_route
):
    route = stream_route._replace(is_resumable=False)
    admitted, connection = start_answered_stream(
        harness, model_service, route, "ab"
    )
    assert stay_silent(harness) == []
    go_on(harness, admitted, connection, 1)


def test_a_silent_run_is_kept_until_its_replacement_has_a_path(
    harness, model_service, stream_route
):
    admitted, connection = start_answered_stream(
        harness, model_service, stream_route, "a"
    )
    stay_silent(harness)
    assert not connection.transport.disconnecting
    register_chains(harness, "ab")
    (second,) = stay_silent(harness, 0.2)
    assert not connection.transport.disconnecting
    assert path_target_names(second) == ["b0", "b40"]
    second.respond(RESPONSE_HEAD)
    assert connection.transport.disconnecting
    go_on(harness, admitted, second, 1)


def test_a_run_that_goes_on_cancels_the_search_for_its_replacement(
    harness, model_service, stream_route
):
    admitted, connection = start_answered_stream(
        harness, model_service, stream_route, "a"
    )
    stay_silent(harness)
    connection.respond(chunk(event(2)))
    register_chains(harness, "ab")
    assert stay_silent(harness, 0.2) == []
    go_on(harness, admitted, connection, 2)
    assert harness.dispatcher.occupancy.reservation_count() == 0


def test_a_stream_is_resumed_once_its_silent_target_is_known_to_have_ended(
    harness, model_service, stream_route
):
    route = stream_route._replace(max_targets=1)
    admitted, connection = start_answered_stream(
        harness, model_service, route, "ab"
    )
    silent_name = path_target_names(connection)[0]
    stay_silent(harness, 0.9)
    for _ in range(20):
        harness.advance_clock(0.1)
        while harness.pending_connection_count():
            target = harness.targets.by_name[silent_name]
            if harness.next_port() == target.port:
                harness.refuse_connection()
                continue
            attempt = harness.accept_connection()
            if not is_probe(attempt):
                assert path_target_names(attempt)[0] != silent_name
                attempt.respond(RESPONSE_HEAD)
                go_on(harness, admitted, attempt, 1)
                return
    pytest.fail("the stream was not resumed")


REJECTION = b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("retries", [3, 50])
def test_a_silent_run_outlives_a_replacement_that_is_rejected(
    harness, model_service, stream_route, retries
):
    admitted, connection = start_answered_stream(
        harness, model_service, stream_route, "ab"
    )
    spend_retries(harness, retries)
    rejected = 0
    for _ in range(16):
        for attempt in stay_silent(harness, 0.1):
            attempt.respond(REJECTION)
            rejected += 1
    assert rejected
    assert harness.dispatcher.occupancy.reservation_count() == 1
    go_on(harness, admitted, connection, 1)


def test_a_run_that_goes_on_is_kept_instead_of_its_replacement(
    harness, model_service, stream_route
):
    admitted, connection = start_answered_stream(
        harness, model_service, stream_route, "ab"
    )
    (replacement,) = stay_silent(harness)
    connection.respond(chunk(event(2)))
    assert replacement.transport.disconnecting
    go_on(harness, admitted, connection, 2)
    assert harness.dispatcher.occupancy.reservation_count() == 0


def test_a_request_that_replacements_run_is_suspected_of_their_crash(
    harness, model_service, stream_route
):
    register_chains(harness, "ab")
    admitted = harness.admit(model_service, stream_route)
    stream = harness.start_stream(admitted)
    harness.accept_connection()
    (replacement,) = stay_silent(harness)
    name = path_target_names(replacement)[0]
    target = harness.targets.by_name[name]
    replacement.reset()
    for _ in range(harness.pending_connection_count()):
        if harness.next_port() == target.port:
            harness.refuse_connection()
        else:
            harness.accept_connection()
    assert harness.targets.has_ended(target)
    assert harness.context.crash_evidence.state(stream.digest) == "suspect"


def refuse_probes(harness, target, duration_s):
    """Refuses the connections to a target, and leaves others unanswered."""
    for _ in range(round(duration_s / 0.1)):
        harness.advance_clock(0.1)
        while harness.pending_connection_count():
            if harness.next_port() == target.port:
                harness.refuse_connection()
            else:
                harness.accept_connection()


def test_a_replaced_run_is_evidence_once_its_silent_target_has_ended(
    harness, model_service, stream_route
):
    register_chains(harness, "ab")
    admitted = harness.admit(model_service, stream_route)
    stream = harness.start_stream(admitted)
    first = harness.accept_connection()
    target = harness.targets.by_name[path_target_names(first)[0]]
    (replacement,) = stay_silent(harness)
    replacement.respond(RESPONSE_HEAD)
    refuse_probes(harness, target, 1.0)
    assert harness.targets.has_ended(target)
    assert harness.context.crash_evidence.state(stream.digest) == "suspect"


def test_a_failed_run_is_evidence_if_its_target_refuses_only_a_later_probe(
    harness, model_service, stream_route
):
    register_chains(harness, "a")
    admitted = harness.admit(model_service, stream_route)
    stream = harness.start_stream(admitted)
    first = harness.accept_connection()
    target = harness.targets.by_name[path_target_names(first)[0]]
    first.reset()
    probe = harness.accept_connection()
    harness.advance_clock(0.2)
    probe.reset()
    refuse_probes(harness, target, 1.0)
    assert harness.targets.has_ended(target)
    assert harness.context.crash_evidence.state(stream.digest) == "suspect"


def test_an_ended_stream_is_not_cut_while_a_silent_target_may_confirm_it(
    harness, model_service, stream_route
):
    register_chains(harness, "a")
    admitted = harness.admit(model_service, stream_route)
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    connection.respond(UNFRAMED_HEAD + event(1))
    connection.close()
    assert stay_silent(harness) == []
    assert admitted.caller_request.ending == ""
    for _ in range(10):
        harness.advance_clock(0.1)
        while harness.pending_connection_count():
            harness.accept_connection().respond(REPORT_RESPONSE)
    assert admitted.caller_request.ending == "whole"
    assert admitted.caller_request.body == event(1)


def make_silent(harness, name):
    """Lets a probe of a target go without an answer."""
    harness.targets.probe_suspect(harness.targets.by_name[name], "test")
    connection = harness.accept_connection()
    harness.reactor.pump([targets_module.PROBE_TIMEOUT_S / 3] * 3)
    assert harness.targets.is_down(harness.targets.by_name[name])
    return connection


def test_an_idempotent_call_outlives_the_silence_of_its_only_target(
    harness, plain_service, lookup_route
):
    harness.register(make_target("a", service="plain", accelerator=""))
    admitted = harness.admit(plain_service, lookup_route)
    harness.start_call(admitted)
    connection = harness.accept_connection()
    make_silent(harness, "a")
    assert admitted.caller_request.ending == ""
    connection.respond(OK_RESPONSE)
    assert admitted.caller_request.status == 200


def test_an_idempotent_call_at_a_silent_target_is_hedged(
    harness, plain_service, lookup_route
):
    route = lookup_route._replace(target_latency_s=5.0, timeout_s=10.0)
    harness.register(
        make_target("a", service="plain", accelerator="", port=4001),
        make_target("b", service="plain", accelerator="", port=4002),
    )
    admitted = harness.admit(plain_service, route)
    harness.start_call(admitted)
    first = harness.accept_connection()
    make_silent(harness, {4001: "a", 4002: "b"}[first.port])
    second = harness.accept_connection()
    assert second.port != first.port
    assert not first.transport.disconnecting
    first.respond(OK_RESPONSE)
    assert admitted.caller_request.status == 200


def test_a_call_at_silent_targets_is_not_condemned(
    harness, plain_service, lookup_route
):
    harness.register(
        make_target("a", service="plain", accelerator="", port=4001),
        make_target("b", service="plain", accelerator="", port=4002),
    )
    admitted = harness.admit(plain_service, lookup_route)
    call = harness.start_call(admitted)
    first = harness.accept_connection()
    make_silent(harness, {4001: "a", 4002: "b"}[first.port])
    second = harness.accept_connection()
    make_silent(harness, {4001: "a", 4002: "b"}[second.port])
    harness.reactor.advance(0.6)
    assert harness.context.crash_evidence.state(call.digest) == "clear"


def test_a_replacement_is_sought_again_once_retries_are_left(
    harness, model_service, stream_route
):
    register_chains(harness, "abc")
    admitted = harness.admit(model_service, stream_route)
    harness.start_stream(admitted)
    first = harness.accept_connection()
    first.respond(RESPONSE_HEAD + chunk(event(1)))
    first.reset()
    ended_port = harness.targets.by_name[path_target_names(first)[0]].port
    for _ in range(harness.pending_connection_count()):
        if harness.next_port() == ended_port:
            harness.refuse_connection()
        else:
            connection = harness.accept_connection()
            if not is_probe(connection):
                second = connection
    second.respond(RESPONSE_HEAD + chunk(event(2)))
    attempts = []
    for _ in range(15):
        spend_retries(harness, 0)
        attempts += stay_silent(harness, 0.1)
    assert attempts == []
    for _ in range(20):
        harness.budget.record_success(harness.reactor.seconds())
    (third,) = stay_silent(harness, 0.3)
    assert path_target_names(third)[0] not in (
        path_target_names(first)[0],
        path_target_names(second)[0],
    )


def test_an_ended_stream_is_confirmed_by_targets_that_answer_in_turn(
    harness, model_service, stream_route
):
    register_chains(harness, "a")
    admitted = harness.admit(model_service, stream_route)
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    connection.respond(UNFRAMED_HEAD + event(1))
    connection.close()
    for number in range(20):
        harness.advance_clock(0.1)
        answering_port = 4000 if number < 10 else 4040
        while harness.pending_connection_count():
            report = harness.accept_connection()
            if report.port == answering_port:
                report.respond(REPORT_RESPONSE)
    assert admitted.caller_request.ending == "whole"


def test_a_hedge_without_a_free_target_spends_no_retry(
    harness, plain_service, lookup_route
):
    harness.register(make_target("a", service="plain", accelerator=""))
    admitted = harness.admit(plain_service, lookup_route)
    harness.start_call(admitted)
    harness.accept_connection()
    before = harness.budget.remaining(harness.reactor.seconds())
    make_silent(harness, "a")
    harness.reactor.advance(0.01)
    assert harness.budget.remaining(harness.reactor.seconds()) >= before


def test_a_call_at_a_silent_target_is_hedged_once_another_is_free(
    harness, plain_service, lookup_route
):
    route = lookup_route._replace(target_latency_s=5.0, timeout_s=10.0)
    harness.register(make_target("a", service="plain", accelerator=""))
    admitted = harness.admit(plain_service, route)
    harness.start_call(admitted)
    first = harness.accept_connection()
    make_silent(harness, "a")
    other = make_target("b", service="plain", accelerator="", port=4002)
    harness.register(other)
    attempts = stay_silent(harness, 0.3)
    assert [attempt.port for attempt in attempts] == [other.port]
    assert not first.transport.disconnecting


def test_a_removed_registration_does_not_show_that_a_target_has_ended(
    harness,
):
    harness.register(make_target("a"))
    target = harness.targets.by_name["a"]
    harness.targets.apply_registrations([], ["a"], False, 2)
    assert not harness.targets.has_ended(target)


def test_a_target_removed_while_it_is_silent_has_ended(harness):
    harness.register(make_target("a"))
    target = harness.targets.by_name["a"]
    make_silent(harness, "a")
    assert not harness.targets.has_ended(target)
    harness.targets.apply_registrations([], ["a"], False, 2)
    assert not harness.targets.has_ended(target)
    stay_silent(harness, 1.6)
    assert not harness.targets.has_ended(target)
    stay_silent(harness, 1.2)
    assert harness.targets.has_ended(target)


def test_a_target_that_registers_again_has_not_ended(harness):
    harness.register(make_target("a"))
    target = harness.targets.by_name["a"]
    make_silent(harness, "a")
    harness.targets.apply_registrations([], ["a"], False, 2)
    stay_silent(harness, 2.8)
    assert harness.targets.has_ended(target)
    harness.targets.apply_registrations(
        [client.StoredObject("a", "a", 3, target)], [], False, 3
    )
    assert not harness.targets.has_ended(target)


def test_a_run_at_a_target_that_serves_on_without_registration_is_kept(
    harness, model_service, stream_route
):
    route = stream_route._replace(is_resumable=False)
    admitted, connection = start_answered_stream(
        harness, model_service, route, "a"
    )
    name = path_target_names(connection)[0]
    stay_silent(harness, 0.9)
    connection.respond(chunk(event(2)))
    harness.targets.apply_registrations([], [name], False, 2)
    harness.accept_connection().respond(REPORT_RESPONSE)
    go_on(harness, admitted, connection, 2)


def test_a_lost_connection_alone_does_not_show_that_a_target_has_ended(
    harness, model_service, stream_route
):
    admitted, connection = start_answered_stream(
        harness, model_service, stream_route, "ab"
    )
    name = path_target_names(connection)[0]
    target = harness.targets.by_name[name]
    harness.targets.apply_registrations([], [name], False, 2)
    connection.reset()
    for _ in range(harness.pending_connection_count()):
        answering = harness.accept_connection()
        if is_probe(answering):
            answering.respond(REPORT_RESPONSE)
    harness.advance_clock(0.5)
    assert not harness.targets.has_ended(target)


def test_a_target_that_answers_after_a_refusal_has_not_ended(harness):
    harness.register(make_target("a"))
    target = harness.targets.by_name["a"]
    harness.targets.probe_suspect(target, "test")
    harness.refuse_connection()
    assert harness.targets.has_ended(target)
    harness.reactor.advance(targets_module.PROBE_INTERVAL_S)
    harness.accept_connection().respond(
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
    )
    assert not harness.targets.has_ended(target)


@pytest.mark.parametrize("stage", [0, 1])
def test_a_run_whose_events_arrive_is_not_replaced_as_a_target_is_down(
    harness, model_service, stream_route, stage
):
    admitted, connection = start_answered_stream(
        harness, model_service, stream_route, "ab"
    )
    make_silent(harness, path_target_names(connection)[stage])
    before = harness.budget.remaining(harness.reactor.seconds())
    for number in range(2, 12):
        connection.respond(chunk(event(number)))
        assert stay_silent(harness, 0.1) == []
    assert harness.budget.remaining(harness.reactor.seconds()) >= before
    (replacement,) = stay_silent(harness, 0.4)
    assert not connection.transport.disconnecting
    replacement.respond(RESPONSE_HEAD)
    go_on(harness, admitted, replacement, 11)


def test_a_run_without_events_is_replaced_once_a_target_is_down(
    harness, model_service, stream_route
):
    register_chains(harness, "ab")
    harness.start_stream(harness.admit(model_service, stream_route))
    connection = harness.accept_connection()
    make_silent(harness, path_target_names(connection)[1])
    assert stay_silent(harness, 0.1)


def start_silent_run_before_its_head(harness, service, route):
    """Returns a request, its silent run without head, and the replacement."""
    register_chains(harness, "abc")
    admitted = harness.admit(service, route)
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    (replacement,) = stay_silent(harness)
    return admitted, connection, replacement


SERVER_ERROR = (
    b"HTTP/1.1 500 Failed\r\nSignature: s\r\nRequest-Id: r1\r\n"
    b"Content-Length: 0\r\n\r\n"
)


@pytest.mark.parametrize("answer", [REJECTION, SERVER_ERROR])
def test_a_replacement_outlives_the_error_of_the_run_that_it_replaces(
    harness, model_service, stream_route, answer
):
    admitted, connection, replacement = start_silent_run_before_its_head(
        harness, model_service, stream_route
    )
    spend_retries(harness, 0)
    connection.respond(answer)
    assert not replacement.transport.disconnecting
    assert admitted.caller_request.ending == ""
    replacement.respond(RESPONSE_HEAD)
    go_on(harness, admitted, replacement, 0)
    assert harness.dispatcher.occupancy.reservation_count() == 0


def test_silences_that_came_to_nothing_leave_dispatches_for_a_lost_target(
    harness, model_service, stream_route
):
    admitted, connection = start_answered_stream(
        harness, model_service, stream_route, "ab"
    )
    replacement_count = 0
    for number in range(2, 10):
        silent_name = path_target_names(connection)[0]
        replacement_count += len(stay_silent(harness, 0.8))
        answer_probes(harness, 0.6)
        connection.respond(chunk(event(number)))
        assert not harness.targets.is_down(
            harness.targets.by_name[silent_name]
        )
    assert replacement_count >= 5
    connection.reset()
    second = answer_probes(harness, 0.3)
    assert admitted.caller_request.ending == ""
    second.respond(RESPONSE_HEAD)
    go_on(harness, admitted, second, 9)


def start_run_with_silent_replacement(harness, service, route, names):
    """Returns a request, its silent run, and the replacement, silent too."""
    admitted, connection = start_answered_stream(
        harness, service, route, names
    )
    (replacement,) = stay_silent(harness, 0.8)
    make_silent(harness, path_target_names(replacement)[0])
    return admitted, connection, replacement


def test_a_silent_replacement_goes_on_once_the_silent_run_is_lost(
    harness, model_service, stream_route
):
    admitted, connection, replacement = start_run_with_silent_replacement(
        harness, model_service, stream_route, "ab"
    )
    connection.reset()
    stay_silent(harness, 0.3)
    assert admitted.caller_request.ending == ""
    replacement.respond(RESPONSE_HEAD)
    go_on(harness, admitted, replacement, 1)


def test_a_silent_replacement_is_cancelled_once_another_target_is_found(
    harness, model_service, stream_route
):
    route = stream_route._replace(max_targets=3)
    admitted, connection, replacement = start_run_with_silent_replacement(
        harness, model_service, route, "ab"
    )
    stay_silent(harness, 0.2)
    register_chains(harness, "abc")
    (third,) = stay_silent(harness, 0.2)
    assert path_target_names(third) == ["c0", "c40"]
    assert replacement.transport.disconnecting
    assert not connection.transport.disconnecting
    third.respond(RESPONSE_HEAD)
    go_on(harness, admitted, third, 1)
    assert harness.dispatcher.occupancy.reservation_count() == 0


def test_a_replacement_that_does_not_answer_is_suspected(
    harness, model_service, stream_route
):
    route = stream_route._replace(max_targets=3)
    _, connection = start_answered_stream(harness, model_service, route, "abc")
    attempts = stay_silent(harness, 1.8)
    first_targets = {path_target_names(one)[0] for one in attempts}
    assert len(first_targets) == 2
    assert path_target_names(connection)[0] not in first_targets


def start_call_at_silent_target(harness, service, route, names):
    """Returns a call, its silent attempt, and the hedge beside it."""
    ports = {4001 + number: name for number, name in enumerate(names)}
    harness.register(
        *(
            make_target(name, service="plain", accelerator="", port=port)
            for port, name in ports.items()
        )
    )
    route = route._replace(target_latency_s=5.0, timeout_s=10.0)
    admitted = harness.admit(service, route)
    harness.start_call(admitted)
    first = harness.accept_connection()
    make_silent(harness, ports[first.port])
    return admitted, first, harness.accept_connection()


def test_a_call_at_a_silent_target_is_hedged_again_after_a_rejection(
    harness, plain_service, lookup_route
):
    admitted, first, second = start_call_at_silent_target(
        harness, plain_service, lookup_route, "abc"
    )
    second.respond(REJECTION)
    (third,) = stay_silent(harness, 0.2)
    assert third.port not in (first.port, second.port)
    assert not first.transport.disconnecting
    third.respond(OK_RESPONSE)
    assert admitted.caller_request.status == 200
    assert first.transport.disconnecting


def test_a_call_is_not_hedged_once_its_silent_target_answers_probes(
    harness, plain_service, lookup_route
):
    route = lookup_route._replace(target_latency_s=5.0, timeout_s=10.0)
    harness.register(
        make_target("a", service="plain", accelerator="", port=4001)
    )
    admitted = harness.admit(plain_service, route)
    harness.start_call(admitted)
    first = harness.accept_connection()
    make_silent(harness, "a")
    harness.advance_clock(0.6)
    while harness.pending_connection_count():
        harness.accept_connection().respond(REPORT_RESPONSE)
    harness.register(
        make_target("b", service="plain", accelerator="", port=4002)
    )
    assert stay_silent(harness, 0.3) == []
    first.respond(OK_RESPONSE)
    assert admitted.caller_request.status == 200


def test_a_call_at_two_silent_targets_is_kept_at_both(
    harness, plain_service, lookup_route
):
    admitted, first, second = start_call_at_silent_target(
        harness, plain_service, lookup_route, "ab"
    )
    make_silent(harness, {4001: "a", 4002: "b"}[second.port])
    assert stay_silent(harness, 1.0) == []
    assert not first.transport.disconnecting
    assert not second.transport.disconnecting
    second.respond(OK_RESPONSE)
    first.respond(OK_RESPONSE)
    assert admitted.caller_request.status == 200
    assert admitted.caller_request.body == b"done"
    assert first.transport.disconnecting


@pytest.mark.parametrize("has_ended", [False, True])
def test_a_call_that_must_not_be_repeated_is_kept_to_its_deadline(
    harness, plain_service, booking_route, has_ended
):
    harness.register(
        make_target("a", service="plain", accelerator="", port=4001),
        make_target("b", service="plain", accelerator="", port=4002),
    )
    admitted = harness.admit(plain_service, booking_route)
    harness.start_call(admitted)
    first = harness.accept_connection()
    target = harness.targets.by_name[{4001: "a", 4002: "b"}[first.port]]
    harness.targets.mark_down(target, "test", has_ended)
    assert stay_silent(harness, booking_route.timeout_s + 0.1) == []
    assert admitted.caller_request.status == 504
    assert first.transport.disconnecting


def test_a_silent_run_leaves_the_last_retries_to_lost_ones(
    harness, model_service, stream_route
):
    admitted, connection = start_answered_stream(
        harness, model_service, stream_route, "ab"
    )
    spend_retries(harness, 2)
    assert stay_silent(harness) == []
    connection.reset()
    second = answer_probes(harness, 0.3)
    second.respond(RESPONSE_HEAD)
    go_on(harness, admitted, second, 1)


def test_a_lost_run_gets_a_path_before_a_silent_one(
    harness, model_service, stream_route
):
    _, lost_run = start_answered_stream(
        harness, model_service, stream_route, "a"
    )
    silent = harness.admit(model_service, stream_route)
    harness.start_stream(silent)
    silent_run = harness.accept_connection()
    silent_run.respond(RESPONSE_HEAD + chunk(event(1)))
    for number in range(2, 14):
        lost_run.respond(chunk(event(number)))
        assert stay_silent(harness, 0.1) == []
    lost_run.reset()
    stay_silent(harness, 0.2)
    register_chains(harness, "ab")
    attempt, *_ = stay_silent(harness, 0.1)
    assert b"Last-Event-Id: 13\r\n" in attempt.transport.value()


def test_a_search_without_a_path_is_not_logged_as_a_refusal(
    harness, model_service, stream_route, monkeypatch
):
    start_answered_stream(harness, model_service, stream_route, "a")
    names = []
    monkeypatch.setattr(events, "emit", lambda name, **_: names.append(name))
    stay_silent(harness, 2.8)
    assert "refused" not in names
    assert "no_replacement" in names


def test_a_refused_stream_is_dispatched_once_more(
    harness, model_service, stream_route
):
    register_chains(harness, "abc")
    harness.start_stream(harness.admit(model_service, stream_route))
    before = harness.budget.remaining(harness.reactor.seconds())
    harness.refuse_connection()
    attempts = []
    while harness.pending_connection_count():
        connection = harness.accept_connection()
        if not is_probe(connection):
            attempts.append(connection)
    assert len(attempts) == 1
    assert before - harness.budget.remaining(harness.reactor.seconds()) <= 1


def test_a_refused_stream_that_must_not_be_repeated_goes_elsewhere(
    harness, model_service, stream_route
):
    route = stream_route._replace(is_resumable=False)
    register_chains(harness, "abc")
    admitted = harness.admit(model_service, route)
    harness.start_stream(admitted)
    harness.refuse_connection()
    assert admitted.caller_request.ending == ""
    assert harness.pending_connection_count()


def test_a_refused_replacement_does_not_cancel_the_next_one(
    harness, model_service, stream_route
):
    route = stream_route._replace(max_targets=3)
    start_answered_stream(harness, model_service, route, "abcd")
    is_refused = False
    while not is_refused:
        harness.advance_clock(0.1)
        while harness.pending_connection_count() and not is_refused:
            factory = harness.reactor.tcpClients[harness._handled_count][2]
            request = factory._exchange._connection._request_head
            is_refused = request.target != b"/report"
            if is_refused:
                harness.refuse_connection()
            else:
                harness.accept_connection()
    harness.advance_clock(0.1)
    requests = [
        factory._exchange._connection._request_head
        for _, _, factory, *_ in harness.reactor.tcpClients
    ]
    attempts = [one for one in requests if one.target != b"/report"]
    assert len(attempts) == 3
    assert harness.dispatcher.occupancy.reservation_count() == 2


def start_refused_run_with_replacement(harness, service, route):
    """Returns a request and its replacement, as its first run is refused.

    The connection of the first run is pending while another request's probe
    finds its target silent.
    """
    register_chains(harness, "abcd")
    admitted = harness.admit(service, route)
    harness.start_stream(admitted)
    _, port, factory, *_ = harness.reactor.tcpClients[0]
    harness._handled_count = 1
    name = next(
        one.name
        for one in harness.targets.by_name.values()
        if one.port == port
    )
    make_silent(harness, name)
    replacement = harness.accept_connection()
    assert not is_probe(replacement)
    harness.advance_clock(0.1)
    # It turned another request down.
    harness.dispatcher.mark_full(
        harness.targets.by_name[path_target_names(replacement)[0]]
    )
    factory.clientConnectionFailed(
        None, failure.Failure(error.ConnectionRefusedError())
    )
    return admitted, replacement


def test_a_replacement_goes_on_as_the_silent_run_is_refused(
    harness, model_service, stream_route
):
    admitted, replacement = start_refused_run_with_replacement(
        harness, model_service, stream_route
    )
    assert not replacement.transport.disconnecting
    assert answer_probes(harness, 0.1) is None
    replacement.respond(RESPONSE_HEAD)
    go_on(harness, admitted, replacement, 0)


def test_a_replacement_counts_as_an_attempt_as_the_silent_run_is_refused(
    harness, model_service, stream_route
):
    _, replacement = start_refused_run_with_replacement(
        harness, model_service, stream_route
    )
    first_targets = {path_target_names(replacement)[0]}
    for name in first_targets:
        harness.targets.mark_down(harness.targets.by_name[name], "no answer")
    for _ in range(40):
        harness.advance_clock(0.1)
        while harness.pending_connection_count():
            one = harness.accept_connection()
            if not is_probe(one):
                first_targets.add(path_target_names(one)[0])
    assert len(first_targets) <= stream_route.max_targets, first_targets


def test_a_rejected_run_is_no_evidence_of_a_crash(
    harness, model_service, stream_route
):
    register_chains(harness, "abc")
    admitted = harness.admit(model_service, stream_route)
    stream = harness.start_stream(admitted)
    connection = harness.accept_connection()
    later = harness.targets.by_name[path_target_names(connection)[1]]
    stay_silent(harness)
    connection.respond(REJECTION)
    refuse_probes(harness, later, 1.0)
    assert harness.targets.has_ended(later)
    assert harness.context.crash_evidence.state(stream.digest) == "clear"


def test_needless_replacements_of_one_stream_are_bounded(
    harness, model_service, stream_route
):
    admitted, connection = start_answered_stream(
        harness, model_service, stream_route, "ab"
    )
    count = 0
    for number in range(2, 16):
        harness.budget.record_success(harness.reactor.seconds())
        count += len(stay_silent(harness, 0.8))
        answer_probes(harness, 0.5)
        connection.respond(chunk(event(number)))
    assert count <= 6, count


def test_a_withdrawn_end_is_no_evidence_of_a_crash(
    harness, model_service, stream_route
):
    register_chains(harness, "a")
    admitted = harness.admit(model_service, stream_route)
    stream = harness.start_stream(admitted)
    name = path_target_names(harness.accept_connection())[0]
    target = harness.targets.by_name[name]
    make_silent(harness, name)
    harness.targets.apply_registrations([], [name], False, 2)
    stay_silent(harness, 3.0)
    assert harness.targets.has_ended(target)
    assert harness.context.crash_evidence.state(stream.digest) != "clear"
    harness.targets.apply_registrations(
        [client.StoredObject("t", name, 3, target)], [], False, 3
    )
    assert harness.context.crash_evidence.state(stream.digest) == "clear"


def test_a_run_that_hangs_at_sound_targets_is_replaced_by_an_unreserved_retry(
    harness, model_service, stream_route
):
    admitted, connection = start_answered_stream(
        harness, model_service, stream_route, "ab"
    )
    spend_retries(harness, 3)
    replacement = answer_probes(harness, 1.3)
    assert replacement is not None
    replacement.respond(RESPONSE_HEAD)
    go_on(harness, admitted, replacement, 1)


def test_a_replacement_that_was_cancelled_counts_as_an_attempt(
    harness, model_service, stream_route
):
    _, connection = start_answered_stream(
        harness, model_service, stream_route, "abc"
    )
    (replacement,) = stay_silent(harness)
    connection.respond(chunk(event(2)))
    assert replacement.transport.disconnecting
    first_targets = {
        path_target_names(one)[0] for one in (connection, replacement)
    }
    make_silent(harness, path_target_names(replacement)[0])
    first_targets |= {
        path_target_names(one)[0] for one in stay_silent(harness)
    }
    assert len(first_targets) <= stream_route.max_targets, first_targets

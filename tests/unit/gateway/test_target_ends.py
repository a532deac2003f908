"""The end of a target's process is concluded only from proof of it."""

import pytest

from hemlocktiller._internal.gateway import model
from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.observe import events
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import versions
from tests.unit.gateway.conftest import make_target
from tests.unit.gateway.test_silent_targets import answer_probes
from tests.unit.gateway.test_silent_targets import go_on
from tests.unit.gateway.test_silent_targets import make_silent
from tests.unit.gateway.test_silent_targets import refuse_probes
from tests.unit.gateway.test_silent_targets import register_chains
from tests.unit.gateway.test_silent_targets import SILENCE_S
from tests.unit.gateway.test_silent_targets import start_answered_stream
from tests.unit.gateway.test_silent_targets import stay_silent
from tests.unit.gateway.test_streams import chunk
from tests.unit.gateway.test_streams import event
from tests.unit.gateway.test_streams import is_probe
from tests.unit.gateway.test_streams import path_target_names
from tests.unit.gateway.test_streams import REPORT_RESPONSE
from tests.unit.gateway.test_streams import RESPONSE_HEAD
from tests.unit.gateway.test_streams import UNFRAMED_HEAD
from tests.unit.gateway.test_targets import available_names
from tests.unit.gateway.test_targets import list_restored


@pytest.fixture
def emitted(monkeypatch):
    """Fields of the log lines, with the kind of event as `event`."""
    lines = []
    monkeypatch.setattr(
        events,
        "emit",
        lambda event, **fields: lines.append({"event": event, **fields}),
    )
    return lines


def select_events(emitted, kind):
    """Returns the log lines of one kind."""
    return [line for line in emitted if line["event"] == kind]


def store_registration(harness, target, version):
    """Applies a registration that the store reports as changed."""
    harness.targets.apply_registrations(
        [client.StoredObject("t", target.name, version, target)],
        [],
        False,
        version,
    )


def end_by_refusal(harness, name):
    """Refuses a probe of a registered target, and returns the target."""
    target = harness.targets.by_name[name]
    harness.targets.probe_suspect(target, "test")
    harness.refuse_connection()
    assert harness.targets.has_ended(target)
    return target


def test_an_end_that_a_report_disproves_is_logged_and_counted(
    harness, emitted
):
    harness.register(make_target("a"))
    end_by_refusal(harness, "a")
    before = targets_module.ENDS_WITHDRAWN._value.get()
    harness.reactor.advance(targets_module.PROBE_INTERVAL_S)
    harness.accept_connection().respond(REPORT_RESPONSE)
    (line,) = select_events(emitted, "target_end_withdrawn")
    assert line["target"] == "a"
    assert line["reason"] == "no connection: ConnectionRefusedError"
    assert line["believed_s"] == targets_module.PROBE_INTERVAL_S
    assert targets_module.ENDS_WITHDRAWN._value.get() == before + 1


def test_a_replaced_process_that_registers_again_is_logged(harness, emitted):
    harness.register(make_target("a", born_ms=1))
    store_registration(harness, make_target("a", born_ms=9), 2)
    store_registration(harness, make_target("a", born_ms=1), 3)
    (line,) = select_events(emitted, "target_end_withdrawn")
    assert (line["born_ms"], line["reason"]) == (1, "started again")


def test_a_replaced_process_has_ended_also_after_the_next_one_left(harness):
    harness.register(make_target("a", born_ms=1))
    replaced = harness.targets.by_name["a"]
    store_registration(harness, make_target("a", born_ms=9), 2)
    harness.targets.apply_registrations([], ["a"], False, 3)
    assert harness.targets.has_ended(replaced)


def remove_registration(harness, name, version=2):
    """Applies the deletion of a registration, and returns its target."""
    target = harness.targets.by_name[name]
    harness.targets.apply_registrations([], [name], False, version)
    return target


def start_probing_removed(harness):
    """Returns a target that is silent as its registration is removed."""
    harness.register(make_target("a"))
    make_silent(harness, "a")
    return remove_registration(harness, "a")


BROKEN_OFF_ANSWERS = {
    "reset": b"",
    "truncated": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{",
    "garbled": b"\x16\x03\x01 no answer\r\n\r\n",
}
USELESS_ANSWERS = {
    "draining": b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
    "full": b"HTTP/1.1 429 Many\r\nContent-Length: 0\r\n\r\n",
    "paused": b"HTTP/1.1 503 F\r\nPause: 1.0\r\nContent-Length: 0\r\n\r\n",
}


@pytest.mark.parametrize("kind", [*BROKEN_OFF_ANSWERS, *USELESS_ANSWERS])
def test_a_failed_answer_of_a_removed_target_is_no_proof_of_its_end(
    harness, kind
):
    target = start_probing_removed(harness)
    connection = harness.accept_connection()
    connection.respond({**BROKEN_OFF_ANSWERS, **USELESS_ANSWERS}[kind])
    if kind in BROKEN_OFF_ANSWERS:
        connection.reset()
    assert not harness.targets.has_ended(target)


@pytest.mark.parametrize("kind", BROKEN_OFF_ANSWERS)
def test_a_removed_target_is_probed_again_after_a_broken_off_answer(
    harness, kind
):
    target = start_probing_removed(harness)
    connection = harness.accept_connection()
    connection.respond(BROKEN_OFF_ANSWERS[kind])
    connection.reset()
    harness.reactor.advance(targets_module.PROBE_INTERVAL_S)
    harness.refuse_connection()
    assert harness.targets.has_ended(target)


def test_probes_of_a_removed_target_that_are_broken_off_come_to_an_end(
    harness,
):
    target = start_probing_removed(harness)
    for _ in range(targets_module.MAX_PROBES_AFTER_REMOVAL):
        harness.accept_connection().reset()
        harness.reactor.advance(targets_module.PROBE_INTERVAL_S)
    assert harness.pending_connection_count() == 0
    assert not harness.targets.has_ended(target)


def test_a_removed_target_has_ended_after_four_unanswered_probes(harness):
    target = start_probing_removed(harness)
    for probe_count in range(1, 5):
        harness.accept_connection()
        harness.reactor.pump([targets_module.PROBE_TIMEOUT_S / 3] * 3)
        assert harness.targets.has_ended(target) == (probe_count == 4)
        harness.reactor.advance(targets_module.PROBE_INTERVAL_S)
    assert harness.pending_connection_count() == 0


def test_each_lost_connection_does_not_start_probes_of_its_own(harness):
    target = start_probing_removed(harness)
    for _ in range(5):
        harness.targets.record_connection_lost(target)
    assert harness.pending_connection_count() == 1


def test_a_pause_of_this_process_is_not_silence_of_a_removed_target(harness):
    target = start_probing_removed(harness)
    harness.accept_connection()
    harness.reactor.pump([5.0, 0.1, 0.1, 0.1])
    assert not harness.targets.has_ended(target)


def test_a_removed_target_in_a_pause_is_probed_after_it(harness):
    harness.register(make_target("a"))
    target = harness.targets.by_name["a"]
    harness.targets.record_response_head(target, 503, [(b"Pause", b"3.0")])
    make_silent(harness, "a")
    remove_registration(harness, "a")
    harness.reactor.pump([0.1] * 26)
    assert harness.pending_connection_count() == 0
    for _ in range(10):
        harness.reactor.advance(0.1)
        if harness.pending_connection_count():
            harness.refuse_connection()
    assert harness.targets.has_ended(target)


@pytest.mark.parametrize("is_born_known", [True, False])
def test_a_report_without_a_start_time_is_no_proof_of_another_process(
    harness, is_born_known
):
    report = model.TargetReport(9 * is_born_known, 0, False, 1.0, 0, 0)
    harness.targets._adapter = harness.adapter._replace(
        decode_report=lambda body: report
    )
    target = start_probing_removed(harness)
    harness.accept_connection().respond(REPORT_RESPONSE)
    assert harness.targets.has_ended(target) == is_born_known


@pytest.mark.parametrize("kind", [*BROKEN_OFF_ANSWERS, *USELESS_ANSWERS])
def test_a_failed_report_does_not_cut_a_stream_that_has_ended(
    harness, model_service, stream_route, kind
):
    route = stream_route._replace(is_resumable=False)
    register_chains(harness, "a")
    admitted = harness.admit(model_service, route)
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    connection.respond(UNFRAMED_HEAD + event(1))
    connection.close()
    report = harness.accept_connection()
    report.respond({**BROKEN_OFF_ANSWERS, **USELESS_ANSWERS}[kind])
    if kind in BROKEN_OFF_ANSWERS:
        report.reset()
    assert admitted.caller_request.ending == ""
    for _ in range(20):
        harness.advance_clock(0.1)
        while harness.pending_connection_count():
            harness.accept_connection().respond(REPORT_RESPONSE)
    assert admitted.caller_request.ending == "whole"


def end_unframed_stream(harness, service, route):
    """Returns a request whose targets are asked whether they outlived it."""
    admitted = harness.admit(service, route)
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    connection.respond(UNFRAMED_HEAD + event(1))
    connection.close()
    return admitted


def test_a_report_without_a_start_time_is_no_proof_of_survival(
    harness, model_service, stream_route
):
    harness.targets._adapter = harness.adapter._replace(
        decode_report=lambda body: model.TargetReport(0, 0, False, 1.0, 0, 0)
    )
    register_chains(harness, "a")
    admitted = end_unframed_stream(harness, model_service, stream_route)
    while harness.pending_connection_count():
        harness.accept_connection().respond(REPORT_RESPONSE)
    assert admitted.caller_request.ending == ""
    harness.targets._adapter = harness.adapter
    answer_probes(harness, 2.0)
    assert admitted.caller_request.ending == "whole"


def test_reports_of_a_broken_target_after_a_stream_are_few(
    harness, model_service, stream_route
):
    route = stream_route._replace(is_resumable=False)
    register_chains(harness, "a")
    end_unframed_stream(harness, model_service, route)
    report_count = 0
    for _ in range(100):
        harness.advance_clock(0.1)
        while harness.pending_connection_count():
            report_count += 1
            harness.accept_connection().respond(USELESS_ANSWERS["draining"])
    assert report_count <= 30


def test_suspicions_start_no_further_probes_of_a_target_that_is_down(harness):
    harness.register(make_target("a", first_layer=0, end_layer=80))
    target = harness.targets.by_name["a"]
    for _ in range(5):
        harness.targets.probe_suspect(target, "test")
        harness.accept_connection().respond(USELESS_ANSWERS["draining"])
        harness.advance_clock(0.1)
    probe_count = 0
    for _ in range(50):
        harness.advance_clock(0.1)
        while harness.pending_connection_count():
            probe_count += 1
            harness.accept_connection().respond(USELESS_ANSWERS["draining"])
    assert 8 <= probe_count <= 5.0 / targets_module.PROBE_INTERVAL_S


def start_pause(harness, names, pause_s):
    """Lets targets ask for a pause."""
    for name in names:
        harness.targets.record_response_head(
            harness.targets.by_name[name], 503, [(b"Pause", b"%f" % pause_s)]
        )


def test_a_pause_is_no_proof_that_a_target_outlived_a_stream(
    harness, model_service, stream_route
):
    register_chains(harness, "a")
    admitted = harness.admit(model_service, stream_route)
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    start_pause(harness, ("a0", "a40"), 5.0)
    connection.respond(UNFRAMED_HEAD + event(1))
    connection.close()
    assert admitted.caller_request.ending == ""
    # Each gets the one probe of its pause.
    answer_probes(harness, 0.1)
    assert admitted.caller_request.ending == "whole"


def test_a_target_probed_in_its_pause_confirms_a_stream_after_it(
    harness, model_service, stream_route
):
    register_chains(harness, "a")
    admitted = harness.admit(model_service, stream_route)
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    start_pause(harness, ["a0"], 2.0)
    harness.targets.probe_suspect(harness.targets.by_name["a0"], "test")
    answer_probes(harness, 0.1)
    connection.respond(UNFRAMED_HEAD + event(1))
    connection.close()
    for _ in range(17):
        harness.advance_clock(0.1)
        while harness.pending_connection_count():
            report = harness.accept_connection()
            assert report.port == 4040
            report.respond(REPORT_RESPONSE)
    assert admitted.caller_request.ending == ""
    answer_probes(harness, 1.5)
    assert admitted.caller_request.ending == "whole"


@pytest.mark.parametrize("is_silent", [True, False])
@pytest.mark.parametrize("source", ["listing", "peer"])
def test_a_registration_of_a_restored_store_replaces_no_later_process(
    harness, is_silent, source
):
    down_reasons = []
    harness.register(make_target("a", born_ms=1))
    store_registration(harness, make_target("a", born_ms=9), 2)
    target = harness.targets.by_name["a"]
    if is_silent:
        make_silent(harness, "a")
    harness.targets.on_down.append(
        lambda target, reason: down_reasons.append(reason)
    )
    older = make_target("a", born_ms=1)
    if source == "listing":
        list_restored(harness, older)
    else:
        harness.targets.apply_peer_registration(
            "a", versions.join(1, 1), older
        )
    assert harness.targets.by_name["a"] == target
    assert not harness.targets.has_ended(target)
    assert harness.targets.is_down(target) == is_silent
    assert down_reasons == []


@pytest.mark.parametrize("is_later_first", [True, False])
@pytest.mark.parametrize("is_full_listing", [True, False])
def test_a_target_at_a_reused_address_has_not_ended_if_a_clock_was_set_back(
    harness, is_full_listing, is_later_first
):
    earlier = make_target("a", born_ms=9, port=4000)
    later = make_target("b", born_ms=5, port=4000)
    stored = [
        client.StoredObject("t", "a", 1, earlier),
        client.StoredObject("t", "b", 2, later),
    ]
    if is_later_first:
        stored.reverse()
    harness.targets.apply_registrations(stored, [], is_full_listing, 2)
    assert not harness.targets.has_ended(later)
    assert harness.targets.has_ended(earlier)
    assert available_names(harness) == ["b"]


def test_a_late_write_of_an_ended_target_ends_no_later_one_at_its_address(
    harness,
):
    earlier = make_target("a", born_ms=5, port=4000)
    harness.register(earlier)
    later = make_target("b", born_ms=9, port=4000)
    for version, target in (
        (2, later),
        (3, earlier._replace(state=fleet.DRAINING)),
    ):
        harness.targets.apply_registrations(
            [client.StoredObject("t", target.name, version, target)],
            [],
            False,
            version,
        )
    assert not harness.targets.has_ended(later)
    assert harness.targets.available("model") == [later]


def test_a_restored_store_ends_no_later_target_at_a_reused_address(harness):
    later = make_target("b", born_ms=9, port=4000)
    harness.register(later)
    list_restored(harness, make_target("a", born_ms=5, port=4000), later)
    assert not harness.targets.has_ended(later)
    assert available_names(harness) == ["b"]


def test_a_restart_after_a_restore_replaces_the_earlier_process(harness):
    harness.register(make_target("a", born_ms=5))
    target = harness.targets.by_name["a"]
    list_restored(harness, make_target("a", born_ms=1))
    store_registration(
        harness, make_target("a", born_ms=9), versions.join(1, 2)
    )
    assert harness.targets.has_ended(target)
    assert harness.targets.by_name["a"].born_ms == 9


@pytest.mark.parametrize("state", [fleet.READY, fleet.DRAINING])
def test_silence_beside_a_restore_that_lost_the_registration_is_no_end(
    harness, state
):
    harness.register(make_target("a", state=state))
    target = harness.targets.by_name["a"]
    make_silent(harness, "a")
    list_restored(harness)
    stay_silent(harness)
    harness.advance_clock(0.5)
    while harness.pending_connection_count():
        harness.accept_connection().respond(REPORT_RESPONSE)
    harness.advance_clock(3.0)
    assert not harness.targets.has_ended(target)


def test_a_lost_registration_that_a_peer_reports_gets_time_to_return(harness):
    harness.register(make_target("a"))
    harness.reactor.advance(10.0)
    harness.targets.apply_peer_registration("a", versions.join(1, 1), None)
    assert available_names(harness) == ["a"]
    harness.reactor.advance(targets_module.EXPIRED_REGISTRATION_GRACE_S + 0.1)
    assert available_names(harness) == []


def start_again_while_probed(harness):
    """Returns a target, and the probe of the process before it."""
    harness.register(make_target("a", born_ms=1))
    earlier = harness.targets.by_name["a"]
    harness.targets.probe_suspect(earlier, "test")
    store_registration(harness, make_target("a", born_ms=9), 2)
    return harness.targets.by_name["a"], earlier


def test_a_probe_of_the_process_before_keeps_no_target_unavailable(harness):
    start_again_while_probed(harness)
    assert available_names(harness) == ["a"]


def test_a_target_is_probed_beside_the_process_before(harness):
    target, _ = start_again_while_probed(harness)
    harness.targets.probe_suspect(target, "test")
    assert harness.pending_connection_count() == 2


@pytest.mark.parametrize("is_refused", [True, False])
def test_a_failed_probe_of_the_process_before_marks_no_target_as_down(
    harness, is_refused
):
    target, earlier = start_again_while_probed(harness)
    if is_refused:
        harness.refuse_connection()
    stay_silent(harness, 0.5)
    assert not harness.targets.is_down(target)
    assert not harness.targets.has_ended(target)
    assert harness.targets.has_ended(earlier)


def test_an_answer_of_the_process_before_marks_no_silent_target_as_up(
    harness,
):
    target, _ = start_again_while_probed(harness)
    earlier_probe = harness.accept_connection()
    make_silent(harness, "a")
    earlier_probe.respond(REPORT_RESPONSE)
    assert harness.targets.is_down(target)


def test_a_timer_of_the_process_before_marks_no_silent_target_as_up(harness):
    harness.register(make_target("a", born_ms=1))
    make_silent(harness, "a")
    store_registration(harness, make_target("a", born_ms=9), 2)
    target = harness.targets.by_name["a"]
    harness.reactor.advance(0.15)
    make_silent(harness, "a")
    harness.reactor.advance(0.1)
    assert harness.targets.is_down(target)


def test_a_refused_request_to_the_process_before_marks_no_target_as_down(
    harness,
):
    harness.register(make_target("a", born_ms=1))
    earlier = harness.targets.by_name["a"]
    store_registration(harness, make_target("a", born_ms=9), 2)
    harness.targets.mark_down(earlier, "refused", has_ended=True)
    assert not harness.targets.is_down(harness.targets.by_name["a"])


def test_failed_requests_to_the_process_before_open_no_circuit_breaker(
    harness,
):
    harness.register(make_target("a", born_ms=1))
    earlier = harness.targets.by_name["a"]
    store_registration(harness, make_target("a", born_ms=9), 2)
    for _ in range(20):
        harness.targets.record_request_failure(earlier, "reset")
    assert available_names(harness) == ["a"]
    assert harness.targets.failure_ratio("a") == 0.0


@pytest.mark.parametrize("is_refused", [True, False])
def test_a_target_whose_registration_is_removed_during_a_probe(
    harness, is_refused
):
    """A refusal ends it; a probe without an answer is repeated."""
    harness.register(make_target("a"))
    target = harness.targets.by_name["a"]
    harness.targets.probe_suspect(target, "test")
    remove_registration(harness, "a")
    if is_refused:
        harness.refuse_connection()
    else:
        harness.accept_connection()
        harness.reactor.pump([0.1] * 4)
        assert not harness.targets.has_ended(target)
        harness.refuse_connection()
    assert harness.targets.has_ended(target)


def first_target(harness, connection):
    """Returns the target that runs the first stage of an attempt."""
    return harness.targets.by_name[path_target_names(connection)[0]]


def test_a_refused_connection_ends_no_target_whose_response_arrives(
    harness, model_service, stream_route
):
    route = stream_route._replace(is_resumable=False)
    admitted, connection = start_answered_stream(
        harness, model_service, route, "a"
    )
    target = first_target(harness, connection)
    for number in range(2, 30):
        connection.respond(chunk(event(number)))
        harness.targets.probe_suspect(target, "test")
        refuse_probes(harness, target, 0.1)
        assert not harness.targets.has_ended(target)
    assert harness.targets.is_down(target)
    go_on(harness, admitted, connection, 29)


def test_a_removed_target_that_refuses_connections_may_still_respond(
    harness, model_service, stream_route
):
    route = stream_route._replace(is_resumable=False)
    admitted, connection = start_answered_stream(
        harness, model_service, route, "a"
    )
    target = first_target(harness, connection)
    harness.targets.probe_suspect(target, "test")
    harness.refuse_connection()
    remove_registration(harness, target.name)
    for number in range(2, 20):
        connection.respond(chunk(event(number)))
        refuse_probes(harness, target, 0.2)
    assert not harness.targets.has_ended(target)
    go_on(harness, admitted, connection, 19)


def test_a_target_that_refuses_connections_without_output_has_ended(
    harness, model_service, stream_route
):
    _, connection = start_answered_stream(
        harness, model_service, stream_route, "a"
    )
    target = first_target(harness, connection)
    harness.targets.probe_suspect(target, "test")
    harness.refuse_connection()
    assert not harness.targets.has_ended(target)
    refuse_probes(harness, target, targets_module.MAX_OUTPUT_AGE_S + 0.6)
    assert harness.targets.has_ended(target)


def test_a_target_that_refuses_connections_after_it_reset_one_has_ended(
    harness, model_service, stream_route
):
    _, connection = start_answered_stream(
        harness, model_service, stream_route, "a"
    )
    target = first_target(harness, connection)
    connection.reset()
    refuse_probes(harness, target, 0.1)
    assert harness.targets.has_ended(target)


def test_a_refused_report_does_not_cut_a_stream_beside_another_response(
    harness, model_service, stream_route
):
    route = stream_route._replace(is_resumable=False)
    register_chains(harness, "a")
    admitted = harness.admit(model_service, route)
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    target = first_target(harness, connection)
    other_admitted = harness.admit(model_service, route, request_id="r2")
    harness.start_stream(other_admitted)
    other = harness.accept_connection()
    connection.respond(UNFRAMED_HEAD + event(1))
    other.respond(RESPONSE_HEAD.replace(b"r1", b"r2") + chunk(event(1)))
    connection.close()
    other.respond(chunk(event(2)))
    refuse_probes(harness, target, 0.1)
    assert admitted.caller_request.ending == ""
    for number in range(3, 13):
        other.respond(chunk(event(number)))
        harness.advance_clock(0.1)
        while harness.pending_connection_count():
            harness.accept_connection().respond(REPORT_RESPONSE)
    assert admitted.caller_request.ending == "whole"
    go_on(harness, other_admitted, other, 12)


def test_a_refused_request_ends_no_target_whose_response_arrives(
    harness, model_service, stream_route
):
    admitted, connection = start_answered_stream(
        harness, model_service, stream_route, "a"
    )
    target = first_target(harness, connection)
    harness.start_stream(
        harness.admit(model_service, stream_route, request_id="r2")
    )
    harness.refuse_connection()
    assert harness.targets.is_down(target)
    assert not harness.targets.has_ended(target)
    go_on(harness, admitted, connection, 1)


@pytest.mark.parametrize("drains", [True, False])
@pytest.mark.parametrize("removed_after_s", [0.0, 0.9])
def test_a_run_outlives_the_silence_of_a_target_that_leaves(
    harness, model_service, stream_route, drains, removed_after_s
):
    route = stream_route._replace(is_resumable=False)
    admitted, connection = start_answered_stream(
        harness, model_service, route, "ab"
    )
    target = first_target(harness, connection)
    if drains:
        draining = target._replace(state=fleet.DRAINING)
        store_registration(harness, draining, 2)
    attempts = stay_silent(harness, removed_after_s)
    remove_registration(harness, target.name, 3)
    attempts += stay_silent(harness, SILENCE_S - removed_after_s)
    connection.respond(chunk(event(2)))
    for _ in range(10):
        harness.advance_clock(0.1)
        while harness.pending_connection_count():
            harness.accept_connection().respond(REPORT_RESPONSE)
    harness.advance_clock(1.0)
    assert attempts == []
    assert not harness.targets.has_ended(target)
    go_on(harness, admitted, connection, 2)


def test_silent_targets_that_leave_count_against_the_attempts_of_a_route(
    harness, model_service, stream_route
):
    register_chains(harness, "abcd")
    admitted = harness.admit(model_service, stream_route)
    harness.start_stream(admitted)
    attempts = [harness.accept_connection()]
    for number in (1, 2, 3):
        attempts[-1].respond(RESPONSE_HEAD + chunk(event(number)))
        name = path_target_names(attempts[-1])[0]
        attempts += stay_silent(harness, 0.9)
        if name in harness.targets.by_name:
            remove_registration(harness, name, 1 + number)
        attempts += stay_silent(harness, 0.3)
    first_targets = {path_target_names(attempt)[0] for attempt in attempts}
    assert len(first_targets) <= stream_route.max_targets
    assert admitted.caller_request.ending == ""


def test_a_run_outlives_the_silence_of_a_target_that_moves_to_a_service(
    harness, model_service, stream_route
):
    route = stream_route._replace(is_resumable=False)
    admitted, connection = start_answered_stream(
        harness, model_service, route, "ab"
    )
    target = first_target(harness, connection)
    assert stay_silent(harness, 0.9) == []
    store_registration(harness, target._replace(service="other"), 2)
    assert stay_silent(harness, 0.9) == []
    assert not harness.targets.has_ended(target)
    assert harness.targets.is_down(target)
    go_on(harness, admitted, connection, 1)


def test_a_gateway_that_starts_while_a_target_is_silent_ends_no_process(
    harness, model_service, stream_route
):
    register_chains(harness, "a")
    route = stream_route._replace(is_resumable=False)
    admitted = harness.admit(model_service, route)
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    target = first_target(harness, connection)
    assert stay_silent(harness) == []
    assert not harness.targets.has_ended(target)
    connection.respond(RESPONSE_HEAD + chunk(event(1)))
    go_on(harness, admitted, connection, 1)
    harness.advance_clock(0.5)
    while harness.pending_connection_count():
        harness.accept_connection().respond(REPORT_RESPONSE)
    assert not harness.targets.is_down(target)


def test_a_target_that_falls_silent_after_its_registration_is_probed(
    harness, model_service, stream_route
):
    route = stream_route._replace(max_targets=1)
    _, connection = start_answered_stream(harness, model_service, route, "ab")
    removed = first_target(harness, connection)
    remove_registration(harness, removed.name)
    attempts = []
    for _ in range(60):
        harness.advance_clock(0.1)
        while harness.pending_connection_count():
            pending = harness.accept_connection()
            if not is_probe(pending):
                attempts.append(pending)
            elif pending.port != removed.port:
                pending.respond(REPORT_RESPONSE)
    assert harness.targets.has_ended(removed)
    assert attempts


def test_unanswered_probes_end_no_removed_target_whose_response_arrives(
    harness, model_service, stream_route
):
    """A plain target that is full answers its health page late."""
    route = stream_route._replace(is_resumable=False)
    admitted, connection = start_answered_stream(
        harness, model_service, route, "a"
    )
    target = first_target(harness, connection)
    stay_silent(harness, 0.9)
    remove_registration(harness, target.name)
    for number in range(2, 10):
        stay_silent(harness, 0.9)
        connection.respond(chunk(event(number)))
    assert not harness.targets.has_ended(target)
    go_on(harness, admitted, connection, 9)


@pytest.mark.parametrize("is_full_listing", [True, False])
def test_an_older_state_of_the_store_removes_no_later_registration(
    harness, is_full_listing
):
    harness.register(make_target("a"))
    harness.targets.apply_peer_registration("b", 5, make_target("b"))
    harness.targets.apply_registrations(
        [client.StoredObject("t", "a", 1, make_target("a"))],
        [] if is_full_listing else ["b"],
        is_full_listing,
        4,
    )
    assert available_names(harness) == ["a", "b"]


def test_a_registration_without_a_start_time_shows_no_other_process(harness):
    harness.register(make_target("a", born_ms=9))
    target = harness.targets.by_name["a"]
    store_registration(harness, make_target("a", born_ms=0), 2)
    assert not harness.targets.has_ended(target)
    assert available_names(harness) == ["a"]

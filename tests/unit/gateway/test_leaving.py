"""Targets that say in their answers that they leave get no new requests."""

import pytest

from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import versions
from tests.unit.gateway.conftest import make_target
from tests.unit.gateway.test_streams import accept_attempt
from tests.unit.gateway.test_streams import chunk
from tests.unit.gateway.test_streams import event
from tests.unit.gateway.test_streams import make_two_chains
from tests.unit.gateway.test_streams import path_target_names
from tests.unit.gateway.test_streams import RESPONSE_END
from tests.unit.gateway.test_streams import RESPONSE_HEAD

LEAVING = b"Leaving: 1\r\n"
HEADERS = b"Signature: s\r\nRequest-Id: r1\r\n" + LEAVING
EMPTY_BODY = b"Content-Length: 0\r\n\r\n"


def plain_target(name, **fields):
    return make_target(
        name, service="plain", accelerator="", slots=6, **fields
    )


def available_names(harness, service="plain"):
    return [target.name for target in harness.targets.available(service)]


def leave(harness, name, status=b"200 OK"):
    """Lets a target answer a call, as it leaves."""
    harness.targets._notify_changed()
    target = harness.targets.by_name[name]
    harness.targets.record_response_head(
        target, int(status.split()[0]), [(b"Leaving", b"1")]
    )


@pytest.mark.parametrize(
    "status", [b"200 OK", b"404 Not Found", b"500 Failed", b"503 Full"]
)
def test_a_target_that_leaves_gets_no_other_call(
    harness, plain_service, booking_route, status
):
    harness.register(plain_target("a"))
    harness.start_call(harness.admit(plain_service, booking_route))
    harness.accept_connection().respond(
        b"HTTP/1.1 " + status + b"\r\n" + HEADERS + EMPTY_BODY
    )
    assert available_names(harness) == []
    second = harness.admit(plain_service, booking_route)
    harness.start_call(second)
    while harness.pending_connection_count():
        probe = harness.accept_connection()
        assert probe.transport.value().startswith(b"GET /health")
    assert second.caller_request.status == 503
    assert float(second.caller_request.header(b"Retry-After")) > 0


def test_a_repeat_goes_to_another_target_than_the_one_that_leaves(
    harness, plain_service, lookup_route
):
    harness.register(plain_target("a"), plain_target("b"))
    harness.start_call(harness.admit(plain_service, lookup_route))
    first = harness.accept_connection()
    first.respond(
        b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\n" + HEADERS + EMPTY_BODY
    )
    second = harness.accept_connection()
    assert second.port != first.port
    assert len(available_names(harness)) == 1


def test_a_stream_of_a_target_that_leaves_is_finished(
    harness, model_service, stream_route
):
    harness.register(*make_two_chains())
    admitted = harness.admit(model_service, stream_route)
    harness.start_stream(admitted)
    connection = harness.accept_connection()
    first_name = path_target_names(connection)[0]
    head = RESPONSE_HEAD.replace(b"\r\n\r\n", b"\r\n" + LEAVING + b"\r\n")
    connection.respond(head + chunk(event(1)))
    assert first_name not in available_names(harness, "model")
    harness.start_stream(
        harness.admit(model_service, stream_route, request_id="r2")
    )
    assert first_name not in path_target_names(accept_attempt(harness))
    connection.respond(chunk(event(2)) + RESPONSE_END)
    assert admitted.caller_request.body == event(1) + event(2)
    assert admitted.caller_request.ending == "whole"


def test_a_queued_stream_is_not_sent_to_a_target_that_leaves_meanwhile(
    harness, model_service, stream_route
):
    harness.register(make_target("a0", first_layer=0, end_layer=80))
    harness.dispatcher.mark_full(harness.targets.by_name["a0"])
    admitted = harness.admit(model_service, stream_route)
    harness.start_stream(admitted)
    leave(harness, "a0")
    harness.advance_clock(2.0)
    assert admitted.caller_request.status == 503


def test_the_answer_of_a_probe_says_that_a_target_leaves(harness):
    harness.register(plain_target("a"))
    harness.targets.probe_suspect(harness.targets.by_name["a"], "test")
    harness.accept_connection().respond(
        b"HTTP/1.1 200 OK\r\n" + LEAVING + EMPTY_BODY
    )
    assert available_names(harness) == []


def registration(version, **fields):
    return client.StoredObject("t", "a", version, plain_target("a", **fields))


def test_the_word_of_a_process_goes_before_its_registration(harness):
    harness.register(plain_target("a"))
    leave(harness, "a")
    for change in (
        ([registration(5)], [], False, 5),
        ([registration(6)], [], True, 6),
        ([], ["a"], False, 7),
        ([registration(8)], [], False, 8),
        ([registration(versions.join(1, 2))], [], True, versions.join(1, 2)),
    ):
        harness.targets.apply_registrations(*change)
        harness.reactor.advance(
            targets_module.EXPIRED_REGISTRATION_GRACE_S + 0.1
        )
        assert available_names(harness) == []
    harness.targets.apply_peer_registration(
        "a", versions.join(1, 9), plain_target("a")
    )
    assert available_names(harness) == []


def test_a_new_process_of_the_same_name_gets_requests(harness):
    harness.register(plain_target("a"))
    leave(harness, "a")
    harness.targets.apply_registrations(
        [registration(5, born_ms=9)], [], False, 5
    )
    assert available_names(harness) == ["a"]
    assert harness.targets.by_name["a"].state == fleet.READY


def test_a_late_answer_of_an_earlier_process_concerns_no_later_one(harness):
    earlier = plain_target("a")
    harness.register(earlier)
    harness.targets.apply_registrations(
        [registration(5, born_ms=9)], [], False, 5
    )
    harness.targets.record_response_head(earlier, 200, [(b"Leaving", b"1")])
    assert available_names(harness) == ["a"]


def test_an_answer_from_another_process_concerns_no_target(harness):
    harness.register(plain_target("a"))
    leave(harness, "a", b"421 Misdirected")
    assert available_names(harness) == ["a"]

"""Available targets after store outages, replacements and probes."""

from hemlocktiller._internal.gateway import request_context
from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import versions
from tests.unit.gateway.conftest import make_target


def available_names(harness):
    return [target.name for target in harness.targets.available("model")]


def test_a_draining_target_is_not_available(harness):
    harness.register(make_target("a"), make_target("b"))
    harness.targets._apply_registration(
        "a", 2, make_target("a", state=fleet.DRAINING)
    )
    assert available_names(harness) == ["b"]


def test_a_deleted_registration_is_removed_immediately(harness):
    harness.register(make_target("a"))
    harness.reactor.advance(10.0)
    harness.targets.apply_registrations([], ["a"], False, 1)
    assert available_names(harness) == []


def test_an_expired_registration_is_kept_for_a_time_after_an_outage(harness):
    harness.register(make_target("a"))
    harness.reactor.advance(10.0)
    harness.targets.record_store_outage()
    harness.targets.apply_registrations([], [], True, 1)
    assert available_names(harness) == ["a"]
    harness.reactor.advance(targets_module.EXPIRED_REGISTRATION_GRACE_S + 0.1)
    assert available_names(harness) == []


def test_a_target_that_registers_again_in_time_is_kept(harness):
    harness.register(make_target("a"))
    harness.reactor.advance(10.0)
    harness.targets.record_store_outage()
    harness.targets.apply_registrations([], ["a"], False, 1)
    harness.targets._apply_registration("a", 2, make_target("a"))
    harness.reactor.advance(targets_module.EXPIRED_REGISTRATION_GRACE_S + 0.1)
    assert available_names(harness) == ["a"]


def test_a_new_process_at_an_address_replaces_the_old_one(harness):
    old_target = make_target("a", born_ms=1)
    harness.register(old_target)
    harness.register(
        make_target("b", port=old_target.port, born_ms=9, service="other")
    )
    assert available_names(harness) == []


def test_an_older_process_never_replaces_a_newer_one(harness):
    new_target = make_target("b", born_ms=9)
    harness.register(new_target)
    harness.register(make_target("a", port=new_target.port, born_ms=1))
    assert available_names(harness) == ["b"]


def test_a_restart_under_the_same_name_marks_the_old_process_down(harness):
    down_targets = []
    harness.targets.on_down.append(
        lambda target, reason: down_targets.append(target)
    )
    harness.register(make_target("a", born_ms=1))
    harness.targets._apply_registration("a", 2, make_target("a", born_ms=9))
    assert [target.born_ms for target in down_targets] == [1]


def test_a_target_under_probe_is_not_available(harness):
    harness.register(make_target("a"))
    harness.targets.probe_suspect(harness.targets.by_name["a"], "silent")
    assert available_names(harness) == []


def test_a_target_that_answers_its_probe_is_available_again(harness):
    harness.register(make_target("a"))
    harness.targets.probe_suspect(harness.targets.by_name["a"], "silent")
    harness.accept_connection().respond(
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    )
    assert available_names(harness) == ["a"]


def test_a_target_without_a_probe_response_is_down_and_probed_again(harness):
    harness.register(make_target("a"))
    harness.targets.probe_suspect(harness.targets.by_name["a"], "silent")
    harness.accept_connection()
    harness.advance_clock(
        targets_module.PROBE_TIMEOUT_S
        + request_context.PROGRESS_CHECK_INTERVAL_S
    )
    assert harness.targets.is_down(make_target("a"))
    harness.advance_clock(targets_module.PROBE_INTERVAL_S)
    assert harness.pending_connection_count() == 1


def test_a_late_timer_does_not_fail_a_probe(harness):
    harness.register(make_target("a"))
    harness.targets.probe_suspect(harness.targets.by_name["a"], "silent")
    harness.accept_connection()
    harness.reactor.advance(targets_module.PROBE_TIMEOUT_S + 0.4)
    assert not harness.targets.is_down(make_target("a"))


def test_a_probe_does_not_fail_while_the_event_loop_is_blocked(harness):
    harness.register(make_target("a"))
    harness.targets.probe_suspect(harness.targets.by_name["a"], "silent")
    connection = harness.accept_connection()
    # The timer fires in time, but the event loop has read no data yet.
    harness.reactor.advance(targets_module.PROBE_TIMEOUT_S + 0.01)
    harness.reactor.advance(targets_module.PROBE_TIMEOUT_S + 0.01)
    connection.respond(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert available_names(harness) == ["a"]


def list_restored(harness, *listed):
    """Applies the listing of a store that was restored from a copy."""
    harness.targets.record_store_outage()
    harness.targets.apply_registrations(
        [
            client.StoredObject("t", target.name, versions.join(1, 1), target)
            for target in listed
        ],
        [],
        True,
        versions.join(1, 1),
    )


def test_a_target_that_a_restored_store_lacks_gets_time_to_register(harness):
    harness.register(make_target("a"), make_target("b"))
    harness.reactor.advance(10.0)
    list_restored(harness, make_target("a"))
    assert available_names(harness) == ["a", "b"]
    harness.reactor.advance(targets_module.EXPIRED_REGISTRATION_GRACE_S + 0.1)
    assert available_names(harness) == ["a"]


def test_a_draining_target_is_not_ready_in_a_restored_store(harness):
    harness.register(make_target("a"), make_target("b"))
    harness.targets._apply_registration(
        "a", 2, make_target("a", state=fleet.DRAINING)
    )
    list_restored(harness, make_target("a"), make_target("b"))
    assert available_names(harness) == ["b"]
    harness.targets._apply_registration(
        "a", versions.join(1, 9), make_target("a", born_ms=9)
    )
    assert "a" in available_names(harness)


def test_a_target_that_left_is_not_taken_from_a_restored_store(harness):
    harness.register(make_target("a"), make_target("b"))
    harness.reactor.advance(10.0)
    harness.targets.apply_registrations([], ["a"], False, 1)
    list_restored(harness, make_target("a"), make_target("b"))
    assert available_names(harness) == ["b"]
    harness.targets.apply_registrations(
        [client.StoredObject("t", "a", versions.join(1, 2), make_target("a"))],
        [],
        False,
        versions.join(1, 2),
    )
    assert sorted(available_names(harness)) == ["a", "b"]


def test_a_listing_of_a_restored_store_is_not_sent_to_peers(harness):
    sent = []
    harness.register(make_target("a"), make_target("b"))
    harness.targets.on_registration = lambda *message: sent.append(message)
    list_restored(harness, make_target("a"), make_target("b"))
    assert sent == []

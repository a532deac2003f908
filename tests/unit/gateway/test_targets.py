"""Membership through outages, replacements and probes."""

from hemlocktiller._internal.gateway import request_context
from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.policy import fleet
from tests.unit.gateway.conftest import make_target


def names(bench):
    return [target.name for target in bench.targets.available("model")]


def test_a_draining_target_gets_nothing_new(bench):
    bench.register(make_target("a"), make_target("b"))
    bench.targets._apply_registration(
        "a", 2, make_target("a", state=fleet.DRAINING)
    )
    assert names(bench) == ["b"]


def test_a_registration_that_is_gone_is_gone_at_once(bench):
    bench.register(make_target("a"))
    bench.reactor.advance(10.0)
    bench.targets.apply_registrations([], ["a"], False)
    assert names(bench) == []


def test_after_an_outage_a_lapsed_registration_is_kept_for_a_while(bench):
    bench.register(make_target("a"))
    bench.reactor.advance(10.0)
    bench.targets.record_store_outage()
    bench.targets.apply_registrations([], [], True)
    assert names(bench) == ["a"]
    bench.reactor.advance(targets_module.EXPIRED_REGISTRATION_GRACE_S + 0.1)
    assert names(bench) == []


def test_a_registration_that_is_back_in_time_stays(bench):
    bench.register(make_target("a"))
    bench.reactor.advance(10.0)
    bench.targets.record_store_outage()
    bench.targets.apply_registrations([], ["a"], False)
    bench.targets._apply_registration("a", 2, make_target("a"))
    bench.reactor.advance(targets_module.EXPIRED_REGISTRATION_GRACE_S + 0.1)
    assert names(bench) == ["a"]


def test_a_new_process_at_an_address_replaces_the_old_one(bench):
    old = make_target("a", born_ms=1)
    bench.register(old)
    bench.register(make_target("b", port=old.port, born_ms=9, service="other"))
    assert names(bench) == []


def test_an_older_process_never_replaces_a_newer_one(bench):
    new = make_target("b", born_ms=9)
    bench.register(new)
    bench.register(make_target("a", port=new.port, born_ms=1))
    assert names(bench) == ["b"]


def test_a_restart_under_the_same_name_moves_its_work(bench):
    down = []
    bench.targets.on_down.append(lambda target, reason: down.append(target))
    bench.register(make_target("a", born_ms=1))
    bench.targets._apply_registration("a", 2, make_target("a", born_ms=9))
    assert [target.born_ms for target in down] == [1]


def test_a_target_under_probe_gets_nothing_new(bench):
    bench.register(make_target("a"))
    bench.targets.probe_suspect(bench.targets.by_name["a"], "silent")
    assert names(bench) == []


def test_a_target_that_answers_is_used_again(bench):
    bench.register(make_target("a"))
    bench.targets.probe_suspect(bench.targets.by_name["a"], "silent")
    bench.connect().answer(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert names(bench) == ["a"]


def test_a_dark_target_is_down_until_it_answers(bench):
    bench.register(make_target("a"))
    bench.targets.probe_suspect(bench.targets.by_name["a"], "silent")
    bench.connect()
    bench.run(
        targets_module.PROBE_TIMEOUT_S
        + request_context.PROGRESS_CHECK_INTERVAL_S
    )
    assert bench.targets.is_down(make_target("a"))
    bench.run(targets_module.PROBE_INTERVAL_S)
    assert bench.opened() == 1


def test_a_probe_is_not_timed_out_by_the_own_delay(bench):
    bench.register(make_target("a"))
    bench.targets.probe_suspect(bench.targets.by_name["a"], "silent")
    bench.connect()
    bench.reactor.advance(targets_module.PROBE_TIMEOUT_S + 0.4)
    assert not bench.targets.is_down(make_target("a"))


def test_a_probe_waits_for_rounds_of_a_loop_that_is_held_up(bench):
    bench.register(make_target("a"))
    bench.targets.probe_suspect(bench.targets.by_name["a"], "silent")
    sent = bench.connect()
    # The timer comes in time, but nothing was read meanwhile.
    bench.reactor.advance(targets_module.PROBE_TIMEOUT_S + 0.01)
    bench.reactor.advance(targets_module.PROBE_TIMEOUT_S + 0.01)
    sent.answer(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert names(bench) == ["a"]

"""Targets that name the requests a second that they take."""

import random

import pytest

from hemlocktiller._internal.gateway import calls as calls_module
from hemlocktiller._internal.policy import plain_loads
from tests.unit.gateway.conftest import make_target
from tests.unit.gateway.named_limit_fleet import allowed_requests
from tests.unit.gateway.named_limit_fleet import CONTACT_S
from tests.unit.gateway.named_limit_fleet import ended_calls
from tests.unit.gateway.named_limit_fleet import Fleet
from tests.unit.gateway.named_limit_fleet import most_in_window
from tests.unit.gateway.named_limit_fleet import plain_target
from tests.unit.gateway.named_limit_fleet import starts_calls
from tests.unit.gateway.named_limit_fleet import statuses
from tests.unit.gateway.test_calls import OK_RESPONSE
from tests.unit.gateway.test_streams import answer_reports
from tests.unit.gateway.test_streams import make_two_chains
from tests.unit.gateway.test_streams import path_target_names

LIMITED_HEAD = (
    b"HTTP/1.1 200 OK\r\nSignature: s\r\nLimit: 0.5\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


def start_limited(fleet, start, limited, limit_per_s):
    """Plays until the targets have named their limits to all gateways."""
    fleet.play(0.5, start)
    for target in limited:
        fleet.limits_per_s[target.port] = limit_per_s
    named_s = fleet.now_s
    fleet.play(CONTACT_S, start)
    return named_s


@pytest.mark.parametrize("limit_per_s", [0.3, 2.2, 12.0])
@pytest.mark.parametrize("gateways", [1, 5])
def test_a_target_gets_no_more_than_the_limit_that_it_names(
    plain_service, lookup_route, gateways, limit_per_s
):
    limited, free = plain_target("a"), plain_target("b")
    fleet = Fleet(gateways, limited, free)
    start = starts_calls(plain_service, lookup_route)
    fleet.play(2.0, start)
    fleet.limits_per_s[limited.port] = limit_per_s
    named_s = fleet.now_s
    fleet.play(15.0, start)
    times_s = fleet.arrival_times_s(limited.port)
    most = most_in_window(times_s, named_s + CONTACT_S)
    assert most <= allowed_requests(limit_per_s)
    assert set(statuses(ended_calls(fleet))) == {200}


def test_the_limit_holds_while_gateways_restart_join_and_are_lost(
    plain_service, lookup_route
):
    limited, free = plain_target("a"), plain_target("b")
    fleet = Fleet(6, limited, free)
    start = starts_calls(plain_service, lookup_route)
    named_s = start_limited(fleet, start, [limited], 2.2)
    excused = set()
    for number in range(5):
        fleet.leave(f"g{number}")
        excused.add(f"g{number}")
        fleet.play(0.8, start)
        fleet.join(f"g{number}")
        fleet.join(f"new{number}")
        fleet.play(0.8, start)
    fleet.play(4.0, start)
    times_s = [
        time_s
        for time_s, name in fleet.arrivals[limited.port]
        if name not in excused
    ]
    most = most_in_window(times_s, named_s + CONTACT_S)
    assert most <= allowed_requests(2.2)
    # A window in which none has just restarted has no excuse.
    times_s = fleet.arrival_times_s(limited.port)
    most = most_in_window(times_s, fleet.now_s - 4.0)
    assert 4 <= most <= allowed_requests(2.2)


def test_gateways_that_lose_each_other_keep_to_the_limit(
    plain_service, lookup_route
):
    limited, free = plain_target("a"), plain_target("b")
    fleet = Fleet(5, limited, free)
    start = starts_calls(plain_service, lookup_route)
    start_limited(fleet, start, [limited], 2.2)
    cut_s = fleet.now_s
    for name in ("g1", "g2", "g3", "g4"):
        fleet.cut("g0", name)
    fleet.play(8.0, start)
    others = [
        time_s for time_s, name in fleet.arrivals[limited.port] if name != "g0"
    ]
    assert most_in_window(others, cut_s) <= allowed_requests(2.2)
    for name in ("g1", "g2", "g3", "g4"):
        fleet.link("g0", name)
    joined_s = fleet.now_s
    fleet.play(8.0, start)
    times_s = fleet.arrival_times_s(limited.port)
    assert most_in_window(times_s, joined_s) <= allowed_requests(2.2)


def test_a_target_gets_its_share_again_once_it_names_no_limit(
    plain_service, lookup_route
):
    limited, free = plain_target("a"), plain_target("b")
    fleet = Fleet(5, limited, free)
    start = starts_calls(plain_service, lookup_route)
    start_limited(fleet, start, [limited], 2.0)
    del fleet.limits_per_s[limited.port]
    ended_s = fleet.now_s
    fleet.play(6.0, start)
    # One turn of any gateway shows it, and that one tells the others.
    times_s = [
        time_s
        for time_s in fleet.arrival_times_s(limited.port)
        if time_s > ended_s + 2.0
    ]
    assert len(times_s) > 4.0 * 5 * 20 * 0.3


def test_a_target_of_another_process_has_no_limit(plain_service, lookup_route):
    limited = plain_target("a")
    fleet = Fleet(2, limited)
    start = starts_calls(plain_service, lookup_route)
    start_limited(fleet, start, [limited], 1.0)
    del fleet.limits_per_s[limited.port]
    for gateway in fleet.gateways.values():
        gateway.harness.targets._apply_registration(
            "a", 2, limited._replace(born_ms=2)
        )
        gateway.calls.clear()
    fleet.play(2.0, start)
    assert set(statuses(ended_calls(fleet))) == {200}


@pytest.mark.parametrize("limit_per_s", [1.0, 6.0])
def test_callers_beyond_all_limits_are_rejected_at_once_until_there_is_room(
    plain_service, lookup_route, limit_per_s
):
    targets = [plain_target(name) for name in "abc"]
    fleet = Fleet(4, *targets)
    start = starts_calls(plain_service, lookup_route)
    named_s = start_limited(fleet, start, targets, limit_per_s)
    for gateway in fleet.gateways.values():
        gateway.calls.clear()
    fleet.play(10.0, start)
    calls = ended_calls(fleet)
    served = statuses(calls).count(200)
    # Half of the saved turns may have been used before.
    assert served >= 0.85 * 10.0 * limit_per_s * len(targets)
    for target in targets:
        most = most_in_window(
            fleet.arrival_times_s(target.port), named_s + CONTACT_S
        )
        assert most <= allowed_requests(limit_per_s)
    rejected = [call for call in calls if call.caller_request.status == 503]
    assert len(rejected) == len(calls) - served
    waits_s = [
        float(call.caller_request.header(b"Retry-After")) for call in rejected
    ]
    # A gateway has room for one more caller in each such time.
    period_s = len(fleet.gateways) / (limit_per_s * len(targets))
    assert min(waits_s) > 0
    assert max(waits_s) <= lookup_route.timeout_s + 2 * period_s


def test_a_caller_that_returns_as_told_is_served(plain_service, lookup_route):
    targets = [plain_target(name) for name in "ab"]
    fleet = Fleet(3, *targets)
    start = starts_calls(plain_service, lookup_route)
    start_limited(fleet, start, targets, 1.0)
    gateway = fleet.gateways["g1"]
    fleet.play(4.0, lambda one: None)
    gateway.calls.clear()
    route = lookup_route._replace(timeout_s=20.0)
    # A burst: what can't be served is told when to return, and does so.
    pending = []
    burst = starts_calls(plain_service, route, *[{}] * 8)
    burst(gateway)
    outcomes = []

    def return_as_told(one):
        if one is not gateway:
            return
        for call in list(gateway.calls):
            if not call.caller_request.ending:
                continue
            gateway.calls.remove(call)
            outcomes.append(call.caller_request.status)
            if call.caller_request.status == 503:
                wait = call.caller_request.header(b"Retry-After")
                pending.append(fleet.now_s + float(wait))
        for return_s in list(pending):
            if return_s <= fleet.now_s:
                pending.remove(return_s)
                starts_calls(plain_service, route)(gateway)

    fleet.play(25.0, return_as_told)
    assert outcomes.count(200) == 8
    # Each is rejected once, and few for a second time.
    assert outcomes.count(503) <= 8 + 2


def test_the_most_urgent_calls_and_the_smallest_workspaces_get_the_room(
    plain_service, lookup_route
):
    targets = [plain_target(name) for name in "ab"]
    fleet = Fleet(2, *targets)
    callers = [
        {"priority": 0, "workspace": "few"},
        *[{"priority": 0, "workspace": "many"}] * 5,
        {"priority": 1, "workspace": "few"},
    ]
    start = starts_calls(plain_service, lookup_route, *callers)
    start_limited(fleet, start, targets, 4.0)
    for gateway in fleet.gateways.values():
        gateway.calls.clear()
    fleet.play(10.0, start)
    served = {}
    for call in ended_calls(fleet):
        if call.caller_request.status == 200:
            key = call.priority, call.workspace
            served[key] = served.get(key, 0) + 1
    assert (1, "few") not in served
    assert served[0, "few"] >= 0.4 * sum(served.values())


def test_a_call_that_waits_for_its_turn_is_dropped_as_its_caller_leaves(
    harness, plain_service, lookup_route
):
    harness.register(plain_target("a"))
    harness.start_call(harness.admit(plain_service, lookup_route))
    first = harness.accept_connection()
    first.respond(OK_RESPONSE.replace(b"Signature", b"Limit: 1\r\nSignature"))
    for _ in range(2):
        harness.start_call(harness.admit(plain_service, lookup_route))
    harness.reactor.advance(0.1)
    route = lookup_route._replace(timeout_s=4.0)
    admitted = harness.admit(plain_service, route)
    harness.start_call(admitted)
    assert harness.context.waiting_calls.has_waiting("plain")
    admitted.caller_request.on_disconnect()
    harness.reactor.advance(4.0)
    assert not harness.context.waiting_calls.has_waiting("plain")


def test_streams_begin_elsewhere_and_still_pass_the_target_as_a_later_stage(
    harness, model_service, stream_route
):
    harness.register(
        *make_two_chains()[:2], make_target("c0", first_layer=0, end_layer=40)
    )
    firsts = []
    for number in range(12):
        admitted = harness.admit(
            model_service,
            stream_route,
            request_id=f"r{number}",
            prompt_tokens=10,
            expected_output_tokens=10,
        )
        harness.start_stream(admitted)
        connection = harness.accept_connection()
        names = path_target_names(connection)
        firsts.append(names[0])
        assert names[1] == "a40"
        # Both name a limit; that of a later stage doesn't hold for its work.
        harness.targets.record_response_head(
            harness.targets.by_name["a40"], 200, [(b"Limit", b"0.5")]
        )
        if names[0] == "a0":
            connection.respond(LIMITED_HEAD)
        harness.reactor.advance(0.1)
    assert firsts.count("a0") <= 4
    assert firsts[-4:] == ["c0"] * 4


def test_streams_wait_only_for_a_turn_that_comes_in_time(
    harness, model_service, stream_route
):
    harness.register(*make_two_chains()[:2])
    harness.start_stream(harness.admit(model_service, stream_route))
    harness.accept_connection().respond(LIMITED_HEAD.replace(b"0.5", b"1.0"))
    requests = []
    for number in range(6):
        admitted = harness.admit(
            model_service, stream_route, request_id=f"s{number}"
        )
        harness.start_stream(admitted)
        requests.append(admitted.caller_request)
    rejected = [one for one in requests if one.status == 503]
    assert len(rejected) >= 3
    waits_s = sorted(float(one.header(b"Retry-After")) for one in rejected)
    assert waits_s[0] > 0.5
    # They return one second apart, as the target takes them.
    for earlier_s, later_s in zip(waits_s, waits_s[1:], strict=False):
        assert later_s - earlier_s == pytest.approx(1.0, abs=0.02)


def test_a_target_with_a_limit_is_polled_less(harness):
    target = make_target("a", first_layer=0, end_layer=80)
    harness.register(target)
    harness.targets.record_response_head(target, 200, [(b"Limit", b"1.0")])
    polls = 0
    for _ in range(40):
        harness.targets.poll_reports(lambda name: True)
        polls += harness.pending_connection_count()
        answer_reports(harness)
        harness.reactor.advance(0.2)
    assert polls == 2


def test_word_of_a_peer_makes_no_gateway_probe_a_target_with_a_limit(harness):
    target = make_target("a", first_layer=0, end_layer=80)
    harness.register(target)
    harness.targets.record_response_head(target, 200, [(b"Limit", b"1.0")])
    harness.targets.verify_peer_health("a", target.born_ms, True, "silent")
    assert harness.pending_connection_count() == 0


def test_a_limit_that_cannot_be_read_changes_nothing(harness):
    target = plain_target("a")
    harness.register(target)
    head = harness.adapter.decode_response_head(200, [])
    unreadable = head._replace(names_limit=True)
    limits = harness.targets.limits
    limits.record_response_head(target, unreadable, 1.0, False)
    assert not limits.is_limited(target)
    harness.targets.record_response_head(target, 200, [(b"Limit", b"1.0")])
    harness.reactor.advance(1.0)
    limits.record_response_head(target, unreadable, 1.0, False)
    assert limits.is_limited(target)


def test_few_bytes_tell_many_gateways_of_limits(plain_service, lookup_route):
    targets = [plain_target(name) for name in "abcdef"]
    fleet = Fleet(12, *targets)
    start = starts_calls(plain_service, lookup_route)
    start_limited(fleet, start, targets[:3], 2.0)
    bytes_sent = [
        sum(link.bytes_sent for link in gateway.links)
        for gateway in fleet.gateways.values()
    ]
    # 4 KB a second is what a gateway may spend on control in all.
    assert max(bytes_sent) / fleet.now_s < 4096


def test_an_earlier_build_is_told_nothing_and_takes_no_turns(
    plain_service, lookup_route, monkeypatch
):
    limited, free = plain_target("a"), plain_target("b")
    fleet = Fleet(3, limited, free)
    for gateway in fleet.gateways.values():
        for link in gateway.links:
            if "g0" in (link.peer["name"], link.other.peer["name"]):
                monkeypatch.setattr(
                    link,
                    "peer_accepts",
                    lambda message_type: message_type != "target_limit",
                )
        gateway.peers._turn_order = None
    start = starts_calls(plain_service, lookup_route)
    start_limited(fleet, start, [limited], 2.0)
    assert [
        gateway.peers.turn_order().count for gateway in fleet.gateways.values()
    ] == [1, 2, 2]


def test_the_more_urgent_stream_gets_the_next_turn(
    harness, model_service, stream_route
):
    harness.register(*make_two_chains()[:2])
    harness.start_stream(harness.admit(model_service, stream_route))
    harness.accept_connection().respond(LIMITED_HEAD.replace(b"0.5", b"1.0"))
    # It uses the turn that began as the limit was named.
    harness.start_stream(
        harness.admit(model_service, stream_route, prompt_tokens=10)
    )
    harness.reactor.advance(0.85)
    started = harness.pending_connection_count()
    for rank in (1, 0):
        admitted = harness.admit(
            model_service,
            stream_route,
            request_id=f"rank-{rank}",
            prompt_tokens=10,
            expected_output_tokens=10,
            forwarded=[(b"Host", b"h"), (b"Rank", b"%d" % rank)],
        )
        harness.start_stream(admitted._replace(rank=rank))
    assert harness.pending_connection_count() == started
    harness.reactor.advance(0.2)
    assert harness.pending_connection_count() == started + 1
    for _ in range(started):
        harness.accept_connection()
    request = harness.accept_connection().transport.value()
    assert b"Rank: 0" in request


def test_a_limit_above_what_targets_serve_keeps_no_request_waiting(
    harness, plain_service, lookup_route
):
    harness.register(plain_target("a"))
    target = harness.targets.by_name["a"]
    harness.targets.record_response_head(target, 200, [(b"Limit", b"5000")])
    harness.reactor.advance(1.0)
    slots = 2 * target.slots
    calls = [
        harness.admit(plain_service, lookup_route) for _ in range(slots + 5)
    ]
    loads = plain_loads.PlainLoads()
    for number, admitted in enumerate(calls):
        calls_module.Call(
            harness.context, loads, random.Random(1), admitted, id
        ).start()
        harness.reactor.advance(0.001)
        is_rejected = admitted.caller_request.status == 503
        assert is_rejected == (number >= slots)


def test_calls_that_follow_rejected_ones_at_once_are_answered(
    harness, plain_service, lookup_route
):
    harness.register(plain_target("a"))
    target = harness.targets.by_name["a"]
    harness.targets.record_response_head(target, 200, [(b"Limit", b"1")])
    harness.start_call(harness.admit(plain_service, lookup_route))
    calls = []

    def start_follower(left):
        admitted = harness.admit(plain_service, lookup_route)
        caller = admitted.caller_request
        calls.append(caller)
        respond = caller.respond

        def respond_and_follow(*response):
            respond(*response)
            if left:
                start_follower(left - 1)

        caller.respond = respond_and_follow
        harness.start_call(admitted)

    for _ in range(6):
        start_follower(5)
    harness.reactor.advance(0.3)
    for _ in range(6):
        start_follower(5)
    for _ in range(60):
        harness.reactor.advance(0.1)
    assert not harness.context.waiting_calls.has_waiting("plain")
    assert all(caller.status for caller in calls)

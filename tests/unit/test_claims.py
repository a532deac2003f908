import pytest

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.agent import claim_rules
from hemlocktiller._internal.agent import claims

NAME = claims.claim_name("w", "halls", "key-1", "r1")
PRINT = claims.call_fingerprint("POST", "/bookings", b"{}")
ANSWER = claims.encode_outcome(201, "application/json", b'{"booking": 1}')


@pytest.fixture
def agent(platform):
    return claims.Claims(platform.store("agent"), "agent")


@pytest.fixture
def router(platform):
    return claims.Claims(platform.store("entry"), "entry")


def begin(platform, agent, attempt=1, request="r1", digest=PRINT):
    """Begins a claim whose dispatch ends in 30 s."""
    ends_at_s = platform.clock.seconds() + 30.0
    return platform.result(
        agent.acquire(NAME, digest, request, attempt, ends_at_s)
    )


def test_call_costs_two_writes_and_no_read(platform, agent):
    begun = begin(platform, agent)
    platform.result(agent.record_answer(begun.claim, ANSWER))
    assert platform.writes("claim") == 2
    assert platform.state.calls["GET"]["claim"] == 0


def test_resend_gets_the_recorded_answer(platform, agent):
    begun = begin(platform, agent)
    platform.result(agent.record_answer(begun.claim, ANSWER))
    other = claims.Claims(platform.store("other"), "other")
    met = begin(platform, other, request="r2")
    assert met == claims.Recorded(ANSWER)
    assert claims.decode_body(met.outcome) == b'{"booking": 1}'


def test_key_of_another_call_is_a_mismatch(platform, agent):
    begin(platform, agent)
    other = claims.call_fingerprint("POST", "/bookings", b"{1}")
    met = begin(platform, agent, request="r2", digest=other)
    assert met == claims.Mismatch()


def test_resend_meets_a_running_then_an_unknown_call(platform, agent):
    begin(platform, agent)
    met = begin(platform, agent, request="r2")
    assert isinstance(met, claims.InProgress)
    platform.run(31.0)
    for _ in range(2):
        met = begin(platform, agent, request="r2")
        assert isinstance(met, claims.OutcomeUnknown)
        assert met.retry_after_s > 0
        platform.run(claims.CLAIM_TTL_S / 1000)


def test_lost_call_is_unknown_at_once(platform, agent):
    begun = begin(platform, agent)
    platform.result(agent.record_unknown(begun.claim))
    met = begin(platform, agent, request="r2")
    assert isinstance(met, claims.OutcomeUnknown)


def test_call_that_did_not_run_may_start_as_a_later_attempt(platform, agent):
    begun = begin(platform, agent)
    platform.result(agent.record_not_run(begun.claim))
    assert begin(platform, agent) == claims.Void()
    assert isinstance(begin(platform, agent, attempt=2), claims.Acquired)


def test_tombstone_fences_a_late_dispatch(platform, agent, router):
    assert platform.result(router.void_attempt(NAME, "r1", 1)) == claims.Void()
    assert begin(platform, agent) == claims.Void()
    assert isinstance(begin(platform, agent, attempt=2), claims.Acquired)


def test_router_can_not_void_a_start(platform, agent, router):
    begun = begin(platform, agent)
    met = platform.result(router.void_attempt(NAME, "r1", 1))
    assert isinstance(met, claims.InProgress)
    platform.result(agent.record_answer(begun.claim, ANSWER))
    met = platform.result(router.void_attempt(NAME, "r1", 1))
    assert met == claims.Recorded(ANSWER)


def test_void_of_another_attempt_leaves_the_running_one(
    platform, agent, router
):
    begun = begin(platform, agent)
    assert platform.result(router.void_attempt(NAME, "r2", 1)) == claims.Void()
    platform.result(agent.record_not_run(begun.claim))
    assert begin(platform, agent, request="r2") == claims.Void()


@pytest.mark.parametrize("outage", ["refuse", "hang"])
def test_outage_refuses_the_call_and_frees_it_later(platform, agent, outage):
    platform.faults(outage=outage)
    with pytest.raises(exceptions.StoreDown) as refused:
        begin(platform, agent)
    assert refused.value.ran == "no"
    platform.run(30.0)
    platform.faults()
    platform.run(30.0)
    assert agent.pending_write_count == 0
    assert isinstance(begin(platform, agent, attempt=2), claims.Acquired)


def test_start_that_took_effect_unseen_is_freed_later(platform, agent):
    """The reply is lost, and so is every read until the outage ends."""
    platform.faults(delay_s=5.0)
    with pytest.raises(exceptions.StoreDown):
        begin(platform, agent)
    platform.run(10.0)
    platform.faults()
    platform.run(30.0)
    assert agent.pending_write_count == 0
    assert isinstance(begin(platform, agent, attempt=2), claims.Acquired)


def test_outcome_is_recorded_after_an_outage(platform, agent):
    begun = begin(platform, agent)
    platform.faults(outage="hang")
    platform.result(agent.record_answer(begun.claim, ANSWER), limit_s=2.0)
    platform.run(60.0)
    assert agent.pending_write_count == 1
    platform.faults()
    platform.run(10.0)
    assert agent.pending_write_count == 0
    assert begin(platform, agent, request="r2") == claims.Recorded(ANSWER)


def test_stopped_process_leaves_the_call_unknown(platform, agent):
    begun = begin(platform, agent)
    platform.faults(outage="refuse")
    agent.record_answer(begun.claim, ANSWER)
    agent.stop()
    assert agent.pending_write_count == 0
    platform.faults()
    platform.run(60.0)
    other = claims.Claims(platform.store("other"), "other")
    met = begin(platform, other, request="r2")
    assert isinstance(met, claims.OutcomeUnknown)


def test_large_body_is_left_out_of_the_record(platform, agent):
    body = b"x" * (claims.RECORDED_BODY_BYTES_MAX + 1)
    recorded = claims.encode_outcome(200, "text/plain", body)
    assert recorded["body_omitted"]
    begun = begin(platform, agent)
    platform.result(agent.record_answer(begun.claim, recorded))
    assert begin(platform, agent, request="r2").outcome["status"] == 200


def test_calls_without_a_key_have_a_claim_for_each_request():
    names = {
        claims.claim_name("w", "halls", "", "r1"),
        claims.claim_name("w", "halls", "", "r2"),
        claims.claim_name("w", "halls", "r1", "r1"),
        claims.claim_name("v", "halls", "r1", "r1"),
    }
    assert len(names) == 4


def test_full_list_of_void_attempts_proves_nothing_more():
    value = None
    for number in range(claim_rules.VOIDED_ATTEMPTS_MAX + 1):
        attempt = claim_rules.Attempt("r", number, "", "", "e", 0.0, 0.0)
        decision = claim_rules.decide_void(value, attempt, 0.0)
        value = getattr(decision, "value", value)
    assert isinstance(decision, claim_rules.OutcomeUnknown)

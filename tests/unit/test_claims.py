import pytest

from hemlocktiller._internal.agent import claim_rules
from hemlocktiller._internal.agent import claims

ANSWER = claims.Answer(201, "application/json", b'{"booking": 1}')
RECORDED = claims.Recorded(ANSWER, False)
SETTINGS = {
    "name": "halls",
    "url": "",
    "timeout_s": 30.0,
    "claim_ttl_s": 86_400.0,
}
CALL = {
    "workspace": "w",
    "service": "halls",
    "idempotency_key": "key-1",
    "request": "r1",
    "attempt": 1,
    "method": "POST",
    "path": "/bookings",
    "body": b"{}",
    "expires_in_s": 1.0,
}


def process(platform, name, settings=SETTINGS):
    """Returns the claims of a new process."""
    return claims.Claims(platform.store(name), settings, platform.clock)


@pytest.fixture
def agent(platform):
    return process(platform, "agent")


@pytest.fixture
def router(platform):
    return process(platform, "entry", claims.ROUTER_SETTINGS)


def begin(platform, agent, **changes):
    """Begins a claim whose dispatch ends in 31 s."""
    return platform.result(agent.begin({**CALL, **changes}))


def test_call_costs_two_writes_and_no_read(platform, agent):
    begun = begin(platform, agent)
    platform.result(agent.finish(begun, ANSWER))
    assert platform.writes("claim") == 2
    assert platform.state.calls["GET"]["claim"] == 0


def test_resend_gets_the_recorded_answer(platform, agent):
    begun = begin(platform, agent)
    platform.result(agent.finish(begun, ANSWER))
    other = process(platform, "other")
    met = begin(platform, other, request="r2")
    assert met == RECORDED


@pytest.mark.parametrize(
    "change", [{"body": b"{1}"}, {"path": "/x"}, {"method": "PUT"}]
)
def test_key_of_another_call_is_a_mismatch(platform, agent, change):
    begin(platform, agent)
    met = begin(platform, agent, request="r2", **change)
    assert met == claims.Mismatch()


def test_resend_meets_a_running_then_an_unknown_call(platform, agent):
    begin(platform, agent)
    met = begin(platform, agent, request="r2")
    assert isinstance(met, claims.InProgress)
    platform.run(32.0)
    for _ in range(2):
        met = begin(platform, agent, request="r2")
        assert isinstance(met, claims.OutcomeUnknown)
        assert met.retry_after_s > 0
        platform.run(100.0)


def test_lost_call_is_unknown_at_once(platform, agent):
    begun = begin(platform, agent)
    platform.result(agent.lose(begun))
    met = begin(platform, agent, request="r2")
    assert isinstance(met, claims.OutcomeUnknown)


def test_call_that_did_not_run_may_start_as_a_later_attempt(platform, agent):
    begun = begin(platform, agent)
    platform.result(agent.not_run(begun))
    assert begin(platform, agent) == claims.Void()
    assert isinstance(begin(platform, agent, attempt=2), claims.Begun)


def test_tombstone_fences_a_late_dispatch(platform, agent, router):
    assert platform.result(router.void(CALL)) == claims.Void()
    assert begin(platform, agent) == claims.Void()
    assert isinstance(begin(platform, agent, attempt=2), claims.Begun)


def test_router_can_not_void_a_start(platform, agent, router):
    begun = begin(platform, agent)
    met = platform.result(router.void(CALL))
    assert isinstance(met, claims.InProgress)
    platform.result(agent.finish(begun, ANSWER))
    met = platform.result(router.void(CALL))
    assert met == RECORDED


def test_void_of_another_attempt_leaves_the_running_one(
    platform, agent, router
):
    begun = begin(platform, agent)
    assert (
        platform.result(router.void({**CALL, "request": "r2"}))
        == claims.Void()
    )
    platform.result(agent.not_run(begun))
    assert begin(platform, agent, request="r2") == claims.Void()


@pytest.mark.parametrize("outage", ["refuse", "hang"])
def test_outage_refuses_the_call_and_frees_it_later(platform, agent, outage):
    platform.faults(outage=outage)
    assert isinstance(begin(platform, agent), claims.Unavailable)
    platform.run(30.0)
    platform.faults()
    platform.run(30.0)
    assert agent.unsettled == 0
    assert isinstance(begin(platform, agent, attempt=2), claims.Begun)


def test_start_that_took_effect_unseen_is_freed_later(platform, agent):
    """The reply is lost, and so is every read until the outage ends."""
    platform.faults(delay_s=5.0)
    assert isinstance(begin(platform, agent), claims.Unavailable)
    platform.run(10.0)
    platform.faults()
    platform.run(30.0)
    assert agent.unsettled == 0
    assert isinstance(begin(platform, agent, attempt=2), claims.Begun)


def test_outcome_is_recorded_after_an_outage(platform, agent):
    begun = begin(platform, agent)
    platform.faults(outage="hang")
    platform.result(agent.finish(begun, ANSWER), limit_s=2.0)
    platform.run(60.0)
    assert agent.unsettled == 1
    platform.faults()
    platform.run(10.0)
    assert agent.unsettled == 0
    assert begin(platform, agent, request="r2") == RECORDED


def test_stopped_process_leaves_the_call_unknown(platform, agent):
    begun = begin(platform, agent)
    platform.faults(outage="refuse")
    agent.finish(begun, ANSWER)
    agent.stop()
    assert agent.unsettled == 0
    platform.faults()
    platform.run(60.0)
    other = process(platform, "other")
    met = begin(platform, other, request="r2")
    assert isinstance(met, claims.OutcomeUnknown)


def test_large_body_is_left_out_of_the_record(platform, agent):
    body = b"x" * (claims.RECORDED_BODY_BYTES_MAX + 1)
    begun = begin(platform, agent)
    platform.result(agent.finish(begun, claims.Answer(200, "t", body)))
    met = begin(platform, agent, request="r2")
    assert met == claims.Recorded(claims.Answer(200, "t", b""), True)


def test_calls_without_a_key_have_a_claim_for_each_request():
    changes = [
        {"idempotency_key": "", "request": "r1"},
        {"idempotency_key": "", "request": "r2"},
        {"idempotency_key": "r1"},
        {"idempotency_key": "r1", "workspace": "v"},
        {"idempotency_key": "r1", "service": "vans"},
    ]
    names = {claims.claim_name({**CALL, **change}) for change in changes}
    assert len(names) == len(changes)


def test_full_list_of_void_attempts_proves_nothing_more():
    value = None
    for number in range(claim_rules.VOIDED_ATTEMPTS_MAX + 1):
        attempt = claim_rules.Attempt("r", number, "", "", "e", 0.0, 0.0)
        decision = claim_rules.void(value, attempt, 0.0)
        value = getattr(decision, "value", value)
    assert isinstance(decision, claim_rules.OutcomeUnknown)

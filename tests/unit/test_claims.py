"""Tests of claims, which let a call with an idempotency key run once."""

import pytest

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.agent import claim_rules
from hemlocktiller._internal.agent import claims

NAME = claims.claim_name("w", "halls", "key-1", "r1")
PRINT = claims.call_fingerprint("POST", "/bookings", b"{}")
ANSWER = claims.encode_outcome(201, "application/json", b'{"booking": 1}')


class OffsetClock:
    """A reactor's clock that is ahead of another one by its uptime."""

    def __init__(self, clock, uptime_s):
        self._clock = clock
        self._uptime_s = uptime_s

    def seconds(self):
        """Returns the time since this VM has started."""
        return self._clock.seconds() + self._uptime_s

    def callLater(self, delay_s, function, *arguments):
        """Schedules a call."""
        return self._clock.callLater(delay_s, function, *arguments)


def create_claims(platform, name, uptime_s=0.0):
    """Returns the claims of a process on a VM that was up for some time."""
    store = platform.store(name)
    store.reactor = OffsetClock(platform.clock, uptime_s)
    return claims.Claims(store, name, wall_clock_s=platform.clock.seconds)


@pytest.fixture
def agent(platform):
    return create_claims(platform, "agent")


@pytest.fixture
def router(platform):
    return create_claims(platform, "entry")


def acquire_claim(platform, agent, attempt=1, request="r1", fingerprint=PRINT):
    """Acquires the claim of a call that must end within 30 s."""
    return platform.result(
        agent.acquire(NAME, fingerprint, request, attempt, 30.0)
    )


def test_call_costs_two_writes_and_no_read(platform, agent):
    acquired = acquire_claim(platform, agent)
    platform.result(agent.record_answer(acquired.claim, ANSWER))
    assert platform.writes("claim") == 2
    assert platform.state.calls["GET"]["claim"] == 0


def test_retry_gets_the_recorded_answer(platform, agent):
    acquired = acquire_claim(platform, agent)
    platform.result(agent.record_answer(acquired.claim, ANSWER))
    other_agent = create_claims(platform, "other")
    claim_result = acquire_claim(platform, other_agent, request="r2")
    assert claim_result == claims.Recorded(ANSWER)
    assert claims.decode_body(claim_result.outcome) == b'{"booking": 1}'


def test_key_reused_for_another_call_is_a_mismatch(platform, agent):
    acquire_claim(platform, agent)
    other_fingerprint = claims.call_fingerprint("POST", "/bookings", b"{1}")
    claim_result = acquire_claim(
        platform, agent, request="r2", fingerprint=other_fingerprint
    )
    assert claim_result == claims.Mismatch()


def test_retry_sees_a_call_in_progress_and_then_its_unknown_outcome(
    platform, agent
):
    acquire_claim(platform, agent)
    claim_result = acquire_claim(platform, agent, request="r2")
    assert isinstance(claim_result, claims.InProgress)
    platform.run(31.0)
    for _ in range(2):
        claim_result = acquire_claim(platform, agent, request="r2")
        assert isinstance(claim_result, claims.OutcomeUnknown)
        assert claim_result.retry_after_s > 0
        platform.run(claims.CLAIM_TTL_S / 1000)


def test_lost_call_has_an_unknown_outcome_at_once(platform, agent):
    acquired = acquire_claim(platform, agent)
    platform.result(agent.record_unknown(acquired.claim))
    claim_result = acquire_claim(platform, agent, request="r2")
    assert isinstance(claim_result, claims.OutcomeUnknown)


def test_call_that_did_not_run_may_start_as_a_later_attempt(platform, agent):
    acquired = acquire_claim(platform, agent)
    platform.result(agent.record_not_run(acquired.claim))
    assert acquire_claim(platform, agent) == claims.Void()
    assert isinstance(
        acquire_claim(platform, agent, attempt=2), claims.Acquired
    )


def test_voided_attempt_cannot_be_acquired_later(platform, agent, router):
    assert platform.result(router.void_attempt(NAME, "r1", 1)) == claims.Void()
    assert acquire_claim(platform, agent) == claims.Void()
    assert isinstance(
        acquire_claim(platform, agent, attempt=2), claims.Acquired
    )


def test_router_cannot_void_an_acquired_claim(platform, agent, router):
    acquired = acquire_claim(platform, agent)
    claim_result = platform.result(router.void_attempt(NAME, "r1", 1))
    assert isinstance(claim_result, claims.InProgress)
    platform.result(agent.record_answer(acquired.claim, ANSWER))
    claim_result = platform.result(router.void_attempt(NAME, "r1", 1))
    assert claim_result == claims.Recorded(ANSWER)


def test_voiding_another_request_leaves_the_running_claim(
    platform, agent, router
):
    acquired = acquire_claim(platform, agent)
    assert platform.result(router.void_attempt(NAME, "r2", 1)) == claims.Void()
    platform.result(agent.record_not_run(acquired.claim))
    assert acquire_claim(platform, agent, request="r2") == claims.Void()


@pytest.mark.parametrize("outage", ["refuse", "hang"])
def test_claim_refused_in_an_outage_can_be_acquired_afterwards(
    platform, agent, outage
):
    platform.faults(outage=outage)
    with pytest.raises(exceptions.StoreDown) as refused:
        acquire_claim(platform, agent)
    assert refused.value.ran == "no"
    platform.run(30.0)
    platform.faults()
    platform.run(30.0)
    assert agent.pending_write_count == 0
    assert isinstance(
        acquire_claim(platform, agent, attempt=2), claims.Acquired
    )


def test_claim_written_without_a_reply_is_released_later(platform, agent):
    """Replies to the write and to reads come too late until the fault ends."""
    platform.faults(delay_s=5.0)
    with pytest.raises(exceptions.StoreDown):
        acquire_claim(platform, agent)
    platform.run(10.0)
    platform.faults()
    platform.run(30.0)
    assert agent.pending_write_count == 0
    assert isinstance(
        acquire_claim(platform, agent, attempt=2), claims.Acquired
    )


def test_outcome_is_recorded_after_an_outage(platform, agent):
    acquired = acquire_claim(platform, agent)
    platform.faults(outage="hang")
    platform.result(agent.record_answer(acquired.claim, ANSWER), limit_s=2.0)
    platform.run(60.0)
    assert agent.pending_write_count == 1
    platform.faults()
    platform.run(10.0)
    assert agent.pending_write_count == 0
    assert acquire_claim(platform, agent, request="r2") == claims.Recorded(
        ANSWER
    )


def test_stopped_process_leaves_the_outcome_unknown(platform, agent):
    acquired = acquire_claim(platform, agent)
    platform.faults(outage="refuse")
    agent.record_answer(acquired.claim, ANSWER)
    agent.stop()
    assert agent.pending_write_count == 0
    platform.faults()
    platform.run(60.0)
    other_agent = create_claims(platform, "other")
    claim_result = acquire_claim(platform, other_agent, request="r2")
    assert isinstance(claim_result, claims.OutcomeUnknown)


def test_large_body_is_omitted_from_the_record(platform, agent):
    body = b"x" * (claims.RECORDED_BODY_BYTES_MAX + 1)
    recorded = claims.encode_outcome(200, "text/plain", body)
    assert recorded["body_omitted"]
    acquired = acquire_claim(platform, agent)
    platform.result(agent.record_answer(acquired.claim, recorded))
    assert (
        acquire_claim(platform, agent, request="r2").outcome["status"] == 200
    )


def test_calls_without_a_key_have_one_claim_per_request():
    claim_names = {
        claims.claim_name("w", "halls", "", "r1"),
        claims.claim_name("w", "halls", "", "r2"),
        claims.claim_name("w", "halls", "r1", "r1"),
        claims.claim_name("v", "halls", "r1", "r1"),
    }
    assert len(claim_names) == 4


def test_void_has_an_unknown_outcome_once_the_voided_list_is_full():
    stored_value = None
    for number in range(claim_rules.VOIDED_ATTEMPTS_MAX + 1):
        attempt = claim_rules.Attempt("r", number, "", "", "e", 0.0, 0.0)
        decision = claim_rules.decide_void(stored_value, attempt, 0.0)
        stored_value = getattr(decision, "value", stored_value)
    assert isinstance(decision, claim_rules.OutcomeUnknown)


def test_the_times_of_a_claim_are_those_of_the_wall_clock(platform):
    epoch_s = 1_700_000_000.0

    def wall_clock_s():
        return epoch_s + platform.clock.seconds()

    # The monotonic clock of a VM that was up for a day is ahead of the other.
    platform.clock.advance(86_400.0)
    agent = claims.Claims(
        platform.store("agent"), "agent", 60.0, wall_clock_s=wall_clock_s
    )
    acquired = acquire_claim(platform, agent)
    value = acquired.claim.stored.value
    assert value["ends_at_s"] == pytest.approx(epoch_s + 86_430.0, abs=1.0)
    assert value["expires_at_s"] == pytest.approx(epoch_s + 86_460.0, abs=1.0)


def test_a_call_in_progress_on_another_vm_is_judged_by_the_wall_clock(
    platform,
):
    acquire_claim(platform, create_claims(platform, "long-up", 1_000_000.0))
    other = create_claims(platform, "just-started")
    result = acquire_claim(platform, other, request="r2")
    assert result == claims.InProgress(claim_rules.IN_PROGRESS_RETRY_S)
    platform.run(31.0)
    result = acquire_claim(platform, other, request="r3")
    assert result == claims.OutcomeUnknown(claim_rules.UNKNOWN_RETRY_S)

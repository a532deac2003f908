import collections
import random

import hypothesis
from hypothesis import strategies
import pytest

from hemlocktiller._internal.policy import breaker
from hemlocktiller._internal.policy import held_prompts
from hemlocktiller._internal.policy import load_estimates
from hemlocktiller._internal.policy import prefixes
from hemlocktiller._internal.policy import routing

PROMPT = " ".join(f"word{number}" for number in range(200))
PARTS = prefixes.describe("small", "w", PROMPT).beginnings


@pytest.fixture
def view():
    return routing.EntryState(
        load_estimates.Loads(),
        held_prompts.HeldPrompts(),
        breaker.CircuitBreakers(),
    )


@pytest.fixture
def rng():
    return random.Random(1)


def make_load(target, queued=0, cost=0.0, rate=100.0, **fields):
    report = {
        "type": "load",
        "target": target,
        "queued": queued,
        "running": 4,
        "max_running": 4,
        "queued_cost_tokens": cost,
        "tokens_per_s": rate,
        "leaving": False,
        "prefixes": [],
    }
    return {**report, **fields}


def make_candidates(count):
    return [routing.Candidate(f"t{number}") for number in range(count)]


def best_choice(view, rng, candidates, request, now_s=0.0):
    return routing.rank(candidates, request, view, now_s, rng)[0]


def test_estimated_wait_uses_the_token_rate_of_the_target(view, rng):
    view.loads.record_report(make_load("t0", 1, 100.0, rate=50.0), 0.0)
    view.loads.record_report(make_load("t1", 2, 300.0, rate=400.0), 0.0)
    choice = best_choice(
        view, rng, make_candidates(2), routing.RequestInfo("p")
    )
    assert choice.candidate.target == "t1"
    assert "wait 0.750 s" in choice.explanation


def test_requests_sent_since_the_last_load_report_are_counted(view, rng):
    view.loads.record_report(make_load("t0", 1, 50.0), 1.0)
    view.loads.record_report(make_load("t1", 1, 100.0), 1.0)
    view.loads.record_sent("t0", "old", "p", 500.0, 0.5)
    view.loads.record_sent("t0", "new", "p", 80.0, 1.5)
    choice = best_choice(
        view, rng, make_candidates(2), routing.RequestInfo("p")
    )
    assert choice.candidate.target == "t1"
    view.loads.record_ended("t0", "new")
    choice = best_choice(
        view, rng, make_candidates(2), routing.RequestInfo("p")
    )
    assert choice.candidate.target == "t0"


def test_cached_prefix_is_preferred_until_the_queue_outweighs_it(view, rng):
    request = routing.RequestInfo("p", 200, 10, PARTS)
    for number in range(20):
        view.loads.record_report(make_load(f"t{number}"), 0.0)
    view.held.record_sent("t7", request.parts, 0.0)
    choice = best_choice(view, rng, make_candidates(20), request)
    assert choice.candidate.target == "t7"
    view.loads.record_report(make_load("t7", 1, 10.0), 1.0)
    choice = best_choice(view, rng, make_candidates(20), request)
    assert choice.candidate.target == "t7"
    view.loads.record_report(make_load("t7", 50, 2000.0), 2.0)
    choice = best_choice(view, rng, make_candidates(20), request)
    assert choice.candidate.target != "t7"


def test_cached_prefix_does_not_outweigh_the_deadline(view, rng):
    request = routing.RequestInfo("p", 200, 10, PARTS, 1.0)
    for number in range(4):
        view.loads.record_report(make_load(f"t{number}"), 0.0)
    view.held.record_sent("t1", request.parts, 0.0)
    view.loads.record_report(make_load("t1", 3, 120.0), 0.0)
    choice = best_choice(view, rng, make_candidates(4), request)
    assert choice.candidate.target != "t1"


def test_reported_parts_may_have_gaps_and_expire(view):
    assert len(PARTS) == 4
    view.held.record_reported("t", [PARTS[2].key], 0.0)
    assert view.held.belief("t", PARTS, 1.0).tokens == 64
    view.held.record_reported("t", [], 2.0)
    assert view.held.belief("t", PARTS, 3.0).tokens == 64
    expired_at_s = held_prompts.HELD_TTL_S + 1.0
    assert view.held.belief("t", PARTS, expired_at_s).tokens == 0


def test_what_one_workspace_sent_is_not_held_for_another(view):
    others_parts = prefixes.describe("small", "other", PROMPT).beginnings
    view.held.record_sent("t", others_parts, 0.0)
    assert view.held.belief("t", others_parts, 1.0).tokens == 128
    assert view.held.belief("t", PARTS, 1.0).tokens == 0


def test_a_popular_part_does_not_make_a_hot_spot_of_its_holder(view, rng):
    """Only the holder's wait grows; the bound is that of bounded loads."""
    request = routing.RequestInfo("p", 200, 10, PARTS)
    for number in range(8):
        view.loads.record_report(make_load(f"t{number}", 1, 100.0), 0.0)
    view.held.record_sent("t3", PARTS, 0.0)
    sent = collections.Counter()
    for number in range(200):
        target = best_choice(
            view, rng, make_candidates(8), request
        ).candidate.target
        view.loads.record_sent(target, str(number), "p", 30.0, 0.5)
        view.held.record_sent(target, PARTS, 0.5)
        sent[target] += 1
    assert sent["t3"] >= 1
    assert max(sent.values()) <= held_prompts.MAX_WAIT_RATIO * 200 / 8 + 1


def test_outdated_load_report_does_not_attract_all_requests(view, rng):
    """All entries see the same report, so requests must still be spread."""
    for number in range(10):
        view.loads.record_report(make_load(f"t{number}", 1, 100.0), 0.0)
    view.loads.record_report(make_load("t0", 0, 0.0), 0.0)
    chosen = collections.Counter()
    for _ in range(1000):
        choice = best_choice(
            view, rng, make_candidates(10), routing.RequestInfo("p")
        )
        chosen[choice.candidate.target] += 1
    assert chosen["t0"] < 500


def test_backlog_of_other_plans_is_not_counted(view, rng):
    flooded_report = make_load(
        "t0", 9, 900.0, plan_backlog_tokens={"q": 900.0}
    )
    view.loads.record_report(flooded_report, 0.0)
    busy_report = make_load("t1", 1, 50.0, plan_backlog_tokens={"p": 50.0})
    view.loads.record_report(busy_report, 0.0)
    choice = best_choice(
        view, rng, make_candidates(2), routing.RequestInfo("p")
    )
    assert choice.candidate.target == "t0"
    choice = best_choice(
        view, rng, make_candidates(2), routing.RequestInfo("q")
    )
    assert choice.candidate.target == "t1"


def test_leaving_and_failing_targets_are_excluded(view, rng):
    view.loads.record_report(make_load("t0", leaving=True), 0.0)
    for _ in range(breaker.FAILURES_TO_OPEN):
        view.circuit_breakers.record_failure("t1", 0.0)
    request = routing.RequestInfo("p")
    choices = routing.rank(make_candidates(3), request, view, 0.1, rng)
    assert [choice.candidate.target for choice in choices] == ["t2"]


def test_an_open_breaker_lets_one_probe_through():
    state = breaker.CircuitBreakers()
    for _ in range(breaker.FAILURES_TO_OPEN):
        assert state.allows("t", 0.0)
        state.record_failure("t", 0.0)
    assert not state.allows("t", 0.1)
    assert state.allows("t", 0.6)
    state.record_sent("t", 0.6)
    assert not state.allows("t", 0.7)
    state.record_failure("t", 0.8)
    assert not state.allows("t", 1.5)
    assert state.allows("t", 1.9)
    state.record_success("t")
    assert state.allows("t", 1.9)


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(strategies.lists(strategies.sampled_from("abc")))
def test_common_prefixes_have_common_digests(words):
    short = prefixes.digests(" ".join(words))
    extended = prefixes.digests("  ".join([*words, *("x" * 40)]))
    assert extended[: len(short)] == short
    changed = prefixes.digests(" ".join(["y", *words[1:]]))
    assert not set(changed) & set(short)


@hypothesis.settings(derandomize=True, max_examples=50, deadline=None)
@hypothesis.given(strategies.integers(0, 30), strategies.integers(0, 1000))
def test_ranking_is_of_distinct_candidates(count, seed):
    view = routing.EntryState(
        load_estimates.Loads(),
        held_prompts.HeldPrompts(),
        breaker.CircuitBreakers(),
    )
    request = routing.RequestInfo("p", 200, 1, PARTS)
    view.held.record_sent("t0", request.parts, 0.0)
    choices = routing.rank(
        make_candidates(count), request, view, 0.0, random.Random(seed)
    )
    targets = [choice.candidate.target for choice in choices]
    assert len(set(targets)) == len(targets)
    assert bool(targets) == bool(count)


def test_the_parts_of_a_prompt_leave_out_the_whole_prompt():
    first_32_words = " ".join(PROMPT.split()[:32])
    whole = prefixes.describe("small", "w", first_32_words)
    longer = prefixes.describe("small", "w", f"{first_32_words} more")
    assert (whole.word_count, len(whole.beginnings)) == (32, 2)
    assert (longer.word_count, len(longer.beginnings)) == (33, 2)
    assert whole.parts == longer.parts[:1]
    assert len(longer.parts) == 2


def test_the_parts_of_a_prompt_differ_by_model():
    small = prefixes.describe("small", "w", PROMPT)
    large = prefixes.describe("large", "w", PROMPT)
    assert small.beginnings == large.beginnings
    assert not set(small.parts) & set(large.parts)

"""What targets hold of prompts, weighed against waits and memory."""

import hypothesis
from hypothesis import strategies
import pytest

from hemlocktiller._internal.policy import held_prompts

PARTS = held_prompts.beginnings("w", [(1, 100), (2, 300)])
ROOM_TOKENS = 1000.0


@pytest.fixture
def held():
    return held_prompts.HeldPrompts()


def make_offer(held_tokens=0.0, wait_s=0.0, **fields):
    """Returns the offer of a target that was seen to hold a part just now."""
    belief = held_prompts.Belief(held_tokens)
    return held_prompts.Offer(
        wait_s, 0.001, 0, belief, ROOM_TOKENS
    )._replace(**fields)  # fmt: skip


def make_other_parts(number, tokens):
    return held_prompts.beginnings("w", [(1000 + number, tokens)])


def probability(held, room_tokens=ROOM_TOKENS, now_s=1.0, **fields):
    belief = held.belief("t", PARTS, now_s, **fields)
    return held_prompts.held_probability(belief, room_tokens)


def test_the_longest_beginning_in_common_is_held(held):
    held.record_sent("t", PARTS, 0.0)
    longer = held_prompts.beginnings("w", [(1, 100), (2, 300), (3, 50)])
    other = held_prompts.beginnings("w", [(1, 100), (4, 300)])
    reordered = held_prompts.beginnings("w", [(2, 300), (1, 100)])
    assert held.belief("t", longer, 1.0).tokens == 400
    assert held.belief("t", other, 1.0).tokens == 100
    assert held.belief("t", reordered, 1.0).tokens == 0


@pytest.mark.parametrize(
    "later",
    [
        lambda held: held.forget("t"),
        lambda held: held.record_reported("t", [], 0.5, "restarted"),
    ],
)
def test_a_target_that_says_it_holds_nothing_is_believed(held, later):
    held.record_sent("t", PARTS, 0.0, "first")
    later(held)
    for incarnation in ("first", "restarted"):
        assert held.belief("t", PARTS, 1.0, incarnation).tokens == 0


def test_parts_of_another_incarnation_do_not_come_back(held):
    held.record_sent("t", PARTS, 0.0, "first")
    held.record_sent("t", make_other_parts(0, 10), 0.5, "second")
    assert held.belief("t", PARTS, 1.0, "first").tokens == 0


def test_what_a_target_read_since_makes_it_less_probable_to_be_held(held):
    held.record_sent("t", PARTS, 0.0)
    probabilities = [probability(held)]
    for number in range(8):
        held.record_sent("t", make_other_parts(number, 200), 0.5)
        probabilities.append(probability(held))
    assert probabilities[0] > 0.99
    assert sorted(probabilities, reverse=True) == probabilities
    assert probabilities[-1] == 0.0
    assert probability(held, float("inf")) > 0.99


def test_what_is_read_again_takes_no_more_memory(held):
    held.record_sent("t", PARTS, 0.0)
    for _ in range(20):
        held.record_sent("t", PARTS, 0.5)
    assert held.belief("t", PARTS, 1.0).read_tokens == 400


def test_a_part_gets_less_probable_with_age_and_yields_to_runs(held):
    held.record_sent("t", PARTS, 0.0)
    assert probability(held, now_s=200.0) < probability(held, now_s=100.0)
    assert probability(held, now_s=held_prompts.HELD_TTL_S) == 0.0
    assert probability(held, room_tokens=0.0) == 0.0


def test_the_memory_of_beliefs_is_bounded(held):
    for number in range(held_prompts.MAX_PARTS_PER_TARGET + 10):
        held.record_sent("t", make_other_parts(number, 1), float(number))
    assert held.belief("t", make_other_parts(9, 1), 10.0).tokens == 0
    assert held.belief("t", make_other_parts(10, 1), 10.0).tokens == 1


def test_a_stage_skips_only_what_all_later_stages_hold():
    holds, holds_less, lacks = map(make_offer, (400.0, 100.0, 0.0))

    def saved_s(*offers):
        return held_prompts.weigh(offers, 1000.0, 0.0).saved_s

    assert saved_s(holds, holds) == pytest.approx(0.8)
    assert saved_s(lacks, holds) == pytest.approx(0.4)
    assert saved_s(holds, lacks) == 0.0
    assert saved_s(holds, holds_less) == pytest.approx(0.2)


def test_a_long_wait_makes_what_is_held_worth_nothing():
    limit_s = held_prompts.MAX_WAIT_RATIO * 2.0 + 0.4
    within = make_offer(400.0, limit_s - 0.01)
    beyond = make_offer(400.0, limit_s + 0.01)
    assert held_prompts.weigh((within,), 1000.0, 2.0).saved_s > 0.0
    assert held_prompts.weigh((beyond,), 1000.0, 2.0).saved_s == 0.0


def test_reading_is_priced_by_who_waits_and_what_must_yield():
    idle = make_offer()
    busy = make_offer(delayed_requests=3)
    full = make_offer(belief=held_prompts.Belief(read_tokens=5000.0))
    no_room = make_offer(room_tokens=0.0)

    def price_s(offer):
        return held_prompts.weigh((offer,), 1000.0, 0.0).price_s

    assert price_s(idle) == 0.0
    assert price_s(busy) == pytest.approx(
        3.0 * held_prompts.BUSY_PERIOD_FACTOR
    )
    assert price_s(full) == price_s(no_room) == pytest.approx(1.0)


_OFFERS = strategies.lists(
    strategies.builds(
        held_prompts.Offer,
        strategies.floats(0, 10),
        strategies.floats(0, 0.01),
        strategies.integers(0, 50),
        strategies.builds(
            held_prompts.Belief,
            strategies.floats(0, 2000),
            strategies.floats(0, 400),
            strategies.floats(0, 5000),
            strategies.floats(0, 5000),
        ),
        strategies.floats(0, 5000),
    ),
    min_size=1,
    max_size=4,
)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(_OFFERS, strategies.floats(0, 1000), strategies.floats(0, 5))
def test_no_more_is_saved_than_reading_takes(
    offers, prompt_tokens, usual_wait_s
):
    worth = held_prompts.weigh(offers, prompt_tokens, usual_wait_s)
    whole_s = prompt_tokens * sum(offer.token_read_s for offer in offers)
    assert 0.0 <= worth.saved_s <= whole_s * 1.000001
    assert worth.read_s == pytest.approx(whole_s - worth.saved_s, abs=1e-9)
    assert worth.price_s >= 0.0
    assert 0.0 <= worth.held_tokens <= prompt_tokens

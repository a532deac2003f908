"""Tests of the detection of prompt parts that crash targets."""

import random

from hypothesis import given
from hypothesis import strategies
import pytest

from hemlocktiller._internal.policy import crashing_parts

SETTINGS = {"suspect_ttl_s": 600.0}
NEVER_S = float("-inf")
CRASHING, FIRST, OTHER = 1, 2, 3


@pytest.fixture
def tracker():
    return crashing_parts.CrashingParts(SETTINGS)


def record_other_outputs(tracker, now_s, count=3):
    for number in range(count):
        tracker.record_output((10**6 + number,), now_s)


def crash(tracker, times_s, prompt=(FIRST, CRASHING), name="t"):
    """Records one death at each time, with sound output after it."""
    for time_s in times_s:
        tracker.record_death(f"{name}{time_s}", [prompt], time_s)
        record_other_outputs(tracker, time_s + 0.01)


def tell(source, receiver, now_s):
    deaths = source.deaths(now_s)
    return receiver.merge(
        deaths, source.outputs(deaths, now_s), source.contrast_s(), now_s
    )


def test_different_requests_with_the_same_part_add_up(tracker):
    for number in range(4):
        assert not tracker.is_condemned((FIRST, CRASHING), number)
        prompt = (FIRST, CRASHING, 100 + number)
        tracker.record_death(f"t{number}", [prompt], number)
        record_other_outputs(tracker, number + 0.1)
    assert tracker.is_condemned((FIRST, CRASHING, 200), 4.0)
    assert tracker.is_condemned((CRASHING,), 4.0)
    assert tracker.condemned_part((FIRST, CRASHING), 4.0) == CRASHING
    assert not tracker.is_condemned((FIRST, 100, 101, 102, 103), 4.0)


def test_one_target_counts_once(tracker):
    for time_s in range(8):
        tracker.record_death("t", [(CRASHING,)], float(time_s))
        record_other_outputs(tracker, time_s + 0.1)
    assert not tracker.is_condemned((CRASHING,), 9.0)


def test_shared_first_part_without_output_is_not_condemned(tracker):
    crash(tracker, [0.0, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0, 8.0])
    assert tracker.is_condemned((FIRST, CRASHING), 9.0)
    assert not tracker.is_condemned((FIRST, OTHER), 9.0)


def test_sound_requests_beside_crashing_ones_are_not_condemned(tracker):
    for number in range(12):
        prompts = [(FIRST, CRASHING), (FIRST, OTHER)]
        if number == 2:
            prompts = [(FIRST, CRASHING)]
        tracker.record_death(f"t{number}", prompts, float(number))
        record_other_outputs(tracker, number + 0.1)
    assert tracker.is_condemned((FIRST, CRASHING), 13.0)
    assert not tracker.is_condemned((FIRST, OTHER), 13.0)


def test_parts_that_cannot_be_told_apart_wait_for_another_death(tracker):
    for number in range(4):
        prompts = [(FIRST, CRASHING), (FIRST, OTHER)]
        tracker.record_death(f"t{number}", prompts, float(number))
        record_other_outputs(tracker, number + 0.1)
    assert not tracker.is_condemned((FIRST, CRASHING, OTHER), 5.0)
    crash(tracker, [6.0])
    assert tracker.is_condemned((CRASHING,), 7.0)
    assert not tracker.is_condemned((FIRST, OTHER), 7.0)


def test_parts_that_stay_undecided_are_all_condemned(tracker):
    for number in range(6):
        prompts = [(FIRST, CRASHING), (FIRST, OTHER)]
        tracker.record_death(f"t{number}", prompts, float(number))
        record_other_outputs(tracker, number + 0.1)
    assert tracker.is_condemned((CRASHING,), 7.0)
    assert tracker.is_condemned((OTHER,), 7.0)
    assert not tracker.is_condemned((FIRST,), 7.0)


def test_later_death_beside_a_condemned_part_is_no_evidence(tracker):
    crash(tracker, [0.0, 1.0, 2.0, 3.0])
    for number in range(10, 20):
        prompts = [(FIRST, CRASHING), (OTHER,)]
        tracker.record_death(f"t{number}", prompts, float(number))
    record_other_outputs(tracker, 21.0)
    assert not tracker.is_condemned((OTHER,), 22.0)


def test_peer_report_of_a_condemned_part_explains_an_earlier_death(tracker):
    crash(tracker, [0.0, 1.0, 2.0, 3.0])
    peer = crashing_parts.CrashingParts(SETTINGS)
    for time_s in (5.0, 6.0, 7.0):
        tracker.record_death(f"u{time_s}", [(OTHER,)], time_s)
        peer.record_death(f"u{time_s}", [(FIRST, CRASHING)], time_s)
    tell(peer, tracker, 7.1)
    crash(tracker, [8.0], (OTHER,), "v")
    assert tracker.is_condemned((CRASHING,), 9.0)
    assert not tracker.is_condemned((OTHER,), 9.0)


def test_part_blamed_on_its_neighbour_is_condemned_by_further_deaths(tracker):
    crash(tracker, [0.0, 1.0, 2.0, 3.0], (FIRST, CRASHING, OTHER))
    assert tracker.condemned_part((CRASHING, OTHER), 4.0) == OTHER
    crash(tracker, [5.0], (FIRST, CRASHING))
    assert not tracker.is_condemned((CRASHING,), 5.1)
    crash(tracker, [6.0], (FIRST, CRASHING))
    assert tracker.is_condemned((CRASHING,), 6.1)
    assert not tracker.is_condemned((FIRST,), 6.1)


def test_deaths_of_a_released_part_count_against_its_neighbour(tracker):
    crash(tracker, [0.0, 1.0, 2.0, 3.0], (FIRST, CRASHING, OTHER))
    assert tracker.condemned_part((CRASHING, OTHER), 4.0) == OTHER
    tracker.record_output((FIRST, OTHER), 4.0)
    assert tracker.condemned_part((CRASHING, OTHER), 4.0) == CRASHING


def test_output_drops_the_deaths_before_it(tracker):
    crash(tracker, [0.0, 1.0, 2.0], (CRASHING,))
    assert tracker.record_output((CRASHING,), 2.5) == [(CRASHING, 2.5)]
    crash(tracker, [3.0, 4.0, 5.0], (CRASHING,))
    assert not tracker.is_condemned((CRASHING,), 6.0)
    assert tracker.death_count(CRASHING) == 3


def test_output_of_a_run_in_progress_clears_a_condemned_part(tracker):
    crash(tracker, [0.0, 1.0, 2.0, 3.0], (CRASHING,))
    assert tracker.is_condemned((CRASHING,), 3.5)
    tracker.record_output((CRASHING,), 4.0)
    assert not tracker.is_condemned((CRASHING,), 4.0)


def test_known_good_part_needs_more_deaths(tracker):
    tracker.record_output((OTHER,), 0.0)
    crash(tracker, range(1, 8), (OTHER,))
    assert not tracker.is_condemned((OTHER,), 8.0)
    crash(tracker, [8], (OTHER,))
    assert tracker.is_condemned((OTHER,), 9.0)


def test_old_output_does_not_make_a_part_known_good(tracker):
    tracker.record_output((CRASHING,), 0.0)
    crash(tracker, [700.0, 701.0, 702.0, 703.0])
    assert tracker.is_condemned((CRASHING,), 704.0)


def test_without_output_of_others_no_part_is_condemned(tracker):
    for number in range(20):
        tracker.record_death(f"t{number}", [(CRASHING,)], float(number))
    record_other_outputs(tracker, 20.0, count=2)
    assert not tracker.is_condemned((CRASHING,), 21.0)
    record_other_outputs(tracker, 21.0, count=1)
    assert tracker.is_condemned((CRASHING,), 21.0)


def test_part_in_every_death_is_condemned_while_nothing_has_output(tracker):
    record_other_outputs(tracker, 0.0)
    for number in range(1, 6):
        tracker.record_death(f"t{number}", [(FIRST, CRASHING)], float(number))
    assert not tracker.is_condemned((FIRST, CRASHING), 6.0)
    tracker.record_death("t6", [(FIRST, CRASHING)], 6.0)
    assert tracker.is_condemned((CRASHING,), 6.0)
    assert not tracker.is_condemned((FIRST,), 6.0)


def test_failure_of_all_targets_condemns_no_part(tracker):
    record_other_outputs(tracker, 0.0)
    tracker.record_output((FIRST,), 0.0)
    for number in range(1, 61):
        prompt = (FIRST, 10 + number % 6)
        tracker.record_death(f"t{number}", [prompt], float(number))
    assert not tracker.is_condemned((FIRST, *range(10, 16)), 61.0)


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("starts_cold", [True, False])
def test_loss_of_a_third_of_the_targets_condemns_no_part(
    tracker, seed, starts_cold
):
    rng = random.Random(seed)
    parts = list(range(1, 31))
    routes = {route: rng.sample(parts, 6) for route in range(4)}
    if not starts_cold:
        tracker.record_output(parts, 0.0)
    for number in range(20):
        now_s = 1.0 + rng.uniform(0.0, 0.4)
        route = number % 4
        prompts = [
            (100 + route, *rng.sample(routes[route], 2))
            for _ in range(rng.randint(0, 8))
        ]
        tracker.record_death(f"t{number}", prompts, now_s)
        record_other_outputs(tracker, now_s)
        everything = (*parts, 100, 101, 102, 103)
        assert not tracker.is_condemned(everything, now_s)
    record_other_outputs(tracker, 30.0)
    assert not tracker.is_condemned(everything, 30.0)


def test_simultaneous_loss_of_all_targets_of_a_route_condemns_no_part(
    tracker,
):
    tracker.record_output((FIRST,), 0.0)
    for number in range(20):
        prompts = [(FIRST, OTHER)]
        tracker.record_death(f"t{number}", prompts, 1.0 + 0.01 * number)
        record_other_outputs(tracker, 1.0 + 0.01 * number)
    assert not tracker.is_condemned((FIRST, OTHER), 2.0)


def test_crashing_part_is_condemned_after_a_mass_failure(tracker):
    for number in range(20):
        tracker.record_death(f"t{number}", [(100 + number,)], 1.0)
    tracker.record_death("x", [(FIRST, CRASHING)], 1.0)
    crash(tracker, [3.0, 3.4, 3.8])
    assert not tracker.is_condemned((CRASHING,), 4.0)
    crash(tracker, [4.2])
    assert tracker.is_condemned((CRASHING,), 4.3)


def test_bursts_of_deaths_condemn_a_part(tracker):
    crash(tracker, [0.0, 0.1, 0.3, 0.6])
    assert tracker.is_condemned((CRASHING,), 0.7)


def test_withdrawn_death_does_not_count(tracker):
    peer = crashing_parts.CrashingParts(SETTINGS)
    crash(peer, [0.0, 1.0, 2.0, 3.0])
    crash(tracker, [0.0, 1.0, 2.0, 3.0])
    tracker.withdraw_death("t3.0", 4.0)
    assert not tracker.is_condemned((CRASHING,), 4.0)
    tell(peer, tracker, 4.0)
    assert not tracker.is_condemned((CRASHING,), 4.0)


def test_death_after_an_answered_probe_counts(tracker):
    for time_s in (0.0, 1.0, 2.0, 3.0):
        tracker.withdraw_death(f"t{time_s}", time_s - 0.5)
    tracker.record_death("t3.0", [(FIRST, CRASHING)], 2.8)
    tracker.withdraw_death("t3.0", 2.9)
    crash(tracker, [0.0, 1.0, 2.0, 3.0])
    assert tracker.is_condemned((CRASHING,), 4.0)


def test_evidence_expires_after_the_last_death(tracker):
    crash(tracker, [0.0, 100.0, 200.0, 300.0])
    assert tracker.is_condemned((CRASHING,), 899.0)
    assert not tracker.is_condemned((CRASHING,), 900.0)
    assert tracker.deaths(900.0) == []
    assert len(tracker) == 0


def test_memory_is_bounded():
    tracker = crashing_parts.CrashingParts(SETTINGS, max_parts=50)
    for number in range(3000):
        tracker.record_death(f"t{number}", [(number, -number)], 1.0)
        tracker.record_output((10**6 + number,), 1.0)
    assert len(tracker) == 50
    assert len(tracker.deaths(1.0)) <= crashing_parts.MAX_DEATHS
    prompts = [tuple(range(n, n + 500)) for n in range(1000)]
    death = tracker.record_death("long", prompts, 1.0)
    assert len(death.prompts) == crashing_parts.MAX_PROMPTS_PER_DEATH
    assert len(tracker) == 50


def test_peers_deaths_add_up(tracker):
    peer = crashing_parts.CrashingParts(SETTINGS)
    crash(peer, [0.0, 1.0], name="p")
    crash(tracker, [2.0])
    news = tell(peer, tracker, 2.5)
    assert [death.target for death in news.deaths] == ["p0.0", "p1.0"]
    assert tell(peer, tracker, 2.6) == ([], [])
    crash(tracker, [3.0])
    assert tracker.is_condemned((CRASHING,), 3.1)
    assert not peer.is_condemned((CRASHING,), 3.1)
    tell(tracker, peer, 3.1)
    assert peer.is_condemned((CRASHING,), 3.1)
    assert not peer.is_condemned((FIRST,), 3.1)


def test_other_outputs_of_a_peer_give_the_contrast(tracker):
    for number in range(4):
        tracker.record_death(f"t{number}", [(CRASHING,)], float(number))
    assert not tracker.is_condemned((CRASHING,), 4.0)
    tracker.merge([], [], 3.5, 4.0)
    assert tracker.is_condemned((CRASHING,), 4.0)


def test_output_at_a_peer_releases_a_condemned_part(tracker):
    peer = crashing_parts.CrashingParts(SETTINGS)
    peer.record_output((OTHER,), 0.5)
    crash(tracker, [1.0, 2.0, 3.0, 4.0], (OTHER,))
    assert tracker.is_condemned((OTHER,), 4.5)
    news = tell(tracker, peer, 4.5)
    known_outputs = peer.outputs(news.deaths, 4.5)
    assert known_outputs == [(OTHER, 0.5)]
    tracker.merge([], known_outputs, NEVER_S, 4.6)
    assert not tracker.is_condemned((OTHER,), 4.6)


def test_death_known_from_a_peer_is_cleared_by_output_there(tracker):
    peer = crashing_parts.CrashingParts(SETTINGS)
    crash(tracker, [1.0, 2.0, 3.0], (OTHER,))
    tell(tracker, peer, 3.1)
    cleared = peer.record_output((OTHER, 99), 3.5)
    assert cleared == [(OTHER, 3.5)]
    assert tracker.merge([], cleared, NEVER_S, 3.6).outputs == cleared
    assert tracker.merge([], cleared, NEVER_S, 3.7).outputs == []
    assert tracker.death_count(OTHER) == 0


def test_condemnations_are_reported_once():
    reported = []
    tracker = crashing_parts.CrashingParts(
        SETTINGS, on_condemned=lambda *args: reported.append(args)
    )
    crash(tracker, [0.0, 1.0, 2.0, 3.0, 4.0])
    assert reported == [(CRASHING, 4)]


EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["death", "output", "merge", "withdraw"]),
        strategies.integers(0, 12),
        strategies.lists(strategies.integers(1, 5), min_size=1, max_size=3),
        strategies.floats(0.0, 2.0),
    ),
    max_size=60,
)


@given(EVENTS)
def test_part_with_output_after_its_deaths_is_never_condemned(history):
    tracker = crashing_parts.CrashingParts(SETTINGS)
    deaths_s, outputs_s = {}, {}
    now_s = 0.0
    for kind, target, parts, elapsed_s in history:
        now_s += elapsed_s
        if kind == "output":
            tracker.record_output(parts, now_s)
            outputs_s.update(dict.fromkeys(parts, now_s))
        elif kind == "withdraw":
            tracker.withdraw_death(f"t{target}", now_s)
        else:
            if kind == "death":
                tracker.record_death(f"t{target}", [parts], now_s)
            else:
                death = crashing_parts.Death(
                    f"t{target}", now_s, (tuple(parts),)
                )
                tracker.merge([death], [], now_s, now_s)
            deaths_s.update(dict.fromkeys(parts, now_s))
        record_other_outputs(tracker, now_s)
        for part, output_s in outputs_s.items():
            if deaths_s.get(part, NEVER_S) <= output_s:
                assert not tracker.is_condemned((part,), now_s)

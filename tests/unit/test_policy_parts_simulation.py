"""The detection of crashing prompt parts in simulated fleets."""

import pytest

from tests.unit import parts_simulation
from tests.unit.parts_simulation import Play

CONTACT_S = 3.0
MAX_LATE = 3
SEEDS = range(6)

CRASHING = {
    "one_part": Play(1, 3.0),
    "two_parts": Play(2, 2.0),
    "two_parts_often": Play(2, 3.0, targets=30),
    "a_quarter_of_the_targets_lost": Play(
        1, targets=30, lost_share=0.25, lost_at_s=5.0
    ),
    "two_other_deaths_a_second": Play(1, targets=30, other_deaths_per_s=2.0),
    "four_parts": Play(4, 2.0, targets=60),
    "four_parts_very_often": Play(
        4, 10.0, targets=300, sound_per_s=150.0, duration_s=12.0
    ),
    "one_part_all_targets": Play(1, 10.0, targets=6),
    "two_parts_seldom": Play(2, 0.5, targets=6, duration_s=60.0),
    "from_a_cold_start": Play(2, crashing_from_s=0.0),
    "slow_first_outputs": Play(1, first_output_s=2.0),
    "a_gateway_restarts": Play(2, gateway_restarts_s=(10.0,)),
    "ten_gateways": Play(2, gateways=10),
    "again_and_again_a_quarter": Play(
        2, targets=30, lost_share=0.25, lost_every_s=3.0
    ),
    "rare_sound_parts": Play(2, rare_parts=500, retries=4),
}
SOUND = {
    "all_targets_lost_again_and_again": Play(
        lost_share=1.0, lost_every_s=5.0, first_output_s=4.0
    ),
    "all_lost_before_most_outputs": Play(
        lost_share=1.0, lost_every_s=5.0, first_output_s=6.0
    ),
    "slow_outputs_from_a_cold_start": Play(
        targets=6, other_deaths_per_s=1 / 0.6, first_output_s=3.0
    ),
    "few_slow_outputs_from_a_cold_start": Play(
        targets=6,
        other_deaths_per_s=1 / 0.6,
        first_output_s=3.0,
        sound_per_s=10.0,
    ),
    "many_slow_outputs_from_a_cold_start": Play(
        other_deaths_per_s=4.0, first_output_s=3.0
    ),
    "slow_outputs_gateways_restart": Play(
        targets=6,
        other_deaths_per_s=1 / 0.6,
        first_output_s=3.0,
        gateway_restarts_s=(8.0, 16.0, 24.0),
    ),
    "all_lost_gateways_restart": Play(
        lost_share=1.0,
        lost_every_s=5.0,
        first_output_s=4.0,
        gateway_restarts_s=(8.0, 16.0, 24.0),
    ),
}


@pytest.mark.parametrize("play", CRASHING.values(), ids=CRASHING)
def test_few_requests_with_a_crashing_part_are_sent_late(play):
    for seed in SEEDS:
        simulation = parts_simulation.Simulation(play, seed).run()
        assert all(
            len(times_s) >= 3 for times_s in simulation.crashes_s.values()
        )
        assert max(simulation.late(CONTACT_S).values()) <= MAX_LATE
        assert simulation.rejected == []


@pytest.mark.parametrize("play", SOUND.values(), ids=SOUND)
def test_no_sound_request_is_rejected_whatever_targets_die_of(play):
    for seed in SEEDS:
        simulation = parts_simulation.Simulation(play, seed).run()
        assert simulation.sound_begun_s
        assert simulation.rejected == []


@pytest.mark.parametrize("seed", SEEDS)
def test_sound_requests_begin_beside_crashing_ones(seed):
    play = Play(4, 2.0, targets=60)
    simulation = parts_simulation.Simulation(play, seed).run()
    undisturbed = parts_simulation.Simulation(
        play._replace(crashing=0), seed
    ).run()
    start_s = 2 * CONTACT_S + max(
        times_s[: parts_simulation.CRASHES_UNTIL_LATE][-1]
        for times_s in simulation.crashes_s.values()
    )
    begun, begun_undisturbed = (
        sum(time_s > start_s for time_s in one.sound_begun_s)
        for one in (simulation, undisturbed)
    )
    assert begun >= 0.5 * begun_undisturbed > 0


def test_a_play_follows_from_its_seed():
    play = CRASHING["two_other_deaths_a_second"]
    first, second = (
        parts_simulation.Simulation(play, 1).run() for _ in range(2)
    )
    assert first.crashes_s == second.crashes_s
    assert first.sound_begun_s == second.sound_begun_s

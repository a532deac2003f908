"""Prompts of which one part crashes each target that begins to answer them."""

import pytest

from tests.unit import fleet_simulation

# The sound prompts share this part with the crashing ones.
LEADING_PART = fleet_simulation.words("leading", 16)
CRASHING_PART = fleet_simulation.words("crashing", 16)
CRASHES_BEFORE_LIMIT = 5
MAX_BEGUN_LATER = 3
MANY_FAILED_CALLS = 8
ROUND_S = 0.4
SOUND_PROMPTS_PER_ROUND = 4


@pytest.fixture
def build_fleet(monkeypatch):
    def build(**options):
        return fleet_simulation.Fleet(monkeypatch, CRASHING_PART, **options)

    return build


def crashing_prompt(number):
    """Returns a prompt with the crashing part, unlike all others."""
    rest = fleet_simulation.words(f"crash-{number}-", 40)
    return f"{LEADING_PART} {CRASHING_PART} {rest}"


def sound_prompt(number):
    """Returns a sound prompt with the same leading part."""
    rest = fleet_simulation.words(f"sound-{number}-", 40)
    return f"{LEADING_PART} {rest}"


def play(fleet, rounds, crashing_entries):
    """Sends some sound prompts and one that crashes in each round.

    Args:
        fleet: The fleet.
        rounds: Number of rounds.
        crashing_entries: Entries that the crashing prompts go to, in turn.

    Returns:
        The exchanges of the crashing and of the sound prompts.
    """
    crashing, sound = [], []
    for number in range(rounds):
        for index in range(SOUND_PROMPTS_PER_ROUND):
            for entry in fleet.entries:
                prompt = sound_prompt(f"{number}-{index}-{entry}")
                sound.append(fleet.send(entry, prompt))
            fleet.run(ROUND_S / SOUND_PROMPTS_PER_ROUND)
        entry = crashing_entries[number % len(crashing_entries)]
        crashing.append(fleet.send(entry, crashing_prompt(number)))
    fleet.run(ROUND_S)
    fleet_simulation.settle(fleet, crashing + sound)
    return crashing, sound


@pytest.mark.parametrize("whole_vm_crashes", [False, True])
def test_different_prompts_with_a_crashing_part_stop_after_few_crashes(
    build_fleet, whole_vm_crashes
):
    fleet = build_fleet(whole_vm_crashes=whole_vm_crashes)
    crashing, _ = play(fleet, 25, ["e0", "e1"])
    begun_later = fleet.begun_after_crash(CRASHES_BEFORE_LIMIT)
    assert len(begun_later) <= MAX_BEGUN_LATER
    assert all(exchange.error is not None for exchange in crashing)
    codes = {exchange.error.code for exchange in crashing[-10:]}
    assert codes == {"crashes_targets"}


@pytest.mark.parametrize("whole_vm_crashes", [False, True])
def test_sound_prompts_with_the_leading_part_of_crashing_ones_are_served(
    build_fleet, whole_vm_crashes
):
    fleet = build_fleet(whole_vm_crashes=whole_vm_crashes)
    _, sound = play(fleet, 25, ["e0", "e1"])
    assert [exchange.is_whole for exchange in sound] == [True] * len(sound)
    assert len(fleet.begun_prompts(sound)) <= 1.1 * len(sound)


def test_an_entry_rejects_a_part_that_crashed_targets_of_other_entries(
    build_fleet,
):
    fleet = build_fleet()
    play(fleet, 12, ["e0"])
    begun_before = len(fleet.begun)
    exchange = fleet.send("e1", crashing_prompt("last"))
    fleet_simulation.settle(fleet, [exchange])
    assert exchange.error is not None
    assert exchange.error.code == "crashes_targets"
    assert len(fleet.begun) == begun_before


def test_an_entry_that_starts_later_learns_which_part_crashes_targets(
    build_fleet,
):
    fleet = build_fleet()
    play(fleet, 12, ["e0", "e1"])
    fleet.start_entry("e2")
    fleet.run(1.0)
    begun_before = len(fleet.begun)
    exchange = fleet.send("e2", crashing_prompt("last"))
    fleet_simulation.settle(fleet, [exchange])
    assert exchange.error is not None
    assert exchange.error.code == "crashes_targets"
    assert len(fleet.begun) == begun_before


def test_a_target_refuses_a_crashing_part_that_an_entry_does_not_know(
    build_fleet,
):
    fleet = build_fleet()
    play(fleet, 12, ["e0", "e1"])
    fleet.run(2 * fleet_simulation.RESTART_S)
    other_entry = fleet.dial("a0")
    begun_before = len(fleet.begun)
    other_entry.link.send(
        fleet_simulation.start_message(crashing_prompt("last"))
    )
    fleet.run(1.0)
    reasons = [
        message["reason"]
        for message in other_entry.messages
        if message["type"] == "refused"
    ]
    assert reasons == ["crashes_targets"]
    assert len(fleet.begun) == begun_before


def test_targets_that_die_under_sound_prompts_condemn_no_part(build_fleet):
    fleet = build_fleet(whole_vm_crashes=True)
    sound = []
    for number in range(60):
        for entry in fleet.entries:
            prompt = sound_prompt(f"{number}-{entry}")
            sound.append(fleet.send(entry, prompt))
        if number % 6 == 5:
            fleet.run(fleet_simulation.STEP_S / 2)
            fleet.crash_engine(f"a{number // 6 % 8}")
        fleet.run(0.1)
    fleet_simulation.settle(fleet, sound)
    assert [exchange.is_whole for exchange in sound] == [True] * len(sound)


def test_engines_that_only_answered_late_condemn_no_part(build_fleet):
    fleet = build_fleet()
    late_part = fleet_simulation.words("late", 32)
    fleet.timeout_text = late_part
    exchanges = []
    for number in range(12):
        exchanges.append(fleet.send("e0", sound_prompt(number)))
        exchanges.append(fleet.send("e0", f"{late_part} {number}"))
        fleet.run(ROUND_S)
    fleet_simulation.settle(fleet, exchanges)
    late_count = sum(late_part in begun.prompt for begun in fleet.begun)
    assert late_count > MANY_FAILED_CALLS
    fleet.timeout_text = None
    exchange = fleet.send("e0", f"{late_part} last")
    fleet_simulation.settle(fleet, [exchange])
    assert exchange.is_whole

"""Room that is kept for more urgent requests."""

from hypothesis import given
from hypothesis import strategies
import pytest

from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import occupancy
from hemlocktiller._internal.policy import paths
from hemlocktiller._internal.policy import room
from tests.unit.gateway.conftest import ACCELERATORS
from tests.unit.gateway.conftest import make_target

DEMAND = paths.RequestDemand(774.0, 203.0, 900.0)
# Arrivals per second of the most urgent class, of the next and of the least.
RATES_PER_S = {0: 24.4, 1: 37.4, 2: 15.0}


def make_state(engine, loads, more_urgent_ratio):
    return paths.TargetsState(
        engine,
        lambda name: loads.get(name, occupancy.NO_LOAD),
        lambda name: 1.0,
        lambda name: False,
        more_urgent_ratio=more_urgent_ratio,
    )


def test_the_most_urgent_class_may_use_all_room():
    ratio = room.more_urgent_ratio(RATES_PER_S, 0)
    assert ratio == 0.0
    assert room.kept_ratio(40.0, ratio) == 0.0


@given(
    strategies.dictionaries(
        strategies.integers(0, 9), strategies.floats(0.0, 1e6), max_size=10
    ),
    strategies.floats(0.0, 1e6),
)
def test_less_urgent_classes_are_never_left_more_room(rates_per_s, fitting):
    kept = [
        room.kept_ratio(fitting, room.more_urgent_ratio(rates_per_s, rank))
        for rank in range(10)
    ]
    assert kept == sorted(kept)
    assert all(0.0 <= ratio <= room.MAX_KEPT_RATIO for ratio in kept)


def test_nothing_is_kept_while_no_demand_is_known():
    assert room.more_urgent_ratio({}, 2) == 0.0
    assert room.more_urgent_ratio({1: 0.0}, 2) == 0.0


def fill_until_full(engine, more_urgent_ratio, loads):
    """Starts requests until there is no path; returns how many started."""
    targets = [
        make_target("a", accelerator="fast", first_layer=0, end_layer=30),
        make_target("b", accelerator="fast", first_layer=30, end_layer=58),
        make_target("c", accelerator="fast", first_layer=58, end_layer=80),
    ]
    started = 0
    state = make_state(engine, loads, more_urgent_ratio)
    while choice := paths.find_fastest_path(targets, DEMAND, state):
        for stage in choice.path:
            load = loads.get(stage.target.name, occupancy.NO_LOAD)
            loads[stage.target.name] = occupancy.Load(
                load.token_layers + DEMAND.reserved_tokens * stage.layers,
                load.sequences + 1,
            )
        started += 1
    return started


def test_an_urgent_burst_finds_room_after_a_flood_of_what_can_wait(engine):
    loads = {}
    ratio = room.more_urgent_ratio(RATES_PER_S, 2)
    assert fill_until_full(engine, ratio, loads) > 0
    in_time = fill_until_full(engine, 0.0, loads)
    without_kept_room = {}
    fill_until_full(engine, 0.0, without_kept_room)
    assert fill_until_full(engine, 0.0, without_kept_room) == 0
    assert in_time >= 2


@pytest.mark.parametrize(
    ("slowest", "has_path"), [(16.0, False), (24.0, True)]
)
def test_only_first_stages_are_limited_by_slots_where_targets_are_uneven(
    engine, slowest, has_path
):
    accelerators = {
        **ACCELERATORS,
        "slow": fleet.Accelerator("slow", 21_600.0, slowest, 8.2),
    }
    engine = engine._replace(accelerators=accelerators)
    first = make_target("a", first_layer=0, end_layer=30)
    later = make_target("b", first_layer=30, end_layer=58)
    last = make_target("c", first_layer=58, end_layer=80)
    busy = occupancy.Load(0.0, engine.max_sequences)
    choice = paths.find_fastest_path(
        [first, later, last], DEMAND, make_state(engine, {"b": busy}, 0.0)
    )
    assert (choice is not None) == has_path
    assert (
        paths.find_fastest_path(
            [first, later, last], DEMAND, make_state(engine, {"a": busy}, 0.0)
        )
        is None
    )

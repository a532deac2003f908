"""The layout: complete chains, few reloads, and replacement of lost ranges."""

import itertools

import pytest

from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import layout
from tests.unit.gateway.conftest import make_target

ACCELERATOR_COUNTS = {
    "dc-a": {"fast": 1, "middle": 6, "slow": 5},
    "dc-b": {"fast": 2, "middle": 2, "slow": 5},
    "dc-c": {"fast": 1, "middle": 3, "slow": 8},
}


def make_fleet(counts_by_data_centre=ACCELERATOR_COUNTS):
    """Returns targets that hold no layers."""
    return [
        make_target(
            f"{data_centre}-{kind}-{i}",
            data_centre=data_centre,
            accelerator=kind,
        )
        for data_centre, kinds in counts_by_data_centre.items()
        for kind, count in kinds.items()
        for i in range(count)
    ]


def apply_placements(targets, placements):
    """Returns the targets after they have loaded their ordered ranges."""
    ranges = {
        one.target.name: (one.first_layer, one.end_layer) for one in placements
    }
    return [
        target._replace(
            first_layer=ranges.get(target.name, (target.first_layer,))[0],
            end_layer=ranges.get(target.name, (0, target.end_layer))[1],
        )
        for target in targets
    ]


@pytest.fixture
def loaded_layout(engine):
    """A plan, and the targets that have loaded it."""
    targets = make_fleet()
    plan = layout.plan_ranges(targets, engine)
    return plan, apply_placements(
        targets, layout.fill_ranges(plan, targets, engine)
    )


def test_each_chain_holds_every_layer_once_and_in_order(engine):
    plan = layout.plan_ranges(make_fleet(), engine)
    chains = itertools.groupby(plan, key=lambda one: one[0] + str(one.chain))
    for _, slots in chains:
        ends = [0]
        for slot in slots:
            assert slot.first_layer == ends[-1]
            ends.append(slot.end_layer)
        assert ends[-1] == engine.layer_count


def test_no_range_exceeds_the_memory_of_its_accelerator(engine):
    for slot in layout.plan_ranges(make_fleet(), engine):
        kind = engine.accelerators[slot.accelerator]
        layers = slot.end_layer - slot.first_layer
        assert layers * engine.layer_mb < kind.memory_mb


def test_each_data_centre_has_a_complete_chain(engine):
    plan = layout.plan_ranges(make_fleet(), engine)
    assert {slot.data_centre for slot in plan} == set(ACCELERATOR_COUNTS)


def test_a_loaded_layout_is_not_changed(engine, loaded_layout):
    plan, targets = loaded_layout
    assert layout.fill_ranges(plan, targets, engine) == []


def test_a_new_target_takes_the_range_of_one_that_drains(
    engine, loaded_layout
):
    plan, targets = loaded_layout
    draining_target = next(
        target for target in targets if target.accelerator == "fast"
    )
    replacement = draining_target._replace(
        name="new", first_layer=0, end_layer=0
    )
    live_targets = [
        target for target in targets if target is not draining_target
    ] + [replacement]
    assert layout.fill_ranges(plan, live_targets, engine) == [
        layout.Placement(
            replacement, draining_target.first_layer, draining_target.end_layer
        )
    ]


def test_a_spare_target_replaces_a_lost_one(engine, loaded_layout):
    plan, targets = loaded_layout
    lost_target = next(
        target
        for target in targets
        if target.data_centre == "dc-a" and target.accelerator == "slow"
    )
    spare = make_target(
        "spare", data_centre="dc-a", accelerator="slow",
        first_layer=0, end_layer=10,
    )  # fmt: skip
    live_targets = [
        target for target in targets if target is not lost_target
    ] + [spare]
    placements = layout.fill_ranges(plan, live_targets, engine)
    assert placements == [
        layout.Placement(spare, lost_target.first_layer, lost_target.end_layer)
    ]


def test_spare_targets_get_the_ranges_with_fewest_holders(
    engine, loaded_layout
):
    plan, targets = loaded_layout
    placements = layout.place_spare_targets(plan, targets, engine)
    idle = {target.name for target in targets if not target.layers}
    assert {one.target.name for one in placements} == idle
    placed_ranges = sorted(
        (one.first_layer, one.end_layer) for one in placements
    )
    assert all(
        previous[1] <= following[0]
        for previous, following in itertools.pairwise(placed_ranges)
    )


def test_a_target_too_small_for_a_range_is_not_ordered_to_hold_it(
    engine, loaded_layout
):
    plan, targets = loaded_layout
    lost_target = next(
        target for target in targets if target.accelerator == "fast"
    )
    small = make_target(
        "small", data_centre=lost_target.data_centre, accelerator="slow"
    )
    live_targets = [
        target for target in targets if target is not lost_target
    ] + [small]
    for one in layout.fill_ranges(plan, live_targets, engine):
        kind = engine.accelerators[one.target.accelerator]
        layers = one.end_layer - one.first_layer
        assert layers * engine.layer_mb < kind.memory_mb


def test_targets_of_an_unknown_accelerator_get_no_range(engine):
    targets = [*make_fleet(), make_target("odd", accelerator="unknown")]
    plan = layout.plan_ranges(targets, engine)
    names = {
        one.target.name for one in layout.fill_ranges(plan, targets, engine)
    }
    assert "odd" not in names


def test_a_fleet_too_small_for_a_chain_has_no_plan(engine):
    targets = make_fleet({"dc-a": {"slow": 3}})
    assert layout.plan_ranges(targets, engine) == ()
    assert targets[0].state == fleet.READY


@pytest.mark.parametrize("times", [1, 6, 60])
def test_large_data_centres_are_planned_in_parts(engine, times, monkeypatch):
    searched_counts = []
    original_best_chains = layout._best_chains
    monkeypatch.setattr(
        layout,
        "_best_chains",
        lambda counts, engine: (
            searched_counts.append(counts)
            or original_best_chains(counts, engine)
        ),
    )
    counts = {"fast": 3 * times, "middle": 4 * times, "slow": 9 * times}
    targets = [
        make_target(
            f"{kind}-{number}", accelerator=kind, first_layer=0, end_layer=0
        )
        for kind, count in counts.items()
        for number in range(count)
    ]
    slots = layout.plan_ranges(targets, engine)
    # The number of searches does not grow with the data centre, and every
    # kind of accelerator is used.
    assert len(searched_counts) <= 2 * len(counts)
    assert all(
        layout._state_count(one) <= layout.MAX_SEARCH_STATES
        for one in searched_counts
    )
    assert len(slots) >= 0.9 * len(targets)
    assert len(layout.fill_ranges(slots, targets, engine)) == len(slots)


def test_a_data_centre_of_many_accelerators_is_split_into_parts(engine):
    part = layout._partition(
        {f"kind-{number}": 3 for number in range(9)}, engine
    )
    assert sum(part.values()) == 3

"""The layout: whole copies, few moves, and ranges that losses leave open."""

import itertools

import pytest

from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import layout
from tests.unit.gateway.conftest import make_target

ZONES = {
    "dc-a": {"fast": 1, "middle": 6, "slow": 5},
    "dc-b": {"fast": 2, "middle": 2, "slow": 5},
    "dc-c": {"fast": 1, "middle": 3, "slow": 8},
}


def whole_fleet(zones=ZONES):
    """Returns empty targets."""
    return [
        make_target(f"{zone}-{kind}-{i}", data_centre=zone, accelerator=kind)
        for zone, kinds in zones.items()
        for kind, count in kinds.items()
        for i in range(count)
    ]


def carried_out(targets, placements):
    """Returns the targets after they have loaded what was ordered."""
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
def laid_out(engine):
    """The plan and the targets that hold it."""
    targets = whole_fleet()
    plan = layout.plan_ranges(targets, engine)
    return plan, carried_out(
        targets, layout.fill_ranges(plan, targets, engine)
    )


def test_each_chain_holds_every_layer_once_and_in_order(engine):
    plan = layout.plan_ranges(whole_fleet(), engine)
    chains = itertools.groupby(plan, key=lambda one: one[0] + str(one.chain))
    for _, slots in chains:
        ends = [0]
        for slot in slots:
            assert slot.first_layer == ends[-1]
            ends.append(slot.end_layer)
        assert ends[-1] == engine.layer_count


def test_no_slot_is_larger_than_its_kind_holds(engine):
    for slot in layout.plan_ranges(whole_fleet(), engine):
        kind = engine.accelerators[slot.accelerator]
        layers = slot.end_layer - slot.first_layer
        assert layers * engine.layer_mb < kind.memory_mb


def test_each_data_centre_has_a_whole_copy(engine):
    plan = layout.plan_ranges(whole_fleet(), engine)
    assert {slot.data_centre for slot in plan} == set(ZONES)


def test_what_is_laid_out_stays(engine, laid_out):
    plan, targets = laid_out
    assert layout.fill_ranges(plan, targets, engine) == []


def test_a_new_target_takes_the_range_of_one_that_drains(engine, laid_out):
    plan, targets = laid_out
    leaving = next(one for one in targets if one.accelerator == "fast")
    new = leaving._replace(name="new", first_layer=0, end_layer=0)
    live = [one for one in targets if one is not leaving] + [new]
    assert layout.fill_ranges(plan, live, engine) == [
        layout.Placement(new, leaving.first_layer, leaving.end_layer)
    ]


def test_a_spare_fills_a_range_that_a_slot_needs(engine, laid_out):
    plan, targets = laid_out
    lost = next(
        one
        for one in targets
        if one.data_centre == "dc-a" and one.accelerator == "slow"
    )
    spare = make_target(
        "spare", data_centre="dc-a", accelerator="slow",
        first_layer=0, end_layer=10,
    )  # fmt: skip
    live = [one for one in targets if one is not lost] + [spare]
    placements = layout.fill_ranges(plan, live, engine)
    assert placements == [
        layout.Placement(spare, lost.first_layer, lost.end_layer)
    ]


def test_spares_hold_what_fewest_hold(engine, laid_out):
    plan, targets = laid_out
    placements = layout.place_spare_targets(plan, targets, engine)
    idle = {one.name for one in targets if not one.layers}
    assert {one.target.name for one in placements} == idle
    taken = sorted((one.first_layer, one.end_layer) for one in placements)
    assert all(
        left[1] <= right[0] for left, right in itertools.pairwise(taken)
    )


def test_a_target_too_small_for_a_range_is_not_ordered_to_hold_it(
    engine, laid_out
):
    plan, targets = laid_out
    lost = next(one for one in targets if one.accelerator == "fast")
    small = make_target(
        "small", data_centre=lost.data_centre, accelerator="slow"
    )
    live = [one for one in targets if one is not lost] + [small]
    for one in layout.fill_ranges(plan, live, engine):
        kind = engine.accelerators[one.target.accelerator]
        layers = one.end_layer - one.first_layer
        assert layers * engine.layer_mb < kind.memory_mb


def test_unknown_kinds_are_left_alone(engine):
    targets = [*whole_fleet(), make_target("odd", accelerator="unknown")]
    plan = layout.plan_ranges(targets, engine)
    names = {
        one.target.name for one in layout.fill_ranges(plan, targets, engine)
    }
    assert "odd" not in names


def test_a_fleet_without_a_copy_has_no_plan(engine):
    targets = whole_fleet({"dc-a": {"slow": 3}})
    assert layout.plan_ranges(targets, engine) == ()
    assert targets[0].state == fleet.READY


@pytest.mark.parametrize("times", [1, 6, 60])
def test_large_data_centres_are_planned_in_parts(engine, times, monkeypatch):
    searched = []
    best_chains = layout._best_chains
    monkeypatch.setattr(
        layout,
        "_best_chains",
        lambda counts, engine: (
            searched.append(counts) or best_chains(counts, engine)
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
    # The work of a plan does not grow with the data centre, and no kind of
    # accelerator is left out for it.
    assert len(searched) <= 2 * len(counts)
    assert all(
        layout._state_count(one) <= layout.MAX_SEARCH_STATES
        for one in searched
    )
    assert len(slots) >= 0.9 * len(targets)
    assert len(layout.fill_ranges(slots, targets, engine)) == len(slots)


def test_a_data_centre_of_many_kinds_is_dealt_into_parts():
    dealt = layout._partition({f"kind-{number}": 3 for number in range(9)})
    assert sum(dealt.values()) == 3

import collections
import itertools

import hypothesis
from hypothesis import strategies
import pytest

from hemlocktiller._internal.policy import chains


def make_target(name, first, end, data_centre="a", count=4, **fields):
    return chains.Target(name, data_centre, "m", first, end, count, **fields)


def names(chain):
    return [target.target for target in chain.targets]


@pytest.fixture
def costs():
    return chains.LatencyAverages()


@pytest.fixture
def chooser(costs):
    return chains.ChainCache(costs)


def test_the_cheapest_chain_comes_first(costs):
    targets = [
        make_target("whole", 0, 4),
        make_target("head", 0, 2),
        make_target("tail", 2, 4),
    ]
    costs.record_stage_time("whole", 0.05)
    assert [
        names(chain) for chain in chains.choose_chains(targets, costs)
    ] == [
        ["head", "tail"],
        ["whole"],
    ]
    costs.record_link_time("head", "tail", 0.01)
    assert names(chains.choose_chains(targets, costs)[0]) == ["whole"]


def test_chains_stay_in_the_data_centre_unless_they_cannot(chooser):
    chooser.add(make_target("head", 0, 2))
    chooser.add(make_target("far", 2, 4, "b"))
    assert names(chooser.chains("a", "m")[0]) == ["head", "far"]
    chooser.add(make_target("tail", 2, 4))
    assert names(chooser.chains("a", "m")[0]) == ["head", "tail"]
    chooser.remove("tail")
    assert names(chooser.chains("a", "m")[0]) == ["head", "far"]
    chooser.remove("far")
    assert chooser.chains("a", "m") == []
    assert chooser.chains("a", "other") == []


def test_chains_spread_over_equal_stages(costs):
    targets = [make_target(f"head{number}", 0, 2) for number in range(12)]
    targets += [make_target(f"tail{number}", 2, 4) for number in range(4)]
    found = chains.choose_chains(targets, costs)
    uses = collections.Counter(names(chain)[1] for chain in found)
    assert sorted(uses.values()) == [3, 3, 3, 3]


def test_a_degraded_link_is_left_once_it_is_measured(chooser, costs):
    for name in ("tail1", "tail2"):
        chooser.add(make_target(name, 2, 4))
    chooser.add(make_target("head", 0, 2))
    assert names(chooser.chains("a", "m")[0]) == ["head", "tail1"]
    costs.record_link_time("tail1", "head", 0.2)
    chooser.invalidate("m")
    assert names(chooser.chains("a", "m")[0]) == ["head", "tail2"]


def test_alternates_hold_the_same_layers(costs):
    head = make_target("head", 0, 2)
    tail = make_target("tail", 2, 4)
    others = [
        make_target("far", 2, 4, "b"),
        make_target("near", 2, 4),
        make_target("whole", 0, 4),
        make_target("part", 2, 3),
    ]
    found = chains.alternates((head, tail), [head, tail, *others])
    assert [target.target for target in found] == ["near", "far"]


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3),
            strategies.integers(1, 3),
            strategies.integers(1, 50),
        ),
        max_size=8,
    )
)
def test_a_chain_holds_each_layer_once_and_is_the_shortest(ranges):
    costs = chains.LatencyAverages()
    targets = []
    for number, (first, length, cost) in enumerate(ranges):
        end = min(4, first + length)
        targets.append(make_target(f"t{number}", first, end))
        costs.record_stage_time(f"t{number}", cost / 100)
    possible = [
        chains.path_cost_s(path, costs)
        for size in range(1, 5)
        for path in itertools.permutations(targets, size)
        if path[0].first_layer == 0
        and path[-1].end_layer == 4
        and all(
            one.end_layer == other.first_layer
            for one, other in itertools.pairwise(path)
        )
    ]
    found = chains.choose_chains(targets, costs)
    assert bool(found) == bool(possible)
    for chain in found:
        layers = [
            layer
            for target in chain.targets
            for layer in range(target.first_layer, target.end_layer)
        ]
        assert layers == [0, 1, 2, 3]
    if len([one for one in targets if one.first_layer == 0]) == 1 and found:
        assert found[0].cost_s == pytest.approx(min(possible))


def test_an_unchanged_target_keeps_the_chosen_chains(chooser):
    chooser.add(make_target("whole", 0, 4))
    before = chooser.chains("a", "m")
    chooser.add(make_target("whole", 0, 4))
    chooser.add(make_target("other", 0, 4)._replace(model="n"))
    assert chooser.chains("a", "m") is before

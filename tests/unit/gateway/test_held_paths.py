"""Paths that hold a part of a prompt, against faster ones."""

import pytest

from hemlocktiller._internal.policy import held_paths
from hemlocktiller._internal.policy import held_prompts
from hemlocktiller._internal.policy import occupancy
from hemlocktiller._internal.policy import paths
from tests.unit.gateway.conftest import make_target

DEMAND = paths.RequestDemand(800.0, 200.0, 900.0)
PARTS = held_prompts.beginnings("w", [(1, 600), (2, 200)])
PROMPT = held_paths.Prompt(PARTS, DEMAND)
LENGTHS = ((1, 4000), (2, 2000))


@pytest.fixture
def loads():
    """Loads by target; idle where none is set."""
    return {}


@pytest.fixture
def state(engine, loads):
    return paths.TargetsState(
        engine,
        lambda name: loads.get(name, occupancy.NO_LOAD),
        lambda name: 1.0,
        lambda name: False,
    )


@pytest.fixture
def held():
    return held_paths.HeldPaths(lambda: 1)


@pytest.fixture
def targets():
    """Two paths of four stages each, in two data centres."""
    return [
        make_target(
            f"{data_centre}{first}",
            data_centre=data_centre,
            first_layer=first,
            end_layer=first + 20,
        )
        for data_centre in ("a", "b")
        for first in (0, 20, 40, 60)
    ]


def choose(held, targets, state, prompt=PROMPT, now_s=1.0):
    """Returns the choice where the path through data centre a is faster."""
    favoured = state._replace(
        cost_factor=lambda data_centre: 1.0 + 0.01 * (data_centre == "b")
    )
    fastest = paths.find_fastest_path(targets, prompt.demand, favoured)
    return held.choose(fastest, targets, prompt, favoured, now_s)


def path_of(targets, data_centre):
    stages = [one for one in targets if one.data_centre == data_centre]
    return tuple(
        paths.fleet.Stage(one, one.first_layer, one.end_layer)
        for one in stages
    )


def test_the_fastest_path_is_kept_if_nothing_is_held(held, targets, state):
    choice = choose(held, targets, state)
    assert choice.choice.path == path_of(targets, "a")
    assert choice.held_tokens == 0.0


def test_a_path_that_holds_the_prompt_is_preferred(held, targets, state):
    held.record(PARTS, path_of(targets, "b"), 0.0)
    choice = choose(held, targets, state)
    assert choice.choice.path == path_of(targets, "b")
    assert choice.held_tokens == pytest.approx(800.0, rel=0.02)
    unweighed = paths.find_fastest_path(targets, DEMAND, state)
    assert choice.choice.first_event_ms < unweighed.first_event_ms


def test_a_wait_outweighs_what_is_held(held, targets, state, loads):
    held.record(PARTS, path_of(targets, "b"), 0.0)
    loads["b0"] = occupancy.Load(0.0, 1, 2000.0 * 20)
    choice = choose(held, targets, state)
    assert choice.choice.path == path_of(targets, "a")
    assert choice.held_tokens == 0.0


def test_a_path_without_room_is_not_chosen(held, targets, state, loads):
    held.record(PARTS, path_of(targets, "b"), 0.0)
    loads["b40"] = occupancy.Load(1e9, 1, 0.0)
    assert choose(held, targets, state).choice.path == path_of(targets, "a")


@pytest.mark.parametrize(
    "change", [{"born_ms": 2}, {"end_layer": 50}, {"name": "b41"}]
)
def test_a_later_stage_that_lost_its_part_makes_the_path_worthless(
    held, targets, state, change
):
    held.record(PARTS, path_of(targets, "b"), 0.0)
    changed = [
        one._replace(**change) if one.name == "b40" else one for one in targets
    ]
    choice = choose(held, changed, state)
    assert choice.choice.path == path_of(changed, "a")
    assert choice.held_tokens == 0.0


def test_reads_of_other_processes_count_as_own_ones(held, targets, state):
    crowded = held_paths.HeldPaths(lambda: 1000)
    for one in (held, crowded):
        one.record(PARTS, path_of(targets, "b"), 0.0)
        later = held_prompts.beginnings("w", [(9, 500)])
        one.record(later, path_of(targets, "b"), 0.5)
    assert choose(held, targets, state).choice.path == path_of(targets, "b")
    assert choose(crowded, targets, state).held_tokens == 0.0


def test_the_number_of_remembered_parts_is_bounded(held, targets):
    path = path_of(targets, "a")
    for number in range(held_paths.MAX_PARTS + 10):
        parts = held_prompts.beginnings("w", [(number, 1)])
        held.record(parts, path, float(number))
    assert len(held._paths) == held_paths.MAX_PARTS


@pytest.mark.parametrize("retains_prompts", [False, True])
def test_prompts_are_remembered_only_where_targets_retain_them(
    harness, engine, model_service, stream_route, targets, retains_prompts
):
    service = model_service._replace(
        engine=engine._replace(retains_prompts=retains_prompts)
    )
    harness.register(*targets)
    stream = harness.start_stream(
        harness.admit(service, stream_route, prompt_lengths=LENGTHS)
    )
    request = stream._build_path_request("k", 1.0, None, None)
    expected = held_prompts.beginnings("model\0workspace", LENGTHS)
    assert request.prompt_parts == (expected if retains_prompts else ())
    assert bool(harness.dispatcher._held_paths._paths) == retains_prompts


def test_a_popular_prompt_goes_where_it_is_held_until_that_is_busy(
    harness, engine, model_service, stream_route, targets
):
    """Each prompt of a burst waits for the prefill of those before it."""
    service = model_service._replace(
        engine=engine._replace(retains_prompts=True)
    )
    harness.register(*targets)

    def start(number):
        return harness.start_stream(
            harness.admit(
                service,
                stream_route,
                request_id=f"r{number}",
                prompt_lengths=LENGTHS,
                prompt_tokens=6000,
                expected_output_tokens=20,
            )
        )

    def data_centre(stream):
        return stream.path[0].target.data_centre

    first = start(0)
    harness.dispatcher.occupancy.record_prefill_done(first._dispatch_key)
    started = [data_centre(start(number)) for number in range(1, 11)]
    assert started[0] == data_centre(first)
    fewest, most = sorted(started.count(one) for one in "ab")
    # One more may come while the wait is no longer than what it saves.
    assert most <= held_prompts.MAX_WAIT_RATIO * fewest + 2

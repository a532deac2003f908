"""The choice of a path under load."""

import random

import pytest
from twisted.internet.testing import MemoryReactorClock

from hemlocktiller._internal.gateway import dispatcher
from hemlocktiller._internal.gateway import model
from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import occupancy
from hemlocktiller._internal.policy import paths
from tests.unit.gateway.conftest import make_target

NEED = paths.RequestDemand(774.0, 203.0, 900.0)


def chain(name, kind, cuts, data_centre="dc-a"):
    """Returns holders of consecutive ranges."""
    return [
        make_target(
            f"{name}{first}",
            data_centre=data_centre,
            accelerator=kind,
            first_layer=first,
            end_layer=end,
        )  # fmt: skip
        for first, end in zip(cuts, cuts[1:], strict=False)
    ]


@pytest.fixture
def view(engine):
    """A view of idle, healthy targets."""
    loads = occupancy.Occupancy()
    return paths.TargetsState(
        engine, lambda name: loads.load(name, 0.0), lambda name: 1.0,
        lambda name: False,
    )  # fmt: skip


def names(choice):
    return [stage.target.name for stage in choice.path]


def assert_whole(choice, engine):
    layer = 0
    for stage in choice.path:
        assert stage.first_layer == layer
        assert stage.target.first_layer <= stage.first_layer
        assert stage.end_layer <= stage.target.end_layer
        layer = stage.end_layer
    assert layer == engine.layer_count


def test_the_fastest_way_wins_while_idle(view, engine):
    fast = chain("f", "fast", [0, 27, 54, 80])
    slow = chain("s", "slow", list(range(0, 81, 10)))
    choice = paths.find_fastest_path(fast + slow, NEED, view)
    assert names(choice) == ["f0", "f27", "f54"]
    assert_whole(choice, engine)


def test_a_lost_range_is_taken_from_another_chain(view, engine):
    one = chain("a", "middle", [0, 16, 32, 48, 64, 80])
    two = chain("b", "slow", list(range(0, 81, 10)))
    left = [target for target in one if target.name != "a32"] + two
    choice = paths.find_fastest_path(left, NEED, view)
    assert_whole(choice, engine)
    assert {"a0", "a16", "a48", "a64"} <= set(names(choice))


def test_a_range_that_nobody_holds_has_no_path(view):
    assert (
        paths.find_fastest_path(chain("a", "fast", [0, 27, 54]), NEED, view)
        is None
    )


def test_full_targets_are_left_out(view, engine):
    fast = chain("f", "fast", [0, 27, 54, 80])
    slow = chain("s", "slow", list(range(0, 81, 10)))
    full = view._replace(is_full=lambda name: name == "f27")
    assert "f27" not in names(paths.find_fastest_path(fast + slow, NEED, full))


def test_promised_memory_is_never_promised_twice(engine):
    targets = chain("f", "fast", [0, 27, 54, 80])
    loads = occupancy.Occupancy()
    view = paths.TargetsState(
        engine, lambda name: loads.load(name, 0.0), lambda name: 1.0,
        lambda name: False,
    )  # fmt: skip
    started = 0
    while (choice := paths.find_fastest_path(targets, NEED, view)) is not None:
        loads.reserve(
            str(started), choice.path, NEED.reserved_tokens, 0.0, 0.0
        )
        started += 1
        assert started < 200
    room = min(
        paths.token_layer_capacity(target, engine) / target.layers
        for target in targets
    )
    assert started == int(room * paths.MAX_MEMORY_RATIO / NEED.reserved_tokens)


def test_a_slow_target_is_passed_by(view):
    one = chain("a", "middle", [0, 16, 32, 48, 64, 80])
    two = chain("b", "middle", [0, 16, 32, 48, 64, 80])
    paced = view._replace(pace=lambda name: 8.0 if name == "a32" else 1.0)
    assert "a32" not in names(paths.find_fastest_path(one + two, NEED, paced))


def test_prompts_that_wait_there_count(engine):
    one = chain("a", "middle", [0, 16, 32, 48, 64, 80])
    two = chain("b", "middle", [0, 16, 32, 48, 64, 80])
    busy = occupancy.Load(900.0, 1, 50_000.0 * 16)
    view = paths.TargetsState(
        engine,
        lambda name: busy if name == "a48" else occupancy.NO_LOAD,
        lambda name: 1.0,
        lambda name: False,
    )
    assert "a48" not in names(paths.find_fastest_path(one + two, NEED, view))


def test_peers_loads_count_until_they_are_old():
    loads = occupancy.Occupancy()
    loads.apply_peer_loads("peer", {"a": occupancy.Load(10.0, 2, 0.0)}, 100.0)
    assert loads.load("a", 101.0).sequences == 2
    ttl_s = loads.report_interval_s() * occupancy.PEER_TTL_INTERVALS
    assert loads.load("a", 100.0 + ttl_s).sequences == 0


def test_partial_news_of_a_peer_keep_the_rest():
    loads = occupancy.Occupancy()
    loads.apply_peer_loads("peer", {"a": occupancy.Load(1.0, 1, 0.0)}, 1.0)
    loads.apply_peer_loads(
        "peer", {"b": occupancy.Load(1.0, 3, 0.0)}, 1.2, False
    )
    assert loads.load("a", 1.3).sequences == 1
    assert loads.load("b", 1.3).sequences == 3


def test_gateways_that_know_the_same_spread_over_equal_data_centres(engine):
    targets = [
        target
        for name in ("dc-a", "dc-b", "dc-c")
        for target in chain(name, "middle", [0, 16, 32, 48, 64, 80], name)
    ]
    firsts = []
    for number in range(30):
        reactor = MemoryReactorClock()
        known = targets_module.Targets(reactor, None, None)
        known.by_name = {target.name: target for target in targets}
        gateway = dispatcher.Dispatcher(
            reactor, known, "dc-z", random.Random(number)
        )
        service = model.Service("model", "/", 1, engine)
        job = dispatcher.PathRequest("r", None, service, NEED, None, None)
        firsts.append(gateway.choose_path(job).path[0].target.data_centre)
    assert all(firsts.count(name) >= 4 for name in ("dc-a", "dc-b", "dc-c"))


def split_chain():
    """One chain of which each data centre holds a half."""
    left = chain("a", "middle", [0, 16, 32, 48, 64, 80])[:3]
    right = chain("b", "middle", [0, 16, 32, 48, 64, 80], "dc-b")[3:]
    return left + right


def test_a_path_may_cross_while_the_pipe_is_idle(view, engine):
    choice = paths.find_fastest_path(split_chain(), NEED, view)
    assert_whole(choice, engine)
    crossed = paths.inter_dc_megabits(choice.path, 774.0, engine)
    assert crossed == pytest.approx(774.0 * engine.activation_mb * 8.0)


def test_no_path_crosses_a_busy_pipe(view, engine):
    busy = view._replace(
        inter_dc_mbps=engine.pipe_mbps * paths.MAX_PIPE_UTILIZATION + 1.0
    )
    assert paths.find_fastest_path(split_chain(), NEED, busy) is None


def test_crossings_are_forgotten(engine):
    loads = occupancy.Occupancy()
    loads.record_inter_dc_transfer(300.0, 10.0)
    rate = 300.0 / occupancy.INTER_DC_WINDOW_S
    assert loads.inter_dc_mbps(10.5) == rate
    assert loads.inter_dc_mbps(20.0) == 0.0


def test_what_peers_sent_meanwhile_is_taken_into_account():
    loads = occupancy.Occupancy()
    loads.count_gateways = lambda: 5
    path = (fleet.Stage(make_target("a"), 0, 40),)
    for name in ("r1", "r2", "r3"):
        loads.reserve(name, path, 100.0, 0.0, 0.0)
    peers = 4 * occupancy.UNREPORTED_INTERVAL_RATIO
    assert loads.load("a", 0.1).sequences == 3 + 2 * peers
    assert loads.load("a", 0.1).token_layers == 100.0 * 40 * (3 + 2 * peers)
    assert loads.load("a", loads.report_interval_s()).sequences == 3


def test_one_request_says_nothing_of_what_peers_sent():
    loads = occupancy.Occupancy()
    loads.count_gateways = lambda: 100
    path = (fleet.Stage(make_target("a"), 0, 40),)
    loads.reserve("r1", path, 100.0, 0.0, 0.0)
    assert loads.load("a", 0.0).sequences == 1


def test_whole_news_of_a_peer_replace_what_it_told_before():
    loads = occupancy.Occupancy()
    loads.apply_peer_loads("other", {"a": occupancy.Load(5.0, 1, 0.0)}, 1.0)
    loads.apply_peer_loads("peer", {"a": occupancy.Load(1.0, 1, 0.0)}, 1.0)
    loads.apply_peer_loads("peer", {"b": occupancy.Load(2.0, 3, 0.0)}, 1.2)
    assert loads.load("a", 1.3) == occupancy.Load(5.0, 1, 0.0)
    assert loads.load("b", 1.3) == occupancy.Load(2.0, 3, 0.0)


def test_many_processes_tell_their_loads_more_rarely():
    loads = occupancy.Occupancy()
    rates = []
    for sharers in (5, 30, 100, 300):
        loads.count_gateways = lambda sharers=sharers: sharers
        rates.append((sharers - 1) / loads.report_interval_s())
    # Messages that each hears in a second, not growing with the fleet.
    assert max(rates) <= 100.0
    assert rates[0] == 16.0


def equal_chains(count, data_centres=("dc-a", "dc-b", "dc-c")):
    """Returns chains of the same four ranges, some in each data centre."""
    return [
        make_target(
            f"{data_centre}-{chain}-{first}",
            data_centre=data_centre,
            first_layer=first,
            end_layer=first + 20,
            accelerator="middle",
        )
        for data_centre in data_centres
        for chain in range(count)
        for first in (0, 20, 40, 60)
    ]


def test_the_search_does_not_grow_with_interchangeable_targets(
    view, monkeypatch
):
    steps = []
    push = paths.heapq.heappush
    monkeypatch.setattr(
        paths.heapq,
        "heappush",
        lambda heap, item: steps.append(item) or push(heap, item),
    )
    counts = []
    for chains in (2, 80):
        steps.clear()
        choice = paths.find_fastest_path(equal_chains(chains), NEED, view)
        assert len(choice.path) == 4
        counts.append(len(steps))
    assert counts[1] <= counts[0]


def test_of_interchangeable_targets_the_least_loaded_is_chosen(view):
    targets = equal_chains(8, ("dc-a",))
    free = {f"dc-a-{chain}-{chain // 2 * 20}" for chain in range(0, 8, 2)}
    busy = occupancy.Load(30_000.0, 20, 0.0)
    view = view._replace(
        load=lambda name: occupancy.NO_LOAD if name in free else busy
    )
    assert set(names(paths.find_fastest_path(targets, NEED, view))) == free


@pytest.mark.parametrize("seed", range(5))
def test_a_path_is_nearly_as_good_as_the_best(view, seed, monkeypatch):
    rng = random.Random(seed)
    targets = equal_chains(2) + chain("z", "slow", (0, 30, 55, 80), "dc-a")
    loads = {
        one.name: occupancy.Load(rng.uniform(0, 400_000), 9, 0.0)
        for one in targets
    }
    view = view._replace(load=loads.get)
    found = paths.find_fastest_path(targets, NEED, view)
    monkeypatch.setattr(paths, "HEURISTIC_WEIGHT", 1.0)
    best = paths.find_fastest_path(targets, NEED, view)
    assert best.total_ms <= found.total_ms <= best.total_ms * 1.1

"""The choice of a path under load, and the tracking of loads."""

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

DEMAND = paths.RequestDemand(774.0, 203.0, 900.0)


def make_chain(name, kind, cuts, data_centre="dc-a"):
    """Returns targets that hold consecutive ranges of layers."""
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
def state(engine):
    """The state of idle, healthy targets."""
    loads = occupancy.Occupancy()
    return paths.TargetsState(
        engine, lambda name: loads.load(name, 0.0), lambda name: 1.0,
        lambda name: False,
    )  # fmt: skip


def path_target_names(choice):
    return [stage.target.name for stage in choice.path]


def assert_covers_all_layers(choice, engine):
    layer = 0
    for stage in choice.path:
        assert stage.first_layer == layer
        assert stage.target.first_layer <= stage.first_layer
        assert stage.end_layer <= stage.target.end_layer
        layer = stage.end_layer
    assert layer == engine.layer_count


def test_the_fastest_chain_is_chosen_while_idle(state, engine):
    fast = make_chain("f", "fast", [0, 27, 54, 80])
    slow = make_chain("s", "slow", list(range(0, 81, 10)))
    choice = paths.find_fastest_path(fast + slow, DEMAND, state)
    assert path_target_names(choice) == ["f0", "f27", "f54"]
    assert_covers_all_layers(choice, engine)


def test_a_lost_range_is_taken_from_another_chain(state, engine):
    one = make_chain("a", "middle", [0, 16, 32, 48, 64, 80])
    two = make_chain("b", "slow", list(range(0, 81, 10)))
    available = [target for target in one if target.name != "a32"] + two
    choice = paths.find_fastest_path(available, DEMAND, state)
    assert_covers_all_layers(choice, engine)
    assert {"a0", "a16", "a48", "a64"} <= set(path_target_names(choice))


def test_there_is_no_path_without_a_holder_of_each_layer(state):
    assert (
        paths.find_fastest_path(
            make_chain("a", "fast", [0, 27, 54]), DEMAND, state
        )
        is None
    )


def test_full_targets_are_left_out(state, engine):
    fast = make_chain("f", "fast", [0, 27, 54, 80])
    slow = make_chain("s", "slow", list(range(0, 81, 10)))
    full = state._replace(is_full=lambda name: name == "f27")
    assert "f27" not in path_target_names(
        paths.find_fastest_path(fast + slow, DEMAND, full)
    )


def test_reservations_do_not_exceed_the_memory(engine):
    targets = make_chain("f", "fast", [0, 27, 54, 80])
    loads = occupancy.Occupancy()
    state = paths.TargetsState(
        engine, lambda name: loads.load(name, 0.0), lambda name: 1.0,
        lambda name: False,
    )  # fmt: skip
    started = 0
    while (
        choice := paths.find_fastest_path(targets, DEMAND, state)
    ) is not None:
        loads.reserve(
            str(started), choice.path, DEMAND.reserved_tokens, 0.0, 0.0
        )
        started += 1
        assert started < 200
    capacity_tokens = min(
        paths.token_layer_capacity(target, engine) / target.layers
        for target in targets
    )
    assert started == int(
        capacity_tokens * paths.MAX_MEMORY_RATIO / DEMAND.reserved_tokens
    )


def test_a_slow_target_is_avoided(state):
    one = make_chain("a", "middle", [0, 16, 32, 48, 64, 80])
    two = make_chain("b", "middle", [0, 16, 32, 48, 64, 80])
    state_with_slow_target = state._replace(
        pace=lambda name: 8.0 if name == "a32" else 1.0
    )
    assert "a32" not in path_target_names(
        paths.find_fastest_path(one + two, DEMAND, state_with_slow_target)
    )


@pytest.mark.parametrize(("weight", "chosen"), [(0.0, "f0"), (4.0, "s0")])
def test_the_delay_of_those_that_run_at_a_target_counts_by_weight(
    engine, weight, chosen
):
    load = occupancy.Load(sequences=60)
    fast = make_chain("f", "fast", [0, 80])
    slower = make_chain("s", "middle", [0, 80])
    state = paths.TargetsState(
        engine._replace(layer_mb=100.0),
        lambda name: load if name == "f0" else occupancy.NO_LOAD,
        lambda name: 1.0,
        lambda name: False,
        delay_weight=weight,
    )
    choice = paths.find_fastest_path(fast + slower, DEMAND, state)
    assert path_target_names(choice) == [chosen]


def test_a_target_with_waiting_prompts_is_avoided(engine):
    one = make_chain("a", "middle", [0, 16, 32, 48, 64, 80])
    two = make_chain("b", "middle", [0, 16, 32, 48, 64, 80])
    busy = occupancy.Load(900.0, 1, 50_000.0 * 16)
    state = paths.TargetsState(
        engine,
        lambda name: busy if name == "a48" else occupancy.NO_LOAD,
        lambda name: 1.0,
        lambda name: False,
    )
    assert "a48" not in path_target_names(
        paths.find_fastest_path(one + two, DEMAND, state)
    )


def test_loads_of_peers_expire():
    loads = occupancy.Occupancy()
    loads.apply_peer_loads("peer", {"a": occupancy.Load(10.0, 2, 0.0)}, 100.0)
    assert loads.load("a", 101.0).sequences == 2
    ttl_s = loads.report_interval_s() * occupancy.PEER_TTL_INTERVALS
    assert loads.load("a", 100.0 + ttl_s).sequences == 0


def test_a_partial_report_of_a_peer_keeps_its_other_loads():
    loads = occupancy.Occupancy()
    loads.apply_peer_loads("peer", {"a": occupancy.Load(1.0, 1, 0.0)}, 1.0)
    loads.apply_peer_loads(
        "peer", {"b": occupancy.Load(1.0, 3, 0.0)}, 1.2, False
    )
    assert loads.load("a", 1.3).sequences == 1
    assert loads.load("b", 1.3).sequences == 3


def test_gateways_with_equal_state_spread_over_data_centres(engine):
    targets = [
        target
        for name in ("dc-a", "dc-b", "dc-c")
        for target in make_chain(name, "middle", [0, 16, 32, 48, 64, 80], name)
    ]
    first_data_centres = []
    for number in range(30):
        reactor = MemoryReactorClock()
        registry = targets_module.Targets(reactor, None, None)
        registry.by_name = {target.name: target for target in targets}
        gateway = dispatcher.Dispatcher(
            reactor, registry, "dc-z", random.Random(number)
        )
        service = model.Service("model", "/", 1, engine)
        path_request = dispatcher.PathRequest(
            "r", None, service, DEMAND, None, None
        )
        first_data_centres.append(
            gateway.choose_path(path_request).path[0].target.data_centre
        )
    assert all(
        first_data_centres.count(name) >= 4
        for name in ("dc-a", "dc-b", "dc-c")
    )


def make_split_chain():
    """Returns a chain that is split over two data centres."""
    available = make_chain("a", "middle", [0, 16, 32, 48, 64, 80])[:3]
    right = make_chain("b", "middle", [0, 16, 32, 48, 64, 80], "dc-b")[3:]
    return available + right


def test_a_path_may_span_data_centres_while_the_pipe_is_idle(state, engine):
    choice = paths.find_fastest_path(make_split_chain(), DEMAND, state)
    assert_covers_all_layers(choice, engine)
    transfer_megabits = paths.inter_dc_megabits(choice.path, 774.0, engine)
    assert transfer_megabits == pytest.approx(
        774.0 * engine.activation_mb * 8.0
    )


def test_no_path_spans_data_centres_over_a_busy_pipe(state, engine):
    busy = state._replace(
        inter_dc_mbps=engine.pipe_mbps * paths.MAX_PIPE_UTILIZATION + 1.0
    )
    assert paths.find_fastest_path(make_split_chain(), DEMAND, busy) is None


def test_transfers_between_data_centres_expire(engine):
    loads = occupancy.Occupancy()
    loads.record_inter_dc_transfer(300.0, 10.0)
    rate = 300.0 / occupancy.INTER_DC_WINDOW_S
    assert loads.inter_dc_mbps(10.5) == rate
    assert loads.inter_dc_mbps(20.0) == 0.0


def test_unreported_requests_of_peers_are_estimated():
    loads = occupancy.Occupancy()
    loads.count_gateways = lambda: 5
    path = (fleet.Stage(make_target("a"), 0, 40),)
    for name in ("r1", "r2", "r3"):
        loads.reserve(name, path, 100.0, 0.0, 0.0)
    estimated_peer_requests = 4 * occupancy.UNREPORTED_INTERVAL_RATIO
    assert loads.load("a", 0.1).sequences == 3 + 2 * estimated_peer_requests
    assert loads.load("a", 0.1).token_layers == 100.0 * 40 * (
        3 + 2 * estimated_peer_requests
    )
    assert loads.load("a", loads.report_interval_s()).sequences == 3


def test_a_single_request_gives_no_estimate_for_peers():
    loads = occupancy.Occupancy()
    loads.count_gateways = lambda: 100
    path = (fleet.Stage(make_target("a"), 0, 40),)
    loads.reserve("r1", path, 100.0, 0.0, 0.0)
    assert loads.load("a", 0.0).sequences == 1


def test_a_full_report_of_a_peer_replaces_its_earlier_loads():
    loads = occupancy.Occupancy()
    loads.apply_peer_loads("other", {"a": occupancy.Load(5.0, 1, 0.0)}, 1.0)
    loads.apply_peer_loads("peer", {"a": occupancy.Load(1.0, 1, 0.0)}, 1.0)
    loads.apply_peer_loads("peer", {"b": occupancy.Load(2.0, 3, 0.0)}, 1.2)
    assert loads.load("a", 1.3) == occupancy.Load(5.0, 1, 0.0)
    assert loads.load("b", 1.3) == occupancy.Load(2.0, 3, 0.0)


def test_load_reports_are_less_frequent_with_more_gateways():
    loads = occupancy.Occupancy()
    rates = []
    for gateway_count in (5, 30, 100, 300):
        loads.count_gateways = lambda gateway_count=gateway_count: (
            gateway_count
        )
        rates.append((gateway_count - 1) / loads.report_interval_s())
    # Messages per second that each gateway receives are bounded.
    assert max(rates) <= 100.0
    assert rates[0] == 16.0


def make_equal_chains(count, data_centres=("dc-a", "dc-b", "dc-c")):
    """Returns `count` chains of the same four ranges per data centre."""
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
    state, monkeypatch
):
    pushed_items = []
    original_heappush = paths.heapq.heappush
    monkeypatch.setattr(
        paths.heapq,
        "heappush",
        lambda heap, item: (
            pushed_items.append(item) or original_heappush(heap, item)
        ),
    )
    push_counts = []
    for chains in (2, 80):
        pushed_items.clear()
        choice = paths.find_fastest_path(
            make_equal_chains(chains), DEMAND, state
        )
        assert len(choice.path) == 4
        push_counts.append(len(pushed_items))
    assert push_counts[1] <= push_counts[0]


def test_of_interchangeable_targets_the_least_loaded_is_chosen(state):
    targets = make_equal_chains(8, ("dc-a",))
    free = {f"dc-a-{chain}-{chain // 2 * 20}" for chain in range(0, 8, 2)}
    busy = occupancy.Load(30_000.0, 20, 0.0)
    state = state._replace(
        load=lambda name: occupancy.NO_LOAD if name in free else busy
    )
    assert (
        set(path_target_names(paths.find_fastest_path(targets, DEMAND, state)))
        == free
    )


@pytest.mark.parametrize("seed", range(5))
def test_a_path_takes_at_most_a_tenth_longer_than_the_best(
    state, seed, monkeypatch
):
    rng = random.Random(seed)
    targets = make_equal_chains(2) + make_chain(
        "z", "slow", (0, 30, 55, 80), "dc-a"
    )
    loads = {
        one.name: occupancy.Load(rng.uniform(0, 400_000), 9, 0.0)
        for one in targets
    }
    state = state._replace(load=loads.get)
    found = paths.find_fastest_path(targets, DEMAND, state)
    monkeypatch.setattr(paths, "HEURISTIC_WEIGHT", 1.0)
    best = paths.find_fastest_path(targets, DEMAND, state)
    assert best.total_ms <= found.total_ms <= best.total_ms * 1.1

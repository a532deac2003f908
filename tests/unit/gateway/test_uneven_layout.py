"""The layout of accelerators that differ tenfold, by what it carries."""

import itertools

import pytest

from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import layout
from tests.unit.gateway.test_layout import make_fleet

ACCELERATORS = {
    kind.name: kind
    for kind in (
        fleet.Accelerator("h", 72_000.0, 1.4, 1.0),
        fleet.Accelerator("a", 36_000.0, 3.1, 3.2),
        fleet.Accelerator("l", 21_600.0, 16.0, 8.2),
        fleet.Accelerator("t", 14_400.0, 15.0, 15.0),
    )
}
ACCELERATOR_COUNTS = {
    "dc-a": {"h": 1, "a": 1, "l": 8, "t": 11},
    "dc-b": {"a": 2, "l": 12, "t": 5},
    "dc-c": {"a": 2, "l": 6, "t": 10},
}
# Model requests of the users that the deployment gets each second.
DEMAND_PER_S = 76.8


@pytest.fixture
def uneven_engine():
    """An engine whose KV cache is small, so that slots bind before memory."""
    return fleet.Engine(
        80, 1750.0, 0.656, 0.85, 0.00424, 0.0057, 353.0, 0.0328, 480_000.0,
        2_160.0, 2, 96, 14.0, 772.0, 143.0, ACCELERATORS,
    )  # fmt: skip


def throughput_by_chain(plan, engine):
    """Returns the requests per second of each chain, by Little's law."""
    context_tokens = (
        engine.usual_prompt_tokens + engine.usual_output_tokens / 2.0
    )
    rates_per_s = []
    for _, members in itertools.groupby(plan, lambda one: one[::4]):
        stages = [
            (
                engine.accelerators[one.accelerator],
                one.end_layer - one.first_layer,
            )
            for one in members
        ]
        running = min(
            engine.max_sequences,
            min(
                layout.kv_capacity_tokens(kind, layers, engine)
                for kind, layers in stages
            )
            / context_tokens,
        )
        step_ms = engine.step_ms + running * (
            engine.sequence_ms
            + context_tokens / 1000.0 * engine.context_ms_per_1k
        )
        answer_ms = sum(
            layers
            / engine.layer_count
            * (
                engine.usual_output_tokens * step_ms * kind.decode_time_factor
                + engine.usual_prompt_tokens
                / engine.prefill_tokens_per_ms
                * kind.prefill_time_factor
            )
            for kind, layers in stages
        )
        rates_per_s.append(running / answer_ms * 1000.0)
    return sorted(rates_per_s)


def test_the_usual_demand_is_carried_without_the_two_largest_chains(
    uneven_engine,
):
    plan = layout.plan_ranges(make_fleet(ACCELERATOR_COUNTS), uneven_engine)
    rates_per_s = throughput_by_chain(plan, uneven_engine)
    assert sum(rates_per_s[:-2]) >= DEMAND_PER_S


def test_parts_of_a_large_data_centre_share_the_large_accelerators(
    uneven_engine,
):
    parts = layout._partition(ACCELERATOR_COUNTS["dc-a"], uneven_engine)
    assert sum(parts.values()) == 2
    for part in map(dict, parts):
        assert part["h"] + part["a"] == 1
    assert sum(dict(part)["t"] for part in parts) == 11


def test_chains_of_similar_accelerators_are_planned_by_memory_alone(engine):
    few_slots = engine._replace(max_sequences=7)
    counts = {"dc-a": {"fast": 1, "middle": 6, "slow": 5}}
    assert layout.plan_ranges(
        make_fleet(counts), engine
    ) == layout.plan_ranges(make_fleet(counts), few_slots)

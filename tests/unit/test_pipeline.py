import collections

import cbor2
import pytest

from hemlocktiller._internal.agent import next_stages
from tests.fakes import model
from tests.unit import pipeline_simulation

TOKENS = 12
SEEDS = range(60)
MAX_EVENTS = 5000


def run_until_finished(simulation, entry_link, faults=()):
    """Runs a simulation until its request ends.

    Args:
        simulation: The simulated pipeline.
        entry_link: The link that records the messages sent to the entry.
        faults: Pairs of an event index and a function that injects a fault
            before that event.

    Returns:
        The link to the entry.
    """
    faults_by_event = dict(faults)
    for event_index in range(MAX_EVENTS):
        if event_index in faults_by_event:
            faults_by_event[event_index](simulation)
        if not simulation.run_one_event():
            break
        if entry_link.messages and entry_link.messages[-1]["type"] in (
            "finished",
            "failed",
            "refused",
        ):
            break
    return entry_link


def received_tokens(entry_link):
    tokens = []
    for message in entry_link.messages:
        if message["type"] == "tokens":
            for run in message["runs"]:
                assert run["first_index"] == len(tokens)
                tokens.extend(run["tokens"])
    return tokens


def reference_tokens():
    tokens = model.reference(
        pipeline_simulation.PROMPT, pipeline_simulation.LAYERS, TOKENS
    )
    return tokens[:TOKENS]


def assert_complete_answer(entry_link):
    assert entry_link.messages[-1]["type"] == "finished"
    assert received_tokens(entry_link) == reference_tokens()


def assert_layers_run_in_order(simulation):
    """Checks that each token passes the layers in order, without reruns.

    A target runs a token at most once. A stage runs a token on another
    target only after the previous target was given up, and then no earlier
    stage runs that token again. Steps that rebuild a cache are ignored.
    """
    run_counts = collections.Counter(
        (step.target, step.token_index)
        for step in simulation.executed_steps
        if not step.rebuild
    )
    assert max(run_counts.values()) == 1
    newest_token_by_layer = collections.defaultdict(int)
    for step in simulation.executed_steps:
        if step.rebuild:
            continue
        assert step.token_index >= newest_token_by_layer[step.first_layer]
        newest_token_by_layer[step.first_layer] = step.token_index
    first_layer_tokens = [
        step.token_index
        for step in simulation.executed_steps
        if step.first_layer == 0
    ]
    assert first_layer_tokens == sorted(set(first_layer_tokens))


@pytest.fixture
def simulation(request):
    return pipeline_simulation.SimulatedPipeline(getattr(request, "param", 0))


def test_a_chain_returns_the_complete_answer(simulation):
    entry_link = run_until_finished(
        simulation, simulation.start_request(TOKENS)
    )
    assert_complete_answer(entry_link)
    assert_layers_run_in_order(simulation)
    run_counts = collections.Counter(
        (step.token_index, step.first_layer)
        for step in simulation.executed_steps
    )
    assert set(run_counts.values()) == {1}
    assert len(run_counts) == TOKENS * pipeline_simulation.STAGES


def test_all_stages_release_their_state_at_the_end(simulation):
    run_until_finished(simulation, simulation.start_request(TOKENS))
    while any(simulation.message_queues.values()):
        simulation.run_one_event()
    for agent in simulation.agents.values():
        assert agent.pipeline.runs == {}
        assert agent.engine.kv_caches == {}


@pytest.mark.promise(1)
@pytest.mark.parametrize("simulation", SEEDS, indirect=True)
def test_duplicate_messages_rerun_no_layer(simulation):
    entry_link = simulation.start_request(TOKENS)
    faults = [
        (event_index, lambda simulation: simulation.duplicate_message())
        for event_index in range(2, 400)
    ]
    run_until_finished(simulation, entry_link, faults)
    assert_complete_answer(entry_link)
    assert_layers_run_in_order(simulation)


@pytest.mark.promise(1)
@pytest.mark.parametrize("simulation", SEEDS, indirect=True)
def test_a_killed_stage_is_replaced_without_rerunning_earlier_ones(simulation):
    entry_link = simulation.start_request(TOKENS)
    target = simulation.rng.choice(["s1r0", "s2r0"])
    event_index = simulation.rng.randrange(2, 80)
    run_until_finished(
        simulation,
        entry_link,
        [(event_index, lambda simulation: simulation.kill_agent(target))],
    )
    assert_complete_answer(entry_link)
    assert_layers_run_in_order(simulation)


@pytest.mark.promise(1)
@pytest.mark.parametrize("simulation", SEEDS, indirect=True)
def test_a_failed_engine_is_replaced_without_rerunning_earlier_stages(
    simulation,
):
    entry_link = simulation.start_request(TOKENS)
    target = simulation.rng.choice(["s1r0", "s2r0"])
    event_index = simulation.rng.randrange(2, 80)
    faults = [
        (
            event_index,
            lambda simulation: simulation.agents[target].engine.fail(),
        )
    ]
    run_until_finished(simulation, entry_link, faults)
    assert_complete_answer(entry_link)
    assert_layers_run_in_order(simulation)


@pytest.mark.promise(1)
@pytest.mark.parametrize("simulation", SEEDS, indirect=True)
def test_a_link_reset_loses_no_token(simulation):
    entry_link = simulation.start_request(TOKENS)
    pairs = [("s0r0", "s1r0"), ("s1r0", "s2r0"), ("s2r0", "s0r0")]
    faults = [
        (
            event_index,
            lambda simulation: simulation.reset_link(
                *simulation.rng.choice(pairs)
            ),
        )
        for event_index in simulation.rng.sample(range(2, 90), 2)
    ]
    run_until_finished(simulation, entry_link, faults)
    assert_complete_answer(entry_link)
    assert_layers_run_in_order(simulation)


@pytest.mark.promise(1)
@pytest.mark.parametrize("simulation", SEEDS, indirect=True)
def test_a_running_stage_reported_silent_does_not_change_the_answer(
    simulation,
):
    entry_link = simulation.start_request(TOKENS)
    target = simulation.rng.choice(["s1r0", "s2r0"])
    event_index = simulation.rng.randrange(2, 80)
    run_until_finished(
        simulation,
        entry_link,
        [(event_index, lambda simulation: simulation.report_silent(target))],
    )
    assert_complete_answer(entry_link)


@pytest.mark.parametrize("simulation", SEEDS, indirect=True)
def test_a_replaced_stage_does_not_release_the_stages_after_it(simulation):
    for name in ("s2r1", "s2r2"):
        simulation.kill_agent(name)
    entry_link = simulation.start_request(TOKENS)
    simulation.agents["s0r0"].first_stage_runner.requests_by_key[
        ("r1", 1)
    ].credit_tokens = 3
    fault = (
        simulation.rng.randrange(4, 20),
        lambda simulation: simulation.abort_silent_link("s0r0", "s1r0"),
    )
    # The stream waits for credit while the replaced stage is released.
    run_until_finished(simulation, entry_link, [fault])
    assert received_tokens(entry_link) == reference_tokens()[:3]
    assert simulation.agents["s1r0"].pipeline.runs == {}
    grant = {"request": "r1", "attempt": 1, "tokens": 100}
    simulation.agents["s0r0"].first_stage_runner.on_credit(None, grant)
    run_until_finished(simulation, entry_link)
    assert_complete_answer(entry_link)


@pytest.mark.parametrize("simulation", SEEDS, indirect=True)
def test_a_replacement_without_an_alternate_may_reconnect_late(simulation):
    simulation.kill_agent("s1r1")
    entry_link = simulation.start_request(TOKENS)
    kill_index, pause_index = 2, simulation.rng.randrange(20, 60)
    faults = [
        (kill_index, lambda simulation: simulation.kill_agent("s1r0")),
        (pause_index, lambda simulation: simulation.pause_dials("s1r2", 0.5)),
    ]
    run_until_finished(simulation, entry_link, faults)
    assert_complete_answer(entry_link)


@pytest.mark.promise(1)
@pytest.mark.parametrize("simulation", SEEDS, indirect=True)
def test_an_unreachable_stage_is_replaced(simulation):
    entry_link = simulation.start_request(TOKENS)
    target = simulation.rng.choice(["s1r0", "s2r0"])
    event_index = simulation.rng.randrange(2, 80)
    run_until_finished(
        simulation,
        entry_link,
        [(event_index, lambda simulation: simulation.lose_vm(target))],
    )
    assert_complete_answer(entry_link)
    assert_layers_run_in_order(simulation)


@pytest.mark.promise(1)
@pytest.mark.parametrize("simulation", SEEDS, indirect=True)
def test_killed_targets_of_two_stages_are_replaced(simulation):
    entry_link = simulation.start_request(TOKENS)
    first_index, second_index = sorted(simulation.rng.sample(range(2, 90), 2))
    faults = [
        (first_index, lambda simulation: simulation.kill_agent("s1r0")),
        (second_index, lambda simulation: simulation.kill_agent("s2r0")),
    ]
    run_until_finished(simulation, entry_link, faults)
    assert_complete_answer(entry_link)
    assert_layers_run_in_order(simulation)


@pytest.mark.promise(1)
@pytest.mark.parametrize("simulation", SEEDS, indirect=True)
def test_two_killed_targets_of_one_stage_are_replaced(simulation):
    entry_link = simulation.start_request(TOKENS)
    first_index, second_index = sorted(simulation.rng.sample(range(2, 90), 2))
    faults = [
        (first_index, lambda simulation: simulation.kill_agent("s1r0")),
        (second_index, lambda simulation: simulation.kill_agent("s1r1")),
    ]
    run_until_finished(simulation, entry_link, faults)
    assert_complete_answer(entry_link)
    assert_layers_run_in_order(simulation)


def test_without_an_alternate_the_request_fails_with_partial_tokens(
    simulation,
):
    entry_link = simulation.start_request(TOKENS)
    last_targets = [
        name for name in simulation.agents if name.startswith("s2")
    ]
    run_until_finished(
        simulation,
        entry_link,
        [
            (
                30,
                lambda simulation: [
                    simulation.kill_agent(name) for name in last_targets
                ],
            )
        ],
    )
    assert entry_link.messages[-1]["type"] == "failed"
    assert (
        received_tokens(entry_link)
        == reference_tokens()[: len(received_tokens(entry_link))]
    )


def test_without_a_reachable_chain_the_request_is_refused_unexecuted(
    simulation,
):
    for name in ("s1r0", "s1r1", "s1r2"):
        simulation.kill_agent(name)
    entry_link = run_until_finished(
        simulation, simulation.start_request(TOKENS)
    )
    assert entry_link.messages[-1]["type"] == "refused"
    assert simulation.executed_steps == []


def test_a_stream_pauses_without_credit(simulation):
    entry_link = simulation.start_request(TOKENS)
    first_stage_request = simulation.agents[
        "s0r0"
    ].first_stage_runner.requests_by_key[("r1", 1)]
    first_stage_request.credit_tokens = 3
    run_until_finished(simulation, entry_link)
    assert received_tokens(entry_link) == reference_tokens()[:3]
    grant = {"request": "r1", "attempt": 1, "tokens": 100}
    simulation.agents["s0r0"].first_stage_runner.on_credit(None, grant)
    run_until_finished(simulation, entry_link)
    assert_complete_answer(entry_link)


def test_an_attempt_fails_after_engine_failures_on_two_targets(simulation):
    """A request that crashes engines must not reach all of them."""
    entry_link = simulation.start_request(TOKENS)
    failed_targets = []

    def fail_busy_engine(simulation):
        busy_engines = [
            agent.engine
            for name, agent in simulation.agents.items()
            if name.startswith("s1") and agent.engine.pending_calls
        ]
        for engine in busy_engines:
            failed_targets.append(engine.name)
            engine.fail()

    run_until_finished(
        simulation,
        entry_link,
        [(event_index, fail_busy_engine) for event_index in range(MAX_EVENTS)],
    )
    assert entry_link.messages[-1]["type"] == "failed"
    assert len(set(failed_targets)) == 2


@pytest.mark.parametrize("simulation", SEEDS, indirect=True)
def test_a_request_runs_in_the_engine_of_one_stage_at_a_time(simulation):
    entry_link = simulation.start_request(TOKENS)
    busy_counts = []

    def count_busy_targets(simulation):
        busy_targets = [
            name
            for name, agent in simulation.agents.items()
            if agent.pipeline.in_engine_s_by_digest()
        ]
        busy_counts.append(len(busy_targets))

    run_until_finished(
        simulation,
        entry_link,
        [
            (event_index, count_busy_targets)
            for event_index in range(MAX_EVENTS)
        ],
    )
    assert_complete_answer(entry_link)
    assert max(busy_counts) == 1


def assert_no_work_left(simulation):
    while any(simulation.message_queues.values()) or any(
        agent.engine.pending_calls for agent in simulation.agents.values()
    ):
        simulation.run_one_event()
    for agent in simulation.agents.values():
        assert agent.pipeline.runs == {}
        assert agent.engine.kv_caches == {}


@pytest.mark.promise(1)
@pytest.mark.parametrize(
    "silences",
    [
        [("s0r0", "s1r0")],
        [("s1r0", "s2r0")],
        [("s0r0", "s1r0"), ("s1r0", "s2r0")],
        [("s0r0", "s1r0"), ("s0r0", "s1r1")],
        [("s0r0", "s1r0"), ("s1r1", "s2r0")],
        [("s0r0", "s1r0"), ("s0r0", "s1r0")],
    ],
)
@pytest.mark.parametrize("simulation", SEEDS, indirect=True)
def test_silent_stages_that_go_on_add_nothing_and_are_released(
    simulation, silences
):
    entry_link = simulation.start_request(TOKENS)
    indexes = sorted(simulation.rng.sample(range(2, 90), len(silences)))
    faults = [
        (
            index,
            lambda simulation, ends=ends: simulation.find_silent(*ends),
        )
        for index, ends in zip(indexes, silences, strict=True)
    ]
    run_until_finished(simulation, entry_link, faults)
    assert_complete_answer(entry_link)
    assert_no_work_left(simulation)


@pytest.mark.promise(1)
@pytest.mark.parametrize("simulation", SEEDS, indirect=True)
def test_two_stages_silent_at_once_add_nothing_and_are_released(simulation):
    entry_link = simulation.start_request(TOKENS)

    def find_both_silent(simulation):
        simulation.find_silent("s0r0", "s1r0")
        simulation.find_silent("s1r0", "s2r0")

    index = simulation.rng.randrange(2, 90)
    run_until_finished(simulation, entry_link, [(index, find_both_silent)])
    assert_complete_answer(entry_link)
    assert_no_work_left(simulation)


@pytest.mark.promise(1)
@pytest.mark.parametrize("index", range(6, 10))
@pytest.mark.parametrize("simulation", SEEDS, indirect=True)
def test_a_stage_released_during_its_first_step_may_be_opened_again(
    simulation, index
):
    entry_link = simulation.start_request(TOKENS)
    fault = (
        index,
        lambda simulation: simulation.find_silent("s0r0", "s1r0"),
    )
    run_until_finished(simulation, entry_link, [fault])
    assert_complete_answer(entry_link)
    assert_no_work_left(simulation)


@pytest.mark.promise(1)
@pytest.mark.parametrize(
    "silent_ends, killed",
    [
        (("s0r0", "s1r0"), "s2r0"),
        (("s0r0", "s1r0"), "s1r1"),
        (("s1r0", "s2r0"), "s1r0"),
        (("s1r0", "s2r0"), "s2r1"),
    ],
)
@pytest.mark.parametrize("simulation", SEEDS, indirect=True)
def test_a_silent_stage_goes_on_beside_the_loss_of_another_agent(
    simulation, silent_ends, killed
):
    entry_link = simulation.start_request(TOKENS)
    silent_index, kill_index = simulation.rng.sample(range(2, 90), 2)
    if killed == silent_ends[0]:
        silent_index, kill_index = sorted((silent_index, kill_index))
    faults = [
        (
            silent_index,
            lambda simulation: simulation.find_silent(*silent_ends),
        ),
        (kill_index, lambda simulation: simulation.kill_agent(killed)),
    ]
    run_until_finished(simulation, entry_link, faults)
    assert_complete_answer(entry_link)
    simulation.clock.advance(next_stages.UPSTREAM_GRACE_S)
    assert_no_work_left(simulation)


@pytest.mark.promise(1)
@pytest.mark.parametrize("gap", [-3, -2, -1, 1, 2, 3])
@pytest.mark.parametrize("simulation", SEEDS, indirect=True)
def test_a_replaced_stage_takes_no_stage_from_its_replacement(simulation, gap):
    entry_link = simulation.start_request(TOKENS)
    index = simulation.rng.randrange(8, 90)
    faults = [
        (index, lambda simulation: simulation.kill_agent("s2r0")),
        (
            index + gap,
            lambda simulation: simulation.find_silent("s0r0", "s1r0"),
        ),
    ]
    run_until_finished(simulation, entry_link, faults)
    assert_complete_answer(entry_link)
    simulation.clock.advance(next_stages.UPSTREAM_GRACE_S)
    assert_no_work_left(simulation)


@pytest.mark.parametrize("simulation", SEEDS, indirect=True)
def test_a_stage_that_lost_its_link_is_released_by_the_stage_before(
    simulation,
):
    entry_link = simulation.start_request(TOKENS)
    fault = (
        simulation.rng.randrange(4, 60),
        lambda simulation: simulation.abort_silent_link("s0r0", "s1r0"),
    )
    run_until_finished(simulation, entry_link, [fault])
    assert_complete_answer(entry_link)
    assert_no_work_left(simulation)


def test_a_stage_released_during_its_rebuild_confirms_no_reservation(
    simulation,
):
    agent = simulation.agents["s2r0"]
    link = pipeline_simulation.FakeLink(simulation, "s2r0", "s1r0")
    open_message = {
        "type": "open",
        "request": "r1",
        "attempt": 1,
        "stage_index": 2,
        "chain": [simulation.stages[index] for index in (0, 3, 6)],
        "alternates": [],
        "config_version": 1,
        "priority": 0,
        "expires_in_s": 30.0,
        "rebuild_inputs": [cbor2.dumps([b"unit"])],
        "rebuild_kv": b"",
        "first_token": 1,
        "digest": 1,
        "traceparent": "",
    }
    agent.receive(link, open_message)
    agent.receive(link, {"type": "close", "request": "r1", "attempt": 1})
    agent.engine.complete_next_call()
    assert not simulation.message_queues["s2r0", "s1r0"]
    assert agent.engine.kv_caches == {}

import collections

import pytest

from tests.fakes import model
from tests.unit import pipeline_net

TOKENS = 12
SEEDS = range(60)
MAX_STEPS = 5000


def finish(net, link, faults=()):
    """Runs a net to its end; faults come at the steps that they name."""
    due = dict(faults)
    for number in range(MAX_STEPS):
        if number in due:
            due[number](net)
        if not net.step():
            break
        if link.messages and link.messages[-1]["type"] in (
            "finished",
            "failed",
            "refused",
        ):
            break
    return link


def tokens_of(link):
    found = []
    for message in link.messages:
        if message["type"] == "tokens":
            for run in message["runs"]:
                assert run["first_index"] == len(found)
                found.extend(run["tokens"])
    return found


def reference():
    tokens = model.reference(pipeline_net.PROMPT, pipeline_net.LAYERS, TOKENS)
    return tokens[:TOKENS]


def check_whole(link):
    assert link.messages[-1]["type"] == "finished"
    assert tokens_of(link) == reference()


def check_layers(net):
    """Each token visits the layers in order, and none earlier twice.

    A target runs a token once. A stage runs a token on another target
    only when the earlier one was given up, and then no stage before it
    runs that token again.
    """
    seen = collections.Counter(
        (run.target, run.token_index) for run in net.runs if not run.rebuild
    )
    assert max(seen.values()) == 1
    newest = collections.defaultdict(int)
    for run in net.runs:
        if run.rebuild:
            continue
        assert run.token_index >= newest[run.first_layer]
        newest[run.first_layer] = run.token_index
    first_layer_runs = [
        run.token_index for run in net.runs if run.first_layer == 0
    ]
    assert first_layer_runs == sorted(set(first_layer_runs))


@pytest.fixture
def net(request):
    return pipeline_net.Net(getattr(request, "param", 0))


def test_a_chain_gives_the_whole_answer(net):
    link = finish(net, net.start(TOKENS))
    check_whole(link)
    check_layers(net)
    runs = collections.Counter(
        (run.token_index, run.first_layer) for run in net.runs
    )
    assert set(runs.values()) == {1}
    assert len(runs) == TOKENS * pipeline_net.STAGES


def test_all_stages_are_released_at_the_end(net):
    finish(net, net.start(TOKENS))
    while any(net.queues.values()):
        net.step()
    for node in net.nodes.values():
        assert node.pipeline.runs == {}
        assert node.engine.states == {}


@pytest.mark.promise(1)
@pytest.mark.parametrize("net", SEEDS, indirect=True)
def test_repeated_messages_run_no_layer_again(net):
    link = net.start(TOKENS)
    faults = [(number, lambda net: net.repeat()) for number in range(2, 400)]
    finish(net, link, faults)
    check_whole(link)
    check_layers(net)


@pytest.mark.promise(1)
@pytest.mark.parametrize("net", SEEDS, indirect=True)
def test_a_killed_stage_is_replaced_within_the_token(net):
    link = net.start(TOKENS)
    stage = net.rng.choice(["s1r0", "s2r0"])
    at = net.rng.randrange(2, 80)
    finish(net, link, [(at, lambda net: net.kill(stage))])
    check_whole(link)
    check_layers(net)


@pytest.mark.promise(1)
@pytest.mark.parametrize("net", SEEDS, indirect=True)
def test_a_failed_engine_is_replaced_within_the_token(net):
    link = net.start(TOKENS)
    stage = net.rng.choice(["s1r0", "s2r0"])
    at = net.rng.randrange(2, 80)
    faults = [(at, lambda net: net.nodes[stage].engine.fail())]
    finish(net, link, faults)
    check_whole(link)
    check_layers(net)


@pytest.mark.promise(1)
@pytest.mark.parametrize("net", SEEDS, indirect=True)
def test_a_cut_link_loses_no_token(net):
    link = net.start(TOKENS)
    pairs = [("s0r0", "s1r0"), ("s1r0", "s2r0"), ("s2r0", "s0r0")]
    faults = [
        (at, lambda net: net.cut(*net.rng.choice(pairs)))
        for at in net.rng.sample(range(2, 90), 2)
    ]
    finish(net, link, faults)
    check_whole(link)
    check_layers(net)


@pytest.mark.promise(1)
@pytest.mark.parametrize("net", SEEDS, indirect=True)
def test_a_stage_that_was_silent_and_wakes_changes_nothing(net):
    link = net.start(TOKENS)
    stage = net.rng.choice(["s1r0", "s2r0"])
    at = net.rng.randrange(2, 80)
    finish(net, link, [(at, lambda net: net.freeze(stage))])
    check_whole(link)


@pytest.mark.promise(1)
@pytest.mark.parametrize("net", SEEDS, indirect=True)
def test_a_stage_that_does_not_answer_a_new_dial_is_replaced(net):
    link = net.start(TOKENS)
    stage = net.rng.choice(["s1r0", "s2r0"])
    at = net.rng.randrange(2, 80)
    finish(net, link, [(at, lambda net: net.lose(stage))])
    check_whole(link)
    check_layers(net)


@pytest.mark.promise(1)
@pytest.mark.parametrize("net", SEEDS, indirect=True)
def test_two_kills_are_both_replaced(net):
    link = net.start(TOKENS)
    first, second = sorted(net.rng.sample(range(2, 90), 2))
    faults = [
        (first, lambda net: net.kill("s1r0")),
        (second, lambda net: net.kill("s2r0")),
    ]
    finish(net, link, faults)
    check_whole(link)
    check_layers(net)


@pytest.mark.promise(1)
@pytest.mark.parametrize("net", SEEDS, indirect=True)
def test_a_second_kill_of_the_same_stage_is_replaced(net):
    link = net.start(TOKENS)
    first, second = sorted(net.rng.sample(range(2, 90), 2))
    faults = [
        (first, lambda net: net.kill("s1r0")),
        (second, lambda net: net.kill("s1r1")),
    ]
    finish(net, link, faults)
    check_whole(link)
    check_layers(net)


def test_without_an_alternate_the_request_fails_with_what_ran(net):
    link = net.start(TOKENS)
    names = [name for name in net.nodes if name.startswith("s2")]
    finish(net, link, [(30, lambda net: [net.kill(name) for name in names])])
    assert link.messages[-1]["type"] == "failed"
    assert tokens_of(link) == reference()[: len(tokens_of(link))]


def test_without_a_chain_the_request_provably_did_not_run(net):
    for name in ("s1r0", "s1r1", "s1r2"):
        net.kill(name)
    link = finish(net, net.start(TOKENS))
    assert link.messages[-1]["type"] == "refused"
    assert net.runs == []


def test_a_stream_pauses_without_credit(net):
    link = net.start(TOKENS)
    head = net.nodes["s0r0"].first_stage_runner.requests_by_key[("r1", 1)]
    head.credit_tokens = 3
    finish(net, link)
    assert tokens_of(link) == reference()[:3]
    grant = {"request": "r1", "attempt": 1, "tokens": 100}
    net.nodes["s0r0"].first_stage_runner.on_credit(None, grant)
    finish(net, link)
    check_whole(link)


def test_an_attempt_ends_after_the_engines_of_two_targets_died(net):
    """Keeps a request that crashes each engine from taking all of them."""
    link = net.start(TOKENS)
    failures = []

    def fail_busy_engine(net):
        busy = [
            node.engine
            for name, node in net.nodes.items()
            if name.startswith("s1") and node.engine.pending
        ]
        for engine in busy:
            failures.append(engine.name)
            engine.fail()

    finish(net, link, [(at, fail_busy_engine) for at in range(MAX_STEPS)])
    assert link.messages[-1]["type"] == "failed"
    assert len(set(failures)) == 2


@pytest.mark.parametrize("net", SEEDS, indirect=True)
def test_a_request_is_in_the_engine_of_one_stage_at_a_time(net):
    link = net.start(TOKENS)
    found = []

    def look(net):
        stages = [
            name
            for name, node in net.nodes.items()
            if node.pipeline.in_engine_s_by_digest()
        ]
        found.append(len(stages))

    finish(net, link, [(at, look) for at in range(MAX_STEPS)])
    check_whole(link)
    assert max(found) == 1

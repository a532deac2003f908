"""An agent may fall silent for a second or so while it works, and go on."""

import pytest

from hemlocktiller._internal.config import snapshot
from hemlocktiller._internal.store import client
from tests.unit import entry_simulation
from tests.unit import silence_history

SILENCE_S = 1.5


@pytest.fixture
def entry_run():
    return entry_simulation.EntryRun()


def be_silent(entry_run, agent, duration_s=SILENCE_S):
    """Lets an agent be silent for some time, and then go on."""
    agent.is_silent = True
    entry_run.advance(duration_s)
    agent.is_silent = False
    entry_run.advance(entry_simulation.STEP_S)


@pytest.mark.parametrize("idempotency_key", ["", "k1"])
def test_a_call_outlives_the_silence_of_its_agent(entry_run, idempotency_key):
    entry_run.add_service("a")
    entry_run.add_service("b")
    entry_run.call(idempotency_key=idempotency_key)
    (agent,) = entry_run.agents_with("call")
    be_silent(entry_run, agent)
    assert entry_run.errors == []
    entry_simulation.answer_call(agent)
    entry_run.advance(entry_simulation.STEP_S)
    assert [response.status for response in entry_run.responses] == [200]
    assert entry_run.agents_with("call") == [agent]


def test_a_repeatable_call_without_another_agent_outlives_a_silence(entry_run):
    agent = entry_run.add_service("a")
    entry_run.call(method="GET")
    be_silent(entry_run, agent)
    assert entry_run.errors == []
    entry_simulation.answer_call(agent)
    entry_run.advance(entry_simulation.STEP_S)
    assert [response.status for response in entry_run.responses] == [200]
    assert len(agent.requests("call")) == 1


@pytest.mark.parametrize("has_tokens", [True, False])
def test_a_model_request_without_another_chain_outlives_a_silence(
    entry_run, has_tokens
):
    agent = entry_run.add_engine("a")
    entry_run.complete()
    if has_tokens:
        entry_simulation.send_tokens(agent, 0, [1, 2])
        entry_run.advance(entry_simulation.STEP_S)
    be_silent(entry_run, agent)
    assert entry_run.errors == []
    entry_simulation.send_tokens(agent, 0, [1, 2, 3])
    entry_simulation.finish(agent, 3)
    entry_run.advance(entry_simulation.STEP_S)
    assert entry_run.tokens["r1"] == [1, 2, 3]
    assert len(entry_run.usages) == 1
    assert len(agent.requests("start")) == 1


def test_a_model_request_at_a_silent_agent_moves_to_another_chain(entry_run):
    entry_run.add_engine("a")
    entry_run.add_engine("b")
    entry_run.complete()
    (first,) = entry_run.agents_with("start")
    entry_simulation.send_tokens(first, 0, [1, 2])
    entry_run.advance(entry_simulation.STEP_S)
    first.is_silent = True
    entry_run.advance(0.9)
    (second,) = set(entry_run.agents_with("start")) - {first}
    assert second.requests("start")[0]["generated"] == [1, 2]
    entry_simulation.send_tokens(second, 2, [3])
    entry_simulation.finish(second, 3)
    entry_run.advance(entry_simulation.STEP_S)
    assert entry_run.tokens["r1"] == [1, 2, 3]


def test_silent_agents_count_against_the_attempts_of_a_request(entry_run):
    for name in "abcdef":
        entry_run.add_engine(name)
    entry_run.complete()
    (agent,) = entry_run.agents_with("start")
    reached = [agent]
    for _ in range(6):
        be_silent(entry_run, agent)
        others = set(entry_run.agents_with("start")) - set(reached)
        reached += others
        agent = reached[-1]
    max_attempts = entry_run.entry.settings["retries"]["attempts"]
    assert len(reached) == max_attempts
    assert entry_run.errors == []
    entry_simulation.finish(agent, 0)
    entry_run.advance(entry_simulation.STEP_S)
    assert len(entry_run.usages) == 1


def test_a_silent_agent_gets_no_new_request(entry_run):
    entry_run.add_service("a")
    entry_run.add_service("b")
    entry_run.call(request="r1")
    (silent,) = entry_run.agents_with("call")
    silent.is_silent = True
    entry_run.advance(0.9)
    for number in range(8):
        entry_run.call(request=f"s{number}")
    silent.is_silent = False
    entry_run.advance(entry_simulation.STEP_S)
    assert len(silent.requests("call")) == 1


def test_a_request_at_agents_that_were_only_silent_is_not_condemned(entry_run):
    for name in "abc":
        entry_run.add_engine(name)
    entry_run.complete()
    for count in (1, 2):
        agents = entry_run.agents_with("start")
        assert len(agents) == count
        for agent in agents:
            be_silent(entry_run, agent)
    assert entry_run.suspect_state() == "clear"


def test_a_request_that_left_a_silent_agent_is_suspected_of_its_death(
    entry_run,
):
    entry_run.add_engine("a")
    entry_run.add_engine("b")
    entry_run.complete()
    (agent,) = entry_run.agents_with("start")
    agent.is_silent = True
    entry_run.advance(0.9)
    assert len(entry_run.agents_with("start")) == 2
    agent.stop()
    entry_run.advance(2.0)
    assert entry_run.suspect_state() == "suspect"


def test_a_call_at_an_agent_that_stays_silent_ends_before_its_deadline(
    entry_run,
):
    agent = entry_run.add_service("a")
    entry_run.call()
    agent.is_silent = True
    entry_run.advance(4.0)
    assert [error.code for error in entry_run.errors] == ["outcome_unknown"]


def change_config(entry_run, version=2, **allowance):
    """Puts a configuration with another allowance in force."""
    config = entry_simulation.CONFIG | {
        "allowances": [
            entry_simulation.CONFIG["allowances"][0] | allowance,
        ]
    }
    entry_run.entry.process.feed.apply_if_newer(
        snapshot.build(version, config)
    )


def list_registrations(entry_run, records):
    """Applies a listing of the registrations of targets."""
    listed = [
        client.StoredObject("target", record["target"], 1, record)
        for record in records
    ]
    entry_run.entry.targets.on_registration_changes(
        listed, [], is_full_listing=True
    )


def test_a_request_outlives_a_silence_in_which_its_model_is_withdrawn(
    entry_run,
):
    entry_run.add_engine("a")
    entry_run.add_engine("b")
    entry_run.complete()
    (agent,) = entry_run.agents_with("start")
    entry_simulation.send_tokens(agent, 0, [1])
    entry_run.advance(entry_simulation.STEP_S)
    change_config(entry_run, models=["other"])
    be_silent(entry_run, agent)
    assert entry_run.errors == []
    assert agent.requests("cancel") == []
    entry_simulation.send_tokens(agent, 1, [2])
    entry_simulation.finish(agent, 2)
    entry_run.advance(entry_simulation.STEP_S)
    assert entry_run.tokens["r1"] == [1, 2]


def test_a_call_outlives_a_silence_in_which_its_service_is_withdrawn(
    entry_run,
):
    entry_run.add_service("a")
    entry_run.add_service("b")
    entry_run.call(method="GET")
    (agent,) = entry_run.agents_with("call")
    change_config(entry_run, services=["other"])
    be_silent(entry_run, agent)
    assert entry_run.errors == []
    entry_simulation.answer_call(agent)
    entry_run.advance(entry_simulation.STEP_S)
    assert [response.status for response in entry_run.responses] == [200]


def test_a_request_moves_from_a_silent_agent_by_the_newest_configuration(
    entry_run,
):
    for name in "ab":
        entry_run.add_agent(
            name,
            model="m1",
            end_layer=4,
            layer_count=4,
            accelerator_kind=f"kind-{name}",
        )
    entry_run.complete()
    (agent,) = entry_run.agents_with("start")
    kind = f"kind-{agent.name}"
    change_config(entry_run, accelerator_kinds=[kind])
    be_silent(entry_run, agent)
    assert entry_run.agents_with("start") == [agent]
    assert entry_run.errors == []


def _start(entry_run, method, request):
    if method == "model":
        entry_run.complete(request)
    else:
        entry_run.call(method=method, request=request)


def test_a_request_outlives_the_removal_of_its_silent_agent(entry_run):
    agent = entry_run.add_engine("a")
    entry_run.complete()
    agent.is_silent = True
    entry_run.advance(0.9)
    list_registrations(entry_run, [])
    entry_run.advance(0.5)
    agent.is_silent = False
    entry_run.advance(entry_simulation.STEP_S)
    entry_simulation.send_tokens(agent, 0, [1])
    entry_simulation.finish(agent, 1)
    entry_run.advance(entry_simulation.STEP_S)
    assert entry_run.tokens["r1"] == [1]
    assert len(agent.requests("start")) == 1


@pytest.mark.parametrize("message_type", ["start", "call"])
def test_a_request_outlives_an_older_registration_of_its_silent_agent(
    entry_run, message_type
):
    add = entry_run.add_engine
    if message_type == "call":
        add = entry_run.add_service
    agent = add("a")
    _start(entry_run, "model" if message_type == "start" else "POST", "r1")
    record = entry_run.entry.targets.by_name["a"].record
    gone = entry_run.add_agent("gone")
    gone.stop()
    older = record | {
        "port": entry_run.entry.targets.by_name["gone"].record["port"]
    }
    agent.is_silent = True
    entry_run.advance(0.9)
    list_registrations(entry_run, [older])
    entry_run.advance(0.3)
    list_registrations(entry_run, [record])
    entry_run.advance(0.3)
    agent.is_silent = False
    entry_run.advance(0.5)
    assert entry_run.errors == []
    assert len(agent.requests(message_type)) == 1
    assert entry_run.suspect_state() == "clear"


def test_a_request_that_left_a_leaving_silent_agent_gets_one_answer(entry_run):
    entry_run.add_engine("a")
    entry_run.add_engine("b")
    entry_run.complete()
    (first,) = entry_run.agents_with("start")
    entry_simulation.send_tokens(first, 0, [1, 2])
    entry_run.advance(entry_simulation.STEP_S)
    leaving = {"type": "leaving", "name": first.name, "reason": "drain"}
    first.link.send(leaving)
    entry_run.advance(entry_simulation.STEP_S)
    first.is_silent = True
    entry_simulation.send_tokens(first, 2, [3, 4])
    entry_simulation.finish(first, 4)
    entry_run.advance(0.8)
    first.is_silent = False
    entry_run.advance(0.3)
    (second,) = set(entry_run.agents_with("start")) - {first}
    entry_simulation.send_tokens(second, 2, [3])
    entry_simulation.finish(second, 3)
    entry_run.advance(entry_simulation.STEP_S)
    assert entry_run.tokens["r1"] == [1, 2, 3]
    assert len(entry_run.usages) == 1


def start_at_both(entry_run, method):
    """Starts requests at two agents until each has one; returns both."""
    is_model = method == "model"
    add = entry_run.add_engine if is_model else entry_run.add_service
    agents = [add("a"), add("b")]
    message_type = "start" if is_model else "call"
    for number in range(20):
        if len(entry_run.agents_with(message_type)) == 2:
            break
        request = f"r{number}"
        if is_model:
            entry_run.complete(request)
        elif method == "GET":
            entry_run.call(method="GET", request=request)
        else:
            entry_run.call(request=request, idempotency_key=request)
    return [
        (agent, {each["request"] for each in agent.requests(message_type)})
        for agent in agents
    ]


@pytest.mark.parametrize("method", ["GET", "POST", "model"])
def test_a_request_waits_for_a_silent_agent_after_the_loss_of_its_own(
    entry_run, method
):
    (lost, lost_requests), (silent, _) = start_at_both(entry_run, method)
    silent.is_silent = True
    entry_run.advance(0.9)
    lost.stop()
    entry_run.advance(0.5)
    assert entry_run.errors == []
    silent.is_silent = False
    entry_run.advance(0.5)
    message_type = "start" if method == "model" else "call"
    received = {each["request"] for each in silent.requests(message_type)}
    assert lost_requests <= received
    assert entry_run.errors == []


@pytest.mark.parametrize("method", ["GET", "POST", "model"])
def test_a_request_waits_for_no_agent_that_stays_silent(entry_run, method):
    (lost, lost_requests), (silent, _) = start_at_both(entry_run, method)
    silent.is_silent = True
    entry_run.advance(0.9)
    lost.stop()
    entry_run.advance(4.0)
    assert len(entry_run.errors) >= len(lost_requests)
    assert len(entry_run.entry.registry) == 0


@pytest.mark.parametrize("method", ["GET", "POST", "model"])
def test_a_request_waits_for_no_agent_that_ended(entry_run, method):
    (lost, lost_requests), (ended, _) = start_at_both(entry_run, method)
    ended.is_silent = True
    entry_run.advance(0.9)
    ended.stop()
    lost.stop()
    entry_run.advance(1.0)
    assert len(entry_run.entry.registry) == 0


def test_a_call_that_may_have_run_at_a_silent_agent_gets_no_refusal(entry_run):
    entry_run.add_service("a")
    entry_run.add_service("b")
    entry_run.call(idempotency_key="k1")
    (silent,) = entry_run.agents_with("call")
    (other,) = set(entry_run.agents.values()) - {silent}
    silent.is_silent = True
    answer_count = 0
    for _ in range(200):
        entry_run.advance(entry_simulation.STEP_S)
        if len(other.requests("call")) > answer_count:
            answer_count += 1
            entry_simulation.refuse_claim(other)
    assert answer_count > 0
    (error,) = entry_run.errors
    assert (error.http_status, error.ran) == (502, "unknown")


@pytest.mark.parametrize("seed", range(30))
def test_short_silences_beside_other_changes_lose_no_request(seed):
    history = silence_history.History(seed, max_silence_s=1.3, losses=0)
    history.play()
    assert history.findings() == []
    assert [error for error in history.run.errors if error.ran != "no"] == []


@pytest.mark.parametrize("seed", range(30))
def test_silences_beside_losses_break_no_guarantee(seed):
    history = silence_history.History(seed, max_silence_s=2.6, losses=2)
    history.play()
    assert history.findings() == []


def test_a_request_outlives_a_silence_while_its_crashes_are_undecided(
    entry_run,
):
    entry_run.add_engine("a")
    entry_run.add_engine("b")
    entry_run.complete()
    (agent,) = entry_run.agents_with("start")
    agent.is_silent = True
    entry_run.advance(0.5)
    digest = agent.requests("start")[0]["digest"]
    suspects = entry_run.entry.process.suspects
    for target in ("gone1", "gone2"):
        suspects.record_death(target, {digest: 0.5})
    assert entry_run.suspect_state() == "undecided"
    entry_run.advance(0.4)
    assert entry_run.agents_with("start") == [agent]
    agent.is_silent = False
    entry_run.advance(entry_simulation.STEP_S)
    entry_simulation.finish(agent, 0)
    entry_run.advance(entry_simulation.STEP_S)
    assert len(entry_run.usages) == 1


def crash_under(entry_run, digest, names):
    """Records deaths of targets under a request at the entry."""
    for name in names:
        entry_run.entry.process.suspects.record_death(name, {digest: 0.5})
    entry_run.advance(0.6)


def test_one_popular_request_is_the_trial_and_others_are_rejected(
    entry_run, monkeypatch
):
    """Guards against review/3 at entries: all but one trial are rejected."""
    digest = 5
    monkeypatch.setattr(entry_simulation, "_digest", lambda request: digest)
    agent = entry_run.add_engine("a")
    entry_run.complete()
    entry_simulation.finish(agent, 0)
    entry_run.advance(entry_simulation.STEP_S)
    crash_under(entry_run, digest, ("gone1", "gone2"))
    assert entry_run.suspect_state() == "half_open"
    entry_run.complete("r2")
    assert len(agent.requests("start")) == 2
    entry_run.complete("r3")
    (error,) = entry_run.errors
    assert (error.http_status, error.ran) == (503, "no")
    assert error.retry_after_s > 0
    entry_simulation.finish(agent, 0)
    entry_run.advance(entry_simulation.STEP_S)
    assert entry_run.suspect_state() == "clear"


def test_a_draining_entry_waits_for_the_call_of_a_silent_agent(entry_run):
    agent = entry_run.add_service("a")
    entry_run.call()
    entry_run.entry._listening = entry_run.clock.listenTCP(0, None)
    drained = entry_run.entry._drained
    entry_run.entry.drain("test")
    be_silent(entry_run, agent)
    assert not drained.called
    entry_simulation.answer_call(agent)
    entry_run.advance(2.0)
    assert [response.status for response in entry_run.responses] == [200]
    assert len(agent.requests("call")) == 1


def test_silent_agents_count_against_the_attempts_of_a_call(entry_run):
    for name in "abcdef":
        entry_run.add_service(name)
    entry_run.call(method="GET")
    (agent,) = entry_run.agents_with("call")
    reached = [agent]
    for _ in range(6):
        be_silent(entry_run, agent)
        reached += set(entry_run.agents_with("call")) - set(reached)
        agent = reached[-1]
    max_attempts = entry_run.entry.settings["retries"]["attempts"]
    assert len(reached) == max_attempts
    assert entry_run.errors == []
    entry_simulation.answer_call(agent)
    entry_run.advance(entry_simulation.STEP_S)
    assert [response.status for response in entry_run.responses] == [200]


@pytest.mark.parametrize("idempotency_key", ["", "k1"])
def test_a_call_at_an_agent_that_stays_silent_runs_at_no_second_one(
    entry_run, idempotency_key
):
    entry_run.add_service("a")
    entry_run.add_service("b")
    entry_run.call(idempotency_key=idempotency_key)
    (silent,) = entry_run.agents_with("call")
    silent.is_silent = True
    entry_run.advance(1.7)
    assert entry_run.agents_with("call") == [silent]
    entry_run.advance(3.0)
    # Only the claim of a call with a key may decide at another agent.
    others = set(entry_run.agents_with("call")) - {silent}
    assert len(others) == bool(idempotency_key)

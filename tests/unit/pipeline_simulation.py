"""Deterministic simulation of the agents that form one pipeline.

Runs the pipelines of all agents in memory, on a virtual clock, with fake
engines and links. A seed determines the order in which messages arrive and
engine calls complete.
"""

import collections
import copy
import random
from typing import NamedTuple

import cbor2
from twisted.internet import defer
from twisted.internet import task
from twisted.python import failure

from hemlocktiller._internal.agent import engine_client
from hemlocktiller._internal.agent import first_stage
from hemlocktiller._internal.agent import next_stages
from hemlocktiller._internal.agent import peers as peers_module
from hemlocktiller._internal.agent import pipeline as pipeline_module
from hemlocktiller._internal.agent import recorder as recorder_module
from hemlocktiller._internal.observe import request_log
from hemlocktiller._internal.observe import traces
from hemlocktiller._internal.policy import suspects
from tests.fakes import model

LAYERS = 6
STAGES = 3
REPLICAS = 3
PROMPT = "a menu for the hall"
SETTINGS = {"links": {"coalesce_s": 0.0}}


class ExecutedStep(NamedTuple):
    """A step that an engine executed."""

    target: str
    sequence: str
    token_index: int
    first_layer: int
    rebuild: bool


class FakeLink:
    """One end of a link; messages stay queued until they are delivered."""

    def __init__(self, simulation, source, target):
        self.simulation = simulation
        self.source = source
        self.is_open = True
        self.is_silent = False
        self.peer = {
            "name": target,
            "role": "agent",
            "process": simulation.process_ids[target],
        }

    def send(self, message):
        """Queues a message for the peer."""
        endpoints = (self.source, self.peer["name"])
        queue = self.simulation.message_queues[endpoints]
        queue.append(copy.deepcopy(message))


class FakePeers:
    """The links of one agent to its peers."""

    def __init__(self, simulation, name):
        self.simulation = simulation
        self.name = name

    def send(self, target, message):
        """Sends a message; returns False if the peer is down."""
        if target not in self.simulation.agents:
            return False
        FakeLink(self.simulation, self.name, target).send(message)
        return True

    def connect(self, stage, callbacks):
        """Connects at once or reports a refused connection.

        A dial to an unreachable target gets no reply, one to a paused target
        a late one.
        """
        target = stage["target"]
        if target in self.simulation.paused_targets:
            self.simulation.pending_dials.append((self, stage, callbacks))
        elif target in self.simulation.agents:
            callbacks.on_connected(
                FakeLink(self.simulation, self.name, target)
            )
        elif target not in self.simulation.unreachable_targets:
            callbacks.on_failed(peers_module.REFUSED)


class FakeEngine:
    """An engine whose calls complete when the simulation schedules them."""

    def __init__(self, simulation, name, first_layer, end_layer):
        self.simulation = simulation
        self.name = name
        self.layers = (first_layer, end_layer)
        self.kv_caches = {}
        self.pending_calls = []

    def run_step(self, step):
        """Queues a call with one step."""
        completion = defer.Deferred()
        self.pending_calls.append(([step], [completion]))
        return completion

    def run_steps(self, steps):
        """Queues a call with several steps, executed in order."""
        completions = [defer.Deferred() for _ in steps]
        self.pending_calls.append((steps, completions))
        return defer.gatherResults(completions, consumeErrors=True)

    def release_sequences(self, sequences):
        """Drops the caches of sequences."""
        for sequence in sequences:
            self.kv_caches.pop(sequence, None)

    def complete_next_call(self):
        """Completes the oldest pending call."""
        steps, completions = self.pending_calls.pop(0)
        for step, completion in zip(steps, completions, strict=True):
            if self._is_cache_missing(step):
                error = engine_client.StepFailed("unknown sequence")
                completion.errback(failure.Failure(error))
            else:
                completion.callback(self._execute(step))

    def run_pending_steps(self):
        """Runs the steps of all pending calls without an answer."""
        for steps, _ in self.pending_calls:
            for step in steps:
                self._execute(step)

    def fail(self):
        """Drops all caches and fails all pending calls, as a restart does."""
        self.kv_caches.clear()
        pending_calls, self.pending_calls = self.pending_calls, []
        for _, completions in pending_calls:
            for completion in completions:
                error = engine_client.EngineFailed("died")
                completion.errback(failure.Failure(error))

    def _is_cache_missing(self, step):
        """Returns whether the cache that a step needs is missing.

        A step whose input holds all units up to its token needs no cache.
        """
        unit_count = len(self._decode_units(step.data))
        return (
            step.sequence not in self.kv_caches
            and unit_count != step.token_index + 1
        )

    def _execute(self, step):
        first_layer, end_layer = self.layers
        caches_by_layer = self.kv_caches.setdefault(
            step.sequence, model.empty_kvs(first_layer, end_layer)
        )
        units = self._decode_units(step.data)
        outputs = [model.run_layers(caches_by_layer, unit) for unit in units]
        self.simulation.executed_steps.append(
            ExecutedStep(
                self.name,
                step.sequence,
                step.token_index,
                first_layer,
                step.rebuild,
            )
        )
        if end_layer < LAYERS:
            return engine_client.Output(data=cbor2.dumps(outputs))
        token, is_final = model.token_of(outputs[-1])
        return engine_client.Output(token=token, final=is_final)

    def _decode_units(self, data):
        content = cbor2.loads(data)
        if self.layers[0]:
            return content
        if "token" in content:
            return [model.token_unit(content["token"])]
        return model.prefix_units(content["prompt"], content["generated"])


class SimulatedAgent:
    """An agent with a fake engine and fake links.

    Its pipeline and its handling of requests as first stage are real.
    """

    def __init__(self, simulation, name, first_layer, end_layer):
        self.engine = FakeEngine(simulation, name, first_layer, end_layer)
        self.peers = FakePeers(simulation, name)
        self.first_stage_runner = first_stage.FirstStageRunner(
            simulation.clock,
            SETTINGS,
            lambda finished: None,
            lambda parts: None,
        )
        self.pipeline = pipeline_module.Pipeline(
            simulation.clock,
            self.engine,
            self.peers,
            lambda message: simulation.refusal_reason(name, message),
            simulation.may_go_on,
            self.first_stage_runner.callbacks(),
            recorder_module.Recorder(
                request_log.RequestLog(), traces.create(name, 0.0)
            ),
        )
        self.first_stage_runner.pipeline = self.pipeline

    def receive(self, link, message):
        """Passes a message of another agent to the pipeline."""
        message_type = message["type"]
        if message_type == "hops":
            for hop in message["hops"]:
                self.pipeline.on_hop(link, hop)
        elif message_type == "hop_results":
            for result in message["results"]:
                self.pipeline.on_hop_result(result)
        elif message_type == "close":
            self.pipeline.on_close(link, message)
        else:
            getattr(self.pipeline, f"on_{message_type}")(link, message)


class FakeEntryLink:
    """The link to the entry; keeps what the first stage sends."""

    def __init__(self):
        self.is_open = True
        self.messages = []

    def send(self, message):
        """Records a message."""
        self.messages.append(message)


class SimulatedPipeline:
    """Agents, queued messages and the event order of one seed."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.clock = task.Clock()
        self.message_queues = collections.defaultdict(collections.deque)
        self.executed_steps = []
        self.agents = {}
        self.unreachable_targets = set()
        self.paused_targets = set()
        self.paused_engines = set()
        self.pending_dials = []
        self.process_ids = {}
        # Shared, as if evidence reached all agents at once.
        self.suspects = suspects.Suspects({"suspect_ttl_s": 600.0})
        self.stages = []
        layers_per_stage = LAYERS // STAGES
        for stage_index in range(STAGES):
            for replica in range(REPLICAS):
                name = f"s{stage_index}r{replica}"
                self.process_ids[name] = f"process-{name}"
                first_layer = stage_index * layers_per_stage
                self.stages.append(
                    {
                        "target": name,
                        "host": "127.0.0.1",
                        "port": 1,
                        "first_layer": first_layer,
                        "end_layer": first_layer + layers_per_stage,
                    }
                )
                self.agents[name] = SimulatedAgent(
                    self, name, first_layer, first_layer + layers_per_stage
                )

    def start_request(
        self, max_tokens, request="r1", attempt=1, digest=1, generated=()
    ):
        """Starts a request on the first replica of each stage.

        Returns:
            The link that records the messages sent to the entry.
        """
        chain = [self.stages[stage * REPLICAS] for stage in range(STAGES)]
        alternates = [
            stage
            for stage in self.stages
            if stage not in chain and stage["first_layer"] > 0
        ]
        link = FakeEntryLink()
        message = {
            "type": "start",
            "request": request,
            "attempt": attempt,
            "config_version": 1,
            "prompt": PROMPT,
            "max_tokens": max_tokens,
            "generated": list(generated),
            "expires_in_s": 1000.0,
            "credit_tokens": 1000,
            "chain": chain,
            "alternates": alternates,
            "digest": digest,
            "traceparent": "",
        }
        self.agents["s0r0"].first_stage_runner.begin(message, link, ())
        return link

    def run_one_event(self):
        """Runs a random pending event, or advances the clock if none is.

        Returns:
            Whether the simulation goes on: False once nothing is pending and
            60 s have passed.
        """
        endpoints_with_messages = [
            endpoints
            for endpoints, queue in self.message_queues.items()
            if queue
        ]
        engines = [
            agent.engine
            for name, agent in self.agents.items()
            if agent.engine.pending_calls and name not in self.paused_engines
        ]
        candidates = [*endpoints_with_messages, *engines]
        if not candidates:
            before_s = self.clock.seconds()
            self.clock.advance(0.01)
            return before_s < 60
        chosen = self.rng.choice(candidates)
        if isinstance(chosen, FakeEngine):
            chosen.complete_next_call()
        else:
            self._deliver(*chosen)
        self.clock.advance(0)
        return True

    def refusal_reason(self, name, message):
        """Returns why an agent refuses a stage, or an empty string."""
        running_s = self.agents[name].pipeline.running_s_by_digest()
        may_run = self.suspects.may_run_beside(
            message["digest"], running_s, self.clock.seconds()
        )
        return "" if may_run else next_stages.SUSPECT_CONFLICT

    def may_go_on(self, digest):
        """Returns whether a request needs no decision of its entry."""
        now_s = self.clock.seconds()
        return self.suspects.state(digest, now_s) in ("clear", "suspect")

    def crash_engine(self, name):
        """Crashes an engine that ran its steps, before it answers them."""
        agent = self.agents[name]
        self.suspects.record_death(
            name,
            agent.pipeline.in_engine_s_by_digest(),
            self.clock.seconds(),
        )
        agent.engine.run_pending_steps()
        agent.engine.fail()

    def kill_agent(self, name):
        """Stops an agent; its peers see closed links."""
        del self.agents[name]
        for endpoints in list(self.message_queues):
            if name in endpoints:
                del self.message_queues[endpoints]
        for agent in list(self.agents.values()):
            agent.pipeline.on_peer_down(name, "closed")

    def lose_vm(self, name):
        """Stops an agent and its VM; dials to it get no reply."""
        self.unreachable_targets.add(name)
        self.kill_agent(name)

    def reset_link(self, one, other):
        """Drops a link with its queued messages, then reconnects it."""
        for endpoints in ((one, other), (other, one)):
            self.message_queues.pop(endpoints, None)
        for name, peer in ((one, other), (other, one)):
            if name in self.agents and peer in self.agents:
                self.agents[name].pipeline.on_peer_down(peer, "closed")
                self.agents[name].pipeline.on_peer_up(peer)

    def report_silent(self, name):
        """Reports an agent to its peers as silent while it keeps running."""
        for agent in list(self.agents.values()):
            if agent is not self.agents[name]:
                agent.pipeline.on_peer_down(name, "silence")

    def find_silent(self, name, silent_name):
        """Lets an agent find a peer silent that goes on at once."""
        self.agents[name].pipeline.replace_silent_stages(silent_name)

    def abort_silent_link(self, name, silent_name):
        """Lets an agent abort its link to a peer that then goes on."""
        for endpoints in ((name, silent_name), (silent_name, name)):
            self.message_queues.pop(endpoints, None)
        self.agents[name].pipeline.on_peer_down(silent_name, "silence")
        self.agents[silent_name].pipeline.on_peer_down(name, "closed")

    def pause_dials(self, name, duration_s):
        """Resets the links of an agent and delays its replies to dials."""
        self.paused_targets.add(name)
        for endpoints in list(self.message_queues):
            if name in endpoints:
                del self.message_queues[endpoints]
        for other, agent in list(self.agents.items()):
            if other != name:
                agent.pipeline.on_peer_down(name, "closed")
                self.agents[name].pipeline.on_peer_down(other, "closed")
        self.clock.callLater(duration_s, self._resume_dials, name)

    def _resume_dials(self, name):
        self.paused_targets.discard(name)
        pending_dials, self.pending_dials = self.pending_dials, []
        for peers, stage, callbacks in pending_dials:
            peers.connect(stage, callbacks)

    def duplicate_message(self):
        """Duplicates the next message of a random queue."""
        nonempty_queues = [
            queue for queue in self.message_queues.values() if queue
        ]
        if nonempty_queues:
            queue = self.rng.choice(nonempty_queues)
            queue.appendleft(queue[0])

    def _deliver(self, source, target):
        message = self.message_queues[(source, target)].popleft()
        if target in self.agents:
            link = FakeLink(self, target, source)
            self.agents[target].receive(link, message)

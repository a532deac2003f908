"""Agents' pipelines in memory, on a virtual clock, under seeded faults."""

import collections
import random
from typing import NamedTuple

import cbor2
from twisted.internet import defer
from twisted.internet import task
from twisted.python import failure

from hemlocktiller._internal.agent import engine_client
from hemlocktiller._internal.agent import first_stage
from hemlocktiller._internal.agent import peers as peers_module
from hemlocktiller._internal.agent import pipeline as pipeline_module
from hemlocktiller._internal.agent import recorder as recorder_module
from hemlocktiller._internal.observe import request_log
from hemlocktiller._internal.observe import traces
from tests.fakes import model

LAYERS = 6
STAGES = 3
REPLICAS = 3
PROMPT = "a menu for the hall"
SETTINGS = {"links": {"coalesce_s": 0.0}}


class Run(NamedTuple):
    """One step that an engine ran."""

    target: str
    sequence: str
    token_index: int
    first_layer: int
    rebuild: bool


class Link:
    """One end of a link; what it sends waits until it is delivered."""

    def __init__(self, net, source, target):
        self.net = net
        self.source = source
        self.is_open = True
        self.peer = {
            "name": target,
            "role": "agent",
            "process": net.processes[target],
        }

    def send(self, message):
        """Queues a message."""
        pair = (self.source, self.peer["name"])
        self.net.queues[pair].append(message)


class Peers:
    """The links of one node."""

    def __init__(self, net, name):
        self.net = net
        self.name = name

    def send(self, target, message):
        """Sends if the peer is alive."""
        if target not in self.net.nodes:
            return False
        Link(self.net, self.name, target).send(message)
        return True

    def connect(self, stage, waiter):
        """Connects at once, or finds no listener."""
        target = stage["target"]
        if target in self.net.nodes:
            waiter.on_connected(Link(self.net, self.name, target))
        elif target not in self.net.unreachable:
            waiter.on_failed(peers_module.REFUSED)


class Engine:
    """An engine whose steps end when the schedule says so."""

    def __init__(self, net, name, first_layer, end_layer):
        self.net = net
        self.name = name
        self.layers = (first_layer, end_layer)
        self.states = {}
        self.pending = []

    def run_step(self, step):
        """Queues a step."""
        done = defer.Deferred()
        self.pending.append(([step], [done]))
        return done

    def run_steps(self, steps):
        """Queues steps that run in order, together."""
        each = [defer.Deferred() for _ in steps]
        self.pending.append((steps, each))
        return defer.gatherResults(each, consumeErrors=True)

    def release_sequences(self, sequences):
        """Forgets sequences."""
        for sequence in sequences:
            self.states.pop(sequence, None)

    def run_next(self):
        """Ends the oldest call."""
        steps, each = self.pending.pop(0)
        for step, done in zip(steps, each, strict=True):
            if self._lost(step):
                error = engine_client.StepFailed("unknown sequence")
                done.errback(failure.Failure(error))
            else:
                done.callback(self._run(step))

    def fail(self):
        """Loses all sequences, as an engine that restarts."""
        self.states.clear()
        pending, self.pending = self.pending, []
        for _, each in pending:
            for done in each:
                error = engine_client.EngineFailed("died")
                done.errback(failure.Failure(error))

    def _lost(self, step):
        """Tells whether the cache that a step needs is not there."""
        units = len(self._units(step.data))
        return (
            step.sequence not in self.states and units != step.token_index + 1
        )

    def _run(self, step):
        first_layer, end_layer = self.layers
        kvs = self.states.setdefault(
            step.sequence, model.empty_kvs(first_layer, end_layer)
        )
        units = self._units(step.data)
        outputs = [model.run_layers(kvs, unit) for unit in units]
        self.net.runs.append(
            Run(
                self.name,
                step.sequence,
                step.token_index,
                first_layer,
                step.rebuild,
            )
        )
        if end_layer < LAYERS:
            return engine_client.Output(data=cbor2.dumps(outputs))
        token, final = model.token_of(outputs[-1])
        return engine_client.Output(token=token, final=final)

    def _units(self, data):
        content = cbor2.loads(data)
        if self.layers[0]:
            return content
        if "token" in content:
            return [model.token_unit(content["token"])]
        return model.prefix_units(content["prompt"], content["generated"])


class Node:
    """One agent: engine, pipeline and first stages."""

    def __init__(self, net, name, first_layer, end_layer):
        self.engine = Engine(net, name, first_layer, end_layer)
        self.peers = Peers(net, name)
        self.first_stage_runner = first_stage.FirstStageRunner(
            net.clock, SETTINGS, lambda done: None
        )
        self.pipeline = pipeline_module.Pipeline(
            net.clock,
            self.engine,
            self.peers,
            lambda message: "",
            self.first_stage_runner.callbacks(),
            recorder_module.Recorder(
                request_log.RequestLog(), traces.create(name, 0.0)
            ),
        )
        self.first_stage_runner.pipeline = self.pipeline

    def receive(self, link, message):
        """Takes a message of another agent."""
        kind = message["type"]
        if kind == "hops":
            for hop in message["hops"]:
                self.pipeline.on_hop(link, hop)
        elif kind == "hop_results":
            for result in message["results"]:
                self.pipeline.on_hop_result(result)
        elif kind == "close":
            key = (message["request"], message["attempt"])
            self.pipeline.close(key)
        else:
            getattr(self.pipeline, f"on_{kind}")(link, message)


class EntryLink:
    """Where the first stage sends its answer."""

    def __init__(self):
        self.is_open = True
        self.messages = []

    def send(self, message):
        """Keeps a message."""
        self.messages.append(message)


class Net:
    """Nodes, queued messages and the random schedule of one seed."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.clock = task.Clock()
        self.queues = collections.defaultdict(collections.deque)
        self.runs = []
        self.nodes = {}
        self.unreachable = set()
        self.processes = {}
        self.stages = []
        step = LAYERS // STAGES
        for stage in range(STAGES):
            for replica in range(REPLICAS):
                name = f"s{stage}r{replica}"
                self.processes[name] = f"process-{name}"
                first = stage * step
                self.stages.append(
                    {
                        "target": name,
                        "host": "127.0.0.1",
                        "port": 1,
                        "first_layer": first,
                        "end_layer": first + step,
                    }
                )
                self.nodes[name] = Node(self, name, first, first + step)

    def start(self, max_tokens):
        """Starts a request on the first replica of each stage."""
        chain = [self.stages[stage * REPLICAS] for stage in range(STAGES)]
        alternates = [
            stage
            for stage in self.stages
            if stage not in chain and stage["first_layer"] > 0
        ]
        link = EntryLink()
        message = {
            "type": "start",
            "request": "r1",
            "attempt": 1,
            "config_version": 1,
            "prompt": PROMPT,
            "max_tokens": max_tokens,
            "generated": [],
            "expires_in_s": 1000.0,
            "credit_tokens": 1000,
            "chain": chain,
            "alternates": alternates,
            "digest": 1,
            "traceparent": "",
        }
        self.nodes["s0r0"].first_stage_runner.begin(message, link)
        return link

    def step(self):
        """Lets one random thing happen; tells whether there was one."""
        queues = [pair for pair, queue in self.queues.items() if queue]
        engines = [
            node.engine for node in self.nodes.values() if node.engine.pending
        ]
        choices = [*queues, *engines]
        if not choices:
            before = self.clock.seconds()
            self.clock.advance(0.01)
            return before < 60
        chosen = self.rng.choice(choices)
        if isinstance(chosen, Engine):
            chosen.run_next()
        else:
            self._deliver(*chosen)
        self.clock.advance(0)
        return True

    def kill(self, name):
        """Ends a node; its peers see their links reset."""
        del self.nodes[name]
        for pair in list(self.queues):
            if name in pair:
                del self.queues[pair]
        for node in list(self.nodes.values()):
            node.pipeline.on_peer_down(name, "closed")

    def lose(self, name):
        """Ends a node with its VM; nothing answers a dial to it."""
        self.unreachable.add(name)
        self.kill(name)

    def cut(self, one, other):
        """Loses a link and what was on its way; both ends live on."""
        for pair in ((one, other), (other, one)):
            self.queues.pop(pair, None)
        for name, peer in ((one, other), (other, one)):
            if name in self.nodes and peer in self.nodes:
                self.nodes[name].pipeline.on_peer_down(peer, "closed")
                self.nodes[name].pipeline.on_peer_up(peer)

    def freeze(self, name):
        """Has the peers of a node believe that it is silent; it lives on."""
        for node in list(self.nodes.values()):
            if node is not self.nodes[name]:
                node.pipeline.on_peer_down(name, "silence")

    def repeat(self):
        """Delivers a random message twice."""
        queues = [queue for queue in self.queues.values() if queue]
        if queues:
            queue = self.rng.choice(queues)
            queue.appendleft(queue[0])

    def _deliver(self, source, target):
        message = self.queues[(source, target)].popleft()
        if target in self.nodes:
            link = Link(self, target, source)
            self.nodes[target].receive(link, message)

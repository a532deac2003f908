"""Deterministic simulation of entries and agents with real links in memory.

Everything runs on one virtual clock. Each agent serves all layers of a model
with a fake engine. An engine ends when it begins to answer a prompt that holds
the crashing text, and is back after a while.
"""

import itertools
from typing import NamedTuple

import cbor2
from twisted.internet import defer
from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock
from twisted.python import failure

from hemlocktiller._internal import documents
from hemlocktiller._internal import process as process_module
from hemlocktiller._internal.agent import app as agent_app
from hemlocktiller._internal.agent import engine_client
from hemlocktiller._internal.config import snapshot
from hemlocktiller._internal.entry import app as entry_app
from hemlocktiller._internal.entry import call_types
from hemlocktiller._internal.links import link as link_module
from hemlocktiller._internal.policy import suspects
from hemlocktiller._internal.store import client
from tests.unit import memory_links

MODEL = "drafts"
WORKSPACE = "events"
TICK_S = 0.005
STEP_S = 0.02
RESTART_S = 2.0
OUTPUT_TOKENS = 4
LAYERS = 8
PLANS = {
    "plans": [
        {
            "plan": "all",
            "share": 1.0,
            "worth": 1.0,
            "deadline_s": 30.0,
            "limits": {
                "requests_per_s": 1000,
                "burst_requests": 1000,
                "running_requests": 1000,
                "output_tokens": 4096,
            },
            "workspaces": [
                {"workspace": WORKSPACE, "key_digest": snapshot.key_digest("")}
            ],
        }
    ],
    "allowances": [{"plan": "all", "models": [MODEL], "services": []}],
}


class Begun(NamedTuple):
    """A prompt that an engine began to answer."""

    target: str
    prompt: str
    time_s: float


class Exchange:
    """A request and its response.

    Attributes:
        prompt: The prompt.
        tokens: Tokens received so far.
        usage: Usage after a complete response, or None.
        error: The error of a failed request, or None.
    """

    def __init__(self, prompt):
        self.prompt = prompt
        self.tokens = []
        self.usage = None
        self.error = None

    @property
    def is_whole(self):
        """Whether the response is complete."""
        return self.usage is not None

    def on_end(self, usage):
        """Records the end of the response."""
        self.usage = usage

    def on_error(self, request_error):
        """Records the error."""
        self.error = request_error


class FakeStore:
    """An object store that never answers."""

    async def read(self, *_):
        """Waits forever."""
        await defer.Deferred()


class FakeEngine:
    """An engine that outlives the agent's client, as its own process."""

    def __init__(self, fleet, target):
        self.fleet = fleet
        self.target = target
        self.starts = 1
        self.is_down = False

    def crash(self):
        """Ends the engine until it is started again."""
        self.is_down = True
        self.fleet.crashes.append((self.target, self.fleet.clock.seconds()))
        self.fleet.clock.callLater(RESTART_S, self._restart)
        self.fleet.on_engine_crashed(self.target)

    def _restart(self):
        self.starts += 1
        self.is_down = False


class FakeEngineClient:
    """The client of a fake engine, in place of `EngineClient`."""

    def __init__(self, engine, on_call_failed):
        self._engine = engine
        self._clock = engine.fleet.clock
        self._on_call_failed = on_call_failed

    def info(self):
        """Returns the engine's model and layers."""
        if self._engine.is_down:
            return defer.fail(engine_client.EngineFailed("down"))
        return defer.succeed(
            engine_client.EngineInfo(
                f"{self._engine.target}-{self._engine.starts}",
                MODEL,
                0,
                LAYERS,
                LAYERS,
                "kind-a",
                64,
            )
        )

    def run_step(self, step):
        """Runs a step, unless the engine ends meanwhile."""
        done = defer.Deferred()
        start_count = self._engine.starts
        prompt = cbor2.loads(step.data).get("prompt")
        if prompt is not None and not self._engine.is_down:
            self._engine.fleet.begun.append(
                Begun(self._engine.target, prompt, self._clock.seconds())
            )
        self._clock.callLater(
            STEP_S, self._finish_step, done, prompt, start_count
        )
        return done

    def _finish_step(self, done, prompt, start_count):
        engine = self._engine
        is_same = not engine.is_down and engine.starts == start_count
        if is_same and engine.fleet.crashing_text in (prompt or ""):
            engine.crash()
        if engine.is_down or engine.starts != start_count:
            if engine.fleet.whole_vm_crashes:
                return
            self._on_call_failed()
            done.errback(failure.Failure(engine_client.EngineFailed("ended")))
            return
        timeout_text = engine.fleet.timeout_text
        if timeout_text is not None and timeout_text in (prompt or ""):
            self._on_call_failed()
            done.errback(failure.Failure(engine_client.EngineFailed("late")))
            return
        done.callback(engine_client.Output(token=1))

    def release_sequences(self, sequences):
        """Does nothing, as the fake has no caches."""


class Connection:
    """A connection to an agent; bytes move with each tick."""

    def __init__(self, dialled, accepted, agent):
        self.ends = (dialled, accepted)
        self.transports = (
            memory_links.MemoryTransport(),
            memory_links.MemoryTransport(),
        )
        self.agent = agent
        self.is_lost = False
        for end, transport in zip(self.ends, self.transports, strict=True):
            end.makeConnection(transport)

    def deliver(self):
        """Delivers what both ends have written."""
        for index, transport in enumerate(self.transports):
            data = bytes(transport.written)
            transport.written.clear()
            if data and not self.is_lost:
                self.ends[1 - index].dataReceived(data)
        if any(transport.closing for transport in self.transports):
            self.lose()

    def lose(self):
        """Ends the connection."""
        if self.is_lost:
            return
        self.is_lost = True
        for end in self.ends:
            end.connectionLost(failure.Failure(error.ConnectionDone()))


class Fleet:
    """Entries and agents on one virtual clock.

    Attributes:
        clock: The virtual clock.
        entries: Entries by name.
        agents: Running agents by name.
        crashing_text: Text that ends the engines that begin to answer it.
        crashes: Target and time of each engine that ended.
        begun: Prompts that engines began to answer.
        whole_vm_crashes: Whether the agent of an engine ends with it.
        timeout_text: Text of prompts that engines don't answer in time.
    """

    def __init__(
        self,
        monkeypatch,
        crashing_text,
        agents=8,
        entries=2,
        whole_vm_crashes=False,
    ):
        self.clock = MemoryReactorClock()
        self.crashing_text = crashing_text
        self.crashes = []
        self.begun = []
        self.timeout_text = None
        self.agents = {}
        self.entries = {}
        self.whole_vm_crashes = whole_vm_crashes
        self._connections = []
        self._request_count = 0
        self._engines = {}
        self._ports = {f"a{index}": 1000 + index for index in range(agents)}
        monkeypatch.setattr(
            engine_client, "EngineClient", self._new_engine_client
        )
        process_ids = itertools.count()
        monkeypatch.setattr(
            process_module.secrets,
            "token_hex",
            lambda _: f"process-{next(process_ids)}",
        )
        for name in self._ports:
            self._engines[name] = FakeEngine(self, name)
            self.start_agent(name)
        for index in range(entries):
            self.start_entry(f"e{index}")
        self.run(1.0)

    def run(self, duration_s):
        """Advances the clock and delivers the bytes on all connections."""
        for _ in range(round(duration_s / TICK_S)):
            self._accept_connections()
            self.clock.advance(TICK_S)
            for connection in list(self._connections):
                connection.deliver()
            self._connections = [
                connection
                for connection in self._connections
                if not connection.is_lost
            ]

    def send(self, entry, prompt):
        """Sends a request to an entry; returns its exchange."""
        self._request_count += 1
        request_id = f"r{self._request_count}"
        exchange = Exchange(prompt)
        view = snapshot.build(1, PLANS).workspaces[WORKSPACE]
        caller = call_types.CallerIdentity(view, 1)
        registry = self.entries[entry].registry
        registry.admit(caller)
        registry.start_model_request(
            call_types.ModelCall(
                request_id=request_id,
                caller=caller,
                model=MODEL,
                prompt=prompt,
                max_tokens=OUTPUT_TOKENS,
                traceparent="",
                request_digest=suspects.digest(WORKSPACE, prompt.encode()),
                reauthorize=lambda: caller,
            ),
            call_types.ResponseSink(
                exchange.tokens.extend, exchange.on_end, exchange.on_error
            ),
        )
        return exchange

    def begun_after_crash(self, number):
        """Returns the crashing prompts begun after the crash of a number."""
        if len(self.crashes) < number:
            return []
        crashed_s = self.crashes[number - 1][1]
        return [
            begun
            for begun in self.begun
            if begun.time_s > crashed_s and self.crashing_text in begun.prompt
        ]

    def begun_prompts(self, exchanges):
        """Returns the starts of the prompts of some exchanges at engines."""
        prompts = {exchange.prompt for exchange in exchanges}
        return [begun for begun in self.begun if begun.prompt in prompts]

    def dial(self, name):
        """Returns a new link to an agent, as an entry would open it."""
        end = memory_links.LinkEnd(
            link_module.DialledLink,
            self.clock,
            "other-entry",
            self.agents[name].settings["links"],
            role="entry",
        )
        self._connect(end.link, name)
        self.run(TICK_S * 8)
        return end

    def crash_engine(self, target):
        """Ends an engine that runs, for another reason than its prompts."""
        if not self._engines[target].is_down:
            self._engines[target].crash()

    def on_engine_crashed(self, target):
        """Ends the agent of an engine that crashed with its whole VM."""
        if not self.whole_vm_crashes:
            return
        agent = self.agents.pop(target)
        for connection in self._connections:
            if connection.agent is agent:
                connection.lose()
        self.clock.callLater(RESTART_S, self.start_agent, target)

    def start_agent(self, name):
        """Starts the agent of a target."""
        settings = self._settings(name) | {
            "link": {"host": "127.0.0.1", "port": self._ports[name]},
            "accelerator_kind": "kind-a",
            "engine": {"url": name},
        }
        process = self._process(settings, "agent")
        agent = agent_app.Agent(process)
        agent.link_port = self._ports[name]
        agent.engine_watch.request_info()
        self.agents[name] = agent

    def start_entry(self, name):
        """Starts an entry that is linked to all agents."""
        settings = self._settings(name) | {
            "callers": {"host": "127.0.0.1", "port": 1}
        }
        entry = entry_app.Entry(self._process(settings, "entry"))
        self.entries[name] = entry
        entry.targets.on_registration_changes(
            [
                client.StoredObject(
                    "target", agent_name, 1, agent.registration
                )
                for agent_name, agent in self.agents.items()
            ],
            [],
            is_full_listing=True,
        )
        self._accept_connections()

    def _settings(self, name):
        return {
            "name": name,
            "data_centre": "dc1",
            "vm": f"vm-{name}",
            "admin": {"host": "127.0.0.1", "port": 1},
            "store": {"url": "http://127.0.0.1:1"},
            "links": {"secret": "a shared secret of the tests"},
        }

    def _process(self, settings, role):
        schema = documents.read_schema(f"{role}_settings")
        settings = documents.with_defaults(settings, schema)
        process = process_module.create(self.clock, settings, role)
        process.feed.apply_if_newer(snapshot.build(1, PLANS))
        return process._replace(store=FakeStore())

    def _new_engine_client(self, reactor, settings, on_call_failed):
        engine = self._engines[settings["url"]]
        return FakeEngineClient(engine, on_call_failed)

    def _accept_connections(self):
        """Accepts the connections dialled since the last call."""
        names_by_port = {port: name for name, port in self._ports.items()}
        while self.clock.tcpClients:
            _, port, factory, *_ = self.clock.tcpClients.pop(0)
            name = names_by_port[port]
            if name not in self.agents:
                factory.clientConnectionFailed(
                    None, failure.Failure(error.ConnectionRefusedError())
                )
                continue
            self._connect(factory.buildProtocol(None), name)

    def _connect(self, dialled, name):
        """Connects a dialled link to an agent."""
        agent = self.agents[name]
        accepted = agent._listener.buildProtocol(None)
        self._connections.append(Connection(dialled, accepted, agent))


def start_message(prompt, max_tokens=1):
    """Returns the message by which an entry sends a request to a target."""
    return {
        "type": "start",
        "request": "other",
        "attempt": 1,
        "workspace": WORKSPACE,
        "plan": "all",
        "model": MODEL,
        "config_version": 1,
        "prompt": prompt,
        "max_tokens": max_tokens,
        "generated": [],
        "cost_tokens": float(max_tokens),
        "worth": 1.0,
        "expires_in_s": 30.0,
        "credit_tokens": 100,
        "chain": [
            {
                "target": "a0",
                "host": "127.0.0.1",
                "port": 1000,
                "first_layer": 0,
                "end_layer": LAYERS,
            }
        ],
        "alternates": [],
        "digest": 1,
        "traceparent": "",
    }


def words(text, count):
    """Returns distinct words that begin with a text."""
    return " ".join(f"{text}{number}" for number in range(count))


def settle(fleet, exchanges):
    """Runs until all requests have ended."""
    for _ in range(100):
        if all(e.is_whole or e.error is not None for e in exchanges):
            return
        fleet.run(0.5)

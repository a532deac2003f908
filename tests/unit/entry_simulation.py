"""An entry with stand-ins of agents, in memory and on a virtual clock."""

import random
from typing import Any
from typing import NamedTuple

from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock
from twisted.python import failure

from hemlocktiller._internal import documents
from hemlocktiller._internal import exceptions
from hemlocktiller._internal import process as process_module
from hemlocktiller._internal.config import snapshot
from hemlocktiller._internal.entry import app
from hemlocktiller._internal.entry import call_types
from hemlocktiller._internal.links import link as link_module
from hemlocktiller._internal.policy import suspects
from tests.unit import memory_links

STEP_S = 0.05
SETTINGS = {
    "name": "entry-1",
    "data_centre": "dc1",
    "admin": {"host": "127.0.0.1", "port": 0},
    "callers": {"host": "127.0.0.1", "port": 0},
    "store": {"url": "http://127.0.0.1:1"},
    "links": {"secret": memory_links.SETTINGS["secret"]},
    "retries": {},
}
CONFIG = {
    "plans": [
        {
            "plan": "basic",
            "share": 1.0,
            "worth": 1.0,
            "deadline_s": 30.0,
            "workspaces": [{"workspace": "w1", "key_digest": "d"}],
        }
    ],
    "allowances": [
        {"plan": "basic", "models": ["m1"], "services": ["booking"]}
    ],
}
FIRST_PORT = 4000


def settings():
    """Returns the settings of the entry with all defaults."""
    schema = documents.read_schema("entry_settings")
    return documents.with_defaults(SETTINGS, schema)


class Connection(NamedTuple):
    """A connection between the entry and a stand-in of an agent.

    Attributes:
        entry_protocol: End of the entry.
        link: End of the agent.
        transports: Transports of the entry and of the agent.
    """

    entry_protocol: Any
    link: link_module.Link
    transports: tuple[
        memory_links.MemoryTransport, memory_links.MemoryTransport
    ]

    def deliver_once(self):
        """Delivers the bytes written so far; returns whether there were any.

        The agent's end comes first.
        """
        from_entry, to_entry = (
            bytes(transport.written) for transport in self.transports
        )
        for transport in self.transports:
            transport.written.clear()
        if from_entry:
            self.link.dataReceived(from_entry)
        if to_entry:
            self.entry_protocol.dataReceived(to_entry)
        return bool(from_entry or to_entry)

    def is_closing(self):
        """Returns whether an end has closed the connection."""
        return any(transport.closing for transport in self.transports)


class Agent:
    """A stand-in of an agent: records messages, sends what a test says.

    Attributes:
        messages: Messages of requests that it received, from all links.
        message_links: The link of each of these messages.
        is_silent: Whether it reads and writes nothing. Its kernel still
            accepts connections.
        is_gone: Whether its process has ended, so connections are refused.
        process: Id of its process.
    """

    def __init__(self, clock, name):
        self.name = name
        self.messages = []
        self.message_links = []
        self.is_silent = False
        self.is_gone = False
        self.process = f"process-{name}"
        self._clock = clock
        self._connections = []

    @property
    def link(self):
        """Its end of the newest link that is open, or None."""
        links = [each.link for each in self._connections if each.link.is_open]
        return links[-1] if links else None

    def accept(self, entry_protocol):
        """Accepts a connection of the entry."""
        local = link_module.LocalProcess(
            self.process, "agent", self.name, "dc1", lambda: 1
        )
        handlers = link_module.Handlers(
            lambda link: None, self._on_message, lambda link, reason: None
        )
        link = link_module.AcceptedLink(
            self._clock, settings()["links"], local, handlers
        )
        transports = (
            memory_links.MemoryTransport(),
            memory_links.MemoryTransport(),
        )
        self._connections.append(Connection(entry_protocol, link, transports))
        entry_protocol.makeConnection(transports[0])
        link.makeConnection(transports[1])

    def deliver(self):
        """Delivers bytes in both directions until none are left."""
        for connection in list(self._connections):
            while not self.is_silent and connection.deliver_once():
                pass
            if connection.is_closing():
                self._end(connection)

    def stop(self):
        """Ends the process; its kernel closes the connections."""
        self.is_gone = True
        for connection in list(self._connections):
            self._end(connection)

    def requests(self, message_type):
        """Returns the messages of a type, in the order of their arrival."""
        return [
            message
            for message in self.messages
            if message["type"] == message_type
        ]

    def _on_message(self, link, message):
        self.messages.append(message)
        self.message_links.append(link)

    def _end(self, connection):
        self._connections.remove(connection)
        reason = failure.Failure(error.ConnectionDone())
        connection.link.connectionLost(reason)
        connection.entry_protocol.connectionLost(reason)


class EntryRun:
    """An entry and its agents.

    Attributes:
        clock: Virtual clock.
        agents: Agents by name.
        entry: The entry.
        responses: Responses of calls of services that ended.
        tokens: Tokens received for model requests, by request id.
        usages: Ends of model requests that completed.
        errors: Errors of requests that failed.
    """

    def __init__(self):
        self.clock = MemoryReactorClock()
        self.agents = {}
        self.responses = []
        self.tokens = {}
        self.usages = []
        self.errors = []
        process = process_module.create(self.clock, settings(), "entry")
        self.entry = app.Entry(process._replace(rng=random.Random(1)))
        process.feed.apply_if_newer(snapshot.build(1, CONFIG))
        self._agents_by_port = {}
        self._handled_count = 0

    def add_agent(self, name, **fields):
        """Adds an agent; returns its stand-in."""
        port = FIRST_PORT + len(self.agents)
        agent = Agent(self.clock, name)
        self.agents[name] = agent
        self._agents_by_port[port] = agent
        record = {
            "target": name,
            "host": "127.0.0.1",
            "port": port,
            "admin_host": "127.0.0.1",
            "admin_port": 1,
            "data_centre": "dc1",
            "vm": f"vm-{name}",
            "model": "",
            "first_layer": 0,
            "end_layer": 0,
            "layer_count": 0,
            "accelerator_kind": "",
            "service": "",
            "max_running": 8,
            **fields,
        }
        self.entry.targets.add_peer_records([record])
        self.advance(STEP_S)
        return agent

    def add_service(self, name):
        """Adds an agent of the service."""
        return self.add_agent(name, service="booking")

    def add_engine(self, name):
        """Adds an agent whose engine holds the whole model."""
        return self.add_agent(name, model="m1", end_layer=4, layer_count=4)

    def advance(self, duration_s):
        """Advances the clock in steps and delivers all bytes after each."""
        for _ in range(round(duration_s / STEP_S)):
            self.clock.advance(STEP_S)
            self._connect_all()
            for agent in self.agents.values():
                agent.deliver()

    def call(self, method="POST", idempotency_key="", request="r1"):
        """Starts a call of the service."""
        call = call_types.ServiceCall(
            request_id=request,
            service="booking",
            method=method,
            path="/bookings",
            content_type="application/json",
            body=b"{}",
            idempotency_key=idempotency_key,
            **self._common_fields(request, "services", "booking"),
        )
        self.entry.registry.start_service_call(
            call, self.responses.append, self.errors.append
        )
        self.advance(STEP_S)

    def complete(self, request="r1"):
        """Starts a model request."""
        call = call_types.ModelCall(
            request_id=request,
            model="m1",
            prompt="a menu for the hall",
            max_tokens=8,
            **self._common_fields(request, "models", "m1"),
        )
        tokens = self.tokens.setdefault(request, [])
        sink = call_types.ResponseSink(
            tokens.extend, self.usages.append, self.errors.append
        )
        self.entry.registry.start_model_request(call, sink)
        self.advance(STEP_S)

    def agents_with(self, message_type):
        """Returns the agents that received a message of a type."""
        return [
            agent
            for agent in self.agents.values()
            if agent.requests(message_type)
        ]

    def suspect_state(self, request="r1"):
        """Returns the state of a request as a suspect."""
        return self.entry.process.suspects.state(_digest(request))

    def _common_fields(self, request, allowance_field, name):
        def authorize():
            config = self.entry.process.feed.current
            view = config.workspaces["w1"]
            if name not in view.allowance[allowance_field]:
                raise exceptions.NotAllowed(f"{name} is not allowed")
            return call_types.CallerIdentity(view, config.version)

        caller = authorize()
        self.entry.registry.admit(caller)
        return {
            "caller": caller,
            "traceparent": "",
            "request_digest": _digest(request),
            "reauthorize": authorize,
        }

    def _connect_all(self):
        while self._handled_count < len(self.clock.tcpClients):
            _, port, factory, *_ = self.clock.tcpClients[self._handled_count]
            self._handled_count += 1
            agent = self._agents_by_port.get(port)
            if agent is None or agent.is_gone:
                factory.clientConnectionFailed(
                    None, failure.Failure(error.ConnectionRefusedError())
                )
            else:
                agent.accept(factory.buildProtocol(None))


def answer_call(agent):
    """Lets an agent answer the newest call that it received."""
    _send_call_result(agent, status=200, body=b"done", ran="yes")


def refuse_claim(agent):
    """Lets an agent answer that the claim of its newest call is not known."""
    _send_call_result(agent, ran="no", reason="store_unavailable")


def _send_call_result(agent, **fields):
    call = agent.requests("call")[-1]
    result = {
        "type": "call_result",
        "request": call["request"],
        "attempt": call["attempt"],
        "status": 0,
        "content_type": "text/plain",
        "body": b"",
        "ran": "no",
        "reason": "",
        "replayed": False,
        "retry_after_s": 0.0,
    }
    agent.link.send(result | fields)


def send_tokens(agent, first_index, tokens):
    """Lets an agent send tokens of the newest request that it received."""
    start = agent.requests("start")[-1]
    run = {
        "request": start["request"],
        "attempt": start["attempt"],
        "first_index": first_index,
        "tokens": tokens,
    }
    agent.link.send({"type": "tokens", "runs": [run]})


def finish(agent, token_count):
    """Lets an agent finish the newest request that it received."""
    start = agent.requests("start")[-1]
    agent.link.send(
        {
            "type": "finished",
            "request": start["request"],
            "attempt": start["attempt"],
            "token_count": token_count,
            "prompt_token_count": 5,
            "reason": "length",
        }
    )


def _digest(request):
    return suspects.digest("w1", request.encode())

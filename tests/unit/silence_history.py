"""Random silences, losses and changes at the agents of a simulated entry."""

import collections
import contextlib
import random

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.config import snapshot
from hemlocktiller._internal.store import client
from tests.unit import entry_simulation

AGENTS = 2
MAX_TOKENS = 8
CALL_TICKS = 6
TOKENS = [100 + index for index in range(MAX_TOKENS)]
METHODS = ("model", "model", "GET", "POST", "keyed")


class WorkingAgent:
    """Lets a stand-in of an agent do the work that it receives.

    Attributes:
        running: Attempts under way: message, link and ticks so far.
    """

    def __init__(self, history, agent):
        self.history = history
        self.agent = agent
        self.running = {}
        self._handled_count = 0

    def tick(self):
        """Handles what has arrived and works on all attempts."""
        if self.agent.is_silent or self.agent.is_gone:
            return
        for index in range(self._handled_count, len(self.agent.messages)):
            self._receive(
                self.agent.messages[index], self.agent.message_links[index]
            )
        self._handled_count = len(self.agent.messages)
        for key, (message, link, ticks) in list(self.running.items()):
            self.running[key] = (message, link, ticks + 1)
            if message["type"] == "start":
                self._generate(key, message, link, ticks)
            elif ticks >= CALL_TICKS:
                del self.running[key]
                self._answer(message, link)

    def _receive(self, message, link):
        if message["type"] in ("start", "call"):
            key = (message["request"], message["attempt"])
            self._begin(key, message, link)
        elif message["type"] == "cancel":
            key = (message["request"], message["attempt"])
            if self.running.get(key, [{"type": ""}])[0]["type"] == "start":
                del self.running[key]

    def _begin(self, key, message, link):
        if message["type"] == "call" and message["idempotency_key"]:
            claim = self.history.claims.get(key[0])
            if claim == "finished":
                self._answer(message, link, replayed=True)
                return
            if claim == "started":
                self._answer(message, link, "unknown", "in_progress")
                return
            self.history.claims[key[0]] = "started"
        self.history.begun[key[0]].append(self.agent.name)
        self.running[key] = (message, link, 0)

    def _generate(self, key, message, link, ticks):
        if not link.is_open:
            del self.running[key]
            return
        index = len(message["generated"]) + ticks
        fields = {"request": key[0], "attempt": key[1]}
        if index < MAX_TOKENS:
            run = {**fields, "first_index": index, "tokens": [TOKENS[index]]}
            link.send({"type": "tokens", "runs": [run]})
            return
        del self.running[key]
        link.send(
            {
                "type": "finished",
                **fields,
                "token_count": MAX_TOKENS,
                "prompt_token_count": 5,
                "reason": "length",
            }
        )

    def _answer(self, message, link, ran="yes", reason="", replayed=False):
        if message["idempotency_key"] and ran == "yes":
            self.history.claims[message["request"]] = "finished"
        if not link.is_open:
            return
        link.send(
            {
                "type": "call_result",
                "request": message["request"],
                "attempt": message["attempt"],
                "status": 0 if reason else 200,
                "content_type": "text/plain",
                "body": b"",
                "ran": ran,
                "reason": reason,
                "replayed": replayed,
                "retry_after_s": 0.0,
            }
        )


class History:
    """Requests at an entry beside random faults of its agents.

    Attributes:
        run: The entry and its agents.
        begun: Names of the agents that began each request, in order.
        claims: State of the claim of each call with a key.
        methods: Method of each request; "model" for model requests.
    """

    def __init__(self, seed, max_silence_s=1.6, losses=1):
        self.rng = random.Random(seed)
        self.run = entry_simulation.EntryRun()
        self.begun = collections.defaultdict(list)
        self.claims = {}
        self.methods = {}
        self._max_silence_s = max_silence_s
        self._losses = losses
        self._version = 1
        self._records = []
        self._wake_s = {}
        self.workers = []
        for kind in ("engine", "service"):
            for number in range(AGENTS):
                add = getattr(self.run, f"add_{kind}")
                agent = add(f"{kind}{number}")
                self.workers.append(WorkingAgent(self, agent))
        self._records = [
            target.record for target in self.run.entry.targets.by_name.values()
        ]

    def play(self, ticks=200, requests=12):
        """Runs requests beside faults, and then until all have ended."""
        starts = collections.Counter(
            self.rng.randrange(ticks // 2) for _ in range(requests)
        )
        number = 0
        for tick in range(ticks):
            for _ in range(starts[tick]):
                self._start(f"r{number}")
                number += 1
            if tick < ticks // 2 + 20 and self.rng.random() < 0.25:
                self._inject()
            self._tick()
        for _ in range(800):
            if not len(self.run.entry.registry):
                break
            self._tick()
        for _ in range(20):
            self._tick()

    def _tick(self):
        now_s = self.run.clock.seconds()
        for worker in self.workers:
            if self._wake_s.get(worker.agent.name, 0.0) <= now_s:
                worker.agent.is_silent = False
        self.run.advance(entry_simulation.STEP_S)
        for worker in self.workers:
            worker.tick()

    def _start(self, request):
        method = self.rng.choice(METHODS)
        self.methods[request] = method
        key = request if method == "keyed" else ""
        with contextlib.suppress(exceptions.NotAllowed):
            if method == "model":
                self.run.complete(request)
            else:
                http_method = "GET" if method == "GET" else "POST"
                self.run.call(http_method, key, request)

    def _inject(self):
        agent = self.rng.choice(self.workers).agent
        fault = self.rng.choice(
            ["silence"] * 5
            + ["loss", "leaving", "listing", "older"]
            + ["config"] * 3
        )
        if fault == "silence" and not agent.is_silent:
            duration_s = self.rng.uniform(0.8, self._max_silence_s)
            agent.is_silent = True
            self._wake_s[agent.name] = self.run.clock.seconds() + duration_s
        elif fault == "loss" and self._losses > 0 and not agent.is_gone:
            self._losses -= 1
            agent.stop()
        elif fault == "leaving" and agent.link and not agent.is_silent:
            leaving = {"type": "leaving", "name": agent.name, "reason": ""}
            agent.link.send(leaving)
        elif fault == "listing":
            self._list([r for r in self._records if self.rng.random() < 0.8])
        elif fault == "older":
            self._list([r | {"vm": "older"} for r in self._records])
        elif fault == "config":
            self._change_allowance()

    def _change_allowance(self):
        """Withdraws models or services, or allows them again."""
        self._version += 1
        withdrawn = self.rng.choice([{}, {}, {"models": []}, {"services": []}])
        allowance = entry_simulation.CONFIG["allowances"][0] | withdrawn
        config = entry_simulation.CONFIG | {"allowances": [allowance]}
        self.run.entry.process.feed.apply_if_newer(
            snapshot.build(self._version, config)
        )

    def _list(self, records):
        """Applies a listing of the store, which may be an older copy."""
        listed = [
            client.StoredObject("target", record["target"], 1, record)
            for record in records
        ]
        self.run.entry.targets.on_registration_changes(
            listed, [], is_full_listing=True
        )

    def findings(self):
        """Returns the guarantees that were broken."""
        found = []
        max_attempts = self.run.entry.settings["retries"]["attempts"]
        if len(self.run.entry.registry):
            found.append("requests without an end")
        for request, names in self.begun.items():
            method = self.methods[request]
            if method in ("POST", "keyed") and len(names) > 1:
                found.append(f"{request} ({method}) ran {len(names)} times")
            if len(names) > max_attempts:
                found.append(f"{request} began at {len(names)} agents")
        for error in self.run.errors:
            is_call = str(error).startswith("the call")
            refuses = error.http_status in (429, 503)
            if is_call and refuses and error.ran != "no":
                found.append(f"refused after it may have run: {error.code}")
        for request, tokens in self.run.tokens.items():
            if tokens != TOKENS[: len(tokens)]:
                found.append(f"{request} got {tokens}")
        for worker in self.workers:
            started = [
                key
                for key, (message, *_) in worker.running.items()
                if message["type"] == "start"
            ]
            if started and not worker.agent.is_gone:
                found.append(f"{worker.agent.name} still runs {started}")
        return found

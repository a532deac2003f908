"""The client of the model engine beside an agent.

Steps that become ready while a call is under way go into the next call
together, so the engine sees large batches. First steps, which carry a
whole prompt, go in calls of their own and don't hold up the others.
"""

from collections.abc import Callable
import json
from typing import Any
from typing import NamedTuple

import cbor2
import prometheus_client
from twisted.internet import defer
from twisted.python import failure

from hemlocktiller._internal import http_client

CBOR_TYPE = {"Content-Type": "application/cbor"}
INFO_TIMEOUT_S = 2.0

STEPS = prometheus_client.Counter(
    "hemlocktiller_engine_steps", "Steps run by the engine"
)
CALLS = prometheus_client.Counter(
    "hemlocktiller_engine_calls", "Calls of the engine"
)
ENGINE_FAILURES = prometheus_client.Counter(
    "hemlocktiller_engine_failures", "Calls of the engine that failed"
)


class EngineFailed(Exception):
    """The engine did not answer a call; its sequences are lost."""


class StepFailed(Exception):
    """The engine refused one step, with the reason that it gave."""


class Step(NamedTuple):
    """The work of one sequence in one engine call."""

    sequence: str
    token_index: int
    data: bytes
    first: bool = False
    rebuild: bool = False


class Output(NamedTuple):
    """The outcome of a step: data for the next stage, or a token."""

    data: bytes = b""
    token: int = 0
    final: bool = False


class Info(NamedTuple):
    """What an engine says of itself."""

    engine: str
    model: str
    first_layer: int
    end_layer: int
    layer_count: int
    accelerator_kind: str
    sequences: int


def prompt_data(prompt: str, generated: list[int]) -> bytes:
    """Returns the first stage's input of the first step."""
    return cbor2.dumps({"prompt": prompt, "generated": generated})


def token_data(token: int) -> bytes:
    """Returns the first stage's input of a later step."""
    return cbor2.dumps({"token": token})


class _Waiting(NamedTuple):
    step: Step
    done: defer.Deferred


class EngineClient:
    """Steps that wait for, or run in, the engine."""

    def __init__(
        self, reactor: Any, settings: Any, on_failed: Callable[[], None]
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._on_failed = on_failed
        self._http = http_client.agent(reactor)
        self._waiting: list[_Waiting] = []
        self._busy = False
        self._scheduled = False

    @defer.inlineCallbacks
    def info(self) -> defer.Deferred[Info]:
        """Asks the engine what it holds."""
        request = http_client.Request(
            "GET", self._url("info"), timeout_s=INFO_TIMEOUT_S
        )
        reply = yield http_client.call(self._reactor, self._http, request)
        fields = json.loads(reply.body)
        return Info(**{name: fields[name] for name in Info._fields})

    def step(self, step: Step) -> defer.Deferred[Output]:
        """Runs a step; fails with EngineFailed or StepFailed."""
        waiting = _Waiting(step, defer.Deferred())
        if step.first:
            self._run([waiting])
            return waiting.done
        self._waiting.append(waiting)
        if not self._scheduled and not self._busy:
            self._scheduled = True
            self._reactor.callLater(0, self._run_waiting)
        return waiting.done

    def steps(self, steps: list[Step]) -> defer.Deferred[list[Output]]:
        """Runs steps in their order, in one call.

        Fails as `step` does, with the first failure.
        """
        batch = [_Waiting(step, defer.Deferred()) for step in steps]
        done = defer.gatherResults(
            [waiting.done for waiting in batch], consumeErrors=True
        )
        done.addErrback(lambda reason: reason.value.subFailure)
        self._run(batch)
        return done

    def close(self, sequences: list[str]) -> None:
        """Releases the cache of sequences; a failure does not matter."""
        closed = self._call("close", {"sequences": sequences})
        closed.addErrback(lambda _: None)

    def order(
        self, kind: str, fencing_number: int, arguments: dict[str, str]
    ) -> defer.Deferred[http_client.Reply]:
        """Passes a control order on, with its fencing number."""
        body = json.dumps(
            {
                "kind": kind,
                "fencing_number": fencing_number,
                "arguments": arguments,
            }
        )
        return http_client.call(
            self._reactor,
            self._http,
            http_client.Request(
                "POST",
                self._url("orders"),
                body.encode(),
                {"Content-Type": "application/json"},
                self._settings["step_timeout_s"],
            ),
        )

    def _run_waiting(self) -> None:
        self._scheduled = False
        if self._busy or not self._waiting:
            return
        size = self._settings["batch_sequences"]
        batch = self._waiting[:size]
        del self._waiting[:size]
        self._busy = True
        self._run(batch).addBoth(self._on_batch_done)

    def _on_batch_done(self, _: Any) -> None:
        self._busy = False
        self._run_waiting()

    @defer.inlineCallbacks
    def _run(self, batch: list[_Waiting]) -> defer.Deferred[None]:
        steps = [
            {
                "sequence": waiting.step.sequence,
                "token_index": waiting.step.token_index,
                "data": waiting.step.data,
                "rebuild": waiting.step.rebuild,
            }
            for waiting in batch
        ]
        STEPS.inc(len(steps))
        try:
            answer = yield self._call("step", {"steps": steps})
            results = answer["results"]
        except Exception as error:
            self._fail(batch, str(error))
            return
        for waiting, result in zip(batch, results, strict=True):
            _settle(waiting.done, result)

    def _fail(self, batch: list[_Waiting], message: str) -> None:
        ENGINE_FAILURES.inc()
        self._on_failed()
        for waiting in batch:
            waiting.done.errback(failure.Failure(EngineFailed(message)))

    @defer.inlineCallbacks
    def _call(self, page: str, message: Any) -> defer.Deferred[Any]:
        CALLS.inc()
        request = http_client.Request(
            "POST",
            self._url(page),
            cbor2.dumps(message),
            CBOR_TYPE,
            self._settings["step_timeout_s"],
        )
        reply = yield http_client.call(self._reactor, self._http, request)
        if reply.status != 200:
            raise EngineFailed(f"the engine answered {reply.status}")
        return cbor2.loads(reply.body) if reply.body else {}

    def _url(self, page: str) -> str:
        return f"{self._settings['url']}/v1/{page}"


def _settle(done: defer.Deferred, result: Any) -> None:
    if "error" in result:
        done.errback(failure.Failure(StepFailed(result["error"])))
        return
    done.callback(
        Output(
            result.get("data", b""),
            result.get("token", 0),
            result.get("final", False),
        )
    )

"""HTTP client of the model engine that an agent serves.

Steps that become ready during a call are sent together in the next call,
so that the engine gets large batches. First steps, which carry a whole
prompt, are sent in separate calls so that they don't delay the others.
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

CBOR_HEADERS = {"Content-Type": "application/cbor"}
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
    """A call of the engine failed; the state of its sequences is lost."""


class StepFailed(Exception):
    """The engine rejected one step; the message is its reason."""


class Step(NamedTuple):
    """The input of one sequence in one engine call.

    Attributes:
        sequence: Id of the sequence, under which the engine keeps its cache.
        token_index: Index of the token to compute.
        data: Encoded input.
        is_first_step: Whether this step starts the sequence, so that its
            input covers the whole prompt.
        rebuild: Whether the token is recomputed to restore the cache.
    """

    sequence: str
    token_index: int
    data: bytes
    is_first_step: bool = False
    rebuild: bool = False


class Output(NamedTuple):
    """The result of a step.

    Attributes:
        data: Input of the next stage; empty from the last stage.
        token: Token that the last stage generated.
        final: Whether the model stopped with this token.
    """

    data: bytes = b""
    token: int = 0
    final: bool = False


class EngineInfo(NamedTuple):
    """Model, layers and capacity that an engine reports."""

    engine: str
    model: str
    first_layer: int
    end_layer: int
    layer_count: int
    accelerator_kind: str
    sequences: int


def encode_prompt_input(prompt: str, generated: list[int]) -> bytes:
    """Encodes the first stage's input for the first step."""
    return cbor2.dumps({"prompt": prompt, "generated": generated})


def encode_token_input(token: int) -> bytes:
    """Encodes the first stage's input for a later step."""
    return cbor2.dumps({"token": token})


class _PendingStep(NamedTuple):
    step: Step
    done: defer.Deferred


class EngineClient:
    """Batches steps and sends them to the engine.

    Args:
        reactor: Twisted reactor.
        settings: Settings of the engine.
        on_call_failed: Called when a call with steps has failed.
    """

    def __init__(
        self, reactor: Any, settings: Any, on_call_failed: Callable[[], None]
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._on_call_failed = on_call_failed
        self._pool = http_client.create_pool(reactor)
        self._http = http_client.create_agent(reactor, self._pool)
        self._pending_steps: list[_PendingStep] = []
        self._batch_running = False
        self._batch_scheduled = False

    @defer.inlineCallbacks
    def info(self) -> defer.Deferred[EngineInfo]:
        """Requests the engine's model, layers and capacity."""
        request = http_client.Request(
            "GET", self._url("info"), timeout_s=INFO_TIMEOUT_S
        )
        reply = yield http_client.send(self._reactor, self._http, request)
        info_fields = json.loads(reply.body)
        return EngineInfo(
            **{name: info_fields[name] for name in EngineInfo._fields}
        )

    def run_step(self, step: Step) -> defer.Deferred[Output]:
        """Runs a step; fails with EngineFailed or StepFailed."""
        pending = _PendingStep(step, defer.Deferred())
        if step.is_first_step:
            self._run_batch([pending])
            return pending.done
        self._pending_steps.append(pending)
        if not self._batch_scheduled and not self._batch_running:
            self._batch_scheduled = True
            self._reactor.callLater(0, self._run_next_batch)
        return pending.done

    def run_steps(self, steps: list[Step]) -> defer.Deferred[list[Output]]:
        """Runs steps in order, in one call.

        Fails as `run_step` does, with the first failure.
        """
        batch = [_PendingStep(step, defer.Deferred()) for step in steps]
        done = defer.gatherResults(
            [pending.done for pending in batch], consumeErrors=True
        )
        done.addErrback(lambda reason: reason.value.subFailure)
        self._run_batch(batch)
        return done

    def release_sequences(self, sequences: list[str]) -> None:
        """Releases the cache of sequences; failures are ignored."""
        released = self._post("close", {"sequences": sequences})
        released.addErrback(lambda _: None)

    def forward_order(
        self, kind: str, fencing_number: int, arguments: dict[str, str]
    ) -> defer.Deferred[http_client.Reply]:
        """Forwards a control order to the engine, with its fencing number.

        It uses a connection of its own, as the reply doesn't name the order.
        """
        body = json.dumps(
            {
                "kind": kind,
                "fencing_number": fencing_number,
                "arguments": arguments,
            }
        )
        return http_client.send_once(
            self._reactor,
            http_client.Request(
                "POST",
                self._url("orders"),
                body.encode(),
                {"Content-Type": "application/json"},
                self._settings["step_timeout_s"],
            ),
        )

    def _run_next_batch(self) -> None:
        self._batch_scheduled = False
        if self._batch_running or not self._pending_steps:
            return
        batch_size = self._settings["batch_sequences"]
        batch = self._pending_steps[:batch_size]
        del self._pending_steps[:batch_size]
        self._batch_running = True
        self._run_batch(batch).addBoth(self._on_batch_done)

    def _on_batch_done(self, _: Any) -> None:
        self._batch_running = False
        self._run_next_batch()

    @defer.inlineCallbacks
    def _run_batch(self, batch: list[_PendingStep]) -> defer.Deferred[None]:
        """Sends a batch in one call and fires the Deferreds of its steps."""
        steps = [
            {
                "sequence": pending.step.sequence,
                "token_index": pending.step.token_index,
                "data": pending.step.data,
                "rebuild": pending.step.rebuild,
            }
            for pending in batch
        ]
        STEPS.inc(len(steps))
        try:
            response = yield self._post("step", {"steps": steps})
            results = response["results"]
            if len(results) != len(batch):
                raise EngineFailed(
                    f"{len(results)} results for {len(batch)} steps"
                )
            for pending, result in zip(batch, results, strict=True):
                _check_step(pending.step, result)
        except Exception as error:
            # One of them may hold a second copy of an answer, or the answer
            # that was due instead of one.
            self._pool.closeCachedConnections()
            self._fail_batch(batch, str(error))
            return
        for pending, result in zip(batch, results, strict=True):
            _resolve_step(pending.done, result)

    def _fail_batch(self, batch: list[_PendingStep], reason: str) -> None:
        ENGINE_FAILURES.inc()
        self._on_call_failed()
        for pending in batch:
            pending.done.errback(failure.Failure(EngineFailed(reason)))

    @defer.inlineCallbacks
    def _post(self, endpoint: str, payload: Any) -> defer.Deferred[Any]:
        CALLS.inc()
        request = http_client.Request(
            "POST",
            self._url(endpoint),
            cbor2.dumps(payload),
            CBOR_HEADERS,
            self._settings["step_timeout_s"],
        )
        reply = yield http_client.send(self._reactor, self._http, request)
        if reply.status != 200:
            raise EngineFailed(f"the engine responded with {reply.status}")
        return cbor2.loads(reply.body) if reply.body else {}

    def _url(self, endpoint: str) -> str:
        return f"{self._settings['url']}/v1/{endpoint}"


def _check_step(step: Step, result: Any) -> None:
    """Checks that a result is that of a step, as far as it names one.

    Raises:
        EngineFailed: It is that of another step.
    """
    sequence = result.get("sequence", step.sequence)
    token_index = result.get("token_index", step.token_index)
    if (sequence, token_index) != (step.sequence, step.token_index):
        raise EngineFailed(
            f"the result of step {token_index} of {sequence} answers step"
            f" {step.token_index} of {step.sequence}"
        )


def _resolve_step(done: defer.Deferred, result: Any) -> None:
    """Fires the Deferred of a step with its output or its error."""
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

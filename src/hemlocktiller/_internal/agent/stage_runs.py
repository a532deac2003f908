"""State that one pipeline stage keeps for each request attempt."""

from typing import Any
from typing import NamedTuple

from hemlocktiller._internal.agent import engine_client

AttemptKey = tuple[str, int]


class RequestContext(NamedTuple):
    """Request properties from the message that opened a run.

    They are the same at all stages of a request, except for the trace
    context.

    Attributes:
        config_version: Version of the configuration, as in the message.
        priority: Priority of the request.
        expires_at_s: Deadline, on the clock of this agent's reactor.
        digest: Digest that identifies the request when it is sent again.
        traceparent: Trace context of the parent span.
    """

    config_version: int
    priority: int
    expires_at_s: float
    digest: int
    traceparent: str


class StageRun:
    """State of one attempt of a request on this stage.

    Attributes:
        key: Request id and attempt number.
        stage_index: Index of this stage in the chain.
        chain: Stages in layer order, as far as this stage knows them.
        alternates: Stages that may replace the next stage.
        context: Request properties from the message that opened the run.
        next_token: Index of the first token that has not run here.
        base_token: Index of the first token that this stage runs.
        kept_outputs: Outputs since `base_token`, kept to rebuild the cache
            of a replacement for the next stage.
        last_output: Output of the newest token; None before the first one.
        engine_busy: Whether the engine is running a token.
        in_engine: Whether a call of the engine is under way, for a token or
            to rebuild the cache.
        cache_ready: Whether the cache of this stage is complete.
        first_incomplete_token: Index of the first token that may not have
            passed all stages; the answer holds all tokens before it.
        queued_inputs: Inputs by token index that arrived while the engine
            ran an earlier token.
        upstream_name: Name of the peer that runs the previous stage; empty
            on the first stage and while the link to that peer is lost.
        lost_upstream_name: Name of the peer to which that link was lost.
        upstream_rank: Rank of that stage; see `upstream_rank`.
        next_open_sent: Whether the next stage was asked for a reservation.
        next_reserved: Whether the next stage confirmed its reservation.
        next_process: Id of the process last asked to reserve the next
            stage; empty if none was asked since its replacement.
        next_stage_token: Index of the first token whose input the next
            stage had not received when it confirmed its reservation.
        may_have_run: Whether any layer may have run.
        tried_targets: Targets that failed as the next stage.
        reconnected_targets: Targets already dialled again after their link
            was lost.
        dead_targets: Targets that died while they ran this request.
        crashed_targets: The dead targets whose agent survived and reported
            the failure of its engine.
        suspect_refusals: Stages that refused this request because another
            suspect request runs there, since they were last asked again.
        waits_as_suspect: Whether the run waits to ask them again.
        waited_as_suspect_s: Time spent in such waits.
        expiry_timer: Releases the run after its deadline.
        started_at_s: When this stage was reserved.
        span: Trace span of this stage.
        engine_span: Trace span of the engine's work, once it has begun.
    """

    def __init__(
        self,
        key: AttemptKey,
        stage_index: int,
        chain: list[Any],
        alternates: list[Any],
        context: RequestContext,
        base_token: int,
    ) -> None:
        self.key = key
        self.stage_index = stage_index
        self.chain = chain
        self.alternates = alternates
        self.context = context
        self.base_token = base_token
        self.next_token = base_token
        self.first_incomplete_token = base_token
        self.kept_outputs: list[bytes] = []
        self.queued_inputs: dict[int, bytes] = {}
        self.last_output: engine_client.Output | None = None
        self.engine_busy = False
        self.in_engine = False
        self.cache_ready = True
        self.may_have_run = False
        self.upstream_name = ""
        self.lost_upstream_name = ""
        self.upstream_rank: tuple[int, ...] = ()
        self.next_open_sent = False
        self.next_reserved = self.is_last
        self.next_process = ""
        self.next_stage_token = base_token
        self.tried_targets: set[str] = set()
        self.reconnected_targets: set[str] = set()
        self.dead_targets: set[str] = set()
        self.crashed_targets: set[str] = set()
        self.suspect_refusals: list[Any] = []
        self.waits_as_suspect = False
        self.waited_as_suspect_s = 0.0
        self.expiry_timer: Any = None
        self.started_at_s = 0.0
        self.span: Any = None
        self.engine_span: Any = None

    @property
    def is_last(self) -> bool:
        """Whether this stage holds the model's last layers."""
        return self.stage_index == len(self.chain) - 1

    @property
    def sequence_id(self) -> str:
        """Sequence id of this attempt in the engine."""
        return f"{self.key[0]}/{self.key[1]}"

    @property
    def attempt_fields(self) -> dict[str, Any]:
        """The message fields that identify this attempt."""
        return {"request": self.key[0], "attempt": self.key[1]}

    @property
    def stage(self) -> Any:
        """Chain entry of this stage."""
        return self.chain[self.stage_index]

    @property
    def next_stage(self) -> Any:
        """Chain entry of the next stage; the last stage has none."""
        return self.chain[self.stage_index + 1]

    @property
    def first_stage(self) -> Any:
        """Chain entry of the first stage."""
        return self.chain[0]

    @property
    def next_input_token(self) -> int:
        """Index of the first token whose input has not arrived.

        Counts the token in the engine and those queued behind it.
        """
        return self.next_token + self.engine_busy + len(self.queued_inputs)

    @property
    def newest_output_token(self) -> int:
        """Index of the newest token in `kept_outputs`."""
        return self.base_token + len(self.kept_outputs) - 1

    def time_left_s(self, now_s: float) -> float:
        """Returns the time left until the deadline of the request."""
        return max(self.context.expires_at_s - now_s, 0.0)


def attempt_key(message: Any) -> AttemptKey:
    """Returns the request id and attempt number in a message."""
    return message["request"], message["attempt"]


def upstream_rank(open_message: Any) -> tuple[int, ...]:
    """Returns a rank by which the stages before one can be compared.

    Stages are replaced in the order of the alternates, and the replacement of
    a stage chooses all later ones anew. So of two previous stages that ask
    for the same run, the one with the higher rank was chosen later.
    """
    positions = {
        stage["target"]: position
        for position, stage in enumerate(open_message["alternates"])
    }
    earlier_stages = open_message["chain"][1 : open_message["stage_index"]]
    return tuple(
        positions.get(stage["target"], -1) for stage in earlier_stages
    )


def refusal_message(
    attempt_fields: Any,
    reason: str,
    target: str,
    retry_after_s: float = 0.0,
    config_version: int = 0,
) -> dict[str, Any]:
    """Returns a `refused` message, which proves that nothing ran.

    Args:
        attempt_fields: A message or mapping with the request and attempt.
        reason: Reason code.
        target: Name of the target that refuses.
        retry_after_s: Time after which a retry makes sense.
        config_version: Version of the configuration in force at the target.
    """
    return {
        "type": "refused",
        "request": attempt_fields["request"],
        "attempt": attempt_fields["attempt"],
        "reason": reason,
        "retry_after_s": retry_after_s,
        "target": target,
        "config_version": config_version,
    }


def alternate_for(run: StageRun) -> Any:
    """Returns an untried alternate for the next stage, or None."""
    wanted = run.next_stage
    tried_targets = run.tried_targets | {wanted["target"]}
    for stage in run.alternates:
        same_layers = (
            stage["first_layer"] == wanted["first_layer"]
            and stage["end_layer"] == wanted["end_layer"]
        )
        if same_layers and stage["target"] not in tried_targets:
            return stage
    return None

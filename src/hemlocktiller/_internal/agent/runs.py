"""State of the requests that pass through one stage."""

from typing import Any
from typing import NamedTuple

from hemlocktiller._internal.agent import engine

Key = tuple[str, int]


class Terms(NamedTuple):
    """What stays the same for a request on all of its stages."""

    config_version: int
    priority: int
    expires_at_s: float
    digest: int
    traceparent: str


class Run:
    """One attempt of a request on one stage.

    Attributes:
        key: Request id and attempt number.
        index: Place of this stage in the chain.
        chain: Stages in layer order, as this stage knows them.
        alternates: Stages that may replace the next one.
        next_token: Index of the first token that has not run here.
        base_token: Index of the first token that ever runs here.
        kept: Outputs since `base_token`, to rebuild the next stage.
        last: Output of the newest token.
        busy: Whether the engine runs a token now.
        ready: Whether the cache of this stage is complete.
        complete_token: Index of the first token that may be incomplete;
            the answer holds all tokens before it.
        waiting: Inputs that came while the engine ran an earlier token.
        next_asked: Whether the next stage was asked to be reserved.
        next_open: Whether the next stage is reserved.
        next_process: Process that holds the next stage.
        downstream_token: First token that the next stage has not run.
        fed: Whether any layer may have run.
        tried: Targets that failed as the next stage.
        reconnected: Targets dialled again after a lost link.
        dead: Targets that died while they ran this request.
        crashed: Those of them whose agent lives and told so.
        apart: Whether a stage refused it beside another suspect.
        started_s: When this stage was reserved.
        span: Span of this stage.
        engine_span: Span of the engine's work, once it has begun.
    """

    def __init__(
        self,
        key: Key,
        index: int,
        chain: list[Any],
        alternates: list[Any],
        terms: Terms,
        base_token: int,
    ) -> None:
        self.key = key
        self.index = index
        self.chain = chain
        self.alternates = alternates
        self.terms = terms
        self.base_token = base_token
        self.next_token = base_token
        self.complete_token = base_token
        self.kept: list[bytes] = []
        self.waiting: dict[int, bytes] = {}
        self.last: engine.Output | None = None
        self.busy = False
        self.ready = True
        self.fed = False
        self.upstream = ""
        self.next_asked = False
        self.next_open = self.is_last
        self.next_process = ""
        self.downstream_token = base_token
        self.tried: set[str] = set()
        self.reconnected: set[str] = set()
        self.dead: set[str] = set()
        self.crashed: set[str] = set()
        self.apart = False
        self.timer: Any = None
        self.started_s = 0.0
        self.span: Any = None
        self.engine_span: Any = None

    @property
    def is_last(self) -> bool:
        """Whether this stage holds the model's last layers."""
        return self.index == len(self.chain) - 1

    @property
    def sequence(self) -> str:
        """Name of the request at the engine."""
        return f"{self.key[0]}/{self.key[1]}"

    @property
    def place(self) -> dict[str, Any]:
        """The fields that name this attempt in a message."""
        return {"request": self.key[0], "attempt": self.key[1]}

    @property
    def stage(self) -> Any:
        """This stage."""
        return self.chain[self.index]

    @property
    def next_stage(self) -> Any:
        """The stage after this one; there is one unless `is_last`."""
        return self.chain[self.index + 1]

    @property
    def head(self) -> Any:
        """The first stage of the chain."""
        return self.chain[0]

    @property
    def received_token(self) -> int:
        """Index of the first token whose input has not come."""
        return self.next_token + self.busy + len(self.waiting)

    @property
    def newest_kept_token(self) -> int:
        """Index of the newest token whose output is kept."""
        return self.base_token + len(self.kept) - 1

    def time_left_s(self, now_s: float) -> float:
        """Returns the time in which the request is still wanted."""
        return max(self.terms.expires_at_s - now_s, 0.0)


def place_of(message: Any) -> Key:
    """Returns the request id and attempt that a message names."""
    return message["request"], message["attempt"]


def refusal(
    place: Any,
    reason: str,
    target: str,
    retry_after_s: float = 0.0,
    config_version: int = 0,
) -> dict[str, Any]:
    """Returns the message that proves that a request did not run."""
    return {
        "type": "refused",
        "request": place["request"],
        "attempt": place["attempt"],
        "reason": reason,
        "retry_after_s": retry_after_s,
        "target": target,
        "config_version": config_version,
    }


def alternate_for(run: Run) -> Any:
    """Returns an untried stage with the next stage's layers, or None."""
    wanted = run.next_stage
    for stage in run.alternates:
        same = (
            stage["first_layer"] == wanted["first_layer"]
            and stage["end_layer"] == wanted["end_layer"]
        )
        if same and stage["target"] not in run.tried:
            return stage
    return None

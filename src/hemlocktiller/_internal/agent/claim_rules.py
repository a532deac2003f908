"""State machine of a claim, as functions without I/O.

A claim is the record of one call that must run at most once. Its states:

- `started`: one attempt may be running. Only that attempt's dispatcher
  ends this state. It never times out, since a dispatcher that was paused
  may resume and still send the call.
- `finished`: the call ran, and its response is recorded.
- `unknown`: the call may have run, and its response is lost.
- `void`: nothing ran; any attempt not listed in `voided` may start.

The attempts listed in `voided` never start, in any state.
"""

from typing import Any
from typing import NamedTuple

from typing_extensions import TypedDict

STARTED = "started"
FINISHED = "finished"
UNKNOWN = "unknown"
VOID = "void"

VOIDED_ATTEMPTS_MAX = 256
IN_PROGRESS_RETRY_S = 1.0
UNKNOWN_RETRY_S = 60.0


class Outcome(TypedDict):
    """A recorded response.

    The body is base64. If it was too large to record, it is empty and
    `body_omitted` is set.
    """

    status: int
    content_type: str
    body: str
    body_omitted: bool


class ClaimValue(TypedDict):
    """The stored value of a claim; times are seconds since the epoch."""

    state: str
    fingerprint: str
    request: str
    attempt: int
    dispatch: str
    process: str
    ends_at_s: float
    expires_at_s: float
    voided: list[list[Any]]
    outcome: Outcome | None


class Attempt(NamedTuple):
    """One attempt at a call.

    Attributes:
        request: Request id.
        attempt: Attempt number within the request.
        fingerprint: Digest of the call; empty if not known.
        dispatch: Random id of this dispatch; empty if the process only
            voids the attempt and never dispatches it.
        process: Id of the process.
        ends_at_s: Latest end of the dispatch, in seconds since the epoch.
        expires_at_s: When the claim may be deleted, in seconds since the
            epoch.
    """

    request: str
    attempt: int
    fingerprint: str
    dispatch: str
    process: str
    ends_at_s: float
    expires_at_s: float


class Started(NamedTuple):
    """The attempt holds the claim and may be dispatched."""


class Recorded(NamedTuple):
    """The call ran before, with this response."""

    outcome: Outcome


class InProgress(NamedTuple):
    """Another attempt may still be running."""

    retry_after_s: float


class OutcomeUnknown(NamedTuple):
    """Another attempt may have run; its response is not known."""

    retry_after_s: float


class Mismatch(NamedTuple):
    """The idempotency key was used for a different call."""


class Void(NamedTuple):
    """The attempt did not run and never will."""


class Ended(NamedTuple):
    """The dispatch no longer holds the claim."""


Verdict = (
    Started | Recorded | InProgress | OutcomeUnknown | Mismatch | Void | Ended
)


class Put(NamedTuple):
    """A value to write, and the verdict that holds once it is written."""

    value: ClaimValue
    verdict: Verdict


def decide_acquire(
    current: ClaimValue | None, attempt: Attempt, now_s: float
) -> Put | Verdict:
    """Decides whether an attempt acquires the claim and may start."""
    if current is None:
        return Put(_new_value(STARTED, attempt, []), Started())
    if _is_voided(current, attempt):
        return Void()
    if current["state"] == VOID:
        value = _new_value(STARTED, attempt, current["voided"])
        return Put(value, Started())
    if current["fingerprint"] != attempt.fingerprint:
        return Mismatch()
    return _verdict_on_held(current, now_s)


def decide_void(
    current: ClaimValue | None, attempt: Attempt, now_s: float
) -> Put | Verdict:
    """Decides how to prevent an attempt from ever starting.

    A dispatcher that has sent nothing may void its own start. Any other
    process can't void an attempt that has started.
    """
    if current is None:
        value = _new_value(VOID, attempt, [_attempt_key(attempt)])
        return Put(value, Void())
    if _is_voided(current, attempt):
        return Void()
    is_same_attempt = _attempt_key(latest_attempt(current)) == _attempt_key(
        attempt
    )
    if current["state"] in (FINISHED, UNKNOWN):
        return _verdict_on_held(current, now_s) if is_same_attempt else Void()
    if current["state"] == STARTED and is_same_attempt:
        if current["dispatch"] != attempt.dispatch:
            return _verdict_on_held(current, now_s)
        return decide_end(current, attempt.dispatch, VOID, None)
    if len(current["voided"]) >= VOIDED_ATTEMPTS_MAX:
        return OutcomeUnknown(UNKNOWN_RETRY_S)
    return Put(_with_voided(current, _attempt_key(attempt)), Void())


def decide_end(
    current: ClaimValue | None,
    dispatch_id: str,
    state: str,
    outcome: Outcome | None,
) -> Put | Verdict:
    """Decides how a dispatch records the final state of its claim.

    A claim whose list of voided attempts is full becomes `unknown` instead
    of `void`, as its own attempt could not be added to the list.
    """
    if current is None or current["dispatch"] != dispatch_id:
        return Ended()
    if current["state"] != STARTED:
        return Ended()
    value: ClaimValue = {**current, "state": state, "outcome": outcome}
    if state != VOID:
        return Put(value, Ended())
    if len(current["voided"]) >= VOIDED_ATTEMPTS_MAX:
        return Put({**value, "state": UNKNOWN}, Ended())
    own_key = _attempt_key(latest_attempt(current))
    return Put(_with_voided(value, own_key), Void())


def latest_attempt(value: ClaimValue) -> Attempt:
    """Returns the last attempt that started, else the claim's creator."""
    return Attempt(*(value[field] for field in Attempt._fields))


def _new_value(state, attempt, voided) -> ClaimValue:
    """Returns the value of a claim that an attempt creates or acquires."""
    return {
        **attempt._asdict(),
        "state": state,
        "voided": voided,
        "outcome": None,
    }


def _attempt_key(attempt):
    return [attempt.request, attempt.attempt]


def _is_voided(current, attempt):
    return _attempt_key(attempt) in current["voided"]


def _with_voided(value, attempt_key) -> ClaimValue:
    """Returns a value with one more voided attempt."""
    return {**value, "voided": [*value["voided"], attempt_key]}


def _verdict_on_held(current, now_s):
    """Returns the verdict for another attempt at a claim that is not void."""
    if current["state"] == FINISHED:
        return Recorded(current["outcome"])
    if current["state"] == STARTED and now_s < current["ends_at_s"]:
        return InProgress(IN_PROGRESS_RETRY_S)
    return OutcomeUnknown(UNKNOWN_RETRY_S)

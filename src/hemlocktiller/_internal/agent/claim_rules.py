"""Decides how a claim changes; pure functions without I/O.

A claim is the record of one call that may not be repeated. Its states:

- `started`: one attempt may be running. Only that attempt's dispatcher
  ends this state; time never does, since a paused dispatcher may wake.
- `finished`: the call ran, and its answer is recorded.
- `unknown`: the call may have run, and its answer is lost.
- `void`: nothing ran; an attempt that is not listed as void may start.

The attempts listed as void never start, whatever the state.
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
    """A recorded answer.

    The body is base64; it is empty and `body_omitted` is set if it was too
    large to record.
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
        fingerprint: Digest of what is called; empty if not known.
        dispatch: Random id of this dispatch; empty for a router.
        process: Id of the process.
        ends_at_s: When the dispatch is over, in seconds since the epoch.
        expires_at_s: When the claim may be deleted, likewise.
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
    """The call ran before, with this answer."""

    outcome: Outcome


class InProgress(NamedTuple):
    """Another attempt may still be running."""

    retry_after_s: float


class OutcomeUnknown(NamedTuple):
    """Another attempt may have run; its answer is not known."""

    retry_after_s: float


class Mismatch(NamedTuple):
    """The key belongs to a different call."""


class Void(NamedTuple):
    """The attempt did not run and never will."""


class Ended(NamedTuple):
    """The dispatch no longer holds the claim."""


Verdict = (
    Started | Recorded | InProgress | OutcomeUnknown | Mismatch | Void | Ended
)


class Put(NamedTuple):
    """A value to write; the verdict holds once it is written."""

    value: ClaimValue
    verdict: Verdict


def begin(
    current: ClaimValue | None, attempt: Attempt, now_s: float
) -> Put | Verdict:
    """Decides whether an attempt may start."""
    if current is None:
        return Put(_value(STARTED, attempt, []), Started())
    if _is_voided(current, attempt):
        return Void()
    if current["state"] == VOID:
        value = _value(STARTED, attempt, current["voided"])
        return Put(value, Started())
    if current["fingerprint"] != attempt.fingerprint:
        return Mismatch()
    return _held(current, now_s)


def void(
    current: ClaimValue | None, attempt: Attempt, now_s: float
) -> Put | Verdict:
    """Decides how an attempt is kept from starting ever after.

    A dispatcher that never dispatched may give up its own start; a router
    can't undo a start.
    """
    if current is None:
        value = _value(VOID, attempt, [_pair(attempt)])
        return Put(value, Void())
    if _is_voided(current, attempt):
        return Void()
    is_own = _pair(current_attempt(current)) == _pair(attempt)
    if current["state"] in (FINISHED, UNKNOWN):
        return _held(current, now_s) if is_own else Void()
    if current["state"] == STARTED and is_own:
        if current["dispatch"] != attempt.dispatch:
            return _held(current, now_s)
        return end(current, attempt.dispatch, VOID, None)
    if len(current["voided"]) >= VOIDED_ATTEMPTS_MAX:
        return OutcomeUnknown(UNKNOWN_RETRY_S)
    return Put(_with_voided(current, _pair(attempt)), Void())


def end(
    current: ClaimValue | None,
    dispatch: str,
    state: str,
    outcome: Outcome | None,
) -> Put | Verdict:
    """Decides how a dispatch ends its claim."""
    if current is None or current["dispatch"] != dispatch:
        return Ended()
    if current["state"] != STARTED:
        return Ended()
    value: ClaimValue = {**current, "state": state, "outcome": outcome}
    if state != VOID:
        return Put(value, Ended())
    if len(current["voided"]) >= VOIDED_ATTEMPTS_MAX:
        return Put({**value, "state": UNKNOWN}, Ended())
    own = _pair(current_attempt(current))
    return Put(_with_voided(value, own), Void())


def current_attempt(value: ClaimValue) -> Attempt:
    """Returns the attempt that last started, or that made the claim."""
    return Attempt(*(value[field] for field in Attempt._fields))


def _value(state, attempt, voided) -> ClaimValue:
    return {
        **attempt._asdict(),
        "state": state,
        "voided": voided,
        "outcome": None,
    }


def _pair(attempt):
    return [attempt.request, attempt.attempt]


def _is_voided(current, attempt):
    return _pair(attempt) in current["voided"]


def _with_voided(value, pair) -> ClaimValue:
    return {**value, "voided": [*value["voided"], pair]}


def _held(current, now_s):
    """Returns what another attempt meets at a claim that is not void."""
    if current["state"] == FINISHED:
        return Recorded(current["outcome"])
    if current["state"] == STARTED and now_s < current["ends_at_s"]:
        return InProgress(IN_PROGRESS_RETRY_S)
    return OutcomeUnknown(UNKNOWN_RETRY_S)

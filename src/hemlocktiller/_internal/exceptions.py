"""The errors of hemlocktiller; each says what to do next."""

from typing import Literal

Ran = Literal["no", "yes", "unknown"]


class HemlocktillerError(Exception):
    """Base of all errors of this package."""


class RequestError(HemlocktillerError):
    """A request that ends without its answer.

    Attributes:
        code: Stable code for programs.
        ran: Whether the request ran at a target.
        http_status: Status of the answer to the caller.
        retry_after_s: When to come back; 0 if a retry makes no sense.
    """

    code = "internal"
    http_status = 500

    def __init__(
        self, message: str, ran: Ran = "no", retry_after_s: float = 0.0
    ) -> None:
        super().__init__(message)
        self.ran = ran
        self.retry_after_s = retry_after_s


class InvalidRequest(RequestError):
    """The request is malformed; correct it before sending it again."""

    code = "invalid_request"
    http_status = 400


class Unauthorized(RequestError):
    """No workspace has this key; send the key of a workspace."""

    code = "unauthorized"
    http_status = 401


class NotAllowed(RequestError):
    """The plan may not use this; ask the operator for an allowance."""

    code = "not_allowed"
    http_status = 403


class UnknownName(RequestError):
    """No such model, service or page; see `GET /v1/models`."""

    code = "unknown_name"
    http_status = 404


class BodyTooLarge(RequestError):
    """The body is over the limit; send a smaller one."""

    code = "body_too_large"
    http_status = 413


class LimitExceeded(RequestError):
    """The workspace is over a limit of its plan; wait, then repeat."""

    code = "limit_exceeded"
    http_status = 429


class KeyConflict(RequestError):
    """The idempotency key belongs to another request; use a new key."""

    code = "key_conflict"
    http_status = 409


class InProgress(RequestError):
    """The first request with this key still runs; repeat it later."""

    code = "in_progress"
    http_status = 409


class Overloaded(RequestError):
    """The deadline can't be met now; come back after the given time."""

    code = "overloaded"
    http_status = 503


class NoTarget(RequestError):
    """No live target serves this; come back after the given time."""

    code = "no_target"
    http_status = 503


class StoreDown(RequestError):
    """The object API can't be asked; come back after the given time."""

    code = "store_unavailable"
    http_status = 503


class CrashesTargets(RequestError):
    """The request was in flight when targets died; don't repeat it."""

    code = "crashes_targets"
    http_status = 422


class Interrupted(RequestError):
    """The answer was cut off; what was received is not the whole."""

    code = "interrupted"
    http_status = 502


class OutcomeUnknown(RequestError):
    """It can't be told whether the request ran; ask with its key."""

    code = "outcome_unknown"
    http_status = 502


class DeadlineExceeded(RequestError):
    """The deadline passed before the answer; repeat if still wanted."""

    code = "deadline_exceeded"
    http_status = 504


class StoreError(HemlocktillerError):
    """Base of the errors of the object API client."""


class StoreUnavailable(StoreError):
    """The object API did not answer and nothing was written."""


class WriteUnknown(StoreError):
    """A write was sent, and whether it took effect can't be told."""


class ObjectExists(StoreError):
    """A create found the object there already.

    Attributes:
        current: The object that is there, if it could be read.
    """

    def __init__(self, message: str, current: object = None) -> None:
        super().__init__(message)
        self.current = current


class VersionConflict(StoreError):
    """An update met another version than the one it was based on.

    Attributes:
        current: The object that is there, or None if it is gone.
    """

    def __init__(self, message: str, current: object = None) -> None:
        super().__init__(message)
        self.current = current


class ProtocolError(HemlocktillerError):
    """A peer sent what the protocol does not allow; close the link."""


class LinkDown(HemlocktillerError):
    """The link to a peer is not open; use another peer or wait."""


class LeaseLost(HemlocktillerError):
    """The lease is no longer held; stop giving orders under it."""


class StaleFence(HemlocktillerError):
    """An order carries an older fencing number than one seen before."""

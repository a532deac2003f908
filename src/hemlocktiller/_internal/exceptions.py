"""Exceptions of hemlocktiller."""

from typing import Literal

RanStatus = Literal["no", "yes", "unknown"]


class HemlocktillerError(Exception):
    """Base of all errors of this package."""


class RequestError(HemlocktillerError):
    """Base of the errors that a caller gets in place of a response.

    Attributes:
        code: Stable error code for programs.
        ran: Whether the request ran at a target.
        http_status: HTTP status of the response to the caller.
        retry_after_s: Time after which to retry; 0 if a retry is useless.
    """

    code = "internal"
    http_status = 500

    def __init__(
        self, message: str, ran: RanStatus = "no", retry_after_s: float = 0.0
    ) -> None:
        super().__init__(message)
        self.ran = ran
        self.retry_after_s = retry_after_s


class InvalidRequest(RequestError):
    """The request is malformed; it must be corrected before a retry."""

    code = "invalid_request"
    http_status = 400


class Unauthorized(RequestError):
    """The API key belongs to no workspace, or no longer to the same one."""

    code = "unauthorized"
    http_status = 401


class NotAllowed(RequestError):
    """The allowance of the plan does not cover the request.

    An operator has to extend the allowance.
    """

    code = "not_allowed"
    http_status = 403


class UnknownName(RequestError):
    """There is no such model, service or page.

    `GET /v1/models` lists the models.
    """

    code = "unknown_name"
    http_status = 404


class BodyTooLarge(RequestError):
    """The request body exceeds the size limit; it must be shortened."""

    code = "body_too_large"
    http_status = 413


class LimitExceeded(RequestError):
    """The workspace exceeds a limit of its plan; retry later."""

    code = "limit_exceeded"
    http_status = 429


class IdempotencyKeyConflict(RequestError):
    """The idempotency key was used for another request; use a new key."""

    code = "key_conflict"
    http_status = 409


class InProgress(RequestError):
    """The first request with this idempotency key still runs; retry later."""

    code = "in_progress"
    http_status = 409


class Overloaded(RequestError):
    """The deadline can't be met now; retry after `retry_after_s`."""

    code = "overloaded"
    http_status = 503


class NoTarget(RequestError):
    """No live target serves the model or service.

    Retry after `retry_after_s`.
    """

    code = "no_target"
    http_status = 503


class Stopping(RequestError):
    """This process is shutting down and takes no new requests.

    Retry at once: another process takes new connections.
    """

    code = "stopping"
    http_status = 503


class StoreDown(RequestError):
    """The object API is unavailable; retry after `retry_after_s`."""

    code = "store_unavailable"
    http_status = 503


class CrashesTargets(RequestError):
    """Targets died while they ran this request; it must not be retried."""

    code = "crashes_targets"
    http_status = 422


class Interrupted(RequestError):
    """The response was cut off; the part received is incomplete."""

    code = "interrupted"
    http_status = 502


class OutcomeUnknown(RequestError):
    """Whether the request ran is unknown.

    A retry with the same idempotency key asks for the outcome.
    """

    code = "outcome_unknown"
    http_status = 502


class DeadlineExceeded(RequestError):
    """The deadline passed before the response was complete.

    The caller may retry if the response is still of use.
    """

    code = "deadline_exceeded"
    http_status = 504


class StoreError(HemlocktillerError):
    """Base of the errors of the object API client.

    Attributes:
        outcome: How the call ended, for metrics.
        retry_after_s: Time after which the store wants to be asked again; 0
            if it named none.
    """

    outcome = "no answer"
    retry_after_s = 0.0

    @classmethod
    def ended(
        cls, message: str, outcome: str, retry_after_s: float = 0.0
    ) -> "StoreError":
        """Returns the error of a call that ended without a result."""
        error = cls(message)
        error.outcome = outcome
        error.retry_after_s = retry_after_s
        return error


class StoreUnavailable(StoreError):
    """The object API is unavailable, and nothing was written."""


class WatchCutOff(StoreUnavailable):
    """The object API ended a waiting watch, as it may; watch again."""


class WriteOutcomeUnknown(StoreError):
    """A write was sent, and whether it took effect is unknown."""


class ObjectExists(StoreError):
    """A create failed because the object already exists.

    Attributes:
        current: The existing object; None if it could not be read.
    """

    def __init__(self, message: str, current: object = None) -> None:
        super().__init__(message)
        self.current = current


class VersionConflict(StoreError):
    """A write failed because the object has another version than expected.

    Attributes:
        current: The stored object; None if it was deleted or could not be
            read.
    """

    def __init__(self, message: str, current: object = None) -> None:
        super().__init__(message)
        self.current = current


class ProtocolError(HemlocktillerError):
    """A peer violated the protocol; its link must be closed."""


class LinkDown(HemlocktillerError):
    """The link to a peer is not open; use another peer or wait."""


class LeaseLost(HemlocktillerError):
    """The lease is no longer held; its holder must stop sending orders."""


class StaleFencingNumber(HemlocktillerError):
    """The fencing number of an order is lower than one seen before."""

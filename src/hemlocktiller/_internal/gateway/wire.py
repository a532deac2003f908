"""The seam to a platform: what its adapter reads and writes for us."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from hemlocktiller._internal.gateway import model
from hemlocktiller._internal.policy import fleet

Headers = list[tuple[bytes, bytes]]


class Asked(NamedTuple):
    """What a caller's headers ask for.

    Attributes:
        request_id: Id of this attempt.
        time_left_s: How long the caller waits; None if it does not say.
        key: The caller's key; empty without one.
        prompt_tokens: Tokens of the prompt; 0 if not given.
        max_output_tokens: Most tokens of the answer; 0 if not given.
        expected_output_tokens: Estimate of the caller; 0 if not given.
        last_event_id: Last event that the caller has; empty at the start.
        forwarded: Headers to pass on to the target.
    """

    request_id: str
    time_left_s: float | None
    key: str
    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int
    last_event_id: str
    forwarded: Headers


class Dispatch(NamedTuple):
    """What a target is told besides the caller's own headers.

    Attributes:
        target: Target that the request goes to.
        path: Stages of a model request; empty for plain services.
        time_left_s: How long it may work.
        workspace: Workspace of the caller; empty if none is needed.
        last_event_id: Event after which a stream goes on.
    """

    target: fleet.Target
    path: fleet.Path
    time_left_s: float
    workspace: str
    last_event_id: str


class Answered(NamedTuple):
    """What the head of a target's answer says.

    Attributes:
        request_id: Request that it belongs to; empty if it does not say.
        not_run: Whether the target vouches that it did not run.
        is_signed: Whether it carries the target's signature.
        wrong_target: Whether another process has the address.
        fault_at: Address of the stage at fault; empty if not named.
        is_plain: Whether the body has no content encoding.
    """

    request_id: str
    not_run: bool
    is_signed: bool
    wrong_target: bool
    fault_at: str
    is_plain: bool


class Wire(NamedTuple):
    """Functions of a platform's adapter.

    Attributes:
        read_request: Reads a caller's headers.
        dispatch_headers: Returns the headers of a request to a target.
        read_answer: Reads status and headers of a target's answer.
        catalog: Decodes a stored configuration; raises ValueError.
        target: Decodes a registration; None if it names no usable target.
        report_path: Path of a target's report.
        report: Decodes a report; raises ValueError.
        order_path: Path of a target's orders.
        place_order: Returns the body of an order to hold layers.
    """

    read_request: Callable[[Any], Asked]
    dispatch_headers: Callable[[Asked, Dispatch], Headers]
    read_answer: Callable[[int, Headers], Answered]
    catalog: Callable[[Any], model.Catalog]
    target: Callable[[str, Any], fleet.Target | None]
    report_path: str
    report: Callable[[Any], model.Report]
    order_path: str
    place_order: Callable[[int, int, int | None, int], bytes]

"""Adapter of a platform, which translates its headers and bodies."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from hemlocktiller._internal import http_exchange
from hemlocktiller._internal.gateway import model
from hemlocktiller._internal.policy import fleet

Headers = http_exchange.Headers


class RequestHeaders(NamedTuple):
    """Decoded headers of a caller's request.

    Attributes:
        request_id: Id that the caller gave this attempt.
        time_left_s: Time until the caller's deadline; None without one.
        api_key: API key of the caller; empty without one.
        prompt_tokens: Length of the prompt; 0 if not given.
        max_output_tokens: Limit of tokens to generate; 0 if not given.
        expected_output_tokens: Caller's estimate of tokens to generate; 0
            if not given.
        last_event_id: Id of the last event that the caller has received;
            empty for a new stream.
        forwarded: Headers to forward to the target.
        prompt_parts: Ids of the parts of the prompt that other requests may
            share, in order and below 2**64; without the last part, which
            belongs to the request or its session.
        prompt_lengths: Ids and lengths in tokens of all parts, in order, as
            far as they are well formed.
    """

    request_id: str
    time_left_s: float | None
    api_key: str
    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int
    last_event_id: str
    forwarded: Headers
    prompt_parts: tuple[int, ...] = ()
    prompt_lengths: tuple[tuple[int, int], ...] = ()


class DispatchDetails(NamedTuple):
    """Values of the headers that the gateway adds to a forwarded request.

    Attributes:
        target: Target that the request is sent to.
        path: Pipeline stages of a model request; empty for plain services.
        time_left_s: Time until the deadline.
        workspace: Workspace of the caller; empty if none is required.
        last_event_id: Id of the event after which a stream continues.
        rank: Priority class in which the target orders the request; 0 is the
            most urgent, None if all of its service are alike.
    """

    target: fleet.Target
    path: fleet.Path
    time_left_s: float
    workspace: str
    last_event_id: str
    rank: int | None = None


class ResponseHead(NamedTuple):
    """Decoded status and headers of a target's response.

    Attributes:
        request_id: Id of the request that it answers; empty if not given.
        was_not_executed: Whether the target guarantees that it did not
            execute the request.
        is_signed: Whether it carries the target's signature.
        is_wrong_target: Whether the request reached a process other than the
            target that it was sent to.
        failed_stage_address: Address of the failed pipeline stage; empty if
            not given.
        is_unencoded: Whether the body has no content encoding.
        is_leaving: Whether the target says that it is leaving, so that it must
            get no new requests.
        pause_s: Time for which the target wants no requests; None if it does
            not say so.
        names_limit: Whether the target names a limit, readable or not.
        limit_per_s: Requests a second that the target takes from all
            processes together; None if it names no limit, or one that can't
            be read.
        target_name: Name of the target that answers; empty if not given.
    """

    request_id: str
    was_not_executed: bool
    is_signed: bool
    is_wrong_target: bool
    failed_stage_address: str
    is_unencoded: bool
    is_leaving: bool = False
    pause_s: float | None = None
    names_limit: bool = False
    limit_per_s: float | None = None
    target_name: str = ""


class PlatformAdapter(NamedTuple):
    """Adapter of a platform: functions that decode and encode its formats.

    Attributes:
        decode_request: Decodes a caller's headers.
        encode_request_headers: Returns the headers of a request to a
            target.
        decode_response_head: Decodes status and headers of a target's
            response.
        decode_catalog: Decodes a stored configuration; raises ValueError.
        decode_target: Decodes a registration; returns None if it describes
            no usable target.
        report_path: Path that targets serve their status report at.
        decode_report: Decodes a status report; raises ValueError.
        order_path: Path that targets accept layout orders at.
        encode_order: Returns the body of an order to hold a range of
            layers. Arguments: first layer, end layer, fencing number, and
            the count of orders that the target has accepted.
    """

    decode_request: Callable[[Any], RequestHeaders]
    encode_request_headers: Callable[
        [RequestHeaders, DispatchDetails], Headers
    ]
    decode_response_head: Callable[[int, Headers], ResponseHead]
    decode_catalog: Callable[[Any], model.Catalog]
    decode_target: Callable[[str, Any], fleet.Target | None]
    report_path: str
    decode_report: Callable[[Any], model.TargetReport]
    order_path: str
    encode_order: Callable[[int, int, int | None, int], bytes]

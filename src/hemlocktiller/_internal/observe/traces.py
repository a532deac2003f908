"""OpenTelemetry spans of requests, kept in memory for the admin pages.

Spans are not exported, and no thread is started.
"""

import collections
from typing import Any
from typing import NamedTuple

import cbor2
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import sampling
import opentelemetry.trace as trace_api
from opentelemetry.trace.propagation import tracecontext

SPAN_LIMIT = 2000
SPAN_ATTRIBUTE_LIMIT = 32
SPAN_EVENT_LIMIT = 32
ATTRIBUTE_CHARACTER_LIMIT = 256
NS_PER_S = 1_000_000_000

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


class _StoredSpan(NamedTuple):
    """A finished span.

    Attributes:
        trace_id: Id of its trace.
        encoded: The span as encoded by `_encode`.
    """

    trace_id: int
    encoded: bytes


class _SpanBuffer(sdk_trace.SpanProcessor):
    """Keeps the newest finished spans, encoded to save memory."""

    def __init__(self, limit: int) -> None:
        self.spans: collections.deque[_StoredSpan] = collections.deque(
            maxlen=limit
        )

    def on_end(self, span: sdk_trace.ReadableSpan) -> None:
        """Stores a finished span; the oldest one is dropped at the limit."""
        self.spans.append(_StoredSpan(span.context.trace_id, _encode(span)))


class Tracer:
    """Starts spans and looks up finished ones by trace."""

    def __init__(self, provider: sdk_trace.TracerProvider, limit: int) -> None:
        """Registers a span processor with a provider.

        Args:
            provider: Tracer provider of the process.
            limit: Maximum number of finished spans kept.
        """
        self._buffer = _SpanBuffer(limit)
        provider.add_span_processor(self._buffer)
        self._tracer = provider.get_tracer("hemlocktiller")

    def start(
        self, name: str, traceparent: str = "", **attributes: Any
    ) -> trace_api.Span:
        """Starts a span; the caller ends it with `end`.

        Args:
            name: Name of the span.
            traceparent: W3C trace context of the parent. Without one, or
                with a malformed one, a new trace is started.
            **attributes: Attributes of the span.

        Returns:
            The span, which records nothing if its trace is not sampled.
        """
        parent = _PROPAGATOR.extract({"traceparent": traceparent})
        return self._tracer.start_span(
            name, context=parent, attributes=attributes
        )

    def spans(self, trace_id: str) -> list[dict[str, Any]]:
        """Returns the finished spans of a trace, serializable as JSON.

        Args:
            trace_id: Trace id as 32 hexadecimal digits.
        """
        return [
            _decode(stored)
            for stored in self._buffer.spans
            if trace_api.format_trace_id(stored.trace_id) == trace_id
        ]

    def __len__(self) -> int:
        """Returns the number of finished spans kept."""
        return len(self._buffer.spans)


def create(
    service_name: str, sample_ratio: float, limit: int = SPAN_LIMIT
) -> Tracer:
    """Creates the tracer of a process.

    Args:
        service_name: Name of the process, the `service.name` of its spans.
        sample_ratio: Fraction of new traces that are recorded; a trace
            started by another process keeps the decision of its parent.
        limit: Maximum number of finished spans kept.

    Returns:
        The tracer.
    """
    # `Resource.create`, the default, runs resource detectors in threads.
    resource = resources.Resource({"service.name": service_name})
    provider = sdk_trace.TracerProvider(
        sampler=sampling.ParentBasedTraceIdRatio(sample_ratio),
        resource=resource,
        span_limits=sdk_trace.SpanLimits(
            max_span_attributes=SPAN_ATTRIBUTE_LIMIT,
            max_events=SPAN_EVENT_LIMIT,
            max_span_attribute_length=ATTRIBUTE_CHARACTER_LIMIT,
        ),
        shutdown_on_exit=False,
    )
    return Tracer(provider, limit)


def traceparent(span: trace_api.Span) -> str:
    """Returns the W3C `traceparent` header value for children of a span."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier, context=trace_api.set_span_in_context(span))
    return carrier.get("traceparent", "")


def _encode(span: sdk_trace.ReadableSpan) -> bytes:
    """Encodes the parts of a span that the admin page shows."""
    fields = (
        span.resource.attributes["service.name"],
        span.name,
        span.context.span_id,
        span.parent.span_id if span.parent else 0,
        span.start_time,
        span.end_time,
        span.status.status_code.name,
        dict(span.attributes),
        [(event.timestamp, event.name) for event in span.events],
    )
    return cbor2.dumps(fields)


def _decode(stored: _StoredSpan) -> dict[str, Any]:
    """Decodes a stored span; times become Unix seconds."""
    (
        service,
        name,
        span_id,
        parent_id,
        start_ns,
        end_ns,
        status,
        attributes,
        events,
    ) = cbor2.loads(stored.encoded)
    return {
        "service": service,
        "name": name,
        "trace": trace_api.format_trace_id(stored.trace_id),
        "span": trace_api.format_span_id(span_id),
        "parent": trace_api.format_span_id(parent_id) if parent_id else "",
        "start_s": start_ns / NS_PER_S,
        "duration_s": (end_ns - start_ns) / NS_PER_S,
        "status": status.lower(),
        "attributes": attributes,
        "events": [
            {"at_s": at_ns / NS_PER_S, "name": event_name}
            for at_ns, event_name in events
        ],
    }

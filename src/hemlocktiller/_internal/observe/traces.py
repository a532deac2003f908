"""Spans of requests, kept in memory for the admin page.

The spans are those of OpenTelemetry; nothing here starts a thread.
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
ATTRIBUTE_CHARACTERS = 256
NS_PER_S = 1_000_000_000

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


class _Kept(NamedTuple):
    """A finished span; `encoded` holds what `_encode` puts into it."""

    trace_id: int
    encoded: bytes


class _Memory(sdk_trace.SpanProcessor):
    """Keeps the newest finished spans, encoded to take less memory."""

    def __init__(self, limit: int) -> None:
        self.spans: collections.deque[_Kept] = collections.deque(maxlen=limit)

    def on_end(self, span: sdk_trace.ReadableSpan) -> None:
        """Keeps a finished span."""
        self.spans.append(_Kept(span.context.trace_id, _encode(span)))


class Tracer:
    """Starts spans and finds finished ones again."""

    def __init__(self, provider: sdk_trace.TracerProvider, limit: int) -> None:
        """Attaches to a provider.

        Args:
            provider: Source of the spans.
            limit: Most finished spans kept.
        """
        self._memory = _Memory(limit)
        provider.add_span_processor(self._memory)
        self._tracer = provider.get_tracer("hemlocktiller")

    def start(
        self, name: str, traceparent: str = "", **attributes: Any
    ) -> trace_api.Span:
        """Starts a span; its `end` finishes it.

        Args:
            name: Span name.
            traceparent: W3C trace context of the parent. Without one, or
                with a malformed one, a new trace begins.
            **attributes: Attributes of the span.

        Returns:
            The span, which records nothing if its trace is not sampled.
        """
        parent = _PROPAGATOR.extract({"traceparent": traceparent})
        return self._tracer.start_span(
            name, context=parent, attributes=attributes
        )

    def spans(self, trace_id: str) -> list[dict[str, Any]]:
        """Returns the finished spans of a trace, fit for JSON.

        Args:
            trace_id: Trace id as 32 hexadecimal digits.
        """
        return [
            _as_dict(kept)
            for kept in self._memory.spans
            if trace_api.format_trace_id(kept.trace_id) == trace_id
        ]

    def __len__(self) -> int:
        """Returns the number of finished spans kept."""
        return len(self._memory.spans)


def create(
    service_name: str, sample_ratio: float, limit: int = SPAN_LIMIT
) -> Tracer:
    """Creates the tracer of a process.

    Args:
        service_name: Name of the process on its spans.
        sample_ratio: Share of new traces that are recorded; a trace that
            began elsewhere keeps the decision of its parent.
        limit: Most finished spans kept.

    Returns:
        The tracer.
    """
    # `Resource.create`, the default, runs its detectors in threads.
    resource = resources.Resource({"service.name": service_name})
    provider = sdk_trace.TracerProvider(
        sampler=sampling.ParentBasedTraceIdRatio(sample_ratio),
        resource=resource,
        span_limits=sdk_trace.SpanLimits(
            max_span_attributes=SPAN_ATTRIBUTE_LIMIT,
            max_events=SPAN_EVENT_LIMIT,
            max_span_attribute_length=ATTRIBUTE_CHARACTERS,
        ),
        shutdown_on_exit=False,
    )
    return Tracer(provider, limit)


def traceparent(span: trace_api.Span) -> str:
    """Returns the W3C trace context that makes a span the parent."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier, context=trace_api.set_span_in_context(span))
    return carrier.get("traceparent", "")


def _encode(span: sdk_trace.ReadableSpan) -> bytes:
    """Encodes the parts of a span that the pages show."""
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


def _as_dict(kept: _Kept) -> dict[str, Any]:
    """Returns a kept span in plain types; times are Unix seconds."""
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
    ) = cbor2.loads(kept.encoded)
    return {
        "service": service,
        "name": name,
        "trace": trace_api.format_trace_id(kept.trace_id),
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

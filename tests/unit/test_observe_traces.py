import threading

import pytest

from hemlocktiller._internal.observe import traces

PARENT = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736"


def trace_id_of(span):
    return traces.traceparent(span).split("-")[1]


def test_a_span_joins_the_trace_of_its_parent():
    tracer = traces.create("agent-1", 1.0)
    tracer.start("hop", PARENT, target="t1", token_index=3).end()
    (span,) = tracer.spans(TRACE_ID)
    assert span["parent"] == "00f067aa0ba902b7"
    assert span["service"] == "agent-1"
    assert span["name"] == "hop"
    assert span["attributes"] == {"target": "t1", "token_index": 3}
    assert span["duration_s"] >= 0


def test_spans_of_two_processes_are_linked_by_parent():
    entry = traces.create("entry", 1.0)
    agent = traces.create("agent", 1.0)
    request_span = entry.start("request")
    run_span = agent.start("run", traces.traceparent(request_span))
    run_span.add_event("queued")
    run_span.end()
    request_span.end()
    (run,) = agent.spans(trace_id_of(request_span))
    (request,) = entry.spans(trace_id_of(request_span))
    assert run["parent"] == request["span"]
    assert request["parent"] == ""
    assert [event["name"] for event in run["events"]] == ["queued"]


@pytest.mark.parametrize("parent", ["", "00-zz-yy-01", "\n", "00"])
def test_a_malformed_traceparent_starts_a_new_trace(parent):
    tracer = traces.create("entry", 1.0)
    span = tracer.start("request", parent)
    span.end()
    assert len(tracer.spans(trace_id_of(span))) == 1


def test_an_unsampled_trace_stays_unsampled_downstream():
    entry = traces.create("entry", 0.0)
    agent = traces.create("agent", 1.0)
    span = entry.start("request")
    agent.start("run", traces.traceparent(span)).end()
    span.end()
    assert len(entry) == len(agent) == 0


def test_the_number_of_kept_spans_is_bounded():
    tracer = traces.create("entry", 1.0, limit=10)
    for _ in range(25):
        tracer.start("hop", PARENT).end()
    assert len(tracer) == 10


def test_tracing_starts_no_thread():
    thread_count = threading.active_count()
    traces.create("entry", 1.0).start("request").end()
    assert threading.active_count() == thread_count

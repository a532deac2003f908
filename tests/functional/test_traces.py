"""Trace context passes from the caller to the entry, stages and engines."""

import pytest

from tests.functional import client
from tests.functional import harness
from tests.functional.process import poll

API_KEY = harness.KEYS["events"]
TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
TRACEPARENT = f"00-{TRACE_ID}-b7ad6b7169203331-01"
MAX_POLLS = 100


def fetch_spans(deployment):
    """Returns the spans of the trace at all entries and agents."""
    processes = [*deployment.entries.values(), *deployment.agents.values()]
    spans = []
    for process in processes:
        response = deployment.admin(process, f"/spans?trace={TRACE_ID}")
        spans += response.json()["spans"]
    return spans


def fetch_span_names(deployment):
    return sorted(span["name"] for span in fetch_spans(deployment))


@pytest.fixture
def headers():
    """Request headers with an API key and a trace context."""
    return {**client.authorize(API_KEY), "traceparent": TRACEPARENT}


def test_entry_stages_and_engines_record_spans_of_one_trace(
    whole_path, headers
):
    document = {"model": "drafts", "prompt": "p", "max_tokens": 3}
    response = client.json_call(
        whole_path.callers("e0"), "POST", "/v1/completions", document, headers
    )
    assert response.status == 200
    expected_names = ["engine", "engine", "request", "stage", "stage"]
    poll(
        lambda: fetch_span_names(whole_path) == expected_names,
        MAX_POLLS,
        "all spans",
    )
    spans_by_id = {span["span"]: span for span in fetch_spans(whole_path)}
    parent_names = {
        span["name"]: spans_by_id.get(span["parent"], {}).get("name")
        for span in spans_by_id.values()
    }
    assert parent_names["request"] is None
    assert parent_names["engine"] == "stage"


def test_explain_lists_the_attempt_and_why_its_target_was_chosen(
    whole_path, headers
):
    document = {"model": "drafts", "prompt": "q", "max_tokens": 2}
    response = client.json_call(
        whole_path.callers("e0"), "POST", "/v1/completions", document, headers
    )
    request_id = response.headers["x-request-id"]
    entry = whole_path.entries["e0"]
    explanation = whole_path.admin(
        entry, f"/explain?request={request_id}"
    ).json()
    events = [event["event"] for event in explanation["events"]]
    assert events == ["attempt", "started", "finished"]
    assert "wait" in explanation["events"][0]["why"]

"""One trace goes through the entry, each stage and its engine."""

import pytest

from tests.functional import client
from tests.functional import harness
from tests.functional.process import poll

KEY = harness.KEYS["events"]
TRACE = "0af7651916cd43dd8448eb211c80319c"
PARENT = f"00-{TRACE}-b7ad6b7169203331-01"
POLLS = 100


def spans_of(deployment):
    processes = [*deployment.entries.values(), *deployment.agents.values()]
    found = []
    for process in processes:
        answer = deployment.admin(process, f"/spans?trace={TRACE}")
        found += answer.json()["spans"]
    return found


def names_of(deployment):
    return sorted(span["name"] for span in spans_of(deployment))


@pytest.fixture
def headers():
    return {**client.authorize(KEY), "traceparent": PARENT}


def test_each_hop_of_a_request_has_a_span(whole_path, headers):
    document = {"model": "drafts", "prompt": "p", "max_tokens": 3}
    answer = client.json_call(
        whole_path.callers("e0"), "POST", "/v1/completions", document, headers
    )
    assert answer.status == 200
    wanted = ["engine", "engine", "request", "stage", "stage"]
    poll(lambda: names_of(whole_path) == wanted, POLLS, "all spans")
    by_id = {span["span"]: span for span in spans_of(whole_path)}
    parents = {
        span["name"]: by_id.get(span["parent"], {}).get("name")
        for span in by_id.values()
    }
    assert parents["request"] is None
    assert parents["engine"] == "stage"


def test_explain_tells_the_attempt_and_the_target(whole_path, headers):
    document = {"model": "drafts", "prompt": "q", "max_tokens": 2}
    answer = client.json_call(
        whole_path.callers("e0"), "POST", "/v1/completions", document, headers
    )
    request = answer.headers["x-request-id"]
    entry = whole_path.entries["e0"]
    page = whole_path.admin(entry, f"/explain?request={request}").json()
    events = [event["event"] for event in page["events"]]
    assert events == ["attempt", "started", "finished"]
    assert "wait" in page["events"][0]["why"]

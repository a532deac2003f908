"""End-to-end requests: HTTP API, entry, agents, engines and services."""

import json

import pytest

from tests.fakes import model
from tests.functional import client
from tests.functional import harness
from tests.functional import history
from tests.functional.process import poll

API_KEY = harness.KEYS["events"]
LAYER_COUNT = 8
MAX_POLLS = 600
LONG_STREAM_TOKENS = 400


def reference(prompt, count):
    """Returns the tokens that the stand-in model gives for a prompt."""
    return tuple(model.reference(prompt, LAYER_COUNT, count))


@pytest.fixture
def entry_address(whole_path):
    """Address at which the entry serves callers."""
    return whole_path.callers("e0")


def post(entry_address, path, document, api_key=API_KEY):
    """Posts a JSON document with an API key."""
    return client.json_call(
        entry_address, "POST", path, document, client.authorize(api_key)
    )


def completion_document(**fields):
    """Returns the document of a completion request."""
    return {"model": "drafts", "prompt": "p", "max_tokens": 4, **fields}


def error_body(response):
    return response.json()["error"]


def test_completion_equals_the_reference(entry_address):
    response = post(
        entry_address, "/v1/completions", completion_document(prompt="one two")
    )
    body = response.json()
    assert response.status == 200
    tokens = client.parse_tokens(body["choices"][0]["text"])
    assert tokens == reference("one two", 4)
    assert body["usage"]["completion_tokens"] == 4
    assert body["choices"][0]["finish_reason"] == "length"


def test_chat_prompt_joins_the_messages(entry_address):
    messages = [
        {"role": "system", "content": "short"},
        {"role": "user", "content": "a menu"},
    ]
    document = {"model": "drafts", "messages": messages, "max_tokens": 4}
    response = post(entry_address, "/v1/chat/completions", document)
    message = response.json()["choices"][0]["message"]
    joined = "system: short\nuser: a menu\n"
    assert message["role"] == "assistant"
    assert client.parse_tokens(message["content"]) == reference(joined, 4)


def test_stream_ends_once_and_equals_the_reference(entry_address):
    response = post(
        entry_address,
        "/v1/completions",
        completion_document(prompt="s", stream=True),
    )
    assert response.headers["content-type"].startswith("text/event-stream")
    events = response.body.decode().strip().split("\n\n")
    assert events[-1] == "data: [DONE]"
    assert response.body.count(b"[DONE]") == 1
    exchange = client.stream(entry_address, API_KEY, "s", "s", max_tokens=4)
    assert exchange.whole
    assert exchange.tokens == reference("s", 4)


def test_chat_stream_deltas_join_to_the_reference(entry_address):
    document = {
        "model": "drafts",
        "messages": [{"role": "user", "content": "x"}],
        "max_tokens": 4,
        "stream": True,
    }
    response = post(entry_address, "/v1/chat/completions", document)
    lines = response.body.decode().split("\n")
    events = [
        json.loads(line.removeprefix("data: "))
        for line in lines
        if line.startswith("data: {")
    ]
    text = "".join(
        choice["delta"].get("content") or ""
        for event in events
        for choice in event["choices"]
    )
    assert client.parse_tokens(text) == reference("user: x\n", 4)


def test_models_lists_the_models_of_the_workspace(entry_address):
    response = client.http_call(
        entry_address, "GET", "/v1/models", headers=client.authorize(API_KEY)
    )
    assert [listed["id"] for listed in response.json()["data"]] == ["drafts"]


def test_booking_is_created_repeated_and_looked_up(entry_address):
    created = client.call_service(
        entry_address, API_KEY, "b", {"item": "hall"}, "key-hall"
    )
    assert created.status == 201
    assert created.body["item"] == "hall"
    repeated = client.call_service(
        entry_address, API_KEY, "b", {"item": "hall"}, "key-hall"
    )
    assert repeated.body == created.body
    conflicting = client.call_service(
        entry_address, API_KEY, "b", {"item": "x"}, "key-hall"
    )
    assert (conflicting.status, conflicting.code) == (409, "key_conflict")
    looked_up = client.http_call(
        entry_address,
        "GET",
        "/services/booking/bookings/nothing",
        headers=client.authorize(API_KEY),
    )
    assert looked_up.status == 404
    assert looked_up.json() == {"item": "nothing", "count": 0}


def test_each_layer_runs_once_in_order(whole_path, entry_address):
    load = client.Load()
    for number in range(24):
        name = f"layers {number}"
        load.send(client.stream, entry_address, API_KEY, name, name)
    exchanges = load.results()
    runs = whole_path.all_runs()
    assert history.check_all_whole(exchanges) == []
    assert history.check_answers(exchanges, reference) == []
    assert history.check_layers(runs) == []
    assert history.check_covered(exchanges, runs, LAYER_COUNT) == []


@pytest.mark.parametrize(
    "body",
    [
        b"{",
        b"[]",
        b'{"model": "drafts"}',
        b'{"model": "drafts", "prompt": 3}',
        b'{"model": "drafts", "prompt": "p", "max_tokens": 0}',
        b'{"model": "drafts", "prompt": "p", "max_tokens": "x"}',
        b'{"model": "drafts", "prompt": "p", "stream": "yes"}',
        b"\xff\xfe",
    ],
)
def test_invalid_bodies_are_refused(entry_address, body):
    response = client.http_call(
        entry_address,
        "POST",
        "/v1/completions",
        body,
        client.authorize(API_KEY),
    )
    assert response.status == 400
    assert error_body(response)["code"] == "invalid_request"
    assert error_body(response)["ran"] == "no"
    assert "retry-after" not in response.headers


def test_oversized_body_is_refused(entry_address):
    document = completion_document(prompt="x" * (2 << 20))
    try:
        response = post(entry_address, "/v1/completions", document)
    except OSError:
        pytest.fail("the connection broke before the answer was read")
    assert response.status == 413
    assert error_body(response)["code"] == "body_too_large"


@pytest.mark.parametrize("api_key", ["", "key-of-nobody"])
def test_missing_or_unknown_api_key_is_refused(entry_address, api_key):
    headers = client.authorize(api_key) if api_key else {}
    response = client.json_call(
        entry_address,
        "POST",
        "/v1/completions",
        completion_document(),
        headers,
    )
    assert response.status == 401
    assert error_body(response)["code"] == "unauthorized"


def test_unknown_model_is_refused(entry_address):
    response = post(
        entry_address, "/v1/completions", completion_document(model="none")
    )
    assert (response.status, error_body(response)["ran"]) in (
        (403, "no"),
        (404, "no"),
    )


def test_unknown_service_is_refused(entry_address):
    response = post(entry_address, "/services/none/x", {})
    assert response.status in (403, 404)
    assert error_body(response)["ran"] == "no"


def test_unknown_path_is_refused(entry_address):
    response = client.http_call(
        entry_address, "GET", "/v2/none", headers=client.authorize(API_KEY)
    )
    assert response.status == 404
    assert error_body(response)["code"] == "unknown_name"


def test_disconnect_cancels_the_sequence_at_the_engines(
    whole_path, entry_address
):
    stream = client.Stream(
        entry_address,
        API_KEY,
        "left",
        "left early",
        max_tokens=LONG_STREAM_TOKENS * 10,
    )
    request_id = stream.read(min_tokens=2).request
    stream.close()

    def cancellations():
        return [
            line
            for name in whole_path.engines
            for line in whole_path.engine_history(name)
            if line["part"] == "cancelled"
            and history.request_id_of(line["sequence"]) == request_id
        ]

    poll(lambda: len(cancellations()) == 2, MAX_POLLS, "both stages cancel")
    max_units = max(line["units"] for line in cancellations())
    assert max_units < LONG_STREAM_TOKENS * 10


def test_disconnect_within_a_request_body_is_tolerated(entry_address):
    connection = client.http.client.HTTPConnection(*entry_address, timeout=5)
    connection.putrequest("POST", "/v1/completions")
    connection.putheader("Content-Length", "1000")
    connection.endheaders(b"{")
    connection.close()
    exchange = client.complete(entry_address, API_KEY, "after", "after")
    assert exchange.whole


def test_each_response_carries_a_new_request_id(entry_address):
    exchanges = [
        client.complete(entry_address, API_KEY, f"id {number}", f"id {number}")
        for number in range(8)
    ]
    assert all(exchange.request for exchange in exchanges)
    assert history.check_answers(exchanges, reference) == []


def test_entry_finishes_its_streams_after_sigterm(deployment):
    harness.start_chains(deployment, chains=1, step_s=0.01)
    entry_process = deployment.start_entry("e0")
    deployment.wait_ready()
    stream = client.Stream(
        deployment.callers("e0"), API_KEY, "long", "long", max_tokens=50
    )
    stream.read(min_tokens=1)
    entry_process.terminate()
    exchange = stream.read()
    assert history.check_all_whole([exchange]) == []
    assert history.check_answers([exchange], reference) == []
    assert entry_process.wait() == 0


def test_agent_finishes_its_streams_after_sigterm(deployment):
    harness.start_chains(deployment, chains=2, step_s=0.01)
    deployment.start_entry("e0")
    deployment.wait_ready()
    entry_address = deployment.callers("e0")
    streams = [
        client.Stream(
            entry_address, API_KEY, f"long {n}", f"long {n}", max_tokens=50
        )
        for n in range(4)
    ]
    for stream in streams:
        stream.read(min_tokens=1)
    for name in ("c0s0", "c0s1"):
        deployment.agents[name].terminate()
    exchanges = [stream.read() for stream in streams]
    assert history.check_all_whole(exchanges) == []
    assert history.check_answers(exchanges, reference) == []
    assert deployment.agents["c0s0"].wait() == 0
    assert deployment.agents["c0s1"].wait() == 0
    later_exchange = client.complete(entry_address, API_KEY, "later", "later")
    assert later_exchange.whole

import json

import pytest

from tests.fakes import model
from tests.functional import client
from tests.functional import harness
from tests.functional import history
from tests.functional.process import poll

KEY = harness.KEYS["events"]
LAYER_COUNT = 8
POLLS = 600
MANY_TOKENS = 400


def reference(prompt, count):
    return tuple(model.reference(prompt, LAYER_COUNT, count))


@pytest.fixture
def entry(whole_path):
    return whole_path.callers("e0")


def post(entry, path, document, key=KEY):
    return client.json_call(
        entry, "POST", path, document, client.authorize(key)
    )


def completion(**fields):
    return {"model": "drafts", "prompt": "p", "max_tokens": 4, **fields}


def error_of(answer):
    return answer.json()["error"]


def test_completion_is_the_reference_answer(entry):
    answer = post(entry, "/v1/completions", completion(prompt="one two"))
    body = answer.json()
    assert answer.status == 200
    tokens = client.parse_tokens(body["choices"][0]["text"])
    assert tokens == reference("one two", 4)
    assert body["usage"]["completion_tokens"] == 4
    assert body["choices"][0]["finish_reason"] == "length"


def test_chat_joins_the_messages(entry):
    messages = [
        {"role": "system", "content": "short"},
        {"role": "user", "content": "a menu"},
    ]
    document = {"model": "drafts", "messages": messages, "max_tokens": 4}
    answer = post(entry, "/v1/chat/completions", document)
    message = answer.json()["choices"][0]["message"]
    joined = "system: short\nuser: a menu\n"
    assert message["role"] == "assistant"
    assert client.parse_tokens(message["content"]) == reference(joined, 4)


def test_stream_ends_once_and_is_the_reference_answer(entry):
    answer = post(
        entry, "/v1/completions", completion(prompt="s", stream=True)
    )
    assert answer.headers["content-type"].startswith("text/event-stream")
    events = answer.body.decode().strip().split("\n\n")
    assert events[-1] == "data: [DONE]"
    assert answer.body.count(b"[DONE]") == 1
    exchange = client.stream(entry, KEY, "s", "s", max_tokens=4)
    assert exchange.whole
    assert exchange.tokens == reference("s", 4)


def test_chat_streams_deltas(entry):
    document = {
        "model": "drafts",
        "messages": [{"role": "user", "content": "x"}],
        "max_tokens": 4,
        "stream": True,
    }
    answer = post(entry, "/v1/chat/completions", document)
    lines = answer.body.decode().split("\n")
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


def test_models_lists_what_the_workspace_may_use(entry):
    answer = client.http_call(
        entry, "GET", "/v1/models", headers=client.authorize(KEY)
    )
    assert [one["id"] for one in answer.json()["data"]] == ["drafts"]


def test_booking_is_made_and_looked_up(entry):
    made = client.call_service(entry, KEY, "b", {"item": "hall"}, "key-hall")
    assert made.status == 201
    assert made.body["item"] == "hall"
    again = client.call_service(entry, KEY, "b", {"item": "hall"}, "key-hall")
    assert again.body == made.body
    other = client.call_service(entry, KEY, "b", {"item": "x"}, "key-hall")
    assert (other.status, other.code) == (409, "key_conflict")
    found = client.http_call(
        entry,
        "GET",
        "/services/booking/bookings/nothing",
        headers=client.authorize(KEY),
    )
    assert found.status == 404
    assert found.json() == {"item": "nothing", "count": 0}


def test_layers_ran_once_in_order(whole_path, entry):
    load = client.Load()
    for number in range(24):
        name = f"layers {number}"
        load.send(client.stream, entry, KEY, name, name)
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
def test_bad_bodies_are_invalid(entry, body):
    answer = client.http_call(
        entry, "POST", "/v1/completions", body, client.authorize(KEY)
    )
    assert answer.status == 400
    assert error_of(answer)["code"] == "invalid_request"
    assert error_of(answer)["ran"] == "no"
    assert "retry-after" not in answer.headers


def test_an_oversized_body_is_refused(entry):
    document = completion(prompt="x" * (2 << 20))
    try:
        answer = post(entry, "/v1/completions", document)
    except OSError:
        pytest.fail("the connection broke before the answer was read")
    assert answer.status == 413
    assert error_of(answer)["code"] == "body_too_large"


@pytest.mark.parametrize("key", ["", "key-of-nobody"])
def test_a_missing_or_unknown_key_is_refused(entry, key):
    headers = client.authorize(key) if key else {}
    answer = client.json_call(
        entry, "POST", "/v1/completions", completion(), headers
    )
    assert answer.status == 401
    assert error_of(answer)["code"] == "unauthorized"


def test_an_unknown_model_is_refused(entry):
    answer = post(entry, "/v1/completions", completion(model="none"))
    assert (answer.status, error_of(answer)["ran"]) in (
        (403, "no"),
        (404, "no"),
    )


def test_an_unknown_service_is_refused(entry):
    answer = post(entry, "/services/none/x", {})
    assert answer.status in (403, 404)
    assert error_of(answer)["ran"] == "no"


def test_an_unknown_page_is_refused(entry):
    answer = client.http_call(
        entry, "GET", "/v2/none", headers=client.authorize(KEY)
    )
    assert answer.status == 404
    assert error_of(answer)["code"] == "unknown_name"


def test_a_hang_up_cancels_the_work_at_the_engine(whole_path, entry):
    stream = client.Stream(
        entry, KEY, "left", "left early", max_tokens=MANY_TOKENS * 10
    )
    request = stream.read(min_tokens=2).request
    stream.close()

    def cancelled():
        return [
            line
            for name in whole_path.engines
            for line in whole_path.engine_history(name)
            if line["part"] == "cancelled"
            and history.request_id_of(line["sequence"]) == request
        ]

    poll(lambda: len(cancelled()) == 2, POLLS, "both stages cancel")
    most = max(line["units"] for line in cancelled())
    assert most < MANY_TOKENS * 10


def test_a_hang_up_midway_through_the_body_is_survived(entry):
    connection = client.http.client.HTTPConnection(*entry, timeout=5)
    connection.putrequest("POST", "/v1/completions")
    connection.putheader("Content-Length", "1000")
    connection.endheaders(b"{")
    connection.close()
    exchange = client.complete(entry, KEY, "after", "after")
    assert exchange.whole


def test_the_request_id_is_answered_and_new_each_time(entry):
    exchanges = [
        client.complete(entry, KEY, f"id {number}", f"id {number}")
        for number in range(8)
    ]
    assert all(exchange.request for exchange in exchanges)
    assert history.check_answers(exchanges, reference) == []


def test_sigterm_lets_an_entry_finish_its_streams(deployment):
    harness.start_chains(deployment, chains=1, step_s=0.01)
    process = deployment.start_entry("e0")
    deployment.wait_ready()
    stream = client.Stream(
        deployment.callers("e0"), KEY, "long", "long", max_tokens=50
    )
    stream.read(min_tokens=1)
    process.terminate()
    exchange = stream.read()
    assert history.check_all_whole([exchange]) == []
    assert history.check_answers([exchange], reference) == []
    assert process.wait() == 0


def test_sigterm_lets_an_agent_finish_its_streams(deployment):
    harness.start_chains(deployment, chains=2, step_s=0.01)
    deployment.start_entry("e0")
    deployment.wait_ready()
    entry = deployment.callers("e0")
    streams = [
        client.Stream(entry, KEY, f"long {n}", f"long {n}", max_tokens=50)
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
    later = client.complete(entry, KEY, "later", "later")
    assert later.whole

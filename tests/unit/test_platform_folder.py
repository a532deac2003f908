"""The platform adapter decodes the platform's messages and rejects others."""

import json
from pathlib import Path
import platform as standard_platform
import subprocess
import sys

import pytest
from twisted.internet import defer
from twisted.web import http_headers

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.gateway import model
from hemlocktiller._internal.gateway import platform_adapter
from hemlocktiller._internal.observe import events
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.store import transport

ROOT = Path(__file__).parents[2]
PLATFORM_FOLDER = ROOT / "platform"
MAX_LINES = 1_500

ROUTE_SPEC = {
    "name": "r-1",
    "hostname": "Drafts.Example",
    "path_prefix": "/a/",
    "route_type": "streaming",
    "timeout_ms": 20000,
    "target_latency_ms": 500,
    "priority": 1,
    "traffic_split": [
        {"backend": "m", "weight": 90},
        {"backend": "p", "weight": 10},
    ],
    "attempts": 2,
    "public": False,
    "sticky": True,
    "resumable": True,
    "gap_aim_ms": 200,
}
ENGINE_SPEC = {
    "slots": 96,
    "kv_token_bytes": 1_836_000,
    "link_mbps": 400_000.0,
    "stride": 3,
    "models": [{"name": "x", "pace": 1.0, "load_s": 14.0}],
    "step_ms": 1.02,
    "per_seq_ms": 0.01428,
    "context_per_k": 0.01912,
    "read_per_s": 105_000.0,
    "usual": {"prompt": 774, "answer": 203},
    "layers": 80,
    "layer_mb": 1750.0,
    "act_bytes": 91_800,
    "pipe_mbps": 18_000.0,
    "kinds": [{"name": "k", "mb": 72_000.0, "pace": 2.4, "read_x": 3.2}],
}
CONFIG_DOCUMENT = {
    "version": 7,
    "routes": [
        ROUTE_SPEC,
        {**ROUTE_SPEC, "name": "r-2", "path_prefix": "/a/b/"},
    ],
    "backends": [
        {
            "name": "m",
            "health_check": "/health",
            "max_connections": 9,
            "engine": ENGINE_SPEC,
        },
        {"name": "p", "health_check": "/up", "max_connections": 9},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "t", "api_keys": ["k1", "k2"], "priority": 0}],
}
TARGET_ENTRY = {
    "backend": "m",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 96,
    "state": "ready",
    "warmup_left_ms": 0,
    "route_type": "k",
    "layers": {"from": 20, "target": 31, "version": 1},
    "born": 1_700_000_000_000,
    "seq": 4,
}
NODE_FILE = """node=edge-a-1
zone=z
ip=10.1.0.40
listen.front=10.1.0.40:8227
listen.ready=10.1.0.40:8220
port_range=7340,7355
bounds.contact_ms=3000
bounds.drain_ms=2000
bounds.config_apply_ms=2000
bounds.grace_s=8
bounds.budget_window_s=10
bounds.retry_budget_ratio=0.2
bounds.retry_budget_extra=200
provider.address=10.200.1.7:8223
provider.history_s=20
a.field.of.tomorrow=1
"""


@pytest.fixture(scope="module")
def adapter():
    """The modules of the folder, imported as the program imports them."""
    sys.path.append(str(PLATFORM_FOLDER))
    try:
        import decoders
        import exchange_headers
        import node_file
        import object_store
    finally:
        sys.path.remove(str(PLATFORM_FOLDER))

    class Modules:
        """Namespace of the folder's modules."""

    Modules.decoders = decoders
    Modules.exchange_headers = exchange_headers
    Modules.node_file = node_file
    Modules.object_store = object_store
    return Modules


def test_the_folder_stays_under_its_line_limit():
    line_count = sum(
        len(path.read_text().splitlines())
        for path in PLATFORM_FOLDER.glob("*.py")
    )
    assert line_count < MAX_LINES


def test_the_folder_shadows_no_standard_module():
    assert Path(standard_platform.__file__).parent != PLATFORM_FOLDER
    assert not (PLATFORM_FOLDER / "__init__.py").exists()
    completed = subprocess.run(
        [sys.executable, "-c", "import platform; print(platform.__file__)"],
        cwd=PLATFORM_FOLDER,
        capture_output=True,
        text=True,
        check=True,
    )
    assert str(PLATFORM_FOLDER) not in completed.stdout


def test_each_requirement_is_declared_in_the_project_file():
    project_file = (ROOT / "pyproject.toml").read_text()
    for requirement in (ROOT / "requirements.txt").read_text().split():
        assert f'"{requirement}"' in project_file


def test_a_configuration_is_decoded(adapter):
    catalog = adapter.decoders.decode_catalog(CONFIG_DOCUMENT)
    assert catalog.version == 7
    assert catalog.route("drafts.example", "/a/b/c").name == "r-2"
    assert catalog.route("drafts.example", "/a/x").name == "r-1"
    assert catalog.route("drafts.example", "/b/") is None
    route = catalog.route("drafts.example", "/a/x")
    assert route.kind == model.STREAMING
    assert (route.timeout_s, route.target_latency_s) == (20.0, 0.5)
    assert route.services == (("m", 90.0), ("p", 10.0))
    assert route.may_repeat
    assert catalog.workspaces["k2"] == model.Workspace("t", 0)
    assert catalog.limits.idle_timeout_s == 15.0
    engine = catalog.services["m"].engine
    assert engine.kv_mb_per_token == pytest.approx(1.836)
    assert engine.accelerators["k"].memory_mb == 72_000.0
    assert catalog.services["p"].engine is None


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({}, False),
        ({"retains_prompts": True}, True),
        ({"retains_prompts": "false"}, False),
    ],
)
def test_targets_retain_prompts_only_if_the_engine_says_so(
    adapter, fields, expected
):
    row = {**CONFIG_DOCUMENT["backends"][0], "engine": ENGINE_SPEC | fields}
    catalog = adapter.decoders.decode_catalog(
        {**CONFIG_DOCUMENT, "backends": [row]}
    )
    assert catalog.services["m"].engine.retains_prompts is expected


def test_a_configuration_without_tenants_requires_no_api_keys(adapter):
    value = {
        key: row for key, row in CONFIG_DOCUMENT.items() if key != "tenants"
    }
    assert adapter.decoders.decode_catalog(value).workspaces is None


@pytest.mark.parametrize(
    "bad", [-1, 10, 1.5, float("nan"), "urgent", [], True]
)
def test_a_bad_priority_counts_as_missing_with_one_line(
    adapter, monkeypatch, bad
):
    lines = []
    monkeypatch.setattr(
        events, "emit", lambda kind, **fields: lines.append((kind, fields))
    )
    catalog = adapter.decoders.decode_catalog(
        {
            **CONFIG_DOCUMENT,
            "routes": [{**ROUTE_SPEC, "priority": bad}],
            "tenants": [{"name": "t", "api_keys": ["k1"], "priority": bad}],
        }
    )
    assert catalog.route("drafts.example", "/a/").priority == 0
    assert catalog.workspaces["k1"] == model.Workspace("t", None)
    assert lines == [("bad_priority", {"names": ["r-1", "t"], "count": 2})]


@pytest.mark.parametrize("value", [None, [], {}, {"version": 1}, "x", 7])
def test_an_invalid_configuration_is_rejected(adapter, value):
    with pytest.raises(ValueError, match="not a configuration"):
        adapter.decoders.decode_catalog(value)


def test_a_target_entry_is_decoded(adapter):
    target = adapter.decoders.decode_target("i-1", TARGET_ENTRY)
    assert target.address == "10.0.0.9:8080"
    assert (target.first_layer, target.end_layer) == (20, 31)
    assert (target.service, target.data_centre) == ("m", "z")
    assert target.accelerator == "k"
    assert target.born_ms == 1_700_000_000_000


@pytest.mark.parametrize(
    "change",
    [
        {"state": "odd"},
        {"state": 3},
        {"address": "nowhere"},
        {"address": None},
        {"slots": "many"},
        {"backend": 4},
        {"zone": []},
        {"born": "then"},
        {"layers": [{"from": "x"}]},
    ],
)
def test_an_entry_with_an_invalid_field_decodes_to_no_target(adapter, change):
    assert (
        adapter.decoders.decode_target("i-1", {**TARGET_ENTRY, **change})
        is None
    )


@pytest.mark.parametrize("value", [None, "text", 3, [], {}])
def test_a_value_that_is_no_entry_decodes_to_no_target(adapter, value):
    assert adapter.decoders.decode_target("i-1", value) is None


def test_a_report_is_decoded(adapter):
    body = json.dumps(
        {
            "born": 5,
            "seq": 2,
            "busy": True,
            "pace": 3.5,
            "layers": {"from": 0, "target": 40, "version": 1},
            "waiting": 1,
        }
    ).encode()
    report = adapter.decoders.decode_report(body)
    assert (
        report.accepted_orders,
        report.is_executing_order,
        report.pace,
    ) == (2, True, 3.5)
    assert (report.born_ms, report.first_layer, report.end_layer) == (5, 0, 40)


@pytest.mark.parametrize("body", [b"", b"[]", b"{", b'{"seq": "x"}'])
def test_an_invalid_report_is_rejected(adapter, body):
    with pytest.raises(ValueError, match=r".*"):
        adapter.decoders.decode_report(body)


def test_request_headers_are_decoded(adapter):
    headers = http_headers.Headers(
        {
            "Host": ["drafts.example"],
            "Request-Id": ["9c41"],
            "Deadline-Ms": ["20000"],
            "Token-Usage": ["1460,80"],
            "Length-Hint": ["33"],
            "Last-Event-Id": ["12"],
            "Key": ["secret"],
            "Tenant": ["forged"],
            "Hop-Count": ["10.0.0.1:1=0-80"],
            "Connection": ["close, X-Hop"],
            "X-Hop": ["1"],
            "Model": ["m"],
        }
    )
    request_headers = adapter.exchange_headers.decode_request(headers)
    assert request_headers.time_left_s == 20.0
    assert (
        request_headers.prompt_tokens,
        request_headers.max_output_tokens,
    ) == (1460, 80)
    assert request_headers.expected_output_tokens == 33
    assert request_headers.api_key == "secret"
    forwarded = {name.lower() for name, _ in request_headers.forwarded}
    assert forwarded == {b"host", b"request-id", b"token-usage", b"model",
                         b"length-hint"}  # fmt: skip


@pytest.mark.parametrize(
    ("values", "parts"),
    [
        (["5c1e07a2:800,91BD3F06:410,e4402b7d:250"], (0x5C1E07A2, 0x91BD3F06)),
        (["5c1e07a2:800, 91bd3f06:410", "e4:2"], (0x5C1E07A2, 0x91BD3F06)),
        (["5c1e07a2:800"], ()),
        ([""], ()),
        ([], ()),
        (["x:1,:2,,0x5:3,-5:4,5_5:5,5:6,6:7"], (5,)),
        (["f00000000000000001:1,2:2"], (1,)),
        ([",".join(f"{n:x}:1" for n in range(100))], tuple(range(32))),
    ],
)
def test_all_parts_of_a_prompt_but_the_last_are_decoded(
    adapter, values, parts
):
    headers = http_headers.Headers({"Prompt-Prefix": values})
    request_headers = adapter.exchange_headers.decode_request(headers)
    assert request_headers.prompt_parts == parts
    assert [value for _, value in request_headers.forwarded] == [
        value.encode() for value in values
    ]


@pytest.mark.parametrize(
    ("values", "lengths"),
    [
        (
            ["5c:800, 91BD:410", "e4:2"],
            ((0x5C, 800), (0x91BD, 410), (0xE4, 2)),
        ),
        (["5c:800,91bd,e4:2"], ((0x5C, 800),)),
        (["5c:-1"], ()),
        (["5c:1,,6:2"], ((0x5C, 1),)),
        ([], ()),
        (["f00000000000000001:1"], ((1, 1),)),
        ([",".join(["1:1"] * 100)], ((1, 1),) * 32),
    ],
)
def test_lengths_of_parts_are_decoded_up_to_a_malformed_one(
    adapter, values, lengths
):
    headers = http_headers.Headers({"Prompt-Prefix": values})
    request_headers = adapter.exchange_headers.decode_request(headers)
    assert request_headers.prompt_lengths == lengths


def test_a_request_to_a_target_carries_path_workspace_and_deadline(adapter):
    request_headers = platform_adapter.RequestHeaders(
        "r", 20.0, "secret", 0, 0, 0, "", []
    )
    target = adapter.decoders.decode_target("i-1", TARGET_ENTRY)
    path = (fleet.Stage(target, 20, 31),)
    headers = dict(
        adapter.exchange_headers.encode_request_headers(
            request_headers,
            platform_adapter.DispatchDetails(target, path, 1.5, "t", "7"),
        )
    )
    assert headers == {
        b"Deadline-Ms": b"1500",
        b"Target-Instance": b"i-1",
        b"Tenant": b"t",
        b"Last-Event-Id": b"7",
        b"Hop-Count": b"10.0.0.9:8080=20-31",
    }


@pytest.mark.parametrize(
    ("status", "headers", "is_not_executed"),
    [
        (503, [(b"Not-Executed", b"1")], True),
        (503, [], False),
        (421, [(b"Instance-Id", b"i-2")], True),
        (200, [(b"Response-Signature", b"s")], False),
    ],
)
def test_only_a_not_executed_header_or_421_proves_no_execution(
    adapter, status, headers, is_not_executed
):
    response_head = adapter.exchange_headers.decode_response_head(
        status, headers
    )
    assert response_head.was_not_executed == is_not_executed


@pytest.mark.parametrize(
    ("headers", "is_leaving"),
    [
        ([(b"Server-Leaving", b"1")], True),
        ([(b"server-leaving", b" 1 ")], True),
        ([(b"Server-Leaving", b"0")], False),
        ([], False),
    ],
)
def test_a_header_tells_that_a_target_leaves(adapter, headers, is_leaving):
    response_head = adapter.exchange_headers.decode_response_head(200, headers)
    assert response_head.is_leaving == is_leaving


@pytest.mark.parametrize(
    ("status", "value", "pause_s"),
    [
        (503, b"2", 2.0),
        (503, b" 0.25 ", 0.25),
        (503, b"0", 0.0),
        (503, b"-1", None),
        (503, b"1e3", None),
        (503, b"nan", None),
        (503, b"1_0", None),
        (503, b"Fri, 04 Dec 2026 11:00:00 GMT", None),
        (503, b"", None),
        (500, b"2", None),
        (200, b"2", None),
    ],
)
def test_a_rejection_may_ask_for_a_pause(adapter, status, value, pause_s):
    response_head = adapter.exchange_headers.decode_response_head(
        status, [(b"Retry-After", value)]
    )
    assert response_head.pause_s == pause_s


@pytest.mark.parametrize(
    ("headers", "names_limit", "limit_per_s"),
    [
        ([(b"Server-Limit", b"2.2")], True, 2.2),
        ([(b"server-limit", b" 40 ")], True, 40.0),
        ([(b"Server-Limit", b"0")], True, 0.0),
        ([(b"Server-Limit", b"999999999.5")], True, 999_999_999.5),
        ([(b"Server-Limit", b"9999999999")], True, None),
        ([(b"Server-Limit", b"-1")], True, None),
        ([(b"Server-Limit", b"1e3")], True, None),
        ([(b"Server-Limit", b"inf")], True, None),
        ([(b"Server-Limit", b"2.")], True, None),
        ([(b"Server-Limit", b"2, 3")], True, None),
        ([(b"Server-Limit", b"")], True, None),
        ([], False, None),
    ],
)
@pytest.mark.parametrize("status", [200, 500, 503])
def test_an_answer_may_name_a_limit(
    adapter, status, headers, names_limit, limit_per_s
):
    response_head = adapter.exchange_headers.decode_response_head(
        status, headers
    )
    assert response_head.names_limit == names_limit
    assert response_head.limit_per_s == limit_per_s


def test_an_order_carries_the_fencing_token_and_order_count(adapter):
    body = json.loads(adapter.exchange_headers.encode_order(20, 31, 9, 2))
    assert body == {
        "operation": "place",
        "from": 20,
        "target": 31,
        "mode": "wait",
        "expect": 2,
        "fence_token": 9,
    }


def test_a_node_file_is_read(adapter):
    fields = adapter.node_file.parse_fields(NODE_FILE)
    settings = adapter.node_file.build_settings(fields)
    assert settings.callers == ("10.1.0.40", 8227)
    assert settings.store["url"] == "http://10.200.1.7:8223"
    assert settings.stop_grace_s == 8.0
    assert settings.follower_watch_s == 10.0


@pytest.mark.parametrize("contact_timeout_ms", [2000, 3000, 4000])
def test_a_watch_is_retried_within_the_contact_timeout_after_a_compaction(
    adapter, contact_timeout_ms
):
    fields = adapter.node_file.parse_fields(NODE_FILE)
    fields["bounds.contact_ms"] = str(contact_timeout_ms)
    settings = adapter.node_file.build_settings(fields)
    max_retry_delay_s = settings.store["retry_max_s"]
    contact_timeout_s = contact_timeout_ms / 1000
    assert (
        settings.store["watch_timeout_s"] + max_retry_delay_s
        < contact_timeout_s
    )
    assert settings.links["silence_timeout_s"] <= contact_timeout_s


def test_an_error_names_the_missing_field_of_a_node_file(adapter):
    fields = adapter.node_file.parse_fields(NODE_FILE)
    del fields["listen.front"]
    with pytest.raises(
        adapter.node_file.InvalidNodeFile, match=r"listen\.front"
    ):
        adapter.node_file.build_settings(fields)


class FakeTransport:
    """Answers calls with a list of replies and records the calls."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.calls = []

    def call(self, method, segments, query, headers, body, wait_s):
        """Records a call and returns the next reply."""
        self.calls.append((method, "/".join(segments), query, body))
        return defer.succeed(self.replies.pop(0))


def call_store(adapter, replies, *call, **options):
    """Makes one call through the adapter's transport to the object API.

    Returns:
        The reply or failure of the call, and the calls made to the API.
    """
    settings = {"url": "http://10.0.0.1:1", "timeout_s": 1.0}
    store_transport = adapter.object_store.ObjectApiTransport(settings, None)
    store_transport._transport = FakeTransport(*replies)
    results = []
    pending = store_transport.call(*call, **options)
    pending.addBoth(results.append)
    return results[0], store_transport._transport.calls


def object_body(name, revision, spec):
    return {
        "metadata": {"name": name, "revision": revision},
        "spec": spec,
        "status": None,
    }


def test_a_listing_reads_all_pages(adapter):
    replies = [
        transport.Reply(
            200,
            {"items": [object_body("a", 1, 1)], "has_more": True, "as_of": 8},
        ),
        transport.Reply(
            200,
            {"items": [object_body("b", 2, 2)], "has_more": False, "as_of": 9},
        ),
    ]
    reply, calls = call_store(adapter, replies, "GET", ("objects", "servers"))
    assert reply.body["version"] == 8
    assert [entry["name"] for entry in reply.body["objects"]] == ["a", "b"]
    assert calls[1][2] == {"after": "a"}


def test_only_a_read_marked_stale_allows_a_stale_reply(adapter):
    found = transport.Reply(200, object_body("a", 1, 1))
    read_call = ("GET", ("objects", "lease", "a"))
    _, calls = call_store(adapter, [found], *read_call, query={"stale": 1})
    assert calls[0][2] == {"stale_ok": 1}
    _, calls = call_store(adapter, [found], *read_call)
    assert calls[0][2] == {}


def test_a_watch_reports_the_last_event_of_each_object(adapter):
    events = [
        {"deleted": False, "object": object_body("a", 5, 1)},
        {"deleted": True, "object": object_body("a", 6, 1)},
        {"deleted": True, "object": object_body("b", 7, 1)},
        {"deleted": False, "object": object_body("b", 8, 2)},
    ]
    reply, calls = call_store(
        adapter,
        [transport.Reply(200, {"events": events, "as_of": 8})],
        "GET",
        ("objects", "servers"),
        {"after": 4, "timeout_s": 2.0},
    )
    assert reply.body["deleted"] == ["a"]
    assert reply.body["changed"] == [{"name": "b", "version": 8, "value": 2}]
    assert calls[0][2] == {"watch": 4, "wait_ms": 2000}


def test_status_410_for_a_compacted_history_is_passed_on(adapter):
    reply, _ = call_store(
        adapter,
        [transport.Reply(410, None)],
        "GET",
        ("objects", "servers"),
        {"after": 4, "timeout_s": 2.0},
    )
    assert reply.status == 410


def test_creates_and_updates_are_conditional_writes(adapter):
    saved = transport.Reply(200, {"metadata": {"revision": 12}})
    reply, calls = call_store(
        adapter, [saved], "PUT", ("objects", "lease", "x"),
        headers={"If-None-Match": "*"}, body=b'{"a":1}',
    )  # fmt: skip
    assert reply.body == {"version": 12}
    assert calls[0][:2] == ("POST", "api/objects/lease")
    assert json.loads(calls[0][3]) == {
        "metadata": {"name": "x"},
        "spec": {"a": 1},
    }
    _, calls = call_store(
        adapter, [saved], "PUT", ("objects", "lease", "x"),
        headers={"If-Match": '"11"'}, body=b'{"a":1}',
    )  # fmt: skip
    assert calls[0][:2] == ("PUT", "api/objects/lease/x")
    assert json.loads(calls[0][3])["metadata"]["revision"] == 11


@pytest.mark.parametrize("status", [409, 404])
def test_a_failed_write_condition_is_reported_as_412(adapter, status):
    reply, _ = call_store(
        adapter, [transport.Reply(status, None)], "PUT",
        ("objects", "lease", "x"), headers={"If-Match": '"11"'}, body=b"1",
    )  # fmt: skip
    assert reply.status == 412


def test_a_rate_limited_call_is_reported_as_store_unavailable(adapter):
    """The error says that the call was not carried out."""
    failure, _ = call_store(
        adapter,
        [transport.Reply(429, None, retry_after_s=1.5)],
        "GET",
        ("objects", "config", "m"),
    )
    assert failure.check(exceptions.StoreUnavailable)
    assert failure.value.outcome == "429"
    assert failure.value.retry_after_s == 1.5


@pytest.mark.parametrize(
    ("replies", "call", "options"),
    [
        (
            [transport.Reply(200, object_body("a", 1, 1), 3)],
            ("GET", ("objects", "lease", "a")),
            {},
        ),
        (
            [transport.Reply(200, {"items": [], "as_of": 4}, 3)],
            ("GET", ("objects", "lease")),
            {},
        ),
        (
            [transport.Reply(200, {"events": [], "as_of": 4}, 3)],
            ("GET", ("objects", "lease")),
            {"query": {"after": 4, "timeout_s": 2.0}},
        ),
        (
            [transport.Reply(200, {"metadata": {"revision": 12}}, 3)],
            ("PUT", ("objects", "lease", "x")),
            {"headers": {"If-Match": '"11"'}, "body": b"1"},
        ),
        (
            [transport.Reply(409, None, 3)],
            ("PUT", ("objects", "lease", "x")),
            {"headers": {"If-Match": '"11"'}, "body": b"1"},
        ),
        (
            [transport.Reply(404, None, 3)],
            ("DELETE", ("objects", "lease", "x")),
            {"headers": {"If-Match": '"11"'}},
        ),
    ],
)
def test_the_era_of_the_store_is_kept(adapter, replies, call, options):
    reply, _ = call_store(adapter, replies, *call, **options)
    assert reply.era == 3


def test_a_listing_with_pages_of_two_eras_is_read_again(adapter):
    replies = [
        transport.Reply(
            200,
            {"items": [object_body("a", 1, 1)], "has_more": True, "as_of": 8},
            era,
        )
        for era in (0, 1)
    ]
    failure, _ = call_store(adapter, replies, "GET", ("objects", "servers"))
    assert failure.check(exceptions.StoreUnavailable)


@pytest.mark.parametrize(
    ("rank", "value"), [(0, b"0"), (2, b"2"), (-3, b"0"), (12, b"9")]
)
def test_a_ranked_request_carries_its_priority(adapter, rank, value):
    request_headers = platform_adapter.RequestHeaders(
        "r", 20.0, "secret", 0, 0, 0, "", []
    )
    target = adapter.decoders.decode_target("i-1", TARGET_ENTRY)
    headers = dict(
        adapter.exchange_headers.encode_request_headers(
            request_headers,
            platform_adapter.DispatchDetails(target, (), 1.5, "t", "", rank),
        )
    )
    assert headers[b"Request-Priority"] == value

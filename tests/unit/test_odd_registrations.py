"""Registrations that another writer left among those of targets."""

import json

import pytest
from twisted.internet import task
from twisted.python import failure

from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import transport
from tests.fakes import memory
from tests.unit import entry_simulation
from tests.unit import test_platform_folder
from tests.unit.gateway import conftest as gateway_fixtures
from tests.unit.gateway.conftest import make_target
from tests.unit.gateway.test_peers import LinkedGateway
from tests.unit.gateway.test_streams import make_two_chains
from tests.unit.test_platform_folder import TARGET_ENTRY
from tests.unit.test_store_transport import UnframedAgent

adapter = test_platform_folder.adapter
harness = gateway_fixtures.harness
engine = gateway_fixtures.engine
model_service = gateway_fixtures.model_service
stream_route = gateway_fixtures.stream_route

HUGE = 10**400
DEEP = b"[" * 100_000 + b"]" * 100_000
ODD_VALUES = {
    "deep": DEEP,
    "deep_among_others": b'{"a":{"b":' * 50_000 + b"1" + b"}}" * 50_000,
    "less_deep": b'{"a":' * 900 + b"1" + b"}" * 900,
    "many_digits": b"9" * 5000,
    "many_decimals": b"-1." + b"9" * 500_000 + b"e5",
    "endless_exponent": b"1e99999",
    "not_utf8": b'"\xff\xfe\x80"',
    "control_characters": b'"\x00\x1f"',
    "surrogate": b'"\\ud800"',
    "constant": b"NaN",
}


@pytest.fixture
def entry_run():
    """An entry without agents."""
    return entry_simulation.EntryRun()


def encode_listing(odd_value, version=7):
    """Returns a listing of three objects, whose second has an odd value."""
    objects = [
        b'{"name":"%s","version":%d,"value":%s}' % (name, version, value)
        for name, value in (
            (b"a", b'{"x":[1,"]}"]}'),
            (b"odd", odd_value),
            (b"z", b'{"y":{"k":2.5}}'),
        )
    ]
    return b'{"version":%d,"objects":[%s]}' % (version, b",".join(objects))


def make_store(body):
    """Returns a client of a store that answers with a body."""
    clock = task.Clock()
    agent = UnframedAgent(200, body)
    store_transport = transport.Transport(memory.STORE_SETTINGS, clock, agent)
    return client.ObjectStore(
        memory.STORE_SETTINGS, "test", clock, custom_transport=store_transport
    )


@pytest.mark.parametrize("odd_value", ODD_VALUES.values(), ids=ODD_VALUES)
def test_the_other_registrations_of_a_listing_hold(odd_value):
    store = make_store(encode_listing(odd_value))
    results = []
    store.read_all("targets").addBoth(results.append)
    (listing,) = results
    by_name = {stored.name: stored.value for stored in listing.objects}
    assert by_name["a"] == {"x": [1, "]}"]}
    assert by_name["z"] == {"y": {"k": 2.5}}
    # What is kept of it can be passed on.
    json.dumps(by_name["odd"])


@pytest.mark.parametrize("odd_value", ODD_VALUES.values(), ids=ODD_VALUES)
def test_a_watch_goes_on_after_an_odd_registration(odd_value):
    body = encode_listing(odd_value).replace(b'"objects":', b'"changed":')
    store = make_store(
        body.replace(b'{"version":7,', b'{"deleted":[],"version":7,', 1)
    )
    changes = []
    store.wait_for_changes("targets", 3).addBoth(changes.append)
    (found,) = changes
    assert [stored.name for stored in found.changed] == ["a", "odd", "z"]


@pytest.mark.parametrize("odd_value", ODD_VALUES.values(), ids=ODD_VALUES)
def test_a_part_of_a_listing_is_still_no_listing(odd_value):
    body = encode_listing(odd_value)
    for length in (len(body) - 1, len(body) // 2, 40):
        results = []
        make_store(body[:length]).read_all("targets").addBoth(results.append)
        (result,) = results
        assert isinstance(result, failure.Failure)


@pytest.mark.parametrize(
    "change",
    [
        {"address": "10.0.0.9:0"},
        {"address": "10.0.0.9:65536"},
        {"address": "10.0.0.9:-1"},
        {"address": "10.0.0.9:" + "9" * 400},
        {"address": "10.0.0.9: 80"},
        {"address": "10.0.0.9:8_0"},
        {"address": "10.0 .0.9:80"},
        {"address": "10.0.0.9\r\nX:80"},
        {"address": "\ud800:80"},
        {"slots": HUGE},
        {"slots": -1},
        {"slots": float("inf")},
        {"slots": float("nan")},
        {"slots": [[[[]]]]},
        {"born": HUGE},
        {"born": -5},
        {"born": True},
        {"born": 1e400},
        {"layers": {"from": 0, "target": HUGE}},
        {"layers": {"from": -3, "target": 5}},
        {"layers": {"from": 9, "target": 5}},
        {"layers": {"from": 0, "target": float("inf")}},
        {"layers": [[[[[0]]]]]},
        {"backend": "\ud800"},
        {"zone": "\ud800"},
        {"route_type": "\ud800"},
    ],
    ids=str,
)
def test_a_registration_out_of_range_names_no_target(adapter, change):
    value = {**TARGET_ENTRY, **change}
    assert adapter.decoders.decode_target("i-1", value) is None


@pytest.mark.parametrize("name", ["i-\n1", "\ud800", "", "i 1"])
def test_a_name_that_no_header_can_hold_names_no_target(adapter, name):
    assert adapter.decoders.decode_target(name, TARGET_ENTRY) is None


@pytest.mark.parametrize("accelerator", ["", "unknown"])
def test_streams_pass_by_a_target_of_an_unknown_kind(
    harness, model_service, stream_route, accelerator
):
    odd = make_target("odd", end_layer=80, accelerator=accelerator)
    harness.register(odd, *make_two_chains())
    admitted = harness.admit(model_service, stream_route)
    harness.start_stream(admitted)
    assert harness.pending_connection_count() == 1
    assert harness.next_port() != odd.port


ODD_RECORDS = [
    None,
    [],
    "text",
    {},
    {"port": 70_000},
    {"port": -1},
    {"port": HUGE},
    {"port": "80"},
    {"host": 3},
    {"host": ""},
    {"first_layer": "0"},
    {"end_layer": HUGE},
    {"max_running": -1},
    {"max_running": 1e400},
    {"model": None},
    {"vm": []},
]


@pytest.mark.parametrize("odd", ODD_RECORDS, ids=str)
def test_an_entry_passes_by_a_record_that_is_none(entry_run, odd):
    entry_run.add_engine("a")
    sound = entry_run.entry.targets.by_name["a"].record
    record = odd
    if isinstance(odd, dict) and odd:
        record = {**sound, "target": "odd", **odd}
    entry_run.entry.targets.on_registration_changes(
        [
            client.StoredObject("target", "odd", 1, record),
            client.StoredObject("target", "z", 1, {**sound, "target": "z"}),
        ],
        [],
        is_full_listing=False,
    )
    assert set(entry_run.entry.targets.by_name) == {"a", "z"}


def test_a_gateway_dials_no_peer_at_a_port_out_of_range(harness, monkeypatch):
    gateway = LinkedGateway(harness, None)
    dialled = []
    monkeypatch.setattr(
        gateway.peers, "_start_dialer", lambda name, _: dialled.append(name)
    )
    addresses = {
        "z1": {"host": "10.0.0.1", "port": 70_000},
        "z2": {"host": "10.0.0.1", "port": True},
        "z3": {"host": "", "port": 80},
        "z4": {"host": "10.0.0.1", "port": 80},
    }
    stored = [
        client.StoredObject("gateways", name, 1, value)
        for name, value in addresses.items()
    ]
    gateway.peers._update_dialers(client.Listing(1, stored))
    assert dialled == ["z4"]


@pytest.mark.parametrize(
    "body",
    [
        DEEP,
        b'{"pace":%s}' % DEEP,
        b'{"pace":1e400}',
        b'{"pace":NaN}',
        b'{"pace":1%s}' % (b"0" * 400),
        b'{"pace":1%s}' % (b"0" * 5000),
        b'{"seq":1e400}',
        b'{"layers":{"from":0,"target":1e400}}',
        b'{"layers":{"from":0,"target":1%s}}' % (b"0" * 400),
    ],
    ids=lambda body: body[:24].decode(),
)
def test_a_report_out_of_range_is_rejected(adapter, body):
    with pytest.raises(ValueError, match=r".*"):
        adapter.decoders.decode_report(body)

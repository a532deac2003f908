"""Counts that have to stay within the budgets of the target size."""

import json
from pathlib import Path

import pytest

from benchmarks import capacity
from benchmarks import config_bytes
from benchmarks.slopes import samples
from benchmarks.slopes import store_calls
from hemlocktiller._internal.agent import load_reports
from hemlocktiller._internal.config import patch
from hemlocktiller._internal.config import snapshot
from hemlocktiller._internal.links import codec
from tests.unit import wires

SCHEMA = Path(__file__).parents[2] / "schema" / "entry_settings.json"
STORE_READS_PER_S = 2_000
STORE_WRITES_PER_S = 300
BOOKINGS_PER_S = 110
BIDDERS = 3
LEASES = capacity.TARGET.data_centres * capacity.TARGET.models
ENTRIES_OF_AGENT = 3
ENTRY_LINKS = (
    ENTRIES_OF_AGENT * capacity.TARGET.replicas // capacity.TARGET.entries
)
WATCHES = capacity.WATCHES_OF_ENTRY * capacity.TARGET.entries
HEADER_BYTES = 52  # IPv4, TCP and its timestamps
DURATION_S = 300


class _Counted(wires.Wire):
    """A wire that counts what moves, with headers."""

    wire_bytes = 0

    def _move(self):
        for end in (self.dialled, self.accepted):
            if end.transport.out:
                self.wire_bytes += len(end.transport.out) + HEADER_BYTES
        return super()._move()


@pytest.fixture
def link_bytes_per_s():
    """Bytes a second of one idle link at the settings' defaults."""
    links = json.loads(SCHEMA.read_text())["$defs"]["Links"]["properties"]
    interval_s = links["heartbeat_interval_s"]["default"]
    settings = {**wires.SETTINGS, "heartbeat_interval_s": interval_s}
    wire = _Counted(settings, settings).connect()
    wire.wire_bytes = 0
    for _ in range(round(DURATION_S / load_reports.FULL_REPORT_INTERVAL_S)):
        wire.accepted.link.send(samples.load(plans=4, prefixes=0))
        wire.advance(load_reports.FULL_REPORT_INTERVAL_S)
    return wire.wire_bytes / DURATION_S


def test_a_booking_takes_two_writes_and_no_read():
    assert store_calls.booking() == store_calls.Calls(reads=0, writes=2)


def test_bookings_leases_and_restarts_leave_the_object_api_room_to_write():
    _, lease_writes_per_s = store_calls.held_lease(BIDDERS)
    restarts_per_s = capacity.TARGET.restarts_per_day / capacity.DAY_S
    writes_per_s = BOOKINGS_PER_S * store_calls.booking().writes
    writes_per_s += LEASES * lease_writes_per_s
    writes_per_s += restarts_per_s * store_calls.restart().writes
    assert writes_per_s <= STORE_WRITES_PER_S


def test_a_repeated_booking_costs_no_more_than_the_first():
    again = store_calls.repeated_booking()
    assert sum(again) <= sum(store_calls.booking())


def test_idle_watches_and_edits_fit_the_reads_of_the_object_api():
    watchers = 10
    idle_reads = store_calls.idle_watches(watchers) / watchers * WATCHES
    edit_reads = store_calls.edit_seen_by(watchers).reads / watchers
    edit_reads_per_s = (
        edit_reads * capacity.TARGET.entries * capacity.EDITS_PER_S
    )
    assert idle_reads + edit_reads_per_s <= STORE_READS_PER_S


def test_a_restart_wakes_each_watch_of_targets_once_a_write():
    watchers = 10
    alone = store_calls.change_seen_by(0)
    seen = store_calls.change_seen_by(watchers)
    assert seen.writes == alone.writes == 1
    assert seen.reads - alone.reads <= watchers


def test_one_link_fits_the_control_bytes_of_a_node(link_bytes_per_s):
    assert link_bytes_per_s <= capacity.TARGET.bytes_per_s


def test_all_links_of_an_entry_fit_its_control_bytes(link_bytes_per_s):
    total = ENTRY_LINKS * link_bytes_per_s
    assert total <= capacity.TARGET.bytes_per_s


def test_edits_fit_the_control_bytes_of_a_node_as_patches():
    document = config_bytes.document_of(capacity.TARGET.workspaces)
    before = snapshot.build(1, document)
    edited = config_bytes.document_of(capacity.TARGET.workspaces)
    edited["plans"][0]["workspaces"][0]["key_digest"] = "0" * 64
    update = patch.build_update(before, snapshot.build(2, edited))
    bytes_each = len(codec.encode(update)) + HEADER_BYTES
    bytes_per_s = bytes_each * ENTRY_LINKS * capacity.EDITS_PER_S
    assert bytes_per_s <= capacity.TARGET.bytes_per_s / 2

"""Store calls and link traffic stay within the budgets of the target size."""

import json
from pathlib import Path

import pytest

from benchmarks import capacity
from benchmarks import config_bytes
from benchmarks.slopes import sample_data
from benchmarks.slopes import store_call_counts
from hemlocktiller._internal.agent import load_reports
from hemlocktiller._internal.config import patch
from hemlocktiller._internal.config import snapshot
from hemlocktiller._internal.links import codec
from tests.unit import memory_links

SCHEMA_PATH = Path(__file__).parents[2] / "schema" / "entry_settings.json"
MAX_STORE_READS_PER_S = 2_000
MAX_STORE_WRITES_PER_S = 300
BOOKINGS_PER_S = 110
LEASE_CANDIDATES = 3
LEASES = capacity.DESIGN_LOAD.data_centres * capacity.DESIGN_LOAD.models
ENTRIES_PER_AGENT = 3
LINKS_PER_ENTRY = (
    ENTRIES_PER_AGENT
    * capacity.DESIGN_LOAD.replicas
    // capacity.DESIGN_LOAD.entries
)
TOTAL_WATCHES = capacity.WATCHES_PER_ENTRY * capacity.DESIGN_LOAD.entries
HEADER_BYTES = 52  # IPv4 and TCP headers with TCP timestamps.
MEASURED_S = 300


class _ByteCountingLinkPair(memory_links.LinkPair):
    """A pair of links that counts the bytes sent, with packet headers."""

    sent_bytes = 0

    def _deliver_once(self):
        for end in (self.dialled, self.accepted):
            if end.transport.written:
                self.sent_bytes += len(end.transport.written) + HEADER_BYTES
        return super()._deliver_once()


@pytest.fixture
def link_bytes_per_s():
    """Traffic of one idle link at the default settings."""
    links = json.loads(SCHEMA_PATH.read_text())["$defs"]["Links"]["properties"]
    interval_s = links["heartbeat_interval_s"]["default"]
    settings = {**memory_links.SETTINGS, "heartbeat_interval_s": interval_s}
    link_pair = _ByteCountingLinkPair(settings, settings).connect()
    link_pair.sent_bytes = 0
    for _ in range(round(MEASURED_S / load_reports.FULL_REPORT_INTERVAL_S)):
        link_pair.accepted.link.send(
            sample_data.load_report(plan_count=4, prefix_count=0)
        )
        link_pair.advance(load_reports.FULL_REPORT_INTERVAL_S)
    return link_pair.sent_bytes / MEASURED_S


def test_a_booking_takes_two_writes_and_no_read():
    assert (
        store_call_counts.count_booking_calls()
        == store_call_counts.CallCounts(reads=0, writes=2)
    )


def test_bookings_leases_and_restarts_fit_the_writes_of_the_object_api():
    _, lease_writes_per_s = store_call_counts.measure_lease_rates(
        LEASE_CANDIDATES
    )
    restarts_per_s = capacity.DESIGN_LOAD.restarts_per_day / capacity.DAY_S
    writes_per_s = (
        BOOKINGS_PER_S * store_call_counts.count_booking_calls().writes
    )
    writes_per_s += LEASES * lease_writes_per_s
    writes_per_s += (
        restarts_per_s * store_call_counts.count_restart_calls().writes
    )
    assert writes_per_s <= MAX_STORE_WRITES_PER_S


def test_a_repeated_booking_costs_no_more_than_the_first():
    repeated = store_call_counts.count_repeated_booking_calls()
    assert sum(repeated) <= sum(store_call_counts.count_booking_calls())


def test_idle_watches_and_edits_fit_the_reads_of_the_object_api():
    watchers = 10
    idle_reads_per_s = (
        store_call_counts.measure_idle_watch_rate(watchers)
        / watchers
        * TOTAL_WATCHES
    )
    watcher_reads_per_edit = (
        store_call_counts.count_edit_calls(watchers).reads / watchers
    )
    edit_reads_per_s = (
        watcher_reads_per_edit
        * capacity.DESIGN_LOAD.entries
        * capacity.EDITS_PER_S
    )
    assert idle_reads_per_s + edit_reads_per_s <= MAX_STORE_READS_PER_S


def test_a_write_of_a_restart_costs_each_target_watch_at_most_one_read():
    watchers = 10
    without_watchers = store_call_counts.count_registration_calls(0)
    with_watchers = store_call_counts.count_registration_calls(watchers)
    assert with_watchers.writes == without_watchers.writes == 1
    assert with_watchers.reads - without_watchers.reads <= watchers


def test_one_link_fits_the_control_traffic_budget_of_a_node(link_bytes_per_s):
    assert link_bytes_per_s <= capacity.DESIGN_LOAD.control_bytes_per_s


def test_all_links_of_an_entry_fit_its_control_traffic_budget(
    link_bytes_per_s,
):
    entry_bytes_per_s = LINKS_PER_ENTRY * link_bytes_per_s
    assert entry_bytes_per_s <= capacity.DESIGN_LOAD.control_bytes_per_s


def test_edits_sent_as_patches_fit_half_the_control_traffic_budget():
    document = config_bytes.config_document(capacity.DESIGN_LOAD.workspaces)
    before = snapshot.build(1, document)
    edited_document = config_bytes.config_document(
        capacity.DESIGN_LOAD.workspaces
    )
    edited_document["plans"][0]["workspaces"][0]["key_digest"] = "0" * 64
    update = patch.build_update(before, snapshot.build(2, edited_document))
    bytes_per_edit = len(codec.encode(update)) + HEADER_BYTES
    bytes_per_s = bytes_per_edit * LINKS_PER_ENTRY * capacity.EDITS_PER_S
    assert bytes_per_s <= capacity.DESIGN_LOAD.control_bytes_per_s / 2

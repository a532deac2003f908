"""Measures slopes on this machine and works out the target size from them.

    python -m benchmarks.capacity [SECTION ...]

Sections: links, streams, tokens, requests, workspaces, agent, store,
config, spread, operator, messages; all of them without arguments. Each
slope is taken at three sizes or more, each in processes of its own.
"""

import sys
import time
from typing import NamedTuple

import logbook

from benchmarks import config_bytes
from benchmarks.slopes import agent_costs
from benchmarks.slopes import config_propagation
from benchmarks.slopes import entry_costs
from benchmarks.slopes import linear_fit
from benchmarks.slopes import operator_check
from benchmarks.slopes import sample_data
from benchmarks.slopes import store_call_counts
from hemlocktiller._internal.config import patch
from hemlocktiller._internal.config import snapshot
from hemlocktiller._internal.links import codec
from hemlocktiller._internal.store import objects

MIB = 1024 * 1024
DAY_S = 86_400
US_PER_S = 1_000_000
REPEATS = 20
WATCHES_OF_ENTRY = 4


class Target(NamedTuple):
    """The size that the system has to carry.

    Attributes:
        cpu_share: Share of a core for control, a node.
        bytes_per_s: Bytes for control, a node.
        resident_bytes: Memory for control, a node, beyond bare Twisted.
    """

    entries: int = 420
    replicas: int = 2_800
    data_centres: int = 20
    regions: int = 7
    requests_per_s: int = 35_000
    tokens_per_s: int = 9_100_000
    workspaces: int = 710
    models: int = 19
    edits_per_day: int = 13_000
    restarts_per_day: int = 250
    cpu_share: float = 0.021
    bytes_per_s: float = 4_096.0
    resident_bytes: int = 32 * MIB


TARGET = Target()
ENTRY_REQUESTS_PER_S = TARGET.requests_per_s / TARGET.entries
ENTRY_TOKENS_PER_S = TARGET.tokens_per_s / TARGET.entries
REPLICA_TOKENS_PER_S = TARGET.tokens_per_s / TARGET.replicas
EDITS_PER_S = TARGET.edits_per_day / DAY_S


def measure_links():
    """Slopes of idle links at an entry, with and without load reports."""
    kinds = (
        ("heartbeats and full load reports", {}),
        ("heartbeats and short load reports", {"plans": 4, "prefixes": 0}),
        ("heartbeats alone", {"reports": False}),
    )
    for name, options in kinds:
        found = {
            count: entry_costs.measure_idle_links(count, **options)
            for count in (8, 24, 72)
        }
        cpu = _slope(f"entry, {name}", "cpu_s_per_s", found, "link", "us/s")
        wire = _slope(f"entry, {name}", "wire_bytes_per_s", found, "link")
        _slope(f"entry, {name}", "resident_bytes", found, "link", "KiB")
        by_cpu = TARGET.cpu_share * US_PER_S / cpu.slope
        by_bytes = TARGET.bytes_per_s / wire.slope
        _conclude(
            f"{TARGET.cpu_share:.1%} of a core carries {by_cpu:.0f} links,"
            f" {TARGET.bytes_per_s:.0f} bytes/s {by_bytes:.1f}"
        )


def measure_streams():
    """Slope of open streams at an entry."""
    found = {
        count: entry_costs.measure_open_streams(count)
        for count in (100, 400, 1_200)
    }
    memory = _slope("entry", "resident_bytes", found, "open stream", "KiB")
    for tokens_per_s in (16, 30):
        streams = ENTRY_TOKENS_PER_S / tokens_per_s
        _conclude(
            f"{streams:.0f} streams of {tokens_per_s} tokens/s:"
            f" {memory.slope * streams / 1024:.0f} MiB"
        )


def measure_tokens():
    """Slopes of tokens at an entry, with 1, 8 and 64 tokens a stream."""
    for tokens_each in (1, 8, 64):
        found = {
            streams: entry_costs.measure_tokens(streams, tokens_each)
            for streams in (20, 60, 140)
        }
        by_tokens = {one["tokens_per_s"]: one for one in found.values()}
        name = f"entry, {tokens_each} tokens a stream and frame"
        cpu = _slope(name, "cpu_s_per_s", by_tokens, "token/s", "us/s")
        wire = _slope(name, "wire_bytes_per_s", by_tokens, "token/s")
        _conclude(
            f"{ENTRY_TOKENS_PER_S:,.0f} tokens/s:"
            f" {cpu.slope * ENTRY_TOKENS_PER_S / US_PER_S:.2f} cores,"
            f" {wire.slope * ENTRY_TOKENS_PER_S / MIB:.1f} MiB/s of links"
        )


def measure_requests():
    """Slopes of requests and of the targets to choose from."""
    found = {rate: entry_costs.measure_requests(rate) for rate in (10, 30, 60)}
    cpu = _slope("entry", "cpu_s_per_s", found, "request/s", "us/s")
    _conclude(
        f"{ENTRY_REQUESTS_PER_S:.0f} requests/s:"
        f" {cpu.slope * ENTRY_REQUESTS_PER_S / US_PER_S:.2f} cores"
    )
    found = {
        count: entry_costs.measure_requests(20, count, count)
        for count in (4, 16, 48)
    }
    _slope("entry at 20 requests/s", "cpu_s_per_s", found, "target", "us/s")


def measure_workspaces():
    """Slope of the workspaces in the configuration of an entry."""
    found = {
        count: entry_costs.measure_workspaces(count)
        for count in (71, 355, 710)
    }
    memory = _slope("entry", "resident_bytes", found, "workspace", "KiB")
    _conclude(
        f"{TARGET.workspaces} workspaces:"
        f" {memory.slope * TARGET.workspaces / 1024:.1f} MiB;"
        f" idle entry with all of them: {memory.points[-1][1] / 1024:.1f} MiB"
    )


def measure_agent():
    """Slopes of links, streams and tokens at an agent."""
    found = {
        count: agent_costs.measure_idle_links(count) for count in (4, 16, 48)
    }
    cpu = _slope("agent", "head_cpu_s_per_s", found, "linked entry", "us/s")
    wire = _slope("agent", "wire_bytes_per_s", found, "linked entry")
    _slope("agent", "head_resident_bytes", found, "linked entry", "KiB")
    by_cpu = TARGET.cpu_share * US_PER_S / cpu.slope
    by_bytes = TARGET.bytes_per_s / wire.slope
    _conclude(
        f"{TARGET.cpu_share:.1%} of a core carries {by_cpu:.0f} links,"
        f" {TARGET.bytes_per_s:.0f} bytes/s {by_bytes:.1f}"
    )
    for stages in (1, 2):
        _measure_chain(stages)


def _measure_chain(stages):
    found = {
        count: agent_costs.measure_streams(count, stages)
        for count in (16, 48, 112)
    }
    name = f"agent, chain of {stages}"
    _slope(name, "head_resident_bytes", found, "running stream", "KiB")
    by_tokens = {one["tokens_per_s"]: one for one in found.values()}
    for place in ("head", "tail"):
        cpu = _slope(
            f"{name}, {place}",
            f"{place}_cpu_s_per_s",
            by_tokens,
            "token/s",
            "us/s",
        )
        _conclude(
            f"{REPLICA_TOKENS_PER_S:,.0f} tokens/s:"
            f" {cpu.cost_at(REPLICA_TOKENS_PER_S) / US_PER_S:.2f} cores"
        )


def measure_store():
    """Calls of the object API by action; they are counted, not timed."""
    print(f"booking: {store_call_counts.count_booking_calls()}")
    print(f"booking again: {store_call_counts.count_repeated_booking_calls()}")
    print(f"restart of an agent: {store_call_counts.count_restart_calls()}")
    for bidders in (1, 3, 21):
        reads, writes = store_call_counts.measure_lease_rates(bidders)
        print(
            f"lease with {bidders} bidders: {reads:.2f} reads/s,"
            f" {writes:.2f} writes/s"
        )
    sizes = (5, 10, 20)
    idle = {
        count: {"calls": store_call_counts.measure_idle_watch_rate(count)}
        for count in sizes
    }
    slope = _slope("idle watches", "calls", idle, "watch", "calls/s")
    watches = WATCHES_OF_ENTRY * TARGET.entries
    _conclude(
        f"{watches} watches of entries: {slope.slope * watches:.0f} reads/s"
    )
    for name, action in (
        ("registration", store_call_counts.count_registration_calls),
        ("edit", store_call_counts.count_edit_calls),
    ):
        reads = {count: {"calls": action(count).reads} for count in sizes}
        _slope(f"reads of one {name}", "calls", reads, "watcher", "calls")


def measure_config():
    """Slopes of one edit in the number of workspaces."""
    whole, patched = {}, {}
    for count in (177, 355, 710):
        whole[count], patched[count] = _edit_costs(count)
    for name, found in (("whole", whole), ("patch", patched)):
        for field, unit in (
            ("body_bytes", "bytes"),
            ("make_us", "us"),
            ("apply_us", "us"),
        ):
            slope = _slope(
                f"edit as {name}, {field}", field, found, "workspace", unit
            )
            each = slope.cost_at(TARGET.workspaces)
            _conclude(
                f"{TARGET.edits_per_day} edits a day:"
                f" {each * EDITS_PER_S:,.1f} {unit}/s"
            )
    document = _stored_bytes(TARGET.workspaces)
    _conclude(
        f"whole JSON document {document} bytes, as each watcher of the"
        f" object API gets it: {document * EDITS_PER_S:,.0f} bytes/s"
    )


def _stored_bytes(count):
    """Returns the bytes of the document in the object API."""
    document = config_bytes.config_document(count)
    return len(objects.encode_envelope(document, "writer", "nonce", 1))


def _edit_costs(count):
    document = config_bytes.config_document(count)
    before = snapshot.build(1, document)
    edited = config_bytes.config_document(count)
    edited["plans"][0]["share"] = 0.001
    after = snapshot.build(2, edited)
    costs = []
    for base in (None, before):
        update = patch.build_update(base, after)
        costs.append(
            {
                "body_bytes": len(update["body"]),
                "make_us": _cpu_us(
                    lambda base=base: patch.build_update(base, after)
                ),
                "apply_us": _cpu_us(
                    lambda update=update: patch.apply_update(before, update).ok
                ),
            }
        )
    return costs


def measure_operator():
    """Slopes of the operator's check in the number of workspaces."""
    found = {
        count: operator_check.measure_check(count) for count in (71, 355, 710)
    }
    _slope("hemlocktiller check", "cpu_s", found, "workspace", "ms")
    _slope("hemlocktiller check", "peak_bytes", found, "workspace", "KiB")


def measure_spread():
    """How an edit spreads over the links of one data centre."""
    for readers in (1, 3, config_propagation.ENTRY_COUNT):
        found = config_propagation.measure_propagation(readers)
        nodes = config_propagation.ENTRY_COUNT + config_propagation.AGENT_COUNT
        each = found.push_bytes / nodes * EDITS_PER_S
        print(
            f"{readers} readers, {found.link_count} links:"
            f" everywhere after {found.duration_s:.2f} s,"
            f" {found.push_count} pushes of {found.push_bytes} bytes"
        )
        _conclude(
            f"{TARGET.edits_per_day} edits a day: {each:.1f} bytes/s a process"
        )


def measure_messages():
    """Bytes and processor time of single messages."""
    for plans, prefixes in ((0, 0), (4, 0), (4, 64), (71, 0), (71, 64)):
        message = sample_data.load_report(plans, prefixes)
        print(
            f"load of {plans} plans, {prefixes} prefixes:"
            f" {len(codec.encode(message))} bytes,"
            f" {_both_ways_us(message):.0f} us to encode and decode"
        )
    message = sample_data.heartbeat()
    print(
        f"heartbeat: {len(codec.encode(message))} bytes,"
        f" {_both_ways_us(message):.0f} us to encode and decode"
    )
    for streams in (1, 8, 64):
        message = sample_data.token_message(0, streams, 1)
        print(
            f"tokens of {streams} streams:"
            f" {len(codec.encode(message)) / streams:.0f} bytes a token,"
            f" {_both_ways_us(message) / streams:.1f} us a token"
        )


def _both_ways_us(message):
    return _cpu_us(lambda: codec.decode(codec.encode(message)))


def _cpu_us(work):
    """Returns the processor time of one call in microseconds."""
    work()
    started_s = time.process_time()
    for _ in range(REPEATS):
        work()
    return (time.process_time() - started_s) / REPEATS * US_PER_S


def _slope(name, field, found, per, unit="bytes"):
    """Fits, prints and returns the slope of one measured field."""
    factors = {"ms": 1_000, "us/s": US_PER_S, "KiB": 1 / 1024}
    factor = factors.get(unit, 1.0)
    if field.endswith("bytes_per_s"):
        unit = "bytes/s"
    points = [(size, one[field] * factor) for size, one in found.items()]
    slope = linear_fit.fit_line(f"{name}: {field}", unit, per, points)
    linear_fit.print_fit(slope)
    return slope


def _conclude(text):
    print(f"  => {text}", flush=True)


SECTIONS = {
    "messages": measure_messages,
    "store": measure_store,
    "config": measure_config,
    "operator": measure_operator,
    "spread": measure_spread,
    "links": measure_links,
    "streams": measure_streams,
    "workspaces": measure_workspaces,
    "requests": measure_requests,
    "tokens": measure_tokens,
    "agent": measure_agent,
}


def main(names):
    """Prints the slopes of the named sections, or of all."""
    logbook.NullHandler().push_application()
    for name in names or SECTIONS:
        print(f"== {name}", flush=True)
        SECTIONS[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

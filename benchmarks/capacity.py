"""Measures marginal costs and extrapolates them to the design load.

    python -m benchmarks.capacity [SECTION ...]

Sections: links, streams, tokens, requests, workspaces, agent, store,
config, spread, operator, messages; all of them without arguments. Each
marginal cost is the slope of a line that is fitted to measurements at three
sizes or more. Programs are started anew for each measurement.
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
WATCHES_PER_ENTRY = 4


class DesignLoad(NamedTuple):
    """The deployment size and load to design for, and budgets of a node.

    Attributes:
        control_core_share: Share of one core that control work may use on a
            node.
        control_bytes_per_s: Traffic that control messages may use on a node.
        control_resident_bytes: Memory that control data may use on a node,
            beyond that of a bare Twisted process.
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
    control_core_share: float = 0.021
    control_bytes_per_s: float = 4_096.0
    control_resident_bytes: int = 32 * MIB


DESIGN_LOAD = DesignLoad()
ENTRY_REQUESTS_PER_S = DESIGN_LOAD.requests_per_s / DESIGN_LOAD.entries
ENTRY_TOKENS_PER_S = DESIGN_LOAD.tokens_per_s / DESIGN_LOAD.entries
REPLICA_TOKENS_PER_S = DESIGN_LOAD.tokens_per_s / DESIGN_LOAD.replicas
EDITS_PER_S = DESIGN_LOAD.edits_per_day / DAY_S


def report_idle_links():
    """Reports the costs of idle links at an entry, by load reports sent."""
    link_kinds = (
        ("heartbeats and full load reports", {}),
        ("heartbeats and short load reports", {"plans": 4, "prefixes": 0}),
        ("heartbeats alone", {"reports": False}),
    )
    for name, options in link_kinds:
        results = {
            count: entry_costs.measure_idle_links(count, **options)
            for count in (8, 24, 72)
        }
        cpu = _fit_and_print(
            f"entry, {name}", "cpu_s_per_s", results, "link", "us/s"
        )
        traffic = _fit_and_print(
            f"entry, {name}", "wire_bytes_per_s", results, "link"
        )
        _fit_and_print(
            f"entry, {name}", "resident_bytes", results, "link", "KiB"
        )
        links_by_cpu = DESIGN_LOAD.control_core_share * US_PER_S / cpu.slope
        links_by_traffic = DESIGN_LOAD.control_bytes_per_s / traffic.slope
        _print_estimate(
            f"{DESIGN_LOAD.control_core_share:.1%} of a core carries"
            f" {links_by_cpu:.0f} links,"
            f" {DESIGN_LOAD.control_bytes_per_s:.0f} bytes/s"
            f" {links_by_traffic:.1f}"
        )


def report_open_streams():
    """Reports the memory of open streams at an entry."""
    results = {
        count: entry_costs.measure_open_streams(count)
        for count in (100, 400, 1_200)
    }
    memory = _fit_and_print(
        "entry", "resident_bytes", results, "open stream", "KiB"
    )
    for tokens_per_s in (16, 30):
        stream_count = ENTRY_TOKENS_PER_S / tokens_per_s
        _print_estimate(
            f"{stream_count:.0f} streams of {tokens_per_s} tokens/s:"
            f" {memory.slope * stream_count / 1024:.0f} MiB"
        )


def report_tokens():
    """Reports the costs of tokens at an entry, by tokens sent at once."""
    for tokens_per_message in (1, 8, 64):
        results = {
            stream_count: entry_costs.measure_tokens(
                stream_count, tokens_per_message
            )
            for stream_count in (20, 60, 140)
        }
        results_by_token_rate = {
            result["tokens_per_s"]: result for result in results.values()
        }
        name = f"entry, {tokens_per_message} tokens a stream and message"
        cpu = _fit_and_print(
            name, "cpu_s_per_s", results_by_token_rate, "token/s", "us/s"
        )
        traffic = _fit_and_print(
            name, "wire_bytes_per_s", results_by_token_rate, "token/s"
        )
        _print_estimate(
            f"{ENTRY_TOKENS_PER_S:,.0f} tokens/s:"
            f" {cpu.slope * ENTRY_TOKENS_PER_S / US_PER_S:.2f} cores,"
            f" {traffic.slope * ENTRY_TOKENS_PER_S / MIB:.1f} MiB/s of links"
        )


def report_requests():
    """Reports the costs of requests, and of targets to choose from."""
    results = {
        rate_per_s: entry_costs.measure_requests(rate_per_s)
        for rate_per_s in (10, 30, 60)
    }
    cpu = _fit_and_print("entry", "cpu_s_per_s", results, "request/s", "us/s")
    _print_estimate(
        f"{ENTRY_REQUESTS_PER_S:.0f} requests/s:"
        f" {cpu.slope * ENTRY_REQUESTS_PER_S / US_PER_S:.2f} cores"
    )
    results = {
        count: entry_costs.measure_requests(20, count, count)
        for count in (4, 16, 48)
    }
    _fit_and_print(
        "entry at 20 requests/s", "cpu_s_per_s", results, "target", "us/s"
    )


def report_workspaces():
    """Reports the memory of workspaces in the configuration of an entry."""
    results = {
        count: entry_costs.measure_workspaces(count)
        for count in (71, 355, 710)
    }
    memory = _fit_and_print(
        "entry", "resident_bytes", results, "workspace", "KiB"
    )
    _print_estimate(
        f"{DESIGN_LOAD.workspaces} workspaces:"
        f" {memory.slope * DESIGN_LOAD.workspaces / 1024:.1f} MiB;"
        f" idle entry with all of them: {memory.points[-1][1] / 1024:.1f} MiB"
    )


def report_agent():
    """Reports the costs of linked entries, streams and tokens at an agent."""
    results = {
        count: agent_costs.measure_idle_links(count) for count in (4, 16, 48)
    }
    cpu = _fit_and_print(
        "agent", "head_cpu_s_per_s", results, "linked entry", "us/s"
    )
    traffic = _fit_and_print(
        "agent", "wire_bytes_per_s", results, "linked entry"
    )
    _fit_and_print(
        "agent", "head_resident_bytes", results, "linked entry", "KiB"
    )
    links_by_cpu = DESIGN_LOAD.control_core_share * US_PER_S / cpu.slope
    links_by_traffic = DESIGN_LOAD.control_bytes_per_s / traffic.slope
    _print_estimate(
        f"{DESIGN_LOAD.control_core_share:.1%} of a core carries"
        f" {links_by_cpu:.0f} links,"
        f" {DESIGN_LOAD.control_bytes_per_s:.0f} bytes/s"
        f" {links_by_traffic:.1f}"
    )
    for stage_count in (1, 2):
        _report_chain(stage_count)


def _report_chain(stage_count):
    """Reports the costs of streams and tokens at the ends of a chain."""
    results = {
        count: agent_costs.measure_streams(count, stage_count)
        for count in (16, 48, 112)
    }
    name = f"agent, chain of {stage_count}"
    _fit_and_print(
        name, "head_resident_bytes", results, "running stream", "KiB"
    )
    results_by_token_rate = {
        result["tokens_per_s"]: result for result in results.values()
    }
    for position in ("head", "tail"):
        cpu = _fit_and_print(
            f"{name}, {position}",
            f"{position}_cpu_s_per_s",
            results_by_token_rate,
            "token/s",
            "us/s",
        )
        _print_estimate(
            f"{REPLICA_TOKENS_PER_S:,.0f} tokens/s:"
            f" {cpu.cost_at(REPLICA_TOKENS_PER_S) / US_PER_S:.2f} cores"
        )


def report_store_calls():
    """Reports the object API calls of single actions, counted in memory."""
    print(f"booking: {store_call_counts.count_booking_calls()}")
    print(f"booking again: {store_call_counts.count_repeated_booking_calls()}")
    print(f"restart of an agent: {store_call_counts.count_restart_calls()}")
    for candidate_count in (1, 3, 21):
        reads_per_s, writes_per_s = store_call_counts.measure_lease_rates(
            candidate_count
        )
        print(
            f"lease with {candidate_count} candidates:"
            f" {reads_per_s:.2f} reads/s, {writes_per_s:.2f} writes/s"
        )
    watcher_counts = (5, 10, 20)
    idle_rates = {
        count: {"calls": store_call_counts.measure_idle_watch_rate(count)}
        for count in watcher_counts
    }
    fit = _fit_and_print(
        "idle watches", "calls", idle_rates, "watch", "calls/s"
    )
    total_watches = WATCHES_PER_ENTRY * DESIGN_LOAD.entries
    _print_estimate(
        f"{total_watches} watches of entries:"
        f" {fit.slope * total_watches:.0f} reads/s"
    )
    for name, count_calls in (
        ("registration", store_call_counts.count_registration_calls),
        ("edit", store_call_counts.count_edit_calls),
    ):
        reads = {
            count: {"calls": count_calls(count).reads}
            for count in watcher_counts
        }
        _fit_and_print(
            f"reads of one {name}", "calls", reads, "watcher", "calls"
        )


def report_config_edits():
    """Reports the costs of one edit, by workspaces in the configuration."""
    whole_costs, patch_costs = {}, {}
    for count in (177, 355, 710):
        whole_costs[count], patch_costs[count] = _measure_edit(count)
    for name, costs in (("whole", whole_costs), ("patch", patch_costs)):
        for field, unit in (
            ("body_bytes", "bytes"),
            ("make_us", "us"),
            ("apply_us", "us"),
        ):
            fit = _fit_and_print(
                f"edit as {name}, {field}", field, costs, "workspace", unit
            )
            cost_per_edit = fit.cost_at(DESIGN_LOAD.workspaces)
            _print_estimate(
                f"{DESIGN_LOAD.edits_per_day} edits a day:"
                f" {cost_per_edit * EDITS_PER_S:,.1f} {unit}/s"
            )
    document_bytes = _stored_bytes(DESIGN_LOAD.workspaces)
    _print_estimate(
        f"each watcher of the object API receives the whole JSON document of"
        f" {document_bytes} bytes: {document_bytes * EDITS_PER_S:,.0f} bytes/s"
    )


def _stored_bytes(workspace_count):
    """Returns the size of the configuration as stored in the object API."""
    document = config_bytes.config_document(workspace_count)
    return len(objects.encode_envelope(document, "writer", "nonce", 1))


def _measure_edit(workspace_count):
    """Returns the costs of one edit as a whole document and as a patch."""
    document = config_bytes.config_document(workspace_count)
    before = snapshot.build(1, document)
    edited = config_bytes.config_document(workspace_count)
    edited["plans"][0]["share"] = 0.001
    after = snapshot.build(2, edited)
    costs = []
    for base in (None, before):
        update = patch.build_update(base, after)
        costs.append(
            {
                "body_bytes": len(update["body"]),
                "make_us": _mean_cpu_us(
                    lambda base=base: patch.build_update(base, after)
                ),
                "apply_us": _mean_cpu_us(
                    lambda update=update: patch.apply_update(before, update).ok
                ),
            }
        )
    return costs


def report_operator_check():
    """Reports the costs of `hemlocktiller check`, by workspaces."""
    results = {
        count: operator_check.measure_check(count) for count in (71, 355, 710)
    }
    _fit_and_print("hemlocktiller check", "cpu_s", results, "workspace", "ms")
    _fit_and_print(
        "hemlocktiller check", "peak_bytes", results, "workspace", "KiB"
    )


def report_config_propagation():
    """Reports how an edit reaches the processes of one data centre."""
    for reader_count in (1, 3, config_propagation.ENTRY_COUNT):
        result = config_propagation.measure_propagation(reader_count)
        process_count = (
            config_propagation.ENTRY_COUNT + config_propagation.AGENT_COUNT
        )
        bytes_per_s = result.push_bytes / process_count * EDITS_PER_S
        print(
            f"{reader_count} readers, {result.link_count} links:"
            f" all processes reached after {result.duration_s:.2f} s,"
            f" {result.push_count} pushes of {result.push_bytes} bytes"
        )
        _print_estimate(
            f"{DESIGN_LOAD.edits_per_day} edits a day:"
            f" {bytes_per_s:.1f} bytes/s a process"
        )


def report_messages():
    """Reports size and processor time of single messages."""
    for plan_count, prefix_count in (
        (0, 0),
        (4, 0),
        (4, 64),
        (71, 0),
        (71, 64),
    ):
        message = sample_data.load_report(plan_count, prefix_count)
        print(
            f"load report of {plan_count} plans, {prefix_count} prefixes:"
            f" {len(codec.encode(message))} bytes,"
            f" {_codec_us(message):.0f} us to encode and decode"
        )
    message = sample_data.heartbeat()
    print(
        f"heartbeat: {len(codec.encode(message))} bytes,"
        f" {_codec_us(message):.0f} us to encode and decode"
    )
    for stream_count in (1, 8, 64):
        message = sample_data.token_message(0, stream_count, 1)
        print(
            f"tokens of {stream_count} streams:"
            f" {len(codec.encode(message)) / stream_count:.0f} bytes a token,"
            f" {_codec_us(message) / stream_count:.1f} us a token"
        )


def _codec_us(message):
    """Returns the processor time to encode and decode a message."""
    return _mean_cpu_us(lambda: codec.decode(codec.encode(message)))


def _mean_cpu_us(function):
    """Returns the mean processor time of a call after one warm-up call."""
    function()
    started_s = time.process_time()
    for _ in range(REPEATS):
        function()
    return (time.process_time() - started_s) / REPEATS * US_PER_S


def _fit_and_print(name, field, results, per, unit="bytes"):
    """Fits a line to one measured field by size, and prints it.

    Args:
        name: What was measured.
        field: Field of the results; seconds or bytes.
        results: Measured fields by size.
        per: Name of the unit in which the size is counted.
        unit: Unit to convert the field to.

    Returns:
        The fitted line.
    """
    factors = {"ms": 1_000, "us/s": US_PER_S, "KiB": 1 / 1024}
    factor = factors.get(unit, 1.0)
    if field.endswith("bytes_per_s"):
        unit = "bytes/s"
    points = [
        (size, result[field] * factor) for size, result in results.items()
    ]
    fit = linear_fit.fit_line(f"{name}: {field}", unit, per, points)
    linear_fit.print_fit(fit)
    return fit


def _print_estimate(text):
    print(f"  => {text}", flush=True)


SECTIONS = {
    "messages": report_messages,
    "store": report_store_calls,
    "config": report_config_edits,
    "operator": report_operator_check,
    "spread": report_config_propagation,
    "links": report_idle_links,
    "streams": report_open_streams,
    "workspaces": report_workspaces,
    "requests": report_requests,
    "tokens": report_tokens,
    "agent": report_agent,
}


def main(names):
    """Runs the named sections, or all if none are named."""
    logbook.NullHandler().push_application()
    for name in names or SECTIONS:
        print(f"== {name}", flush=True)
        SECTIONS[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

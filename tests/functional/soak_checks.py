"""Checks the history of a soak of the gateways against their guarantees."""

import math
from typing import NamedTuple

from tests.fakes import platform_target
from tests.functional import gateway_deployment

EVENT_COUNT = 30
CALLER_TIMEOUT_S = 4.0
# How long the platform allows new work at a target after it began to drain.
DRAIN_TIMEOUT_S = 2.0
# A response with one of these states that the request did not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# After this many crashes and two times `contact_ms`, sound requests of a route
# are served again, and after one time few crashing requests reach targets.
CRASH_LIMIT = 5
CONTACT_S = 3.0
MAX_LATE_ARRIVALS = 3
MIN_SAMPLE_COUNT = 20
# Targets at which the request of each route may begin.
ATTEMPTS = {
    route["name"]: route["attempts"]
    for route in gateway_deployment.configuration(1)["routes"]
}
# Of a limit that a target names: the window in which requests are counted, the
# share of it and the requests beyond it that are allowed, and the age of the
# answer that has told a gateway.
LIMIT_WINDOW_S = 4.0
ALLOWED_LIMIT_RATIO = 1.5
ALLOWED_EXTRA_REQUESTS = 5
TOLD_AFTER_S = 0.5
# Time in which bytes that a relay held back arrive after its fault ends.
RELAY_FLUSH_S = 1.0


class Exchange(NamedTuple):
    """One request and its response; the status is 0 if there was none."""

    kind: str
    request_id: str
    gateway: str
    at_s: float
    status: int
    body: bytes
    is_whole: bool
    end_s: float = 0.0
    crashing_part: int = 0


class ImpairedLink(NamedTuple):
    """Address of a target's relay and the time during which it had a fault."""

    address: str
    from_s: float
    until_s: float


class DisturbedGateway(NamedTuple):
    """Name of a gateway and the time during which it was out of touch."""

    name: str
    from_s: float
    until_s: float


def check_history(
    exchanges,
    journal,
    samples,
    impaired=(),
    ended=(),
    paused=(),
    disturbed_gateways=(),
) -> list[str]:
    """Returns the guarantees that the history of a run violates.

    This is a pure function.

    Args:
        exchanges: Requests with their responses.
        journal: What the targets recorded.
        samples: Configuration versions, as in `ConfigVersionSampler`.
        impaired: Links to targets that had a fault.
        ended: Links to targets that were killed or terminated.
        paused: Links to targets that were suspended for longer than a sound
            target may be silent.
        disturbed_gateways: Gateways that were killed, suspended or had their
            clock stepped.
    """
    problems = []
    ended = [*ended, *_crash_ends(journal)]
    runs: dict[str, list[dict]] = {}
    for row in journal:
        if row["what"] == "run":
            runs.setdefault(row["request"], []).append(row)
        elif row["what"] == "bad_path":
            problems.append(f"{row['request']}: a path without all layers")
    for exchange in exchanges:
        problems.extend(_check_exchange(exchange, runs))
        executions = runs.get(exchange.request_id, [])
        problems.extend(
            _check_attempts(exchange, executions, [*impaired, *ended])
        )
        if (
            executions
            and _is_lost(exchange)
            and not _has_lost_targets(
                exchange, executions, journal, [*impaired, *ended, *paused]
            )
            and not any(
                _overlaps(gateway, exchange.at_s, exchange.end_s)
                for gateway in disturbed_gateways
                if gateway.name == exchange.gateway
            )
        ):
            problems.append(
                f"{exchange.kind} {exchange.request_id} began and was lost,"
                f" with {exchange.status}"
                f" after {exchange.end_s - exchange.at_s:.2f} s"
            )
    problems.extend(_check_drains(journal, impaired))
    newest: dict[tuple[str, int], int] = {}
    for name, pid, version in samples:
        if version < newest.get((name, pid), 0):
            problems.append(f"{name} reverted to configuration {version}")
        newest[name, pid] = version
    return problems


def _check_exchange(exchange, runs):
    problems = []
    executions = runs.get(exchange.request_id, [])
    label = f"{exchange.kind} {exchange.request_id}"
    if exchange.kind == "booking" and len(executions) > 1:
        problems.append(f"{label} ran {len(executions)} times")
    if (
        exchange.kind == "booking"
        and executions
        and exchange.status in NOT_RUN_STATUSES
    ):
        problems.append(f"{label} was answered {exchange.status} and ran")
    if exchange.status != 200:
        return problems
    if exchange.kind != "draft":
        expected = b"done " + exchange.request_id.encode()
        if exchange.is_whole and exchange.body != expected:
            problems.append(f"{label} got an unexpected body")
        return problems
    expected = b"".join(
        platform_target.event_of(exchange.request_id, number)
        for number in range(1, EVENT_COUNT + 1)
    )
    if not expected.startswith(exchange.body):
        problems.append(f"{label}: events are missing, repeated or foreign")
    elif exchange.is_whole and exchange.body != expected:
        problems.append(f"{label} ended as complete, but is not")
    return problems


def _crash_ends(journal):
    return [
        ImpairedLink(row["address"], row["at_s"], math.inf)
        for row in journal
        if row["what"] == "part_crash"
    ]


def _check_attempts(exchange, executions, excused):
    """Returns a finding if a request ran at too many first targets.

    Targets that ended or whose link was impaired meanwhile don't count.
    """
    end_s = max([exchange.end_s, *(row["at_s"] for row in executions)])
    counted = {
        row["target"]
        for row in executions
        if not any(
            link.address == row["address"]
            and _overlaps(link, exchange.at_s, end_s)
            for link in excused
        )
    }
    if len(counted) <= ATTEMPTS[exchange.kind]:
        return []
    return [
        f"{exchange.kind} {exchange.request_id} ran at {len(counted)} targets,"
        f" {ATTEMPTS[exchange.kind]} allowed"
    ]


def _has_lost_targets(exchange, executions, journal, excused):
    """Returns whether a target that a request needed failed meanwhile.

    Targets of the path after the first break off their work when they begin
    to drain, and get none any more after `DRAIN_TIMEOUT_S`.
    """
    end_s = max([exchange.end_s, *(row["at_s"] for row in executions)])
    addresses = {address for row in executions for address in row["path"]}
    stages = {address for row in executions for address in row["path"][1:]}
    return any(
        link.address in addresses
        and _overlaps(
            link._replace(until_s=link.until_s + RELAY_FLUSH_S),
            exchange.at_s,
            end_s,
        )
        for link in excused
    ) or any(
        row["request"] == exchange.request_id
        if row["what"] == "break_off"
        else row["address"] in stages
        and exchange.at_s - DRAIN_TIMEOUT_S <= row["at_s"] <= end_s
        for row in journal
        if row["what"] in ("break_off", "draining")
    )


def _overlaps(disruption, from_s, until_s):
    return disruption.from_s <= until_s and disruption.until_s >= from_s


def _is_lost(exchange):
    """Returns whether a caller that waited got no answer for what ran."""
    has_answer = exchange.status == 200 and exchange.is_whole
    has_timed_out = exchange.end_s - exchange.at_s >= CALLER_TIMEOUT_S
    return (
        not has_answer
        and not has_timed_out
        and exchange.status not in NOT_RUN_STATUSES
    )


def check_crashes(exchanges, journal) -> list[str]:
    """Returns what prompt parts that crash targets did to other requests.

    This is a pure function, for runs without other faults.

    Args:
        exchanges: Requests with their responses.
        journal: What the targets recorded.
    """
    crash_times_s: dict[int, list[float]] = {}
    for row in journal:
        if row["what"] == "part_crash":
            crash_times_s.setdefault(row["number"], []).append(row["at_s"])
    problems = []
    for part, times_s in crash_times_s.items():
        times_s.sort()
        limit_s = times_s[:CRASH_LIMIT][-1]
        late_count = sum(
            row["what"] == "part_arrival"
            and row["number"] == part
            and row["at_s"] > limit_s + CONTACT_S
            for row in journal
        )
        if len(times_s) >= CRASH_LIMIT and late_count > MAX_LATE_ARRIVALS:
            problems.append(
                f"part {part:x} reached targets {late_count} times more;"
                f" {len(times_s)} crashed"
            )
        end_s = max(
            exchange.at_s
            for exchange in exchanges
            if exchange.crashing_part == part
        )
        sound = [
            exchange
            for exchange in exchanges
            if exchange.kind == "draft" and not exchange.crashing_part
        ]
        before = [one for one in sound if one.end_s < times_s[0]]
        after = [
            one for one in sound if limit_s + 2 * CONTACT_S < one.at_s < end_s
        ]
        if (
            min(len(before), len(after)) >= MIN_SAMPLE_COUNT
            and _served_ratio(after) < _served_ratio(before) / 2
        ):
            problems.append(
                f"sound drafts beside part {part:x} were served"
                f" {_served_ratio(after):.2f} of the time,"
                f" before {_served_ratio(before):.2f}"
            )
    return problems


def _served_ratio(exchanges):
    served = [one for one in exchanges if one.status == 200 and one.is_whole]
    return len(served) / len(exchanges)


def _check_drains(journal, impaired):
    """Returns work that reached a target after it should have drained.

    Work that an impaired link may have delayed is excused, as it is by the
    rules of the platform.
    """
    drained_s = {
        row["target"]: row["at_s"]
        for row in journal
        if row["what"] == "draining"
    }
    return [
        f"{row['request']} reached {row['target']} after it drained"
        for row in journal
        if row["what"] == "run"
        and row["at_s"] > drained_s.get(row["target"], 1e12) + DRAIN_TIMEOUT_S
        and not any(_was_delayed_by(row, link) for link in impaired)
    ]


def _was_delayed_by(row, link):
    until_s = link.until_s + RELAY_FLUSH_S
    return (
        row["address"] == link.address and link.from_s < row["at_s"] < until_s
    )


def check_limits(exchanges, journal, excused_gateways) -> list[str]:
    """Returns the targets that got more requests than the limit they named.

    This is a pure function.

    Args:
        exchanges: Requests with their responses.
        journal: What the targets recorded.
        excused_gateways: Names of gateways that were restarted or suspended.
    """
    gateways = {one.request_id: one.gateway for one in exchanges}
    limits: dict[str, tuple[float, float]] = {}
    told_s: dict[tuple[str, str], float] = {}
    counted_s: dict[tuple[str, float], list[float]] = {}
    for row in sorted(journal, key=lambda row: row["at_s"]):
        target = row["target"]
        if row["what"] == "limit" and row["per_s"] is None:
            limits.pop(target, None)
        elif row["what"] == "limit":
            limits[target] = row["at_s"], row["per_s"]
        elif row["what"] == "limited_arrival" and target in limits:
            gateway = gateways.get(row["request"])
            at_s = row["at_s"]
            named_s, per_s = limits[target]
            since_s = told_s.setdefault((target, gateway), at_s)
            if (
                gateway not in excused_gateways
                and at_s >= since_s + TOLD_AFTER_S
                and at_s >= named_s + CONTACT_S
            ):
                counted_s.setdefault((target, per_s), []).append(at_s)
    problems = []
    for (target, per_s), times_s in counted_s.items():
        most = max(
            sum(first <= one < first + LIMIT_WINDOW_S for one in times_s)
            for first in times_s
        )
        allowed = (
            ALLOWED_LIMIT_RATIO * per_s * LIMIT_WINDOW_S
            + ALLOWED_EXTRA_REQUESTS
        )
        if most > allowed:
            problems.append(
                f"{target} named a limit of {per_s} a second and got {most}"
                f" requests in {LIMIT_WINDOW_S:.0f} s, {allowed:.0f} allowed"
            )
    return problems

"""Counts the object API calls that an action makes.

The real clients call a fake object API in memory and in virtual time, so the
counts are the same in each run.
"""

from typing import NamedTuple

from twisted.internet import defer

from hemlocktiller._internal import process as process_module
from hemlocktiller._internal.agent import claims as claims_module
from hemlocktiller._internal.config import snapshot
from hemlocktiller._internal.control import lease as lease_module
from hemlocktiller._internal.entry import controller
from hemlocktiller._internal.store import watch
from tests.fakes import memory

READ_METHOD = "GET"
WRITE_METHODS = ("PUT", "DELETE")
IDLE_S = 100.0
SETTLE_S = 30.0
REGISTRATION = {"target": "t0", "host": "127.0.0.1", "port": 1}


class CallCounts(NamedTuple):
    """Numbers of calls that reached the object API."""

    reads: int
    writes: int


class _Process(NamedTuple):
    """The attributes of a process that its registration uses."""

    reactor: object
    store: object
    settings: dict


def count_booking_calls() -> CallCounts:
    """Counts the calls of a new booking."""
    platform = memory.MemoryPlatform()
    _make_booking(platform)
    return _total_counts(platform)


def count_repeated_booking_calls() -> CallCounts:
    """Counts the calls of a booking that was made before."""
    platform = memory.MemoryPlatform()
    _make_booking(platform)
    before = _total_counts(platform)
    _make_booking(platform)
    return _counts_since(platform, before)


def _make_booking(platform):
    """Claims the booking and, if its claim is new, records an answer."""
    claims = claims_module.Claims(platform.store(), "agent")
    claimed = platform.result(claims.acquire("name", "digest", "r", 1, IDLE_S))
    if isinstance(claimed, claims_module.Acquired):
        answer = claims_module.encode_outcome(200, "application/json", b"{}")
        platform.result(claims.record_answer(claimed.claim, answer))


def measure_lease_rates(candidate_count: int) -> tuple[float, float]:
    """Returns reads and writes per second of one lease.

    Args:
        candidate_count: Processes that try to hold the lease.
    """
    platform = memory.MemoryPlatform()
    for number in range(candidate_count):
        lease_module.Lease(
            platform.store(f"entry-{number}"),
            "lease",
            controller.LEASE_SETTINGS,
            platform.clock,
            monotonic_s=platform.clock.seconds,
        ).start()
    platform.run(SETTLE_S)
    before = _total_counts(platform)
    platform.run(IDLE_S)
    counts = _counts_since(platform, before)
    return counts.reads / IDLE_S, counts.writes / IDLE_S


def count_restart_calls() -> CallCounts:
    """Counts the registration calls of a planned restart of one agent."""
    platform = memory.MemoryPlatform()
    process = _Process(
        platform.clock, platform.store(), {"store": memory.STORE_SETTINGS}
    )
    platform.result(
        process_module.register(process, "target", "t0", REGISTRATION)
    )
    before = _total_counts(platform)
    unregistration = process_module.unregister(
        process, "target", "t0", REGISTRATION
    )
    platform.result(defer.Deferred.fromCoroutine(unregistration))
    platform.result(
        process_module.register(process, "target", "t0", REGISTRATION)
    )
    return _counts_since(platform, before)


def measure_idle_watch_rate(watcher_count: int) -> float:
    """Returns the reads per second of all watches while nothing changes."""
    platform = memory.MemoryPlatform()
    _watch_targets(platform, watcher_count)
    before = _total_counts(platform)
    platform.run(IDLE_S)
    return _counts_since(platform, before).reads / IDLE_S


def count_registration_calls(watcher_count: int) -> CallCounts:
    """Counts the calls that one registration causes.

    These are its own calls and those that the watches make after it has ended
    their long polls. Earlier calls of the watches are not counted.

    Args:
        watcher_count: Processes that watch the registrations.
    """
    platform = memory.MemoryPlatform()
    _watch_targets(platform, watcher_count)
    before = _total_counts(platform)
    process = _Process(
        platform.clock, platform.store(), {"store": memory.STORE_SETTINGS}
    )
    platform.result(
        process_module.register(process, "target", "t1", REGISTRATION)
    )
    platform.run(1.0)
    return _counts_since(platform, before)


def count_edit_calls(watcher_count: int) -> CallCounts:
    """Counts the calls that one configuration edit causes.

    Args:
        watcher_count: Processes that watch the configuration.
    """
    platform = memory.MemoryPlatform()
    for _ in range(watcher_count):
        watch.watch_object(
            platform.store(), "config", "main", lambda stored: None
        )
    platform.run(1.0)
    before = _total_counts(platform)
    store = platform.store()
    document = dict(snapshot.EMPTY.document)
    platform.result(store.update("config", "main", document, 0))
    platform.run(1.0)
    return _counts_since(platform, before)


def _watch_targets(platform, watcher_count):
    for _ in range(watcher_count):
        watch.watch_kind(platform.store(), "target", lambda *_: None)
    platform.run(1.0)


def _total_counts(platform) -> CallCounts:
    calls = platform.state.calls
    return CallCounts(
        sum(calls[READ_METHOD].values()),
        sum(sum(calls[method].values()) for method in WRITE_METHODS),
    )


def _counts_since(platform, before: CallCounts) -> CallCounts:
    now = _total_counts(platform)
    return CallCounts(now.reads - before.reads, now.writes - before.writes)

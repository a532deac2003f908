"""Counts the calls of the object API that one action makes.

The real clients run against the stand-in in memory and in virtual time, so
the counts are the same in each run.
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

READ = "GET"
WRITES = ("PUT", "DELETE")
IDLE_S = 100.0
SETTLE_S = 30.0
TARGET = {"target": "t0", "host": "127.0.0.1", "port": 1}


class Calls(NamedTuple):
    """Calls that reached the object API."""

    reads: int
    writes: int


class _Process(NamedTuple):
    """The parts of a process that registration uses."""

    reactor: object
    store: object
    settings: dict


def booking() -> Calls:
    """Returns the calls of one booking that is made."""
    platform = memory.MemoryPlatform()
    _book(platform)
    return _total(platform)


def repeated_booking() -> Calls:
    """Returns the calls of a booking that was made before."""
    platform = memory.MemoryPlatform()
    _book(platform)
    before = _total(platform)
    _book(platform)
    return _since(platform, before)


def _book(platform):
    claims = claims_module.Claims(platform.store(), "agent")
    begun = platform.result(claims.acquire("name", "digest", "r", 1, IDLE_S))
    if isinstance(begun, claims_module.Acquired):
        answer = claims_module.encode_outcome(200, "application/json", b"{}")
        platform.result(claims.record_answer(begun.claim, answer))


def held_lease(bidders: int) -> tuple[float, float]:
    """Returns reads and writes a second of one lease with its bidders."""
    platform = memory.MemoryPlatform()
    for number in range(bidders):
        lease_module.Lease(
            platform.store(f"entry-{number}"),
            "lease",
            controller.LEASE_SETTINGS,
            platform.clock,
            monotonic_s=platform.clock.seconds,
        ).start()
    platform.run(SETTLE_S)
    before = _total(platform)
    platform.run(IDLE_S)
    calls = _since(platform, before)
    return calls.reads / IDLE_S, calls.writes / IDLE_S


def restart() -> Calls:
    """Returns the calls of a planned stop and start of one agent."""
    platform = memory.MemoryPlatform()
    process = _Process(
        platform.clock, platform.store(), {"store": memory.STORE_SETTINGS}
    )
    platform.result(process_module.register(process, "target", "t0", TARGET))
    before = _total(platform)
    gone = process_module.unregister(process, "target", "t0", TARGET)
    platform.result(defer.Deferred.fromCoroutine(gone))
    platform.result(process_module.register(process, "target", "t0", TARGET))
    return _since(platform, before)


def idle_watches(watchers: int) -> float:
    """Returns the calls a second of watches that see no change."""
    platform = memory.MemoryPlatform()
    _follow_targets(platform, watchers)
    before = _total(platform)
    platform.run(IDLE_S)
    return _since(platform, before).reads / IDLE_S


def change_seen_by(watchers: int) -> Calls:
    """Returns the calls of one registration that so many processes watch.

    Only what the change adds is counted: its own calls and the watches
    that it ends.
    """
    platform = memory.MemoryPlatform()
    _follow_targets(platform, watchers)
    before = _total(platform)
    process = _Process(
        platform.clock, platform.store(), {"store": memory.STORE_SETTINGS}
    )
    platform.result(process_module.register(process, "target", "t1", TARGET))
    platform.run(1.0)
    return _since(platform, before)


def edit_seen_by(watchers: int) -> Calls:
    """Returns the calls of one edit that so many processes watch."""
    platform = memory.MemoryPlatform()
    for _ in range(watchers):
        watch.watch_object(
            platform.store(), "config", "main", lambda stored: None
        )
    platform.run(1.0)
    before = _total(platform)
    store = platform.store()
    document = dict(snapshot.EMPTY.document)
    platform.result(store.update("config", "main", document, 0))
    platform.run(1.0)
    return _since(platform, before)


def _follow_targets(platform, watchers):
    for _ in range(watchers):
        watch.watch_kind(platform.store(), "target", lambda *_: None)
    platform.run(1.0)


def _total(platform) -> Calls:
    calls = platform.state.calls
    return Calls(
        sum(calls[READ].values()),
        sum(sum(calls[method].values()) for method in WRITES),
    )


def _since(platform, before: Calls) -> Calls:
    now = _total(platform)
    return Calls(now.reads - before.reads, now.writes - before.writes)

"""What all long-running programs do alike: identity, links, admin, stop."""

from collections.abc import Callable
import random
import secrets
import signal
from typing import Any
from typing import NamedTuple

import logbook
import prometheus_client
from twisted.internet import defer
from twisted.python import failure

from hemlocktiller._internal.config import check
from hemlocktiller._internal.links import config_feed
from hemlocktiller._internal.links import link as link_module
from hemlocktiller._internal.links import suspects_feed
from hemlocktiller._internal.observe import explain
from hemlocktiller._internal.observe import traces
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import registration
from hemlocktiller._internal.store import watch

PROCESS_ID_BYTES = 8
CONFIG_KIND = "config"
CONFIG_NAME = "main"
POLL_S = 0.05
SUSPECT_SETTINGS = {"suspect_ttl_s": 600.0}

REJECTED = prometheus_client.Counter(
    "hemlocktiller_config_with_findings",
    "Stored configurations that were not put in force",
)
READS_FAILED = prometheus_client.Counter(
    "hemlocktiller_config_reads_failed",
    "Reads of the configuration that the object API did not answer",
)

log = logbook.Logger(__name__)


class Process(NamedTuple):
    """The parts that every long-running program has."""

    reactor: Any
    settings: Any
    local: link_module.Local
    feed: config_feed.ConfigFeed
    suspects: suspects_feed.SuspectsFeed
    store: client.ObjectStore
    journal: explain.Journal
    tracer: traces.Tracer
    rng: random.Random


def create(reactor: Any, settings: Any, role: str) -> Process:
    """Builds the common parts of a program from its settings."""
    process_id = secrets.token_hex(PROCESS_ID_BYTES)
    rng = random.Random(process_id)
    feed = config_feed.ConfigFeed(reactor, rng)
    local = link_module.Local(
        process_id,
        role,
        settings["name"],
        settings["data_centre"],
        feed.version,
    )
    return Process(
        reactor,
        settings,
        local,
        feed,
        suspects_feed.SuspectsFeed(
            reactor, settings.get("retries", SUSPECT_SETTINGS)
        ),
        client.ObjectStore(settings["store"], process_id, reactor),
        explain.Journal(),
        traces.create(settings["name"], settings["trace_sample_ratio"]),
        rng,
    )


def follow_config(process: Process) -> watch.Watch:
    """Puts each configuration of the object API in force."""
    return watch.follow(
        process.store,
        CONFIG_KIND,
        CONFIG_NAME,
        lambda stored: _take_config(process, stored),
    )


def read_config(process: Process) -> None:
    """Reads the configuration once and puts it in force."""
    read = process.store.read(CONFIG_KIND, CONFIG_NAME)
    read.addCallback(lambda stored: _take_config(process, stored))
    read.addErrback(lambda reason: READS_FAILED.inc())


def log_end(reason: failure.Failure) -> None:
    """Logs that a repeated call has ended with an error."""
    log.error("a loop has ended: {}", reason.getTraceback())


def _take_config(process: Process, stored: client.StoredObject | None) -> None:
    if stored is None:
        return
    accepted = check.accept(stored.version, stored.value)
    if accepted.is_error():
        REJECTED.inc()
        log.error("configuration {}: {}", stored.version, accepted.error)
        return
    process.feed.offer(accepted.ok)


def on_sigterm(reactor: Any, drain: Callable[[str], None]) -> None:
    """Starts a graceful shutdown on SIGTERM and on Ctrl-C."""

    def handle(number: int, frame: Any) -> None:
        name = signal.Signals(number).name
        reactor.callFromThread(drain, name)

    def install() -> None:
        signal.signal(signal.SIGTERM, handle)
        signal.signal(signal.SIGINT, handle)

    reactor.callWhenRunning(install)


@defer.inlineCallbacks
def wait_until(
    reactor: Any, is_done: Callable[[], bool], timeout_s: float
) -> defer.Deferred[bool]:
    """Waits until something is done; tells whether it was in time."""
    deadline_s = reactor.seconds() + timeout_s
    while not is_done():
        if reactor.seconds() >= deadline_s:
            return False
        waiting = defer.Deferred()
        reactor.callLater(POLL_S, waiting.callback, None)
        yield waiting
    return True


def register(
    process: Process, kind: str, name: str, value: dict[str, Any]
) -> defer.Deferred[None]:
    """Writes the object by which others find this process."""
    return defer.Deferred.fromCoroutine(
        registration.write(process.store, kind, name, value)
    )


async def unregister(
    process: Process, kind: str, name: str, value: dict[str, Any]
) -> None:
    """Deletes the object of this process, once, if it is still its own."""
    try:
        current = await process.store.read(kind, name)
        if current is not None and current.value == value:
            await process.store.delete(kind, name, current.version)
    except Exception as error:
        log.info("still registered: {}", error)

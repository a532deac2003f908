"""Common parts of the long-running programs.

Identity, configuration, registration and shutdown.
"""

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
from hemlocktiller._internal.links import part_evidence_feed
from hemlocktiller._internal.links import suspects_feed
from hemlocktiller._internal.observe import request_log as request_log_module
from hemlocktiller._internal.observe import traces
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import registration
from hemlocktiller._internal.store import watch

PROCESS_ID_BYTES = 8
CONFIG_KIND = "config"
CONFIG_NAME = "main"
POLL_INTERVAL_S = 0.05
DEFAULT_SUSPECT_SETTINGS = {"suspect_ttl_s": 600.0}

CONFIGS_REJECTED = prometheus_client.Counter(
    "hemlocktiller_config_with_findings",
    "Stored configurations that were not put in force",
)
CONFIG_READS_FAILED = prometheus_client.Counter(
    "hemlocktiller_config_reads_failed",
    "Reads of the configuration that the object API did not answer",
)

log = logbook.Logger(__name__)


class Process(NamedTuple):
    """Objects that the modules of a long-running program share.

    Attributes:
        reactor: Reactor that the process runs on.
        settings: Settings of the program, with defaults filled in.
        local_identity: This process as introduced to its peers on links.
        feed: Configuration in force, passed on to peers.
        suspects: Evidence on requests that crash targets, shared with peers.
        part_evidence: Evidence on prompt parts that crash targets, shared
            with peers.
        store: Client of the object API.
        request_log: Log of recent requests, for the `/explain` admin page.
        tracer: Source of spans.
        rng: Random numbers, seeded with the process id.
    """

    reactor: Any
    settings: Any
    local_identity: link_module.LocalProcess
    feed: config_feed.ConfigFeed
    suspects: suspects_feed.SuspectsFeed
    part_evidence: part_evidence_feed.PartEvidenceFeed
    store: client.ObjectStore
    request_log: request_log_module.RequestLog
    tracer: traces.Tracer
    rng: random.Random


def create(reactor: Any, settings: Any, role: str) -> Process:
    """Creates the shared objects of a program from its settings."""
    process_id = secrets.token_hex(PROCESS_ID_BYTES)
    rng = random.Random(process_id)
    feed = config_feed.ConfigFeed(reactor, rng)
    local_identity = link_module.LocalProcess(
        process_id,
        role,
        settings["name"],
        settings["data_centre"],
        feed.version,
    )
    suspect_settings = settings.get("retries", DEFAULT_SUSPECT_SETTINGS)
    return Process(
        reactor,
        settings,
        local_identity,
        feed,
        suspects_feed.SuspectsFeed(
            reactor, suspect_settings, on_condemned=_log_condemned_request
        ),
        part_evidence_feed.PartEvidenceFeed(
            reactor, suspect_settings, on_condemned=_log_condemned_part
        ),
        client.ObjectStore(settings["store"], process_id, reactor),
        request_log_module.RequestLog(),
        traces.create(settings["name"], settings["trace_sample_ratio"]),
        rng,
    )


def _log_condemned_request(digest: int, targets: list[str]) -> None:
    log.warning(
        "request {:016x} condemned after the deaths of {}",
        digest,
        ", ".join(targets),
    )


def _log_condemned_part(part: int, death_count: int) -> None:
    log.warning(
        "prompt part {:016x} condemned after the deaths of {} targets",
        part,
        death_count,
    )


def watch_config(process: Process) -> watch.Watch:
    """Watches the configuration in the object API and applies changes."""
    return watch.watch_object(
        process.store,
        CONFIG_KIND,
        CONFIG_NAME,
        lambda stored: _apply_stored_config(process, stored),
    )


def read_config(process: Process) -> None:
    """Reads the configuration once and applies it."""
    read = process.store.read(CONFIG_KIND, CONFIG_NAME)
    read.addCallback(lambda stored: _apply_stored_config(process, stored))
    read.addErrback(lambda reason: CONFIG_READS_FAILED.inc())


def log_stopped_call(reason: failure.Failure) -> None:
    """Logs the error that stopped a periodic call."""
    log.error("periodic call stopped by an error: {}", reason.getTraceback())


def _apply_stored_config(
    process: Process, stored: client.StoredObject | None
) -> None:
    """Validates a stored configuration and applies it if it is valid."""
    if stored is None:
        return
    accepted = check.build_snapshot(stored.version, stored.value)
    if accepted.is_error():
        CONFIGS_REJECTED.inc()
        log.error(
            "configuration version {} rejected: {}",
            stored.version,
            accepted.error,
        )
        return
    process.feed.apply_if_newer(accepted.ok)


def install_signal_handlers(
    reactor: Any, drain: Callable[[str], None]
) -> None:
    """Starts a graceful shutdown on SIGTERM and SIGINT.

    Args:
        reactor: Reactor that the process runs on.
        drain: Starts the shutdown; receives the name of the signal.
    """

    def handle_signal(signal_number: int, frame: Any) -> None:
        signal_name = signal.Signals(signal_number).name
        reactor.callFromThread(drain, signal_name)

    def install_handlers() -> None:
        signal.signal(signal.SIGTERM, handle_signal)
        signal.signal(signal.SIGINT, handle_signal)

    reactor.callWhenRunning(install_handlers)


@defer.inlineCallbacks
def wait_until(
    reactor: Any, is_done: Callable[[], bool], timeout_s: float
) -> defer.Deferred[bool]:
    """Polls a condition; returns whether it held before the timeout."""
    deadline_s = reactor.seconds() + timeout_s
    while not is_done():
        if reactor.seconds() >= deadline_s:
            return False
        poll_delay = defer.Deferred()
        reactor.callLater(POLL_INTERVAL_S, poll_delay.callback, None)
        yield poll_delay
    return True


def register(
    process: Process, kind: str, name: str, value: dict[str, Any]
) -> defer.Deferred[None]:
    """Writes the registration by which others find this process."""
    return defer.Deferred.fromCoroutine(
        registration.register(process.store, kind, name, value)
    )


async def unregister(
    process: Process, kind: str, name: str, value: dict[str, Any]
) -> None:
    """Tries once to delete the registration of this process.

    A registration whose value differs is kept, as it is not this process's
    own.
    """
    try:
        current = await process.store.read(kind, name)
        if current is not None and current.value == value:
            await process.store.delete(kind, name, current.version)
    except Exception as error:
        log.info("registration not deleted: {}", error)

"""Keeps the newest configuration and distributes it over links.

The version in force never decreases. Each hello and heartbeat carries it.
A process sends its configuration to a peer with an older version after a
short random delay, so that only a few of the processes linked to it do so.
"""

from collections.abc import Callable
import random
from typing import Any

import logbook
import prometheus_client

from hemlocktiller._internal.config import patch
from hemlocktiller._internal.config import snapshot as snapshot_module
from hemlocktiller._internal.links import link as link_module

MAX_PUSH_DELAY_S = 0.3
PUSH_GRACE_S = 1.0  # Time for a peer to report the version pushed to it.

log = logbook.Logger(__name__)

VERSION = prometheus_client.Gauge(
    "hemlocktiller_config_version", "Version of the configuration in force"
)
PUSHES = prometheus_client.Counter(
    "hemlocktiller_config_pushes", "Configurations sent to peers"
)
PUSH_BYTES = prometheus_client.Counter(
    "hemlocktiller_config_push_bytes", "Bytes of configurations sent to peers"
)
IGNORED = prometheus_client.Counter(
    "hemlocktiller_config_ignored", "Configurations not newer than ours"
)
REJECTED = prometheus_client.Counter(
    "hemlocktiller_config_rejected",
    "Configurations of peers that could not be applied",
)


class ConfigFeed:
    """Tracks the configuration in force and the versions of the peers.

    Attributes:
        current: The configuration in force.
        change_callbacks: Called with each new configuration.
    """

    def __init__(self, reactor: Any, rng: random.Random) -> None:
        self.current = snapshot_module.EMPTY
        self.change_callbacks: list[
            Callable[[snapshot_module.Snapshot], None]
        ] = []
        self._reactor = reactor
        self._rng = rng
        self._make_update = patch.cached_update_builder(
            self.current, self.current
        )
        self._peer_versions: dict[link_module.Link, int] = {}
        self._pushed_at_s: dict[link_module.Link, float] = {}

    def version(self) -> int:
        """Returns the version in force."""
        return self.current.version

    def apply_if_newer(self, snapshot: snapshot_module.Snapshot) -> bool:
        """Applies a configuration if it is newer; returns whether it is."""
        if snapshot.version <= self.current.version:
            IGNORED.inc()
            return False
        self._make_update = patch.cached_update_builder(self.current, snapshot)
        self.current = snapshot
        VERSION.set(snapshot.version)
        log.info("configuration {} is in force", snapshot.version)
        for callback in self.change_callbacks:
            callback(snapshot)
        for link in list(self._peer_versions):
            self._schedule_push(link)
        return True

    def on_open(self, link: link_module.Link) -> None:
        """Starts to track a new peer; sends it a newer configuration."""
        self._peer_versions[link] = link.peer["config_version"]
        self.push(link)

    def on_down(self, link: link_module.Link) -> None:
        """Stops tracking the peer of a lost link."""
        self._peer_versions.pop(link, None)
        self._pushed_at_s.pop(link, None)

    def on_message(self, link: link_module.Link, message: Any) -> None:
        """Handles the version in a heartbeat, or a configuration."""
        if message["type"] == "heartbeat":
            self._record_peer_version(link, message["config_version"])
        elif message["type"] == "config":
            self._record_peer_version(link, message["version"])
            self._apply_message(message)

    def push(self, link: link_module.Link) -> None:
        """Sends the configuration at once to a peer with an older version."""
        peer_version = self._peer_versions.get(link)
        if (
            peer_version is None
            or peer_version >= self.current.version
            or not link.is_open
        ):
            return
        message = self._make_update(peer_version)
        link.send(message)
        PUSHES.inc()
        PUSH_BYTES.inc(len(message["body"]))
        self._peer_versions[link] = self.current.version
        self._pushed_at_s[link] = self._reactor.seconds()

    def _record_peer_version(
        self, link: link_module.Link, version: int
    ) -> None:
        """Records the version of a peer; schedules a push if it is older."""
        peer_version = self._peer_versions.get(link, 0)
        now_s = self._reactor.seconds()
        pushed_at_s = self._pushed_at_s.get(link, -PUSH_GRACE_S)
        if version < peer_version and now_s - pushed_at_s < PUSH_GRACE_S:
            return  # The pushed configuration may still be in transit.
        self._peer_versions[link] = version
        if version < self.current.version:
            self._schedule_push(link)

    def _schedule_push(self, link: link_module.Link) -> None:
        delay_s = self._rng.uniform(0, MAX_PUSH_DELAY_S)
        self._reactor.callLater(delay_s, self.push, link)

    def _apply_message(self, message: Any) -> None:
        if message["version"] <= self.current.version:
            IGNORED.inc()
            return
        applied = patch.apply_update(self.current, message)
        if applied.is_error():
            REJECTED.inc()
            log.warning("rejected a peer's configuration: {}", applied.error)
            return
        self.apply_if_newer(applied.ok)

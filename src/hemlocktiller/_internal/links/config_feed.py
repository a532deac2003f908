"""Keeps the newest configuration and passes it on over links.

The version in force never goes down. Each hello and heartbeat carries it;
a peer that is behind gets the newer configuration after a short random
wait, so that of many peers only a few send it.
"""

from collections.abc import Callable
import random
from typing import Any

import logbook
import prometheus_client

from hemlocktiller._internal.config import patch
from hemlocktiller._internal.config import snapshot as snapshot_module
from hemlocktiller._internal.links import link as link_module

MAX_PUSH_WAIT_S = 0.3
PUSH_GRACE_S = 1.0  # Time after which a peer must report what was pushed.

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
    """The configuration in force and the versions that peers have.

    Attributes:
        current: The configuration in force.
        on_change: Called with each new configuration.
    """

    def __init__(self, reactor: Any, rng: random.Random) -> None:
        self.current = snapshot_module.EMPTY
        self.on_change: list[Callable[[snapshot_module.Snapshot], None]] = []
        self._reactor = reactor
        self._rng = rng
        self._update_for = patch.maker(self.current, self.current)
        self._known: dict[link_module.Link, int] = {}
        self._pushed_s: dict[link_module.Link, float] = {}

    def version(self) -> int:
        """Returns the version in force."""
        return self.current.version

    def offer(self, snapshot: snapshot_module.Snapshot) -> bool:
        """Puts a configuration in force if it is newer."""
        if snapshot.version <= self.current.version:
            IGNORED.inc()
            return False
        self._update_for = patch.maker(self.current, snapshot)
        self.current = snapshot
        VERSION.set(snapshot.version)
        log.info("configuration {} is in force", snapshot.version)
        for callback in self.on_change:
            callback(snapshot)
        for link in list(self._known):
            self._push_later(link)
        return True

    def on_open(self, link: link_module.Link) -> None:
        """Compares versions with a new peer."""
        self._known[link] = link.peer["config_version"]
        self.push(link)

    def on_down(self, link: link_module.Link) -> None:
        """Forgets a lost link."""
        self._known.pop(link, None)
        self._pushed_s.pop(link, None)

    def on_message(self, link: link_module.Link, message: Any) -> None:
        """Takes a heartbeat's version, or a configuration."""
        if message["type"] == "heartbeat":
            self._saw(link, message["config_version"])
        elif message["type"] == "config":
            self._saw(link, message["version"])
            self._take(message)

    def push(self, link: link_module.Link) -> None:
        """Sends the configuration to a peer that is behind, now."""
        known = self._known.get(link)
        if known is None or known >= self.current.version or not link.up:
            return
        message = self._update_for(known)
        link.send(message)
        PUSHES.inc()
        PUSH_BYTES.inc(len(message["body"]))
        self._known[link] = self.current.version
        self._pushed_s[link] = self._reactor.seconds()

    def _saw(self, link: link_module.Link, version: int) -> None:
        known = self._known.get(link, 0)
        now_s = self._reactor.seconds()
        pushed_s = self._pushed_s.get(link, -PUSH_GRACE_S)
        if version < known and now_s - pushed_s < PUSH_GRACE_S:
            return  # What was pushed may still be on its way.
        self._known[link] = version
        if version < self.current.version:
            self._push_later(link)

    def _push_later(self, link: link_module.Link) -> None:
        wait_s = self._rng.uniform(0, MAX_PUSH_WAIT_S)
        self._reactor.callLater(wait_s, self.push, link)

    def _take(self, message: Any) -> None:
        if message["version"] <= self.current.version:
            IGNORED.inc()
            return
        applied = patch.apply(self.current, message)
        if applied.is_error():
            REJECTED.inc()
            log.warning("a peer's configuration: {}", applied.error)
            return
        self.offer(applied.ok)

"""Links between gateways: loads, health, and what the store said last.

Each gateway registers its address in the object API, and of two the one
with the lower name dials. What a gateway hears from a peer about the
store's objects counts only where it is newer than what it has.
"""

from collections.abc import Callable
import json
import random
from typing import Any
from typing import NamedTuple

import prometheus_client
from twisted.internet import defer

from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.links import codec
from hemlocktiller._internal.links import dialer
from hemlocktiller._internal.links import link as link_module
from hemlocktiller._internal.links import listener
from hemlocktiller._internal.links import suspects_feed
from hemlocktiller._internal.observe import events
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import occupancy as occupancy_module
from hemlocktiller._internal.policy import subsets
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import registration
from hemlocktiller._internal.store import watch

KIND = "gateways"
ROLE = "gateway"
# A started gateway is linked to within this; the read may be stale, which
# costs a tenth.
DISCOVERY_S = 2.0
# Gateways that ask the store often and tell the others: a fault that takes a
# third of them, the most of one kind, leaves some.
WATCHERS = 5
# The store tells all gateways of a new configuration within milliseconds;
# one that has not heard of it by then asks a peer.
ASK_AFTER_S = 0.2

CATALOGS_SENT = prometheus_client.Counter(
    "hemlocktiller_gateway_catalogs_sent", "Configurations sent to peers"
)
CATALOGS_TAKEN = prometheus_client.Counter(
    "hemlocktiller_gateway_catalogs_taken",
    "Configurations put in force that came from a peer",
)
LINKED = prometheus_client.Gauge(
    "hemlocktiller_gateway_peers", "Peers with an open link"
)


class StoredCatalog(NamedTuple):
    """A configuration as it is stored."""

    version: int
    value: Any


class Parts(NamedTuple):
    """What the links carry news of.

    Attributes:
        targets: The targets.
        occupancy: Loads of this process and of its peers.
        suspects: Evidence against requests that crash targets.
        stored_catalog: Returns the newest configuration, or None.
        offer_catalog: Takes a configuration of a peer; tells whether it
            was put in force.
        on_store_back: Called when the store answers after it did not.
        on_watcher: Called with whether this process is one of those that
            ask the store often, when that changes.
    """

    targets: targets_module.Targets
    occupancy: occupancy_module.Occupancy
    suspects: suspects_feed.SuspectsFeed
    stored_catalog: Callable[[], StoredCatalog | None]
    offer_catalog: Callable[[StoredCatalog], bool]
    on_store_back: Callable[[], None]
    on_watcher: Callable[[bool], None]


class Peers:
    """The links to other gateways."""

    def __init__(
        self,
        reactor: Any,
        settings: Any,
        store: client.ObjectStore,
        parts: Parts,
        rng: random.Random,
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._store = store
        self._parts = parts
        self._rng = rng
        self._local = link_module.Local(
            store.writer,
            ROLE,
            settings.name,
            settings.data_centre,
            self._config_version,
        )
        self._handlers = link_module.Handlers(
            self._on_open, self._on_message, self._on_down
        )
        self._links: set[link_module.Link] = set()
        self._asking = False
        self._registered: set[str] = {settings.name}
        self._dialers: dict[str, dialer.Dialer] = {}
        self._sent: dict[str, occupancy_module.Load] = {}
        self._rounds = 0
        self._discovery: watch.Watch | None = None
        self._teller: Any = None
        self._owners: dict[str, bool] = {}
        self._is_store_lost = False
        self._is_watcher = True

    def factory(self) -> listener.Listener:
        """Returns the factory of accepted links."""
        return listener.Listener(
            self._reactor, self._settings.links, self._local, self._handlers
        )

    def start(self) -> None:
        """Registers this process and links to the others."""
        address = self._settings.links_address
        registering = defer.Deferred.fromCoroutine(
            registration.write(
                self._store,
                KIND,
                self._settings.name,
                {"host": address.host, "port": address.port},
            )
        )
        registering.addErrback(_log_end)
        self._discovery = watch.Watch(self._store, KIND, self._discover)
        self._discovery.on_failure = self._store_lost
        self._tell_round()

    def stop(self) -> None:
        """Closes the links."""
        if self._discovery is not None:
            self._discovery.stop()
        if self._teller is not None and self._teller.active():
            self._teller.cancel()
        for one in self._dialers.values():
            one.stop()
        for link in list(self._links):
            link.close()

    def tell_health(
        self, target: fleet.Target, is_down: bool, reason: str
    ) -> None:
        """Tells peers what this process found of a target."""
        self._broadcast(
            {
                "type": "target_health",
                "target": target.name,
                "born_ms": target.born_ms,
                "is_down": is_down,
                "reason": reason[:500],
            }
        )

    def tell_pace(self, target: fleet.Target, pace: float) -> None:
        """Tells peers how slow a target is."""
        self._broadcast(
            {
                "type": "target_pace",
                "target": target.name,
                "born_ms": target.born_ms,
                "pace": pace,
            }
        )

    def sharers(self) -> int:
        """Returns how many gateways there are, by the newest listing."""
        return max(len(self._registered), len(self._links) + 1)

    def is_own(self, target: str) -> bool:
        """Tells whether this process polls a target for all linked ones."""
        if target not in self._owners:
            self._owners[target] = subsets.is_chosen(
                self._settings.name, self._linked(), target, 1
            )
        return self._owners[target]

    def tell_registration(self, name: str, version: int, value: Any) -> None:
        """Tells peers what the store reported.

        Of many gateways only those that ask the store often tell it: all
        hear the same from the store, and each would tell all others.
        """
        if not self._is_watcher:
            return
        text = json.dumps(value) if value is not None else ""
        self._broadcast(
            {
                "type": "registration",
                "target": name,
                "version": version,
                "value": text,
            }
        )

    async def _discover(self):
        """Reads the gateways, and so notices an outage of the store.

        A watch waits too long to tell of one by itself.
        """
        listing = await self._store.read_all(KIND, may_be_stale=True)
        if self._is_store_lost:
            self._is_store_lost = False
            events.emit("store_back")
            self._parts.on_store_back()
        self._found(listing)
        return DISCOVERY_S

    def _store_lost(self):
        if not self._is_store_lost:
            events.emit("store_lost")
        self._is_store_lost = True
        self._parts.targets.store_lost()

    def _found(self, listing):
        named = {
            stored.name: dialer.Address(
                stored.value["host"], stored.value["port"]
            )
            for stored in listing.objects
            if _is_registration(stored.value)
        }
        self._registered = {self._settings.name, *named}
        for name, address in named.items():
            known = self._dialers.get(name)
            if name <= self._settings.name:
                continue
            if known is not None and known.address != address:
                known.stop()
                known = None
            if known is None:
                self._dial(name, address)
        for name in set(self._dialers) - set(named):
            self._dialers.pop(name).stop()

    def _dial(self, name, address):
        self._dialers[name] = dialer.Dialer(
            self._reactor,
            self._settings.links,
            self._local,
            address,
            self._handlers,
            lambda: None,
            self._rng,
        )
        self._dialers[name].start()

    def _config_version(self):
        stored = self._parts.stored_catalog()
        return stored.version if stored else 0

    def _on_open(self, link):
        self._links.add(link)
        LINKED.set(len(self._links))
        events.emit("peer_linked", peer=link.peer["name"])
        self._choose_watchers()
        self._heard_version(link, link.peer["config_version"])
        link.send(self._occupancy(self._parts.occupancy.own(), True))
        self._parts.suspects.on_open(link)

    def _on_down(self, link, reason):
        self._links.discard(link)
        self._parts.suspects.on_down(link)
        LINKED.set(len(self._links))
        if link.peer:
            events.emit("peer_lost", peer=link.peer["name"], reason=reason)
        self._choose_watchers()

    def _linked(self):
        """Returns the names of the gateways that are linked."""
        return [link.peer["name"] for link in self._links if link.up]

    def _choose_watchers(self):
        """Decides whether this process asks the store often."""
        self._owners.clear()
        names = self._linked()
        is_watcher = subsets.is_chosen(
            self._settings.name, names, KIND, WATCHERS
        )
        if is_watcher == self._is_watcher:
            return
        self._is_watcher = is_watcher
        events.emit("watcher", is_watcher=is_watcher, peers=len(names))
        self._parts.on_watcher(is_watcher)

    def _on_message(self, link, message):
        kind = message["type"]
        if kind == "heartbeat":
            self._heard_version(link, message["config_version"])
        elif kind == "occupancy":
            self._heard_version(link, message["config_version"])
            self._take_occupancy(link, message)
        elif kind == "target_health":
            self._parts.targets.apply_peer_health(
                message["target"],
                message["born_ms"],
                message["is_down"],
                f"{link.peer['name']}: {message['reason']}",
            )
        elif kind == "target_pace":
            self._parts.targets.apply_peer_pace(
                message["target"], message["born_ms"], message["pace"]
            )
        elif kind == "registration":
            value = json.loads(message["value"]) if message["value"] else None
            self._parts.targets.apply_peer_registration(
                message["target"], message["version"], value
            )
        elif kind == "suspects":
            self._parts.suspects.on_message(link, message)
        elif kind == "catalog_wanted":
            self._send_catalog(link)
        elif kind == "catalog":
            self._take_catalog(link, message)

    def _take_occupancy(self, link, message):
        columns = (
            message["targets"],
            message["token_layers"],
            message["sequences"],
            message["prefill_tokens"],
        )
        if len({len(column) for column in columns}) > 1:
            events.emit("bad_occupancy", peer=link.peer["name"])
            return
        loads = {
            name: occupancy_module.Load(*load)
            for name, *load in zip(*columns, strict=True)
        }
        self._parts.occupancy.heard(
            link.peer["name"],
            loads,
            self._reactor.seconds(),
            message["whole"],
        )
        self._parts.occupancy.heard_crossing(
            link.peer["name"],
            message["crossing_mbps"],
            self._reactor.seconds(),
        )

    def _take_catalog(self, link, message):
        stored = StoredCatalog(
            message["version"], json.loads(message["value"])
        )
        if self._parts.offer_catalog(stored):
            CATALOGS_TAKEN.inc()
            events.emit(
                "config_from_peer",
                peer=link.peer["name"],
                version=stored.version,
            )

    def _heard_version(self, link, version):
        """Asks one peer for a newer configuration, if the store is slow."""
        if self._asking or version <= self._config_version():
            return
        self._asking = True
        wait_s = ASK_AFTER_S * self._rng.uniform(1.0, 2.0)
        self._reactor.callLater(wait_s, self._ask, link, version)

    def _ask(self, link, version):
        self._asking = False
        if link.up and version > self._config_version():
            link.send({"type": "catalog_wanted"})

    def _send_catalog(self, link):
        stored = self._parts.stored_catalog()
        if stored is None:
            return
        CATALOGS_SENT.inc()
        link.send(
            {
                "type": "catalog",
                "version": stored.version,
                "value": json.dumps(stored.value),
            }
        )

    def _tell_round(self):
        self._tell_occupancy()
        self._teller = self._reactor.callLater(
            self._parts.occupancy.report_interval_s(), self._tell_round
        )

    def _tell_occupancy(self):
        own = dict(self._parts.occupancy.own())
        self._rounds += 1
        is_whole = self._rounds % occupancy_module.WHOLE_EVERY == 0
        changed = {
            name: load
            for name, load in own.items()
            if is_whole or self._sent.get(name) != load
        }
        for name in set(self._sent) - set(own):
            changed[name] = occupancy_module.NO_LOAD
        self._sent = own
        if changed or is_whole:
            self._broadcast(self._occupancy(changed, is_whole))

    def _occupancy(self, loads, is_whole):
        sent = list(loads.values())
        return {
            "type": "occupancy",
            "targets": list(loads),
            "token_layers": [round(one.token_layers) for one in sent],
            "sequences": [one.sequences for one in sent],
            "prefill_tokens": [round(one.prefill_tokens) for one in sent],
            "whole": is_whole,
            "config_version": self._config_version(),
            "crossing_mbps": self._parts.occupancy.own_crossing_mbps(
                self._reactor.seconds()
            ),
        }

    def _broadcast(self, message):
        frame = codec.encode(message)
        for link in list(self._links):
            if link.up:
                link.send(message, frame)


def _is_registration(value):
    return (
        isinstance(value, dict)
        and isinstance(value.get("host"), str)
        and isinstance(value.get("port"), int)
    )


def _log_end(reason):
    events.emit("loop_ended", reason=reason.getTraceback())

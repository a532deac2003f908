"""Links between gateways, which exchange load, health and configuration.

Each gateway registers its address in the object API. Of two gateways, the
one with the lower name connects to the other. Registrations and
configurations received from a peer are applied only if they are newer than
those that this process has.
"""

import bisect
from collections.abc import Callable
from collections.abc import Sequence
import json
import random
from typing import Any
from typing import NamedTuple

import prometheus_client
from twisted.internet import defer

from hemlocktiller._internal.gateway import demand as demand_module
from hemlocktiller._internal.gateway import full_targets as full_targets_module
from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.links import codec
from hemlocktiller._internal.links import dialer
from hemlocktiller._internal.links import link as link_module
from hemlocktiller._internal.links import listener
from hemlocktiller._internal.links import part_evidence_feed
from hemlocktiller._internal.links import suspects_feed
from hemlocktiller._internal.observe import events
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import occupancy as occupancy_module
from hemlocktiller._internal.policy import plain_loads
from hemlocktiller._internal.policy import rendezvous
from hemlocktiller._internal.policy import store_backoff as policy
from hemlocktiller._internal.policy import target_limits
from hemlocktiller._internal.store import backoff
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import registration
from hemlocktiller._internal.store import versions
from hemlocktiller._internal.store import watch

GATEWAY_KIND = "gateways"
ROLE = "gateway"
# A new gateway is linked within this time. The listing may be stale; such a
# read costs a tenth of a consistent one.
DISCOVERY_INTERVAL_S = 2.0
# Number of watchers: gateways that poll the store with short timeouts and send
# changes to the others. The largest fault stops a third of the gateways, so
# that some watchers remain.
WATCHER_COUNT = 5
LAYOUT_MESSAGE_TYPE = "layout"
LIMIT_MESSAGE_TYPE = "target_limit"
# The store passes a new configuration to all gateways within milliseconds. A
# gateway that has not received it by then requests it from a peer.
CATALOG_REQUEST_DELAY_S = 0.2

CATALOGS_SENT = prometheus_client.Counter(
    "hemlocktiller_gateway_catalogs_sent", "Configurations sent to peers"
)
CATALOGS_APPLIED = prometheus_client.Counter(
    "hemlocktiller_gateway_catalogs_taken",
    "Configurations put in force that came from a peer",
)
LINKED_PEERS = prometheus_client.Gauge(
    "hemlocktiller_gateway_peers", "Peers with an open link"
)


class StoredCatalog(NamedTuple):
    """A configuration as it is stored.

    Attributes:
        version: Version of the configuration.
        value: The stored JSON value, not decoded.
    """

    version: int
    value: Any


class PeerHooks(NamedTuple):
    """State that the links exchange, and callbacks for their events.

    Attributes:
        targets: Registry of the targets.
        occupancy: Load of targets by this process and by its peers.
        suspects: Evidence against requests that crash targets.
        part_evidence: Evidence against prompt parts that crash targets.
        stored_catalog: Returns the newest configuration, or None.
        apply_catalog: Applies a configuration of a peer if it is newer;
            returns whether it did.
        on_store_recovered: Called when the store answers again after an
            outage.
        on_watcher_change: Called when this process becomes a watcher or is
            one no longer, with whether it is one.
        full_targets: Targets that are avoided as they had no room.
        demand: Demand by priority class, where classes compete.
        plain_loads: Load of plain targets by this process and its peers.
        on_layout: Called with a peer's name, the fencing number that it
            orders layouts with, and layers that it has seen targets report.
        on_layout_handed_over: Called with a peer's name and the number that
            this process may order with, as the peer stops.
    """

    targets: targets_module.Targets
    occupancy: occupancy_module.Occupancy
    suspects: suspects_feed.SuspectsFeed
    part_evidence: part_evidence_feed.PartEvidenceFeed
    stored_catalog: Callable[[], StoredCatalog | None]
    apply_catalog: Callable[[StoredCatalog], bool]
    on_store_recovered: Callable[[], None]
    on_watcher_change: Callable[[bool], None]
    full_targets: full_targets_module.FullTargets
    demand: demand_module.DemandBoard
    plain_loads: plain_loads.PlainLoads
    on_layout: Callable[
        [str, int, Sequence[targets_module.ReportedLayers]], None
    ] = lambda peer, number, layers: None
    on_layout_handed_over: Callable[[str, int], None] = lambda peer, number: (
        None
    )


class Peers:
    """Links to the other gateways."""

    def __init__(
        self,
        reactor: Any,
        settings: Any,
        store: client.ObjectStore,
        hooks: PeerHooks,
        rng: random.Random,
        store_backoff: backoff.StoreBackoff | None = None,
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._store = store
        self._hooks = hooks
        self._backoff = store_backoff or backoff.StoreBackoff(store.settings)
        self._backoff.count_gateways = self.count_gateways
        self._rng = rng
        self._local = link_module.LocalProcess(
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
        self._bad_plain_times: set[str] = set()
        self._is_catalog_request_scheduled = False
        self._registered_names: set[str] = {settings.name}
        self._dialers: dict[str, dialer.Dialer] = {}
        self._last_sent_demand: list[Any] | None = None
        self._last_sent_loads: dict[str, occupancy_module.Load] = {}
        self._report_count = 0
        self._discovery: watch.Watch | None = None
        self._report_timer: Any = None
        self._is_poller_by_target: dict[str, bool] = {}
        self._turn_order: target_limits.TurnOrder | None = None
        self._is_store_lost = False
        self._is_watcher = True
        self._keep_dialers_until_s = 0.0
        self._layout_number = 0
        self._stopping_names: set[str] = set()

    def listener_factory(self) -> listener.Listener:
        """Returns the protocol factory of accepted links."""
        return listener.Listener(
            self._reactor, self._settings.links, self._local, self._handlers
        )

    def start(self) -> None:
        """Registers this process, and starts to link to the other gateways."""
        self._register()
        self._store.on_new_era.append(self._on_store_restored)
        self._discovery = watch.Watch(
            self._store, GATEWAY_KIND, self._discover
        )
        self._discovery.on_failure = self._on_store_lost
        self._discovery.on_answer = lambda began_s: (
            self._hooks.targets.record_store_answer()
        )
        self._discovery.retry_wait = self._backoff.retry_wait(
            policy.Caller.PROBER
        )
        self._report_periodically()

    def _register(self):
        """Writes the address of this process, unless it is stored already."""
        address = self._settings.links_address
        writing = defer.Deferred.fromCoroutine(
            registration.register(
                self._store,
                GATEWAY_KIND,
                self._settings.name,
                {"host": address.host, "port": address.port},
                self._backoff.retry_wait(policy.Caller.PROBER),
            )
        )
        writing.addErrback(_log_failure)

    def _on_store_restored(self, era):
        """Registers again, and gives the other gateways time to do so."""
        events.emit("store_restored", era=era)
        self._hooks.targets.record_store_restore()
        self._keep_dialers_until_s = (
            self._reactor.seconds()
            + targets_module.EXPIRED_REGISTRATION_GRACE_S
        )
        self._reactor.callLater(0, self._hooks.on_store_recovered)
        self._reactor.callLater(0, self._register)

    def stop(self) -> None:
        """Stops discovery and reports, and closes the links."""
        if self._discovery is not None:
            self._discovery.stop()
        if self._report_timer is not None and self._report_timer.active():
            self._report_timer.cancel()
        for peer_dialer in self._dialers.values():
            peer_dialer.stop()
        for link in list(self._links):
            link.close()

    def broadcast_health(
        self, target: fleet.Target, is_down: bool, reason: str
    ) -> None:
        """Sends peers a target's health as found by this process."""
        self._broadcast(
            {
                "type": "target_health",
                "target": target.name,
                "born_ms": target.born_ms,
                "is_down": is_down,
                "reason": reason[:500],
            }
        )

    def broadcast_pace(self, target: fleet.Target, pace: float) -> None:
        """Sends peers the pace that a target reported."""
        self._broadcast(
            {
                "type": "target_pace",
                "target": target.name,
                "born_ms": target.born_ms,
                "pace": pace,
            }
        )

    def broadcast_full_target(self, target: fleet.Target) -> None:
        """Tells peers of a target that had no room for a request."""
        self._broadcast(
            {
                "type": "full_target",
                "target": target.name,
                "born_ms": target.born_ms,
            }
        )

    def broadcast_limit(
        self, announcement: target_limits.Announcement
    ) -> None:
        """Tells peers of the limit of a target, or that it has ended."""
        message = _limit_message(announcement)
        frame = codec.encode(message)
        for link in list(self._links):
            if link.is_open and link.peer_accepts(LIMIT_MESSAGE_TYPE):
                link.send(message, frame)

    def turn_order(self) -> target_limits.TurnOrder:
        """Returns the place of this process at targets with limits.

        Gateways that can't be told of a limit take no turns.
        """
        if self._turn_order is None:
            names = sorted(
                link.peer["name"]
                for link in self._links
                if link.is_open and link.peer_accepts(LIMIT_MESSAGE_TYPE)
            )
            self._turn_order = target_limits.TurnOrder(
                bisect.bisect(names, self._settings.name), len(names) + 1
            )
        return self._turn_order

    def count_gateways(self) -> int:
        """Returns the number of gateways registered, or linked if higher."""
        return max(len(self._registered_names), len(self._links) + 1)

    def is_poller(self, target: str) -> bool:
        """Returns whether this process polls a target for all linked ones."""
        if target not in self._is_poller_by_target:
            self._is_poller_by_target[target] = rendezvous.is_chosen(
                self._settings.name, self._linked_names(), target, 1
            )
        return self._is_poller_by_target[target]

    def trial_turn(self, digest: int) -> int:
        """Returns the place of this process in the turns of a trial."""
        return rendezvous.rank(
            self._settings.name, self._linked_names(), f"trial/{digest:x}"
        )

    def announce_config(self) -> None:
        """Tells peers the version of a configuration that was applied.

        Only watchers do, as they are the first to have it. A peer that the
        store does not tell in time requests it.
        """
        if self._is_watcher:
            self._broadcast(self._occupancy_message({}, False))

    def broadcast_registration(
        self, name: str, version: int, value: Any
    ) -> None:
        """Sends peers a change of a registration that the store reported.

        Only watchers send it: each gateway receives the same change from
        the store and would otherwise send it to all others.
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

    def broadcast_layout(
        self, number: int, layers: Sequence[targets_module.ReportedLayers]
    ) -> None:
        """Sends peers the number of this process's layout orders.

        Args:
            number: Fencing number in use.
            layers: Layers that targets have reported.
        """
        self._layout_number = number
        message = _layout_message(number, layers)
        for link in list(self._links):
            if link.is_open and link.peer_accepts(LAYOUT_MESSAGE_TYPE):
                link.send(message)

    def announce_stop(self, number: int) -> None:
        """Tells peers that this process stops, and which one succeeds it.

        Args:
            number: Fencing number of its layout orders; 0 without one.
        """
        self._layout_number = 0
        names = sorted(set(self._linked_names()) - self._stopping_names)
        message = {
            **_layout_message(number, ()),
            "successor": names[0] if names and number else "",
        }
        for link in list(self._links):
            if link.is_open and link.peer_accepts(LAYOUT_MESSAGE_TYPE):
                link.send(message)

    def _apply_layout(self, link, message):
        """Applies a peer's announcement on layouts, or of its stop."""
        name = link.peer["name"]
        successor = message.get("successor")
        if successor is None:
            self._hooks.on_layout(
                name,
                message["fencing_number"],
                [
                    targets_module.ReportedLayers(**row)
                    for row in message["layers"]
                ],
            )
            return
        self._stopping_names.add(name)
        if successor == self._settings.name:
            self._hooks.on_layout_handed_over(name, message["fencing_number"])

    async def _discover(self):
        """Lists the gateways, which also detects an outage of the store.

        Watches alone would detect it late, since their calls are long polls.
        """
        listing = await self._store.read_all(GATEWAY_KIND, may_be_stale=True)
        if self._is_store_lost:
            self._is_store_lost = False
            self._backoff.is_store_lost = False
            self._hooks.targets.record_store_return()
            events.emit("store_back")
            self._hooks.on_store_recovered()
        self._update_dialers(listing)
        return DISCOVERY_INTERVAL_S

    def _on_store_lost(self):
        if not self._is_store_lost:
            events.emit("store_lost")
        self._is_store_lost = True
        self._backoff.is_store_lost = True
        self._hooks.targets.record_store_outage(self._discovery.failed_after_s)

    def _update_dialers(self, listing):
        """Starts and stops dialers according to a listing of gateways."""
        addresses = {
            stored.name: dialer.Address(
                stored.value["host"], stored.value["port"]
            )
            for stored in listing.objects
            if _is_valid_registration(stored.value)
        }
        self._registered_names = {self._settings.name, *addresses}
        for name, address in addresses.items():
            existing = self._dialers.get(name)
            if name <= self._settings.name:
                continue
            if existing is not None and existing.address != address:
                existing.stop()
                existing = None
            if existing is None:
                self._start_dialer(name, address)
        if self._reactor.seconds() < self._keep_dialers_until_s:
            return
        for name in set(self._dialers) - set(addresses):
            self._dialers.pop(name).stop()

    def _start_dialer(self, name, address):
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
        stored = self._hooks.stored_catalog()
        return stored.version if stored else 0

    def _on_open(self, link):
        self._links.add(link)
        LINKED_PEERS.set(len(self._links))
        events.emit("peer_linked", peer=link.peer["name"])
        self._update_watcher_role()
        self._schedule_catalog_request(link, link.peer["config_version"])
        link.send(
            self._occupancy_message(self._hooks.occupancy.own_loads(), True)
        )
        self._hooks.suspects.on_open(link)
        self._hooks.part_evidence.on_open(link)
        if self._layout_number and link.peer_accepts(LAYOUT_MESSAGE_TYPE):
            link.send(_layout_message(self._layout_number, ()))
        if link.peer_accepts(LIMIT_MESSAGE_TYPE):
            for announcement in self._hooks.targets.limits.announcements():
                link.send(_limit_message(announcement))

    def _on_down(self, link, reason):
        self._links.discard(link)
        self._hooks.suspects.on_down(link)
        self._hooks.part_evidence.on_down(link)
        if link.peer:
            self._hooks.plain_loads.forget_peer(link.peer["name"])
            self._bad_plain_times.discard(link.peer["name"])
        LINKED_PEERS.set(len(self._links))
        if link.peer:
            self._stopping_names.discard(link.peer["name"])
            events.emit("peer_lost", peer=link.peer["name"], reason=reason)
            self._hooks.demand.apply_peer(
                link.peer["name"], None, self._reactor.seconds()
            )
        self._update_watcher_role()

    def _linked_names(self):
        """Returns the names of the peers with an open link."""
        return [link.peer["name"] for link in self._links if link.is_open]

    def _update_watcher_role(self):
        """Decides whether this process is a watcher, after links changed."""
        self._is_poller_by_target.clear()
        self._turn_order = None
        names = self._linked_names()
        is_watcher = rendezvous.is_chosen(
            self._settings.name, names, GATEWAY_KIND, WATCHER_COUNT
        )
        if is_watcher == self._is_watcher:
            return
        self._is_watcher = is_watcher
        events.emit("watcher", is_watcher=is_watcher, peers=len(names))
        self._hooks.on_watcher_change(is_watcher)

    def _on_message(self, link, message):
        message_type = message["type"]
        if message_type == "heartbeat":
            self._schedule_catalog_request(link, message["config_version"])
        elif message_type == "occupancy":
            self._schedule_catalog_request(link, message["config_version"])
            self._apply_occupancy(link, message)
        elif message_type == "target_health":
            self._hooks.targets.verify_peer_health(
                message["target"],
                message["born_ms"],
                message["is_down"],
                f"{link.peer['name']}: {message['reason']}",
            )
        elif message_type == "target_pace":
            self._hooks.targets.apply_peer_pace(
                message["target"], message["born_ms"], message["pace"]
            )
        elif message_type == "full_target":
            target = self._hooks.targets.by_name.get(message["target"])
            if target is not None and target.born_ms == message["born_ms"]:
                self._hooks.full_targets.mark_by_peer(target)
        elif message_type == "registration":
            self._store.learn_era(versions.era_of(message["version"]))
            value = json.loads(message["value"]) if message["value"] else None
            self._hooks.targets.apply_peer_registration(
                message["target"], message["version"], value
            )
        elif message_type in ("suspects", "responses_seen"):
            self._hooks.suspects.on_message(link, message)
        elif message_type == "part_evidence":
            self._hooks.part_evidence.on_message(link, message)
        elif message_type == LIMIT_MESSAGE_TYPE:
            self._hooks.targets.limits.apply_announcement(
                target_limits.Announcement(
                    message["process"],
                    message.get("limit_per_s"),
                    message["turns"],
                )
            )
        elif message_type == LAYOUT_MESSAGE_TYPE:
            self._apply_layout(link, message)
        elif message_type == "catalog_wanted":
            self._send_catalog(link)
        elif message_type == "catalog":
            self._apply_catalog(link, message)

    def _apply_occupancy(self, link, message):
        """Applies a peer's loads, which the message has in columns."""
        self._hooks.demand.apply_peer(
            link.peer["name"], message.get("demand"), self._reactor.seconds()
        )
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
        self._hooks.occupancy.apply_peer_loads(
            link.peer["name"],
            loads,
            self._reactor.seconds(),
            message["whole"],
        )
        if not self._hooks.plain_loads.apply_peer_times(
            link.peer["name"],
            message.get("plain_targets", ()),
            message.get("plain_answer_ms", ()),
            self._reactor.seconds(),
        ):
            self._log_bad_plain_times(link.peer["name"])
        self._hooks.occupancy.apply_peer_inter_dc_mbps(
            link.peer["name"],
            message["crossing_mbps"],
            self._reactor.seconds(),
        )

    def _log_bad_plain_times(self, peer):
        """Logs once a link that a peer's times of answers can't be right."""
        if peer not in self._bad_plain_times:
            self._bad_plain_times.add(peer)
            events.emit("bad_plain_times", peer=peer)

    def _apply_catalog(self, link, message):
        stored = StoredCatalog(
            message["version"], json.loads(message["value"])
        )
        if self._hooks.apply_catalog(stored):
            CATALOGS_APPLIED.inc()
            events.emit(
                "config_from_peer",
                peer=link.peer["name"],
                version=stored.version,
            )

    def _schedule_catalog_request(self, link, version):
        """Requests a newer configuration from a peer, after a delay.

        It is not requested if the store has delivered it by then.
        """
        if (
            self._is_catalog_request_scheduled
            or version <= self._config_version()
        ):
            return
        self._is_catalog_request_scheduled = True
        wait_s = CATALOG_REQUEST_DELAY_S * self._rng.uniform(1.0, 2.0)
        self._reactor.callLater(wait_s, self._request_catalog, link, version)

    def _request_catalog(self, link, version):
        self._is_catalog_request_scheduled = False
        if link.is_open and version > self._config_version():
            link.send({"type": "catalog_wanted"})

    def _send_catalog(self, link):
        stored = self._hooks.stored_catalog()
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

    def _report_periodically(self):
        self._broadcast_occupancy()
        self._report_timer = self._reactor.callLater(
            self._hooks.occupancy.report_interval_s(),
            self._report_periodically,
        )

    def _broadcast_occupancy(self):
        """Sends peers the loads that changed, or all in a full report."""
        loads = dict(self._hooks.occupancy.own_loads())
        self._report_count += 1
        is_full_report = (
            self._report_count % occupancy_module.FULL_REPORT_EVERY == 0
        )
        changed = {
            name: load
            for name, load in loads.items()
            if is_full_report or self._last_sent_loads.get(name) != load
        }
        for name in set(self._last_sent_loads) - set(loads):
            changed[name] = occupancy_module.NO_LOAD
        self._last_sent_loads = loads
        message = self._occupancy_message(changed, is_full_report)
        demand = message.get("demand")
        if (
            changed
            or is_full_report
            or demand != self._last_sent_demand
            or "plain_targets" in message
        ):
            self._last_sent_demand = demand
            self._broadcast(message)

    def _plain_columns(self):
        """Returns the columns of plain targets; empty if there are none."""
        times_ms = self._hooks.plain_loads.own_times_ms(
            self._reactor.seconds()
        )
        if not times_ms:
            return {}
        return {
            "plain_targets": list(times_ms),
            "plain_answer_ms": [round(one) for one in times_ms.values()],
        }

    def _occupancy_message(self, load_by_target, is_full_report):
        loads = list(load_by_target.values())
        message = {
            "type": "occupancy",
            "targets": list(load_by_target),
            "token_layers": [round(load.token_layers) for load in loads],
            "sequences": [load.sequences for load in loads],
            "prefill_tokens": [round(load.prefill_tokens) for load in loads],
            "whole": is_full_report,
            "config_version": self._config_version(),
            "crossing_mbps": self._hooks.occupancy.own_inter_dc_mbps(
                self._reactor.seconds()
            ),
            **self._plain_columns(),
        }
        if self._hooks.demand.services:
            message["demand"] = self._hooks.demand.rows(
                self._reactor.seconds()
            )
        return message

    def _broadcast(self, message):
        frame = codec.encode(message)
        for link in list(self._links):
            if link.is_open:
                link.send(message, frame)


def _is_valid_registration(value):
    return (
        isinstance(value, dict)
        and isinstance(value.get("host"), str)
        and value["host"].isprintable()
        and value["host"] != ""
        and type(value.get("port")) is int
        and value["port"] in dialer.PORTS
    )


def _layout_message(number, layers):
    return {
        "type": LAYOUT_MESSAGE_TYPE,
        "fencing_number": number,
        "layers": [reported._asdict() for reported in layers],
    }


def _limit_message(announcement):
    message = {
        "type": LIMIT_MESSAGE_TYPE,
        "process": announcement.process_id,
        "turns": announcement.turns,
    }
    if announcement.limit_per_s is not None:
        message["limit_per_s"] = announcement.limit_per_s
    return message


def _log_failure(reason):
    events.emit("loop_ended", reason=reason.getTraceback())

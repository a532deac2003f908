"""Assembles the gateway process and runs it from start to stop."""

from collections.abc import Callable
import functools
import gc
import random
import secrets
import signal
from typing import Any
from typing import NamedTuple

import prometheus_client
from twisted.internet import defer
from twisted.internet import task

from hemlocktiller._internal import http_exchange
from hemlocktiller._internal.control import lease as lease_module
from hemlocktiller._internal.gateway import calls
from hemlocktiller._internal.gateway import crashes
from hemlocktiller._internal.gateway import dispatcher as dispatcher_module
from hemlocktiller._internal.gateway import ingress
from hemlocktiller._internal.gateway import layout_controller
from hemlocktiller._internal.gateway import model
from hemlocktiller._internal.gateway import pause_guard
from hemlocktiller._internal.gateway import peers as peers_module
from hemlocktiller._internal.gateway import platform_adapter
from hemlocktiller._internal.gateway import request_context
from hemlocktiller._internal.gateway import startup_queue
from hemlocktiller._internal.gateway import streams
from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.gateway import waiting_calls
from hemlocktiller._internal.observe import events
from hemlocktiller._internal.observe import metrics
from hemlocktiller._internal.policy import budget
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import lost_registrations
from hemlocktiller._internal.policy import plain_loads
from hemlocktiller._internal.policy import store_backoff
from hemlocktiller._internal.store import backoff
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import watch

LAYOUT_LEASE_NAME = "layout"
# Short, so that another gateway takes over the layout lease within seconds
# after its holder is lost.
LAYOUT_LEASE_SETTINGS: lease_module.LeaseSettings = {
    "duration_s": 3.0,
    "renew_interval_s": 1.0,
}
# Pause after a change until a watch polls again. Targets of a new deployment
# finish loading at about the same time, so the next poll returns the changes
# of many. Draining targets and a new configuration must still be known within
# two seconds.
MAX_CONFIG_WATCH_PAUSE_S = 0.25
# Longer than for the configuration: gateways pause at different moments, and
# the first one that receives a change sends it to its peers.
MAX_TARGET_WATCH_PAUSE_S = 0.6
# Upper limit of such a pause, as a share of the time within which a change
# must be applied. The rest is for calls to the store and for requests that
# are in transit.
WATCH_PAUSE_RATIO = 0.3
# The same for gateways to which watchers send changes: a change that all of
# them miss is still known before it must be applied.
FOLLOWER_PAUSE_RATIO = 0.5
# Polls find slow targets, which delay every event on their paths. Each target
# is polled by one gateway only: at this interval, the polls of a test day
# reduce its score by 0.001.
TARGET_POLL_INTERVAL_S = 1.0
# The settings file may change without a SIGHUP; reading it is cheap.
SETTINGS_RELOAD_INTERVAL_S = 5.0
# How long connections are accepted after SIGTERM: the balancer checks the
# readiness of a gateway once a second and removes it after two failed checks.
STOP_ACCEPT_DURATION_S = 2.6
# The requests still in progress are given up this long before the grace period
# ends.
STOP_MARGIN_S = 0.4
# The process ends this long before it, whether or not callers have read all
# of their answers.
EXIT_MARGIN_S = 0.2
STOP_POLL_INTERVAL_S = 0.05
# For requests that arrive before a configuration is loaded: the gateway asks
# the store for it at least twice a second.
RETRY_AFTER_S = 1.0
# Short, since the balancer sends the caller's retry to another gateway.
STOPPING_RETRY_AFTER_S = 0.05
# Share of the platform's limit on retries that is used. The rest allows for
# measuring windows that start at other times than those of this process, and
# for gateways that have just started.
RETRY_BUDGET_RATIO = 0.8

CONFIG_VERSION_GAUGE = prometheus_client.Gauge(
    "hemlocktiller_gateway_config_version", "Configuration in force"
)
IN_PROGRESS_GAUGE = prometheus_client.Gauge(
    "hemlocktiller_gateway_in_progress", "Requests in progress"
)


def _freeze_modules() -> None:
    """Excludes the objects loaded so far from garbage collection.

    A full collection that includes all modules delays every stream by 60
    to 110 ms on an entry VM.
    """
    gc.collect()
    gc.freeze()


class Address(NamedTuple):
    """Address to listen on."""

    host: str
    port: int


class Settings(NamedTuple):
    """Settings of a gateway.

    Attributes:
        name: Name of this process.
        data_centre: Data centre that it runs in.
        callers: Address that callers connect to.
        readiness: Address of the balancer's readiness checks.
        readiness_path: URL path of these checks.
        metrics: Address that metrics are served on; None to serve none.
        store: Settings of the object API.
        follower_watch_s: Timeout of the configuration watch while peers poll
            the store often and announce new configurations.
        config_kind: Object kind of the stored configuration.
        config_name: Object name of the stored configuration.
        target_kind: Object kind of the target registrations.
        retry_ratio: Allowed retries as a share of the requests.
        retry_extra: Retries that all gateways together may make in a window
            in addition to that share.
        retry_window_s: Length of that window.
        stop_grace_s: Time from SIGTERM until the process is killed.
        drain_bound_s: Maximum time from the drain of a target until it gets
            no more requests.
        config_bound_s: Maximum time until a new configuration is in force.
        links: Settings of the links between gateways.
        links_address: Address that this process accepts links on.
        removal_bounds: Time bounds for targets whose registration is removed.
    """

    name: str
    data_centre: str
    callers: Address
    readiness: Address
    readiness_path: str
    metrics: Address | None
    store: Any
    follower_watch_s: float
    config_kind: str
    config_name: str
    target_kind: str
    retry_ratio: float
    retry_extra: float
    retry_window_s: float
    stop_grace_s: float
    drain_bound_s: float
    config_bound_s: float
    links: Any
    links_address: Address
    removal_bounds: lost_registrations.Bounds = (
        lost_registrations.DEFAULT_BOUNDS
    )


RELOADABLE_SETTINGS = frozenset(
    ("retry_ratio", "retry_extra", "retry_window_s", "stop_grace_s")
)


class Gateway:
    """A gateway process.

    Attributes:
        catalog: Configuration in force; None before the first.
        targets: Registry of the targets.
    """

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        adapter: platform_adapter.PlatformAdapter,
        store: client.ObjectStore,
        read_settings: Callable[[], Settings] | None = None,
    ) -> None:
        """Builds the components.

        Args:
            reactor: Reactor.
            settings: Settings at the start.
            adapter: The platform's adapter.
            store: Client of the object API.
            read_settings: Reads the settings again; raises ValueError.
        """
        self._read_settings = read_settings or (lambda: settings)
        self.catalog: model.Catalog | None = None
        self._class_orders: dict[str, model.ClassOrder] = {}
        self._reactor = reactor
        self._settings = settings
        self._adapter = adapter
        self._store = store
        self._rng = random.Random(secrets.token_hex(8))
        self._retry_budgets: dict[str, budget.RetryBudget] = {}
        self._retry_limits = {"budget_ratio": 0.0, "budget_min_per_s": 0.0}
        self._in_progress: set[Any] = set()
        self._is_stopping = False
        self._rejects_requests = False
        self._watches: list[watch.Watch] = []
        self._ports: list[Any] = []
        self._stopped: defer.Deferred = defer.Deferred()
        self.targets = targets_module.Targets(
            reactor,
            adapter,
            self._health_path,
            settings.removal_bounds,
        )
        self.targets.on_down.append(self._on_target_down)
        self._pause_guard = pause_guard.PauseGuard(
            reactor,
            self._read_store_again,
            self._serve_after_refresh,
            lease_module.boot_time_s,
        )
        self._dispatcher = dispatcher_module.Dispatcher(
            reactor, self.targets, settings.data_centre, self._rng
        )
        self._dispatcher.is_outdated = self._pause_guard.is_outdated
        self._plain_loads = plain_loads.PlainLoads()
        self._caller_factory = ingress.CallerHTTPFactory(reactor, self.serve)
        self._context = request_context.RequestContext(
            reactor,
            adapter,
            self.targets,
            self._retry_budget_for,
            crashes.CrashEvidence(reactor),
            settings.data_centre,
            settings.name,
            waiting_calls.WaitingCalls(reactor, self.targets),
        )
        self._context.crash_evidence.follow(self.targets)
        self._lease = lease_module.Lease(
            store,
            LAYOUT_LEASE_NAME,
            LAYOUT_LEASE_SETTINGS,
            reactor,
            self._on_lease_changed,
        )
        self._store_backoff = backoff.StoreBackoff(store.settings)
        self._lease.backoff = self._store_backoff
        self._layout_controller = layout_controller.LayoutController(
            reactor,
            store,
            self._lease,
            self.targets,
            adapter,
            lambda: self.catalog.services.values() if self.catalog else (),
        )
        self._stored_catalog: peers_module.StoredCatalog | None = None
        self._peers = peers_module.Peers(
            reactor,
            settings,
            store,
            peers_module.PeerHooks(
                self.targets,
                self._dispatcher.occupancy,
                self._context.crash_evidence.feed,
                self._context.crash_evidence.part_feed,
                lambda: self._stored_catalog,
                self._apply_peer_catalog,
                self._on_store_recovered,
                self._on_watcher_changed,
                self._dispatcher.full_targets,
                self._dispatcher.demand,
                self._plain_loads,
                self._layout_controller.apply_announcement,
                self._layout_controller.take_over,
            ),
            self._rng,
            self._store_backoff,
        )
        self._context.crash_evidence.feed.trial_turn = self._peers.trial_turn
        self._dispatcher.occupancy.count_gateways = self._peers.count_gateways
        self._layout_controller.on_announcement = self._peers.broadcast_layout
        self.targets.on_health = self._peers.broadcast_health
        self.targets.on_pace = self._peers.broadcast_pace
        self.targets.limits.turns.turn_order = self._peers.turn_order
        self.targets.limits.on_announcement = self._peers.broadcast_limit
        self._dispatcher.full_targets.on_found_full = (
            self._peers.broadcast_full_target
        )
        self.targets.on_registration = self._peers.broadcast_registration
        self._startup_queue = startup_queue.StartupQueue(
            reactor,
            self.serve,
            lambda caller_request: self._reject(
                caller_request,
                adapter.decode_request(caller_request.requestHeaders),
                503,
                "no configuration yet",
            ),
        )
        self.targets.on_change.append(self._serve_queued_requests)
        self._update_retry_limits()
        self._check_loop = task.LoopingCall(self._check_requests)
        self._check_loop.clock = reactor
        self._target_poll_loop = task.LoopingCall(
            self.targets.poll_reports, self._peers.is_poller
        )
        self._target_poll_loop.clock = reactor
        self._reload_loop = task.LoopingCall(self.reload)
        self._reload_loop.clock = reactor

    def start(self) -> defer.Deferred:
        """Starts the gateway; returns a Deferred that fires when stopped."""
        settings = self._settings
        _freeze_modules()
        self._listen(settings.callers, self._caller_factory)
        page_factory = ingress.StatusPageFactory(
            self._reactor, self._render_page
        )
        self._listen(settings.readiness, page_factory)
        if settings.metrics:
            self._listen(settings.metrics, page_factory)
        self._listen(settings.links_address, self._peers.listener_factory())
        config_watch, target_watch = self._watches = [
            watch.watch_kind(
                self._store,
                settings.config_kind,
                self._on_configs_changed,
                min(
                    MAX_CONFIG_WATCH_PAUSE_S,
                    settings.config_bound_s * WATCH_PAUSE_RATIO,
                ),
            ),
            watch.watch_kind(
                self._store,
                settings.target_kind,
                self.targets.apply_registrations,
                min(
                    MAX_TARGET_WATCH_PAUSE_S,
                    settings.drain_bound_s * WATCH_PAUSE_RATIO,
                ),
            ),
        ]
        for store_watch in self._watches:
            store_watch.on_failure = functools.partial(
                self._on_store_call_failed, store_watch
            )
            store_watch.retry_wait = self._store_backoff.retry_wait(
                store_backoff.Caller.PATIENT
            )
        config_watch.on_answer = lambda began_s: (
            self.targets.record_store_answer()
        )
        target_watch.on_answer = self.targets.record_registrations_read
        self._peers.start()
        self._lease.start()
        self._layout_controller.start()
        self._check_loop.start(
            request_context.PROGRESS_CHECK_INTERVAL_S, now=False
        )
        self._reload_loop.start(SETTINGS_RELOAD_INTERVAL_S, now=False)
        self._target_poll_loop.start(TARGET_POLL_INTERVAL_S, now=False)
        metrics.start_loop_probe(self._reactor)
        signal.signal(signal.SIGTERM, self._on_sigterm)
        signal.signal(signal.SIGHUP, self._on_sighup)
        events.emit(
            "start",
            node=settings.name,
            data_centre=settings.data_centre,
            callers=settings.callers,
            metrics=settings.metrics,
            links=settings.links_address,
        )
        return self._stopped

    def serve(self, caller_request: ingress.CallerRequest) -> None:
        """Starts to serve a request, or rejects or queues it."""
        if not self._is_deployment_known() or self._pause_guard.is_outdated():
            self._startup_queue.add(caller_request)
            return
        parsed_headers = self._adapter.decode_request(
            caller_request.requestHeaders
        )
        if self._rejects_requests:
            self._reject(
                caller_request,
                parsed_headers,
                503,
                "stopping",
                STOPPING_RETRY_AFTER_S,
            )
            return
        catalog = self.catalog
        is_well_formed = http_exchange.is_valid_request_head(
            caller_request.method.decode("latin-1"),
            caller_request.uri.decode("latin-1"),
            parsed_headers.forwarded,
        )
        if not is_well_formed:
            self._reject(
                caller_request, parsed_headers, 400, "malformed headers"
            )
            return
        host = (caller_request.getHeader(b"host") or b"").decode("latin-1")
        path = caller_request.uri.split(b"?")[0].decode("latin-1")
        route = catalog.route(host.split(":")[0].lower(), path)
        if route is None:
            self._reject(caller_request, parsed_headers, 404, "no route")
            return
        workspace = model.Workspace("", None)
        if catalog.workspaces is not None and not route.is_public:
            key_workspace = catalog.workspaces.get(parsed_headers.api_key)
            if key_workspace is None:
                self._reject(
                    caller_request, parsed_headers, 401, "unknown key"
                )
                return
            workspace = key_workspace
        service = catalog.services.get(self._choose_service(route))
        if service is None:
            self._reject(
                caller_request, parsed_headers, 503, "no such service"
            )
            return
        priority = route.priority
        if workspace.priority is not None:
            priority = workspace.priority
        order = self._class_orders.get(service.name)
        rank = model.rank_in(order, route, workspace) if order else None
        self._start_handler(
            request_context.AdmittedRequest(
                caller_request,
                parsed_headers,
                route,
                service,
                workspace.name,
                priority,
                caller_request.read_body(),
                catalog.version,
                rank,
            )
        )

    def reload(self) -> None:
        """Applies changed settings that need no restart."""
        try:
            settings = self._read_settings()
        except (OSError, ValueError) as error:
            events.emit("reload_failed", reason=str(error))
            return
        changed = {
            name
            for name in Settings._fields
            if getattr(settings, name) != getattr(self._settings, name)
        }
        if not changed:
            return
        new_values = {
            name: getattr(settings, name) for name in RELOADABLE_SETTINGS
        }
        self._settings = self._settings._replace(**new_values)
        events.emit(
            "reload",
            changed=sorted(changed),
            need_restart=sorted(changed - RELOADABLE_SETTINGS),
        )

    def stop(self) -> None:
        """Stops gracefully: fails readiness, rejects requests, then stops."""
        if self._is_stopping:
            return
        self._is_stopping = True
        events.emit("stop", in_progress=len(self._in_progress))
        stop_result = defer.Deferred.fromCoroutine(self._shut_down())
        stop_result.addErrback(
            lambda reason: events.emit(
                "stop_failed", reason=reason.getTraceback()
            )
        )
        stop_result.addBoth(lambda _: self._stopped.callback(None))

    def _start_handler(self, admitted):
        """Starts the handler that the kind of the service requires."""
        if admitted.service.engine is not None:
            handler = streams.Stream(
                self._context,
                self._dispatcher,
                admitted,
                self._on_handler_finished,
            )
        else:
            handler = calls.Call(
                self._context,
                self._plain_loads,
                self._rng,
                admitted,
                self._on_handler_finished,
            )
        self._in_progress.add(handler)
        IN_PROGRESS_GAUGE.set(len(self._in_progress))
        handler.start()

    def _on_handler_finished(self, handler):
        self._in_progress.discard(handler)
        IN_PROGRESS_GAUGE.set(len(self._in_progress))

    def _reject(
        self,
        caller_request,
        parsed_headers,
        status,
        reason,
        retry_after_s=RETRY_AFTER_S,
    ):
        """Responds with an error to a request that has no handler."""
        events.emit(
            "rejected",
            request=parsed_headers.request_id,
            status=status,
            reason=reason,
            config=self.catalog.version if self.catalog else None,
        )
        headers = []
        if status == 503:
            headers.append((b"Retry-After", f"{retry_after_s:.2f}".encode()))
        caller_request.respond(status, headers, reason.encode() + b"\n")

    def _choose_service(self, route):
        """Returns the name of a service, chosen at random by its weight."""
        names = [name for name, _ in route.services]
        weights = [weight for _, weight in route.services]
        if len(names) == 1 or sum(weights) <= 0:
            return names[0]
        return self._rng.choices(names, weights)[0]

    def _retry_budget_for(self, service):
        if service not in self._retry_budgets:
            self._retry_budgets[service] = budget.RetryBudget(
                self._retry_limits
            )
        return self._retry_budgets[service]

    def _update_retry_limits(self):
        """Sets this process's share of the retries of all gateways."""
        settings = self._settings
        extra_retries_per_s = settings.retry_extra / settings.retry_window_s
        self._retry_limits["budget_ratio"] = (
            settings.retry_ratio * RETRY_BUDGET_RATIO
        )
        self._retry_limits["budget_min_per_s"] = (
            extra_retries_per_s
            * RETRY_BUDGET_RATIO
            / self._peers.count_gateways()
        )

    def _health_path(self, service):
        """Returns the path of a service's health probes, or a default."""
        catalog = self.catalog
        if catalog and service in catalog.services:
            return catalog.services[service].health_path
        return "/"

    def _on_configs_changed(self, changed, deleted, is_full_listing, version):
        """Applies a changed configuration; a deletion leaves it in force."""
        for stored_object in changed:
            if stored_object.name == self._settings.config_name:
                self._apply_config(stored_object.value)

    def _apply_peer_catalog(self, stored_object):
        return self._apply_config(stored_object.value)

    def _apply_config(self, value):
        """Applies a configuration; returns whether it was valid and newer."""
        try:
            catalog = self._adapter.decode_catalog(value)
        except ValueError as error:
            events.emit("config_rejected", reason=str(error))
            return False
        if self.catalog and catalog.version <= self.catalog.version:
            return False
        previous_version = self.catalog.version if self.catalog else None
        self.catalog = catalog
        self._class_orders = model.class_orders(catalog)
        self._dispatcher.demand.services = frozenset(
            name
            for name in self._class_orders
            if name in catalog.services and catalog.services[name].engine
        )
        is_ranked_or_uneven = bool(self._class_orders) or any(
            fleet.is_uneven(service.engine)
            for service in catalog.services.values()
        )
        self._store_backoff.is_shared = is_ranked_or_uneven
        self._plain_loads.has_times = is_ranked_or_uneven
        self._caller_factory.set_limits(catalog.limits)
        CONFIG_VERSION_GAUGE.set(catalog.version)
        events.emit(
            "config",
            version=catalog.version,
            before=previous_version,
        )
        self._serve_queued_requests()
        self._stored_catalog = peers_module.StoredCatalog(
            catalog.version, value
        )
        self._peers.announce_config()
        return True

    def _on_watcher_changed(self, is_watcher):
        """Sets how often the watches poll the store.

        A follower receives changes from the watchers as well, so it polls
        rarely. A change still ends its long polls.

        Args:
            is_watcher: Whether this process polls the store for its peers.
        """
        settings = self._settings
        store = self._store
        for kind, bound_s in (
            (settings.config_kind, settings.config_bound_s),
            (settings.target_kind, settings.drain_bound_s),
        ):
            if is_watcher:
                store.watch_timeouts_s.pop(kind, None)
                store.watch_pauses_s.pop(kind, None)
            else:
                store.watch_timeouts_s[kind] = settings.follower_watch_s
                store.watch_pauses_s[kind] = bound_s * FOLLOWER_PAUSE_RATIO
        if is_watcher:
            self._restart_polls()

    def _on_store_call_failed(self, store_watch):
        self.targets.record_store_outage(store_watch.failed_after_s)

    def _on_store_recovered(self):
        """Reads what has changed in an outage of the store."""
        self._store.check_watches()
        self._restart_polls()

    def _restart_polls(self):
        """Polls the store at once."""
        if self._store_backoff.is_shared:
            self._lease.retry_now()
        for store_watch in self._watches:
            store_watch.restart_poll()

    def _read_store_again(self):
        """Reads targets and configuration, after a pause of this process."""
        reading = defer.Deferred.fromCoroutine(self._read_targets_and_config())
        return reading.addErrback(
            lambda reason: events.emit("refresh_failed", reason=str(reason))
        )

    async def _read_targets_and_config(self):
        settings = self._settings
        store = self._store
        stored, listing = await defer.gatherResults(
            [
                store.read(settings.config_kind, settings.config_name),
                store.read_all(settings.target_kind),
            ],
            consumeErrors=True,
        )
        self.targets.apply_registrations(
            listing.objects, [], True, listing.version
        )
        if stored is not None:
            self._apply_config(stored.value)

    def _serve_after_refresh(self):
        """Starts the work that has waited for news from the store."""
        self._serve_queued_requests()
        self._dispatcher.process_queues()

    def _is_deployment_known(self):
        """Returns whether configuration and registrations are loaded."""
        return self.catalog is not None and self.targets.is_loaded

    def _serve_queued_requests(self):
        if self._is_deployment_known() and not self._pause_guard.is_outdated():
            self._startup_queue.serve_all()

    def _on_target_down(self, target, reason):
        request_context.handle_target_down(
            self._context, self._in_progress, target, reason
        )

    def _on_lease_changed(self, is_held):
        self._layout_controller.on_lease(is_held)

    def _check_requests(self):
        """Updates the retry limits and lets all handlers detect silence."""
        self._pause_guard.tick()
        now_s = self._reactor.seconds()
        self._update_retry_limits()
        for handler in list(self._in_progress):
            handler.check_progress(now_s)

    def _render_page(self, path):
        """Returns status, content type and body of a status page."""
        if path == self._settings.readiness_path:
            is_ready = self._is_deployment_known() and not self._is_stopping
            return (200 if is_ready else 503), "text/plain", b""
        if path == "/metrics":
            return 200, metrics.PAGE_CONTENT_TYPE, metrics.render_page()
        return 404, "text/plain", b""

    def _listen(self, address, factory):
        port = self._reactor.listenTCP(
            address.port, factory, backlog=256, interface=address.host
        )
        self._ports.append(port)

    def _on_sigterm(self, number, frame):
        self._reactor.callFromThread(self.stop)

    def _on_sighup(self, number, frame):
        self._reactor.callFromThread(self.reload)

    async def _close_callers(self, until_s):
        """Closes callers' connections as their requests end.

        Args:
            until_s: Time at which those still open are left.
        """
        connections = self._caller_factory.connections
        while True:
            connections.close_idle()
            if (
                not connections.has_open()
                or self._reactor.seconds() >= until_s
            ):
                return
            await task.deferLater(self._reactor, STOP_POLL_INTERVAL_S)

    async def _shut_down(self):
        """Shuts down within the grace period.

        Connections are accepted until the balancer has removed this gateway.
        New requests are then rejected, and those in progress awaited. Those
        that don't end in time are answered with an error.
        """
        grace_s = self._settings.stop_grace_s
        stop_started_s = self._reactor.seconds()
        layout_number = self._layout_controller.number_to_hand_over()
        self._layout_controller.stop()
        if layout_number is not None:
            self._peers.announce_stop(layout_number)
        await self._lease.release()
        self._caller_factory.start_draining()
        while (
            self._reactor.seconds() < stop_started_s + STOP_ACCEPT_DURATION_S
        ):
            await task.deferLater(self._reactor, STOP_POLL_INTERVAL_S)
        # Requests on keep-alive connections are rejected from now on, as they
        # might not end within the grace period.
        self._rejects_requests = True
        await defer.maybeDeferred(self._ports[0].stopListening)
        await self._close_callers(stop_started_s + grace_s - STOP_MARGIN_S)
        # What is left gets an answer, as a close would not tell its callers
        # whether it ran.
        for handler in list(self._in_progress):
            handler.abandon("stopping")
        self._startup_queue.reject_all()
        await self._close_callers(stop_started_s + grace_s - EXIT_MARGIN_S)
        for store_watch in self._watches:
            store_watch.stop()
        self._check_loop.stop()
        self._reload_loop.stop()
        self._target_poll_loop.stop()
        self._peers.stop()
        await task.deferLater(self._reactor, STOP_POLL_INTERVAL_S)
        events.emit("stopped", in_progress=len(self._in_progress))

"""Builds the gateway from its parts, and runs its life from start to stop."""

from collections.abc import Callable
import gc
import random
import secrets
import signal
from typing import Any
from typing import NamedTuple

import prometheus_client
from twisted.internet import defer
from twisted.internet import task

from hemlocktiller._internal.control import lease as lease_module
from hemlocktiller._internal.gateway import calls
from hemlocktiller._internal.gateway import crashes
from hemlocktiller._internal.gateway import dispatcher as dispatcher_module
from hemlocktiller._internal.gateway import ingress
from hemlocktiller._internal.gateway import layout_duty
from hemlocktiller._internal.gateway import model
from hemlocktiller._internal.gateway import peers as peers_module
from hemlocktiller._internal.gateway import request_context
from hemlocktiller._internal.gateway import startup_queue
from hemlocktiller._internal.gateway import streams
from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.gateway import upstream
from hemlocktiller._internal.gateway import wire as wire_module
from hemlocktiller._internal.observe import events
from hemlocktiller._internal.observe import metrics
from hemlocktiller._internal.policy import budget
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import watch

LEASE_NAME = "layout"
# The layout's next holder takes over within seconds of a lost one.
LEASE_SETTINGS: lease_module.LeaseSettings = {
    "duration_s": 3.0,
    "renew_interval_s": 1.0,
}
# Loads of a deployment that starts end together; what drains, and a new
# configuration, must be known within two seconds.
CONFIG_PAUSE_MAX_S = 0.25
# Gateways rest at different moments, and the first that hears of a change
# tells the others.
TARGETS_PAUSE_MAX_S = 0.6
# Neither rests for longer than this share of the bound that its changes must
# be in force within; the rest is for calls and for requests on their way.
PAUSE_SHARE = 0.3
# A slow target makes every event on its paths late; one gateway asks each
# target once a second, which costs a thousandth of a day.
POLL_TARGETS_S = 1.0
# The settings file may change without a signal; reading it costs little.
RELOAD_INTERVAL_S = 5.0
# The balancer asks once a second and needs two misses to look elsewhere.
STOP_ACCEPTING_S = 2.6
# What is left of the grace period when the last streams are cut.
STOP_MARGIN_S = 0.4
POLL_S = 0.05
# A gateway without a configuration has one when the store answers again; it is
# asked at least twice a second.
RETRY_S = 1.0
# The balancer sends a caller that comes back to another gateway.
ELSEWHERE_RETRY_S = 0.05
# Part of the platform's bound on repeats that is spent; the rest covers
# windows that lie otherwise and gateways that were just started.
BUDGET_PART = 0.8

CONFIG_VERSION = prometheus_client.Gauge(
    "hemlocktiller_gateway_config_version", "Configuration in force"
)
IN_PROGRESS = prometheus_client.Gauge(
    "hemlocktiller_gateway_in_progress", "Requests in progress"
)


def _freeze_modules() -> None:
    """Keeps the collector away from what was loaded at the start.

    A full collection that walks all modules holds up every stream for 60
    to 110 ms on an entry VM.
    """
    gc.collect()
    gc.freeze()


class Address(NamedTuple):
    """Where to listen."""

    host: str
    port: int


class Settings(NamedTuple):
    """Settings of a gateway.

    Attributes:
        name: Name of this process.
        data_centre: Where it runs.
        callers: Where callers connect.
        readiness: Where the balancer asks whether it is ready.
        readiness_path: Path of that question.
        metrics: Where metrics are served.
        store: Settings of the object API.
        follower_watch_s: Time that the watch of the configuration waits
            where peers ask the store often and tell of new ones.
        config_kind: Kind and name of the stored configuration.
        config_name: See `config_kind`.
        target_kind: Kind of the registrations.
        retry_ratio: Repeats allowed as a share of the requests.
        retry_extra: Repeats allowed in a window beside these, by all.
        retry_window_s: Length of that window.
        stop_grace_s: Time from SIGTERM to the kill.
        drain_bound_s: Time within which a target that drains gets no more
            requests.
        config_bound_s: Time within which a configuration is in force.
        links: Settings of the links between gateways.
        links_address: Where this process accepts them.
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


RELOADABLE = frozenset(
    ("retry_ratio", "retry_extra", "retry_window_s", "stop_grace_s")
)


class Gateway:
    """The running process.

    Attributes:
        catalog: Configuration in force; None before the first.
    """

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        wire: wire_module.Wire,
        store: client.ObjectStore,
        read_settings: Callable[[], Settings] | None = None,
    ) -> None:
        """Builds the parts.

        Args:
            reactor: Reactor.
            settings: Settings at the start.
            wire: The platform's adapter.
            store: Client of the object API.
            read_settings: Reads the settings again; raises ValueError.
        """
        self._read_settings = read_settings or (lambda: settings)
        self.catalog: model.Catalog | None = None
        self._reactor = reactor
        self._settings = settings
        self._wire = wire
        self._store = store
        self._rng = random.Random(secrets.token_hex(8))
        self._budgets: dict[str, budget.RetryBudget] = {}
        self._retries = {"budget_ratio": 0.0, "budget_min_per_s": 0.0}
        self._serving: set[Any] = set()
        self._stopping = False
        self._is_closed = False
        self._watches: list[watch.Watch] = []
        self._ports: list[Any] = []
        self._done: defer.Deferred = defer.Deferred()
        self.targets = targets_module.Targets(reactor, wire, self._health_path)
        self.targets.on_down.append(self._target_down)
        self._dispatcher = dispatcher_module.Dispatcher(
            reactor, self.targets, settings.data_centre, self._rng
        )
        self._outstanding = calls.OutstandingRequests()
        self._callers = ingress.CallerHTTPFactory(reactor, self.serve)
        self._context = request_context.RequestContext(
            reactor,
            wire,
            self.targets,
            self._budget,
            crashes.Crashes(reactor),
            settings.data_centre,
            settings.name,
        )
        self._lease = lease_module.Lease(
            store,
            LEASE_NAME,
            LEASE_SETTINGS,
            reactor,
            self._on_lease,
        )
        self._duty = layout_duty.LayoutDuty(
            reactor,
            store,
            self._lease,
            self.targets,
            wire,
            lambda: self.catalog.services.values() if self.catalog else (),
        )
        self._stored_catalog: peers_module.StoredCatalog | None = None
        self._peers = peers_module.Peers(
            reactor,
            settings,
            store,
            peers_module.Parts(
                self.targets,
                self._dispatcher.occupancy,
                self._context.crashes.feed,
                lambda: self._stored_catalog,
                self._offer_catalog,
                self._renew_watches,
                self._on_watcher,
            ),
            self._rng,
        )
        self._dispatcher.occupancy.sharers = self._peers.sharers
        self.targets.on_health = self._peers.tell_health
        self.targets.on_pace = self._peers.tell_pace
        self.targets.on_registration = self._peers.tell_registration
        self._startup_queue = startup_queue.StartupQueue(
            reactor,
            self.serve,
            lambda caller: self._reject(
                caller,
                wire.read_request(caller.requestHeaders),
                503,
                "no configuration yet",
            ),
        )
        self.targets.on_change.append(self._release_early)
        self._share_retries()
        self._checker = task.LoopingCall(self._check)
        self._checker.clock = reactor
        self._poller = task.LoopingCall(self.targets.poll, self._peers.is_own)
        self._poller.clock = reactor
        self._reloader = task.LoopingCall(self.reload)
        self._reloader.clock = reactor

    def start(self) -> defer.Deferred:
        """Listens and follows the store; fires when it has stopped."""
        settings = self._settings
        _freeze_modules()
        self._listen(settings.callers, self._callers)
        pages = ingress.StatusPageFactory(self._reactor, self._page)
        self._listen(settings.readiness, pages)
        if settings.metrics:
            self._listen(settings.metrics, pages)
        self._listen(settings.links_address, self._peers.factory())
        self._watches = [
            watch.follow_kind(
                self._store,
                settings.config_kind,
                self._take_configs,
                min(CONFIG_PAUSE_MAX_S, settings.config_bound_s * PAUSE_SHARE),
            ),
            watch.follow_kind(
                self._store,
                settings.target_kind,
                self.targets.take,
                min(TARGETS_PAUSE_MAX_S, settings.drain_bound_s * PAUSE_SHARE),
            ),
        ]
        for one in self._watches:
            one.on_failure = self.targets.store_lost
        self._peers.start()
        self._lease.start()
        self._duty.start()
        self._checker.start(
            request_context.PROGRESS_CHECK_INTERVAL_S, now=False
        )
        self._reloader.start(RELOAD_INTERVAL_S, now=False)
        self._poller.start(POLL_TARGETS_S, now=False)
        metrics.probe_loop(self._reactor)
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGHUP, self._on_hangup)
        events.emit(
            "start",
            node=settings.name,
            data_centre=settings.data_centre,
            callers=settings.callers,
            metrics=settings.metrics,
            links=settings.links_address,
        )
        return self._done

    def serve(self, caller: ingress.CallerRequest) -> None:
        """Serves one request of a caller."""
        if not self._knows_deployment():
            self._startup_queue.add(caller)
            return
        asked = self._wire.read_request(caller.requestHeaders)
        if self._is_closed:
            self._reject(caller, asked, 503, "stopping", ELSEWHERE_RETRY_S)
            return
        catalog = self.catalog
        is_sound = upstream.may_be_sent(
            caller.method.decode("latin-1"),
            caller.uri.decode("latin-1"),
            asked.forwarded,
        )
        if not is_sound:
            self._reject(caller, asked, 400, "malformed headers")
            return
        host = (caller.getHeader(b"host") or b"").decode("latin-1")
        path = caller.uri.split(b"?")[0].decode("latin-1")
        route = catalog.route(host.split(":")[0].lower(), path)
        if route is None:
            self._reject(caller, asked, 404, "no route")
            return
        workspace = model.Workspace("", None)
        if catalog.workspaces is not None and not route.is_public:
            found = catalog.workspaces.get(asked.key)
            if found is None:
                self._reject(caller, asked, 401, "unknown key")
                return
            workspace = found
        service = catalog.services.get(self._pick_service(route))
        if service is None:
            self._reject(caller, asked, 503, "no such service")
            return
        priority = route.priority
        if workspace.priority is not None:
            priority = workspace.priority
        self._admit(
            request_context.AdmittedRequest(
                caller,
                asked,
                route,
                service,
                workspace.name,
                priority,
                caller.read_body(),
                catalog.version,
            )
        )

    def reload(self) -> None:
        """Puts changed settings in force, as far as that needs no restart."""
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
        kept = {name: getattr(settings, name) for name in RELOADABLE}
        self._settings = self._settings._replace(**kept)
        events.emit(
            "reload",
            changed=sorted(changed),
            need_restart=sorted(changed - RELOADABLE),
        )

    def stop(self) -> None:
        """Stops gracefully: unready, then closed, then gone."""
        if self._stopping:
            return
        self._stopping = True
        events.emit("stop", in_progress=len(self._serving))
        stopping = defer.Deferred.fromCoroutine(self._stop())
        stopping.addErrback(
            lambda reason: events.emit(
                "stop_failed", reason=reason.getTraceback()
            )
        )
        stopping.addBoth(lambda _: self._done.callback(None))

    def _admit(self, admitted):
        if admitted.service.engine is not None:
            work = streams.Stream(
                self._context, self._dispatcher, admitted, self._over
            )
        else:
            work = calls.Call(
                self._context,
                self._outstanding,
                self._rng,
                admitted,
                self._over,
            )
        self._serving.add(work)
        IN_PROGRESS.set(len(self._serving))
        work.start()

    def _over(self, work):
        self._serving.discard(work)
        IN_PROGRESS.set(len(self._serving))

    def _reject(self, caller, asked, status, reason, retry_s=RETRY_S):
        events.emit(
            "rejected",
            request=asked.request_id,
            status=status,
            reason=reason,
            config=self.catalog.version if self.catalog else None,
        )
        headers = []
        if status == 503:
            headers.append((b"Retry-After", f"{retry_s:.2f}".encode()))
        caller.respond(status, headers, reason.encode() + b"\n")

    def _pick_service(self, route):
        names = [name for name, _ in route.services]
        weights = [weight for _, weight in route.services]
        if len(names) == 1 or sum(weights) <= 0:
            return names[0]
        return self._rng.choices(names, weights)[0]

    def _budget(self, service):
        if service not in self._budgets:
            self._budgets[service] = budget.RetryBudget(self._retries)
        return self._budgets[service]

    def _share_retries(self):
        """Sets this process's part of the repeats that all may make."""
        settings = self._settings
        per_s = settings.retry_extra / settings.retry_window_s
        self._retries["budget_ratio"] = settings.retry_ratio * BUDGET_PART
        self._retries["budget_min_per_s"] = (
            per_s * BUDGET_PART / self._peers.sharers()
        )

    def _health_path(self, service):
        catalog = self.catalog
        if catalog and service in catalog.services:
            return catalog.services[service].health_path
        return "/"

    def _take_configs(self, changed, deleted, whole):
        for stored in changed:
            if stored.name == self._settings.config_name:
                self._take_config(stored.value)

    def _offer_catalog(self, stored):
        return self._take_config(stored.value)

    def _take_config(self, value):
        """Puts a configuration in force; tells whether it is newer."""
        try:
            catalog = self._wire.catalog(value)
        except ValueError as error:
            events.emit("config_rejected", reason=str(error))
            return False
        if self.catalog and catalog.version <= self.catalog.version:
            return False
        before = self.catalog.version if self.catalog else None
        self.catalog = catalog
        self._callers.set_limits(catalog.limits)
        CONFIG_VERSION.set(catalog.version)
        events.emit(
            "config",
            version=catalog.version,
            before=before,
        )
        self._release_early()
        self._stored_catalog = peers_module.StoredCatalog(
            catalog.version, value
        )
        return True

    def _on_watcher(self, is_first):
        """Sets how long the watch of the configuration waits.

        That of registrations always asks often: a deletion has no version,
        so what peers tell of one does not count.
        """
        settings = self._settings
        waits_s = self._store.watch_timeouts_s
        if is_first:
            waits_s.pop(settings.config_kind, None)
            self._renew_watches()
        else:
            waits_s[settings.config_kind] = settings.follower_watch_s

    def _renew_watches(self):
        for one in self._watches:
            one.renew()

    def _knows_deployment(self):
        return self.catalog is not None and self.targets.known

    def _release_early(self):
        if self._knows_deployment():
            self._startup_queue.serve_all()

    def _target_down(self, target, reason):
        request_context.handle_target_down(
            self._context, self._serving, target, reason
        )

    def _on_lease(self, is_held):
        self._duty.on_lease(is_held)

    def _check(self):
        now_s = self._reactor.seconds()
        self._share_retries()
        for work in list(self._serving):
            work.check_progress(now_s)

    def _page(self, path):
        if path == self._settings.readiness_path:
            is_ready = self._knows_deployment() and not self._stopping
            return (200 if is_ready else 503), "text/plain", b""
        if path == "/metrics":
            return 200, metrics.PAGE_CONTENT_TYPE, metrics.page()
        return 404, "text/plain", b""

    def _listen(self, address, factory):
        port = self._reactor.listenTCP(
            address.port, factory, backlog=256, interface=address.host
        )
        self._ports.append(port)

    def _on_signal(self, number, frame):
        self._reactor.callFromThread(self.stop)

    def _on_hangup(self, number, frame):
        self._reactor.callFromThread(self.reload)

    async def _stop(self):
        grace_s = self._settings.stop_grace_s
        began_s = self._reactor.seconds()
        await self._lease.release()
        self._duty.stop()
        self._callers.start_draining()
        while self._reactor.seconds() < began_s + STOP_ACCEPTING_S:
            await task.deferLater(self._reactor, POLL_S)
        # What comes later on a kept connection might not end in time.
        self._is_closed = True
        await defer.maybeDeferred(self._ports[0].stopListening)
        while (
            self._serving
            and self._reactor.seconds() < began_s + grace_s - STOP_MARGIN_S
        ):
            self._callers.close_idle_connections()
            await task.deferLater(self._reactor, POLL_S)
        self._callers.close_idle_connections()
        for one in self._watches:
            one.stop()
        self._checker.stop()
        self._reloader.stop()
        self._poller.stop()
        self._peers.stop()
        await task.deferLater(self._reactor, POLL_S)
        events.emit("stopped", in_progress=len(self._serving))

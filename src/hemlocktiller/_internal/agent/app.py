"""Builds an agent from its settings and connects its components."""

from collections.abc import Callable
import functools
from typing import Any

import logbook
import prometheus_client
from twisted.internet import defer
from twisted.internet import task

from hemlocktiller._internal import process as process_module
from hemlocktiller._internal.agent import admission_queue
from hemlocktiller._internal.agent import claims as claims_module
from hemlocktiller._internal.agent import engine_watch
from hemlocktiller._internal.agent import first_stage
from hemlocktiller._internal.agent import load_reports
from hemlocktiller._internal.agent import message_dispatcher
from hemlocktiller._internal.agent import next_stages
from hemlocktiller._internal.agent import orders
from hemlocktiller._internal.agent import peers as peers_module
from hemlocktiller._internal.agent import pipeline as pipeline_module
from hemlocktiller._internal.agent import recorder as recorder_module
from hemlocktiller._internal.agent import services as services_module
from hemlocktiller._internal.agent import stage_runs
from hemlocktiller._internal.agent import target_queries
from hemlocktiller._internal.control import fence
from hemlocktiller._internal.links import link as link_module
from hemlocktiller._internal.links import listener
from hemlocktiller._internal.observe import admin
from hemlocktiller._internal.policy import prefixes as prefixes_module
from hemlocktiller._internal.policy import suspects as suspects_module

LOAD_REPORT_INTERVAL_S = 1.0
CONFIG_CHECK_INTERVAL_S = 2.0
TARGET_KIND = "target"

log = logbook.Logger(__name__)

LEAVING = prometheus_client.Gauge(
    "hemlocktiller_leaving", "Whether this process is leaving"
)


class Agent:
    """An agent: decides what one target runs and sends the work to it.

    Attributes:
        process: Objects that the modules of this process share.
        reactor: Twisted reactor.
        settings: Settings of the agent.
        link_port: Port that accepts links; 0 before `start`.
        admin_port: Port of the admin pages; 0 before `start`.
        peers: Links to other agents.
        admission: Admission control and queue of the target.
        first_stage_runner: Runs the requests whose first stage runs here.
        engine_watch: Monitor of the engine; None for a service.
        pipeline: Stages that run here; None for a service.
        services: Calls that run here; None for an engine.
        registration: Registration of the target in the object API; empty
            before it is registered.
        links: Open links to entries and other agents.
    """

    def __init__(self, process: process_module.Process) -> None:
        self.process = process
        self.reactor = process.reactor
        self.settings = process.settings
        self.registration: dict[str, Any] = {}
        # Prompt parts of the requests in the engine when its call failed.
        self._prompts_at_failure: list[tuple[int, ...]] = []
        self.links: set[link_module.Link] = set()
        self.admin_port = 0
        self.link_port = 0
        self._load_reports = load_reports.LoadReports(
            self.reactor, self._build_load_report
        )
        self._drained = defer.Deferred()
        self._target_queries = target_queries.TargetQueryRelay()
        handlers = link_module.Handlers(
            self._on_link_open,
            lambda link, message: self._message_dispatcher.on_message(
                link, message
            ),
            self._on_link_down,
            self._on_link_silence,
        )
        self._listener = listener.Listener(
            self.reactor,
            self.settings["links"],
            process.local_identity,
            handlers,
        )
        self.peers = peers_module.Peers(
            self.reactor,
            self.settings["links"],
            process.local_identity,
            handlers,
            process.rng,
        )
        self.admission = admission_queue.AdmissionQueue(
            self.reactor,
            self.settings,
            lambda: process.feed.current,
            admission_queue.Callbacks(
                self._start_request,
                self._suspect_refusal_reason,
                self._preempt,
            ),
            process.request_log,
        )
        self.first_stage_runner = first_stage.FirstStageRunner(
            self.reactor,
            self.settings,
            self.admission.on_request_done,
            process.part_evidence.record_output,
        )
        self.services: services_module.ServiceCalls | None = None
        self.engine_watch: engine_watch.EngineWatch | None = None
        self.pipeline: pipeline_module.Pipeline | None = None
        if "engine" in self.settings:
            self._build_engine_components()
        else:
            self._build_service_components()
        self._orders = orders.OrderExecutor(
            fence.Fence(process.store),
            self._build_target_operations(),
        )
        self._message_dispatcher = self._build_message_dispatcher()
        process.feed.change_callbacks.append(self.admission.on_config_change)

    def start(self) -> defer.Deferred[None]:
        """Listens and registers; the Deferred fires after the drain."""
        address = self.settings["link"]
        port = self.reactor.listenTCP(
            address["port"], self._listener, interface=address["host"]
        )
        self._listening_port = port
        self.link_port = port.getHost().port
        pages = admin.PageFunctions(
            self.unready_reason,
            self.status,
            lambda: self.drain("operator"),
            self.process.request_log.events,
            self.process.tracer.spans,
        )
        admin_port = admin.listen(self.reactor, self.settings["admin"], pages)
        self.admin_port = admin_port.getHost().port
        self._start_loops()
        process_module.read_config(self.process)
        if self.engine_watch is not None:
            self.engine_watch.request_info()
        else:
            self._register()
        process_module.install_signal_handlers(self.reactor, self.drain)
        print(
            f"listening link={address['host']}:{self.link_port}"
            f" admin={self.settings['admin']['host']}:{self.admin_port}",
            flush=True,
        )
        return self._drained

    def unready_reason(self) -> str:
        """Returns why new requests are refused, or an empty string."""
        return (
            "leaving"
            if self.admission.leaving
            else self.admission.not_ready_reason
        )

    def status(self) -> dict[str, Any]:
        """Returns the state for the status page."""
        return {
            "name": self.settings["name"],
            "process": self.process.local_identity.process,
            "role": "agent",
            "data_centre": self.settings["data_centre"],
            "config_version": self.process.feed.version(),
            "leaving": self.admission.leaving,
            "ready": self.unready_reason() == "",
            "unready": self.unready_reason(),
            "queued": self.admission.queued_count,
            "running": self.admission.running_count,
            "stages": len(self.pipeline.runs) if self.pipeline else 0,
            "links": len(self.links),
            "target": self.registration,
        }

    def drain(self, reason: str) -> dict[str, Any]:
        """Refuses new requests, completes the running ones, then stops."""
        if not self.admission.leaving:
            log.info("draining, requested by: {}", reason)
            LEAVING.set(1)
            self.admission.leaving = True
            message = {
                "type": "leaving",
                "name": self.settings["name"],
                "reason": reason,
            }
            for link in list(self.links):
                link.send(message)
            self.admission.refuse_waiting("leaving")
            self._finish_drain()
        return self.status()

    @defer.inlineCallbacks
    def _finish_drain(self) -> defer.Deferred[None]:
        """Shuts down once nothing is running, or after the timeout."""
        timeout_s = self.settings["drain"]["timeout_s"]
        removal = defer.Deferred.fromCoroutine(
            process_module.unregister(
                self.process,
                TARGET_KIND,
                self.settings["name"],
                self.registration,
            )
        )
        yield process_module.wait_until(self.reactor, self._is_idle, timeout_s)
        yield removal
        self._listening_port.stopListening()
        self.peers.stop()
        for link in list(self.links):
            link.close()
        self.reactor.callLater(
            process_module.POLL_INTERVAL_S, self._drained.callback, None
        )

    def _is_idle(self) -> bool:
        """Returns whether no request runs and no claim is to be written."""
        stage_count = len(self.pipeline.runs) if self.pipeline else 0
        call_count = 0
        if self.services is not None:
            call_count = (
                self.services.running_count
                + self.services.pending_claim_writes
            )
        return self.admission.running_count + stage_count + call_count == 0

    def _build_engine_components(self) -> None:
        self.engine_watch = engine_watch.EngineWatch(
            self.reactor,
            self.settings,
            self.admission,
            engine_watch.Callbacks(
                self._on_engine_died,
                self._on_engine_death_confirmed,
                self._register,
                self._send_load_report,
            ),
        )
        self.pipeline = pipeline_module.Pipeline(
            self.reactor,
            self.engine_watch.client,
            self.peers,
            self._stage_refusal_reason,
            self._may_go_on,
            self.first_stage_runner.callbacks(),
            recorder_module.Recorder(
                self.process.request_log, self.process.tracer
            ),
        )
        self.first_stage_runner.pipeline = self.pipeline

    def _build_service_components(self) -> None:
        claims = claims_module.Claims(
            self.process.store,
            self.process.local_identity.process,
            self.settings["service"]["claim_ttl_s"],
        )
        self.services = services_module.ServiceCalls(
            self.reactor,
            self.settings,
            claims,
            self.process.tracer,
            services_module.Callbacks(
                self.admission.on_request_done, self._on_service_died
            ),
        )

    def _start_loops(self) -> None:
        self._start_loop(self._send_load_report, LOAD_REPORT_INTERVAL_S)
        self._start_loop(self._read_config_if_needed, CONFIG_CHECK_INTERVAL_S)

    def _start_loop(
        self, callback: Callable[[], Any], interval_s: float
    ) -> None:
        loop = task.LoopingCall(callback)
        loop.clock = self.reactor
        loop.start(interval_s, now=False).addErrback(
            process_module.log_stopped_call
        )

    def _read_config_if_needed(self) -> None:
        """Reads the configuration from the store unless entries send it.

        That is so once a version is in force and a link to an entry is open.
        """
        if self._entry_links() and self.process.feed.version():
            return
        process_module.read_config(self.process)

    def _on_vm_leaving(self, link: link_module.Link, message: Any) -> None:
        if message["vm"] == self.settings["vm"]:
            self.drain("VM list")

    def _register(self) -> None:
        self.registration = self._build_registration()
        process_module.register(
            self.process, TARGET_KIND, self.settings["name"], self.registration
        )

    def _build_registration(self) -> dict[str, Any]:
        advertise = self.settings.get("advertise") or {
            "host": self.settings["link"]["host"],
            "port": self.link_port,
        }
        info = self.engine_watch.info if self.engine_watch else None
        service = self.settings.get("service")
        return {
            "target": self.settings["name"],
            "host": advertise["host"],
            "port": advertise["port"],
            "admin_host": self.settings["admin"]["host"],
            "admin_port": self.admin_port,
            "data_centre": self.settings["data_centre"],
            "vm": self.settings["vm"],
            "model": info.model if info else "",
            "first_layer": info.first_layer if info else 0,
            "end_layer": info.end_layer if info else 0,
            "layer_count": info.layer_count if info else 0,
            "accelerator_kind": self.settings["accelerator_kind"],
            "service": service["name"] if service else "",
            "max_running": self.settings["limits"]["running"],
        }

    def _pause_until_idle(self) -> defer.Deferred[bool]:
        """Refuses new requests until resumed and waits for running ones."""
        return self.engine_watch.pause(self._is_idle)

    def _on_engine_died(self) -> None:
        self.process.suspects.record_death(
            self.settings["name"], self.pipeline.in_engine_s_by_digest()
        )
        self._prompts_at_failure = (
            self.first_stage_runner.prompts_without_output()
        )

    def _on_engine_death_confirmed(self, engine: str) -> None:
        self.process.part_evidence.record_death(
            f"{self.settings['name']}/{engine}", self._prompts_at_failure
        )

    def _on_service_died(self) -> None:
        self.process.suspects.record_death(
            self.settings["name"], self.services.running_s_by_digest()
        )

    def _running_s_by_digest(self) -> dict[int, float]:
        runner = self.pipeline or self.services
        return runner.running_s_by_digest()

    def _stage_refusal_reason(self, message: Any) -> str:
        """Returns why a stage can't be reserved, or an empty string."""
        reason = self.admission.refusal_reason(message)
        if reason:
            return reason
        reason = self._suspect_refusal_reason(message)
        if reason:
            return reason
        stage = message["chain"][message["stage_index"]]
        info = self.engine_watch.info
        if (stage["first_layer"], stage["end_layer"]) != (
            info.first_layer,
            info.end_layer,
        ):
            return "wrong_layers"
        if len(self.pipeline.runs) >= self.settings["limits"]["running"]:
            return "full"
        return ""

    def _suspect_refusal_reason(self, message: Any) -> str:
        """Returns why a request may not start now, or an empty string.

        Concerns requests suspected of crashing targets. Only their entry
        decides whether to reject them for good: an agent sees too few
        crashes to tell a request that causes them from a failed rack. That
        does not hold for the parts of prompts, as output clears sound ones.
        """
        if message["type"] == "start":
            parts = _describe_prompt(message).parts
            if self.process.part_evidence.condemned_part(parts) is not None:
                return next_stages.CRASHES_TARGETS
        digest = message["digest"]
        if self.process.suspects.may_run_beside(
            digest, self._running_s_by_digest()
        ):
            return ""
        return next_stages.SUSPECT_CONFLICT

    def _may_go_on(self, digest: int) -> bool:
        """Returns whether a request needs no decision of its entry now."""
        state = self.process.suspects.state(digest)
        return state in suspects_module.STATES_TO_RUN

    def _preempt(self, key: stage_runs.AttemptKey) -> None:
        self.first_stage_runner.preempt(key)

    def _start_request(self, message: Any, link: link_module.Link) -> None:
        if message["type"] == "call":
            self.services.start_call(message, link)
            return
        prompt_info = _describe_prompt(message)
        self._load_reports.record_prefixes(
            part.key for part in prompt_info.beginnings
        )
        self.first_stage_runner.begin(message, link, prompt_info.parts)

    def _on_link_open(self, link: link_module.Link) -> None:
        self.links.add(link)
        self.process.feed.on_open(link)
        self.process.suspects.on_open(link)
        self.process.part_evidence.on_open(link)
        if link.peer["role"] == "agent":
            self.peers.add(link)
            if self.pipeline is not None:
                self.pipeline.on_peer_up(link.peer["name"])
        else:
            link.send(self._load_reports.full_report())
        if self.admission.leaving:
            link.send(
                {
                    "type": "leaving",
                    "name": self.settings["name"],
                    "reason": "leaving",
                }
            )

    def _on_link_down(self, link: link_module.Link, reason: str) -> None:
        self.links.discard(link)
        self.process.feed.on_down(link)
        self.process.suspects.on_down(link)
        self.process.part_evidence.on_down(link)
        self._target_queries.on_down(link)
        if link.peer is None:
            return
        if link.peer["role"] == "entry":
            self.first_stage_runner.cancel_for_link(link)
            self.admission.remove_for_link(link)
        elif self.peers.remove(link) and self.pipeline is not None:
            self.pipeline.on_peer_down(link.peer["name"], reason)

    def _on_link_silence(self, link: link_module.Link) -> None:
        """Closes a silent link, unless a run has to wait for its peer."""
        if not link.is_silent:
            return
        name = link.peer["name"]
        has_waiting_runs = (
            self.pipeline is not None
            and self.peers.is_current(link)
            and self.pipeline.replace_silent_stages(name)
        )
        if not has_waiting_runs:
            link.abort(link_module.SILENCE)

    def _build_target_operations(self) -> orders.TargetOperations:
        if self.engine_watch is None:
            return orders.TargetOperations(
                None, self._pause_until_idle, lambda: None, self.drain
            )
        return orders.TargetOperations(
            self.engine_watch.client,
            self._pause_until_idle,
            self.engine_watch.resume,
            self.drain,
        )

    def _build_message_dispatcher(
        self,
    ) -> message_dispatcher.MessageDispatcher:
        process = self.process
        dispatcher = message_dispatcher.MessageDispatcher()
        dispatcher.add_handlers(
            {
                "heartbeat": process.feed.on_message,
                "config": process.feed.on_message,
                "suspects": process.suspects.on_message,
                "responses_seen": process.suspects.on_message,
                "part_evidence": process.part_evidence.on_message,
                "vm_leaving": self._on_vm_leaving,
                "order": self._orders.on_order,
                "targets_wanted": self._on_targets_wanted,
                "targets": self._target_queries.on_targets,
                "cancel": self._on_cancel,
            }
        )
        if self.pipeline is None:
            dispatcher.add_handlers({"call": self._on_request})
        else:
            dispatcher.add_handlers(
                {
                    "start": self._on_request,
                    "credit": self.first_stage_runner.on_credit,
                }
            )
            dispatcher.add_handlers(
                message_dispatcher.stage_handlers(self.pipeline)
            )
        return dispatcher

    def _on_request(self, link: link_module.Link, message: Any) -> None:
        self.admission.submit(message, link)

    def _on_targets_wanted(self, link: link_module.Link, _: Any) -> None:
        self._target_queries.on_targets_wanted(
            link, self.links, self.registration
        )

    def _on_cancel(self, link: link_module.Link, message: Any) -> None:
        key = stage_runs.attempt_key(message)
        if not self.admission.cancel(key):
            self.first_stage_runner.cancel(key)

    def _send_load_report(self) -> None:
        self.admission.update_service_rate()
        self._load_reports.send_if_changed(self._entry_links())

    def _entry_links(self) -> list[link_module.Link]:
        return [link for link in self.links if link.peer["role"] == "entry"]

    def _build_load_report(self) -> dict[str, Any]:
        stage_count = len(self.pipeline.runs) if self.pipeline else 0
        return {
            "type": "load",
            "target": self.settings["name"],
            "queued": self.admission.queued_count,
            "running": max(self.admission.running_count, stage_count),
            "max_running": self.settings["limits"]["running"],
            "queued_cost_tokens": self.admission.queued_cost_tokens,
            "tokens_per_s": self.admission.service_rate.tokens_per_s,
            "leaving": self.unready_reason() != "",
            "plan_backlog_tokens": self.admission.backlog_tokens_by_plan(),
        }


# The check of a request and its start follow each other.
_describe_cached = functools.lru_cache(maxsize=1)(prefixes_module.describe)


def _describe_prompt(start: Any) -> prefixes_module.PromptInfo:
    """Returns what is to be known of the prompt in a start message."""
    return _describe_cached(
        start["model"], start["workspace"], start["prompt"]
    )

"""Monitors the agent's model engine: reachability and loaded layers."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import logbook
from twisted.internet import defer

from hemlocktiller._internal import process as process_module
from hemlocktiller._internal.agent import admission_queue
from hemlocktiller._internal.agent import engine_client

INFO_RETRY_INTERVAL_S = 0.2
PAUSE_TIMEOUT_S = 60.0
ENGINE_DOWN = "engine_down"
LOADING = "loading"

log = logbook.Logger(__name__)


class Callbacks(NamedTuple):
    """Callbacks for changes of the engine's state.

    Attributes:
        on_died: A call of the engine failed while it was ready.
        on_death_confirmed: The engine of this id, whose call failed before,
            does not respond or has been replaced.
        on_info_changed: The engine's model or layers have changed.
        on_readiness_changed: The agent may have started or stopped accepting
            requests.
    """

    on_died: Callable[[], None]
    on_death_confirmed: Callable[[str], None]
    on_info_changed: Callable[[], None]
    on_readiness_changed: Callable[[], None]


class EngineWatch:
    """Monitors the engine and refuses requests while it is not ready.

    Attributes:
        client: Client of the engine.
        info: Model and layers of the engine; None before its first response.
    """

    def __init__(
        self,
        reactor: Any,
        settings: Any,
        admission: admission_queue.AdmissionQueue,
        callbacks: Callbacks,
    ) -> None:
        self.info: engine_client.EngineInfo | None = None
        self.client = engine_client.EngineClient(
            reactor, settings["engine"], self._on_call_failed
        )
        self._reactor = reactor
        self._admission = admission
        self._callbacks = callbacks
        self._info_requested = False
        self._paused = False
        self._failed_engine = ""
        admission.not_ready_reason = ENGINE_DOWN

    def request_info(self) -> None:
        """Requests the engine's info, with retries until it responds."""
        if self._info_requested:
            return
        self._info_requested = True
        info_result = self.client.info()
        info_result.addCallbacks(self._on_info, self._on_info_failed)

    def pause(self, is_idle: Callable[[], bool]) -> defer.Deferred[bool]:
        """Refuses new requests and waits until the running ones have ended.

        Args:
            is_idle: Returns whether they have ended.

        Returns:
            A Deferred that fires with whether they ended before the timeout.
        """
        self._paused = True
        self._refuse_requests(LOADING)
        return process_module.wait_until(
            self._reactor, is_idle, PAUSE_TIMEOUT_S
        )

    def resume(self) -> None:
        """Accepts requests again once the engine reports its info."""
        self._paused = False
        self.request_info()

    def _refuse_requests(self, reason: str) -> None:
        """Refuses the queued requests, and new ones until the next info."""
        self._admission.not_ready_reason = reason
        self._admission.refuse_waiting(reason)
        self._callbacks.on_readiness_changed()

    def _on_call_failed(self) -> None:
        """Refuses requests after a failed call until the engine responds."""
        if not self._admission.not_ready_reason:
            log.warning(
                "engine call failed; refusing requests until it responds"
            )
            self._failed_engine = self.info.engine
            self._callbacks.on_died()
            self._refuse_requests(ENGINE_DOWN)
        self.request_info()

    def _on_info(self, info: engine_client.EngineInfo) -> None:
        """Stores the engine's info and accepts requests unless paused."""
        self._info_requested = False
        if info.engine != self._failed_engine:
            self._confirm_death()
        self._failed_engine = ""
        has_changed = self.info != info
        self.info = info
        self._admission.not_ready_reason = LOADING if self._paused else ""
        if has_changed:
            log.info("engine info changed: {}", info)
            self._callbacks.on_info_changed()
        self._callbacks.on_readiness_changed()

    def _on_info_failed(self, reason: Any) -> None:
        self._info_requested = False
        self._confirm_death()
        self._reactor.callLater(INFO_RETRY_INTERVAL_S, self.request_info)

    def _confirm_death(self) -> None:
        """Reports the engine whose call failed as dead, once."""
        engine, self._failed_engine = self._failed_engine, ""
        if engine:
            self._callbacks.on_death_confirmed(engine)

"""Follows whether the engine beside an agent answers, and what it holds."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import logbook
from twisted.internet import defer

from hemlocktiller._internal import process as process_module
from hemlocktiller._internal.agent import door as door_module
from hemlocktiller._internal.agent import engine as engine_module

POLL_S = 0.2
MAX_PAUSE_S = 60.0
ENGINE_DOWN = "engine_down"
LOADING = "loading"

log = logbook.Logger(__name__)


class Events(NamedTuple):
    """What the owner does when the engine's state changes.

    Attributes:
        on_died: The engine does not answer any more.
        on_info: It holds something else than before.
        on_changed: Whether work is taken has changed.
    """

    on_died: Callable[[], None]
    on_info: Callable[[], None]
    on_changed: Callable[[], None]


class EngineWatch:
    """What is known of the engine; opens and shuts the door before it.

    Attributes:
        client: Client of the engine.
        info: What the engine holds, or None before it answered once.
    """

    def __init__(
        self,
        reactor: Any,
        settings: Any,
        door: door_module.Door,
        events: Events,
    ) -> None:
        self.info: engine_module.Info | None = None
        self.client = engine_module.EngineClient(
            reactor, settings["engine"], self._on_failed
        )
        self._reactor = reactor
        self._door = door
        self._events = events
        self._polling = False
        self._paused = False
        door.unready = ENGINE_DOWN

    def poll(self) -> None:
        """Asks the engine what it holds, until it answers."""
        if self._polling:
            return
        self._polling = True
        asked = self.client.info()
        asked.addCallbacks(self._on_info, self._on_no_info)

    def pause(self, is_idle: Callable[[], bool]) -> defer.Deferred[bool]:
        """Takes no new work; tells whether what ran has finished."""
        self._paused = True
        self._shut(LOADING)
        return process_module.wait_until(self._reactor, is_idle, MAX_PAUSE_S)

    def resume(self) -> None:
        """Takes new work again, with what the engine holds now."""
        self._paused = False
        self.poll()

    def _shut(self, reason: str) -> None:
        self._door.unready = reason
        self._door.refuse_waiting(reason)
        self._events.on_changed()

    def _on_failed(self) -> None:
        if not self._door.unready:
            log.warning("the engine does not answer")
            self._events.on_died()
            self._shut(ENGINE_DOWN)
        self.poll()

    def _on_info(self, info: engine_module.Info) -> None:
        self._polling = False
        is_new = self.info != info
        self.info = info
        self._door.unready = LOADING if self._paused else ""
        if is_new:
            log.info("the engine holds {}", info)
            self._events.on_info()
        self._events.on_changed()

    def _on_no_info(self, reason: Any) -> None:
        self._polling = False
        self._reactor.callLater(POLL_S, self.poll)

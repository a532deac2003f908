"""Dispatches incoming messages to their handlers by message type."""

from collections.abc import Callable
from typing import Any

from hemlocktiller._internal.agent import pipeline as pipeline_module
from hemlocktiller._internal.links import link as link_module

MessageHandler = Callable[[link_module.Link, Any], None]


def stage_handlers(
    pipeline: pipeline_module.Pipeline,
) -> dict[str, MessageHandler]:
    """Returns the handlers for messages between stages, by type."""

    def on_hops(link: link_module.Link, message: Any) -> None:
        for hop in message["hops"]:
            pipeline.on_hop(link, hop)

    def on_hop_results(link: link_module.Link, message: Any) -> None:
        for result in message["results"]:
            pipeline.on_hop_result(result)

    return {
        "hops": on_hops,
        "hop_results": on_hop_results,
        "open": pipeline.on_open,
        "opened": pipeline.on_opened,
        "refused": pipeline.on_refused,
        "stage_failed": pipeline.on_stage_failed,
        "close": pipeline.on_close,
    }


class MessageDispatcher:
    """Dispatches the messages that an agent receives, by type.

    A message of a type without a handler is dropped: the agent of an engine
    accepts no calls, and the agent of a service accepts no hops.
    """

    def __init__(self) -> None:
        self._handlers: dict[str, MessageHandler] = {}

    def add_handlers(self, handlers: dict[str, MessageHandler]) -> None:
        """Adds handlers by message type."""
        self._handlers.update(handlers)

    def on_message(self, link: link_module.Link, message: Any) -> None:
        """Passes a message to the handler for its type, if there is one."""
        handler = self._handlers.get(message["type"])
        if handler is not None:
            handler(link, message)

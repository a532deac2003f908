"""Context of a subcommand: settings, reactor, store and HTTP client."""

import secrets
from typing import Any
from typing import NamedTuple

from twisted.web import client

from hemlocktiller._internal.schemas import operator_settings
from hemlocktiller._internal.store import client as store_client

WRITER_ID_BYTES = 6


class CommandContext(NamedTuple):
    """Objects that the subcommands share.

    Attributes:
        settings: Settings with defaults filled in.
        reactor: Reactor that runs the command.
        store: Client of the object API.
        http_agent: HTTP client for the admin pages.
    """

    settings: operator_settings.OperatorSettings
    reactor: Any
    store: store_client.ObjectStore
    http_agent: client.Agent


def create(
    settings: operator_settings.OperatorSettings, reactor: Any
) -> CommandContext:
    """Creates the context of one run of the program."""
    writer_id = f"operator-{secrets.token_hex(WRITER_ID_BYTES)}"
    store = store_client.ObjectStore(settings["store"], writer_id, reactor)
    http_agent = client.Agent(reactor, connectTimeout=settings["timeout_s"])
    return CommandContext(settings, reactor, store, http_agent)

"""What a subcommand works with: settings, reactor, store and HTTP."""

import secrets
from typing import Any
from typing import NamedTuple

from twisted.web import client

from hemlocktiller._internal.schemas import operator_settings
from hemlocktiller._internal.store import client as store_client

WRITER_BYTES = 6


class Session(NamedTuple):
    """What a subcommand works with.

    Attributes:
        settings: Settings with defaults filled in.
        reactor: Reactor that runs the command.
        store: Client of the object API.
        agent: HTTP client for the admin pages.
    """

    settings: operator_settings.OperatorSettings
    reactor: Any
    store: store_client.ObjectStore
    agent: client.Agent


def create(
    settings: operator_settings.OperatorSettings, reactor: Any
) -> Session:
    """Returns the session of one run of the program."""
    writer = f"operator-{secrets.token_hex(WRITER_BYTES)}"
    store = store_client.ObjectStore(settings["store"], writer, reactor)
    agent = client.Agent(reactor, connectTimeout=settings["timeout_s"])
    return Session(settings, reactor, store, agent)

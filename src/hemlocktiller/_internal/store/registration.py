"""Registers a process in the object API, so that other processes find it."""

from typing import Any

import logbook
from twisted.internet import task

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import watch

_LOG = logbook.Logger(__name__)


async def register(
    store: client.ObjectStore, kind: str, name: str, value: dict[str, Any]
) -> None:
    """Writes the registration of a process, replacing an earlier one.

    Retries until the write succeeds; meanwhile the process serves the peers
    that know it already. Nothing is written if the stored value is the same.

    Args:
        store: Client of the object API.
        kind: Kind of the registration.
        name: Name of the process.
        value: What other processes need to connect to it.
    """
    failures = 0
    while True:
        try:
            current = await store.read(kind, name)
            if current is not None and current.value == value:
                return
            version = current.version if current else 0
            await store.update(kind, name, value, version)
        except exceptions.StoreError as error:
            _LOG.info("registration failed, retrying: {}", error)
        else:
            return
        wait_s = watch.backoff_s(store.settings, failures)
        await task.deferLater(store.reactor, wait_s)
        failures += 1

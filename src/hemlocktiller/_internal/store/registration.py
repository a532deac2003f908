"""Writes the object by which others find a process, until it is written."""

from typing import Any

import logbook
from twisted.internet import task

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import watch

_LOG = logbook.Logger(__name__)


async def write(
    store: client.ObjectStore, kind: str, name: str, value: dict[str, Any]
) -> None:
    """Stores a value under a name of this process, whatever was there.

    It is tried again until it is written: the process serves meanwhile
    those who know it already. A value that is there already stays.

    Args:
        store: Client of the object API.
        kind: Kind of the registration.
        name: Name of the process.
        value: What others need to find it.
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
            _LOG.info("not registered yet: {}", error)
        else:
            return
        wait_s = watch.backoff_s(store.settings, failures)
        await task.deferLater(store.reactor, wait_s)
        failures += 1

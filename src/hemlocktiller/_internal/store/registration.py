"""Registers a process in the object API, so that other processes find it."""

from typing import Any

import logbook
from twisted.internet import task

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.store import backoff
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import watch

_LOG = logbook.Logger(__name__)


async def register(
    store: client.ObjectStore,
    kind: str,
    name: str,
    value: dict[str, Any],
    retry_wait: backoff.RetryWait | None = None,
) -> None:
    """Writes the registration of a process, replacing an earlier one.

    Retries until the write succeeds; meanwhile the process serves the peers
    that know it already. Nothing is written if the stored value is the same.

    Args:
        store: Client of the object API.
        kind: Kind of the registration.
        name: Name of the process.
        value: What other processes need to connect to it.
        retry_wait: Gives the time to wait after a failure; exponential if
            there is none.
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
            wait_s = (
                retry_wait(failures, error)
                if retry_wait
                else watch.backoff_s(store.settings, failures)
            )
        else:
            return
        await task.deferLater(store.reactor, wait_s)
        failures += 1

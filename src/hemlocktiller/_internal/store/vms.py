"""Follows the platform's VM list.

The list lags: a VM that it calls live may be gone.
"""

from collections.abc import Callable
from typing import NamedTuple

from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import watch

LIVE = "live"
LEAVING = "leaving"
_NEVER_READ = -1


class Vm(NamedTuple):
    """A VM of the list; the state is `LIVE` or `LEAVING`."""

    name: str
    host: str
    data_centre: str
    state: str


def follow(
    store: client.ObjectStore,
    poll_s: float,
    on_vms: Callable[[dict[str, Vm]], None],
) -> watch.Watch:
    """Follows the VM list; the receiver gets the whole list by name.

    Args:
        store: Client of the platform.
        poll_s: Shortest time in seconds between two reads.
        on_vms: Called with the first list and each newer one.
    """
    last = _NEVER_READ

    async def poll():
        nonlocal last
        news = await store.wait_vms(last)
        if news is not None and news["version"] > last:
            last = news["version"]
            watch.report(on_vms, _by_name(news["vms"]))
        return poll_s

    return watch.Watch(store, "vms", poll)


def _by_name(rows):
    vms = [
        Vm(row["name"], row["host"], row["data_centre"], row["state"])
        for row in rows
    ]
    return {vm.name: vm for vm in vms}

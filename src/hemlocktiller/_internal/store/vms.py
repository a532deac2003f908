"""Watches the platform's list of VMs.

The list is updated with a delay: a VM that it calls live may be gone already.
"""

from collections.abc import Callable
from typing import NamedTuple

from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import watch

LIVE = "live"
LEAVING = "leaving"
_NO_VERSION = -1


class Vm(NamedTuple):
    """A VM of the list.

    Attributes:
        name: Name of the VM.
        host: Host name or address of the VM.
        data_centre: Data centre of the VM.
        state: `LIVE` or `LEAVING`.
    """

    name: str
    host: str
    data_centre: str
    state: str


def watch_vms(
    store: client.ObjectStore,
    poll_s: float,
    on_vms: Callable[[dict[str, Vm]], None],
) -> watch.Watch:
    """Watches the VM list.

    Args:
        store: Client of the object API.
        poll_s: Time to wait between two polls.
        on_vms: Called with the VMs by name, for the first list and for each
            newer one.
    """
    last_version = _NO_VERSION

    async def poll():
        nonlocal last_version
        vm_list = await store.wait_for_vms(last_version)
        if vm_list is not None and vm_list["version"] > last_version:
            last_version = vm_list["version"]
            watch.call_logging_errors(on_vms, _parse_vms(vm_list["vms"]))
        return poll_s

    return watch.Watch(store, "vms", poll)


def _parse_vms(entries):
    vms = [
        Vm(entry["name"], entry["host"], entry["data_centre"], entry["state"])
        for entry in entries
    ]
    return {vm.name: vm for vm in vms}

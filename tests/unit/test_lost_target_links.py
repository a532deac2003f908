"""Links to targets that an entry has lost."""

import gc
import weakref

from tests.unit import fleet_simulation


def test_an_entry_keeps_no_lost_links_to_targets(monkeypatch):
    fleet = fleet_simulation.Fleet(
        monkeypatch, "crashing", agents=2, whole_vm_crashes=True
    )
    links = [
        weakref.ref(target.link)
        for entry in fleet.entries.values()
        for target in entry.targets.by_name.values()
    ]
    fleet.crash_engine("a0")
    fleet.crash_engine("a1")
    fleet.run(2 * fleet_simulation.RESTART_S)
    gc.collect()
    assert [link() for link in links] == [None] * 4

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


def test_work_of_an_ended_entry_is_released_by_an_agent_that_goes_on(
    monkeypatch,
):
    fleet = fleet_simulation.Fleet(monkeypatch, "crashing", agents=1)
    agent = fleet.agents["a0"]
    end = fleet.dial("a0")
    connection = fleet._connections[-1]
    # What a silent agent finds when it goes on: a start, then a closed link.
    message = fleet_simulation.start_message("a menu for the hall", 8)
    end.link.send(message)
    connection.deliver()
    assert agent.admission.running_count == 1
    connection.lose()
    fleet.run(0.5)
    assert agent.admission.running_count == 0
    assert agent.pipeline.runs == {}
    assert len(fleet.begun) <= 1

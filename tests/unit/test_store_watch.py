import pytest

from hemlocktiller._internal.store import vms
from hemlocktiller._internal.store import watch


def write(platform, name, value, version=0):
    """Writes an object and lets the watches see it."""
    store = platform.store("writer")
    made = platform.result(store.update("thing", name, value, version))
    platform.run(0.5)
    return made.version


def test_object_is_reported_when_absent_made_changed_and_gone(platform):
    seen = []
    watch.watch_object(platform.store(), "thing", "a", seen.append)
    platform.run(0.5)
    version = write(platform, "a", 1)
    version = write(platform, "a", 2, version)
    platform.result(platform.store().delete("thing", "a", version))
    platform.run(0.5)
    write(platform, "a", 3)
    values = [stored and stored.value for stored in seen]
    assert values == [None, 1, 2, None, 3]


@pytest.mark.parametrize("outage", ["refuse", "hang"])
def test_watch_goes_on_after_an_outage_without_an_older_version(
    platform, outage
):
    version = write(platform, "a", 1)
    seen = []
    watch.watch_object(platform.store(), "thing", "a", seen.append)
    platform.run(1.0)
    platform.faults(outage=outage, kinds=["thing"])
    platform.run(120.0)
    platform.faults()
    write(platform, "a", 2, version)
    platform.run(60.0)
    assert [stored.value for stored in seen] == [1, 2]


def test_calls_in_an_outage_back_off(platform):
    watch.watch_object(platform.store(), "thing", "a", lambda stored: None)
    platform.faults(outage="refuse")
    platform.run(100.0)
    assert platform.state.calls["GET"]["thing"] < 60


def test_older_version_of_a_restored_store_is_not_reported(platform):
    version = write(platform, "a", 1)
    write(platform, "a", 2, version)
    seen = []
    watch.watch_object(platform.store(), "thing", "a", seen.append)
    platform.run(1.0)
    platform.state.objects["thing"]["a"] = platform.state.objects["thing"][
        "a"
    ]._replace(version=version)
    platform.run(60.0)
    assert [stored.value for stored in seen] == [2]


def test_stopped_watch_reports_nothing(platform):
    seen = []
    following = watch.watch_object(platform.store(), "thing", "a", seen.append)
    platform.run(0.5)
    following.stop()
    write(platform, "a", 1)
    assert seen == [None]
    calls = platform.state.calls["GET"]["thing"]
    platform.run(60.0)
    assert platform.state.calls["GET"]["thing"] == calls


def test_receiver_that_fails_does_not_end_the_watch(platform):
    seen = []

    def receive(stored):
        seen.append(stored)
        raise ValueError("broken receiver")

    watch.watch_object(platform.store(), "thing", "a", receive)
    platform.run(0.5)
    write(platform, "a", 1)
    assert len(seen) == 2


def test_kind_is_reported_whole_then_by_changes(platform):
    version = write(platform, "a", 1)
    seen = []

    def receive(changed, deleted, whole):
        seen.append(([made.value for made in changed], deleted, whole))

    watch.watch_kind(platform.store(), "thing", receive)
    platform.run(0.5)
    write(platform, "b", 2)
    platform.result(platform.store().delete("thing", "a", version))
    platform.run(0.5)
    assert seen == [([1], [], True), ([2], [], False), ([], ["a"], False)]


def test_kind_is_read_whole_when_its_history_is_lost(platform):
    write(platform, "a", 1)
    seen = []

    def receive(changed, deleted, whole):
        seen.append((len(changed), whole))

    watch.watch_kind(platform.store(), "thing", receive)
    platform.run(0.5)
    platform.faults(outage="refuse", kinds=["thing"])
    platform.run(1.0)
    platform.faults()
    platform.state.dropped_version = platform.state.version + 1
    platform.run(10.0)
    assert seen[-1] == (1, True)
    assert len(seen) >= 2


def test_vm_list_is_reported_on_change_only(platform):
    seen = []
    vms.watch_vms(platform.store(), 1.0, seen.append)
    platform.run(2.0)
    row = {"host": "127.0.0.1", "data_centre": "a", "state": "live"}
    platform.state.put_vm("v1", row)
    platform.run(2.0)
    platform.state.put_vm("v1", {**row, "state": "leaving"})
    platform.run(2.0)
    states = [{name: vm.state for name, vm in list_.items()} for list_ in seen]
    assert states == [{}, {"v1": vms.LIVE}, {"v1": vms.LEAVING}]
    assert platform.state.calls["GET"]["vms"] <= 7


def test_many_changes_of_a_kind_come_with_few_polls(platform):
    names = []

    def on_changes(changed, deleted, whole):
        names.extend(stored.name for stored in changed)

    watch.watch_kind(platform.store(), "thing", on_changes)
    platform.run(1.0)
    before = platform.state.calls["GET"]["thing"]
    for number in range(20):
        platform.result(platform.store().create("thing", f"n{number}", 1))
        platform.run(0.1)
    platform.run(2.0)
    assert sorted(names) == sorted(f"n{number}" for number in range(20))
    assert platform.state.calls["GET"]["thing"] - before <= 5


def test_a_renewed_watch_polls_at_once_and_misses_nothing(platform):
    version = write(platform, "a", 1)
    seen = []
    watching = watch.watch_object(platform.store(), "thing", "a", seen.append)
    platform.run(1.0)
    before = platform.state.calls["GET"]["thing"]
    watching.restart_poll()
    platform.run(1.0)
    assert platform.state.calls["GET"]["thing"] == before + 1
    write(platform, "a", 2, version)
    assert [stored.value for stored in seen] == [1, 2]
    watching.stop()

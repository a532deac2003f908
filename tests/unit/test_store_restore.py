"""The store is restored from a copy: what its clients believe afterwards."""

import pytest

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.control import lease
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import versions
from hemlocktiller._internal.store import watch
from tests.unit import test_lease

KIND = "thing"


def write(platform, name, value, version=0):
    """Writes an object by a client of its own; returns it."""
    store = platform.store("writer")
    return platform.result(store.update(KIND, name, value, version))


def restore(platform, copy):
    """Restores the store and lets each client call it once."""
    platform.state.restore(copy)
    platform.run(0.5)


def test_versions_of_a_later_era_are_higher(platform):
    write(platform, "a", 1)
    copy = platform.state.copy()
    before = write(platform, "b", 1)
    restore(platform, copy)
    after = write(platform, "b", 2)
    assert versions.revision_of(after.version) == before.version
    assert after.version > before.version
    assert versions.era_of(after.version) == 1


def test_a_watch_reports_all_objects_again_after_a_restore(platform):
    first = write(platform, "a", 1)
    copy = platform.state.copy()
    changes = []
    watch.watch_kind(
        platform.store(), KIND, lambda *change: changes.append(change)
    )
    platform.run(0.5)
    write(platform, "a", 2, first.version)
    platform.run(2.0)
    restore(platform, copy)
    platform.run(10.0)
    changed, deleted, is_full_listing, _ = changes[-1]
    assert [stored.value for stored in changed] == [1]
    assert is_full_listing


def test_a_watch_misses_nothing_if_its_revision_was_given_out_again(platform):
    write(platform, "a", 1)
    copy = platform.state.copy()
    last = write(platform, "b", 1)
    values = {}

    def on_changes(changed, deleted, is_full_listing, version):
        if is_full_listing:
            values.clear()
        values.update({stored.name: stored.value for stored in changed})

    watch.watch_kind(platform.store(), KIND, on_changes)
    platform.run(0.5)
    platform.state.restore(copy)
    for name in "cde":
        write(platform, name, 1)
    assert platform.state.version > last.version
    platform.run(10.0)
    assert values == {"a": 1, "c": 1, "d": 1, "e": 1}


def test_a_condition_on_an_earlier_era_never_holds(platform):
    store = platform.store("late")
    first = platform.result(store.create(KIND, "a", "first"))
    copy = platform.state.copy()
    second = platform.result(store.update(KIND, "a", "second", first.version))
    platform.state.restore(copy)
    # Another client's write gets the revision that the second one had.
    restored = versions.join(1, first.version)
    third = write(platform, "a", "third", restored)
    assert versions.revision_of(third.version) == second.version
    with pytest.raises(exceptions.WriteOutcomeUnknown):
        platform.result(store.update(KIND, "a", "x", second.version))


def test_no_write_is_sent_under_a_condition_on_an_earlier_era(platform):
    store = platform.store("late")
    first = platform.result(store.create(KIND, "a", "first"))
    restore(platform, platform.state.copy())
    platform.result(store.read(KIND, "a"))
    writes = platform.writes(KIND)
    with pytest.raises(exceptions.VersionConflict):
        platform.result(store.update(KIND, "a", "x", first.version))
    assert platform.writes(KIND) == writes


def test_a_late_answer_of_an_earlier_era_is_dropped(platform):
    store = platform.store()
    write(platform, "a", 1)
    platform.result(store.read(KIND, "a"))
    store.learn_era(3)
    with pytest.raises(exceptions.StoreUnavailable):
        platform.result(store.read(KIND, "a"))


def test_a_change_of_the_era_is_reported_once(platform):
    store = platform.store()
    eras = []
    store.on_new_era.append(eras.append)
    write(platform, "a", 1)
    platform.result(store.read(KIND, "a"))
    assert eras == []
    restore(platform, platform.state.copy())
    for _ in range(3):
        platform.result(store.read(KIND, "a"))
    platform.run(0.5)
    assert eras == [1]


def test_a_late_loss_of_a_reply_is_not_resolved_by_another_era(platform):
    """A write whose reply is lost before a restore may be gone with it."""
    store = platform.store("late")
    first = platform.result(store.create(KIND, "a", "first"))
    platform.faults(lose_replies=1)
    pending = store.update(KIND, "a", "second", first.version)
    copy = platform.state.copy()
    platform.state.restore(copy)
    with pytest.raises(
        (exceptions.WriteOutcomeUnknown, exceptions.VersionConflict)
    ):
        platform.result(pending)


def test_fencing_numbers_rise_through_a_restore(platform):
    holder = test_lease.Holder(platform, "first")
    test_lease.advance_time(platform, 1.0, holder)
    copy = platform.state.copy()
    platform.result(holder.lease.release())
    second = test_lease.Holder(platform, "second")
    test_lease.advance_time(platform, 30.0, second)
    number = second.current_number()
    platform.state.restore(copy)
    test_lease.advance_time(platform, 60.0, second)
    assert second.current_number() > number


def test_a_holder_acts_under_no_lease_of_an_earlier_era(platform):
    holder = test_lease.Holder(platform, "first")
    test_lease.advance_time(platform, 1.0, holder)
    number = holder.current_number()
    platform.state.restore(platform.state.copy())
    holder.lease._store.learn_era(1)
    assert holder.current_number() is None
    platform.run(0.1)
    assert holder.changes == [True, False]
    test_lease.advance_time(platform, 30.0, holder)
    assert holder.current_number() > number


@pytest.mark.parametrize("age_s", [0.0, 2.0, 8.0])
def test_no_two_processes_hold_the_lease_around_a_restore(platform, age_s):
    holders = [test_lease.Holder(platform, name) for name in ("a", "b", "c")]
    empty = platform.state.copy()
    test_lease.advance_time(platform, 1.0, *holders)
    copy = platform.state.copy() if age_s < 8.0 else empty
    test_lease.advance_time(platform, age_s, *holders)
    platform.state.restore(copy)
    for _ in range(600):
        test_lease.advance_time(platform, 0.1, *holders)
        numbers = [holder.current_number() for holder in holders]
        assert numbers.count(None) >= 2
    assert numbers.count(None) == 2


def test_a_former_holder_named_by_the_copy_waits_for_the_later_one(platform):
    """The later holder may not know of the restore yet."""
    former = test_lease.Holder(platform, "former")
    test_lease.advance_time(platform, 1.0, former)
    copy = platform.state.copy()
    later = test_lease.Holder(platform, "later")
    for _ in range(250):
        test_lease.advance_time(platform, 0.1, later)
    assert later.current_number()
    platform.state.restore(copy)
    # The later holder's calls fail, so that it learns of no restore.
    for _ in range(round(lease.DEFAULT_SETTINGS["duration_s"] * 10)):
        platform.run(0.1)
        former.clock.advance(0.1)
        assert not (later.current_number() and former.current_number())
    test_lease.advance_time(platform, 30.0, former)
    assert former.current_number()


def test_a_free_lease_of_a_restored_store_is_not_acquired_at_once(platform):
    """Its holder, unknown to the copy, may not know of the restore yet."""
    free = test_lease.Holder(platform, "earlier")
    test_lease.advance_time(platform, 1.0, free)
    platform.result(free.lease.release())
    copy = platform.state.copy()
    holder = test_lease.Holder(platform, "holder")
    test_lease.advance_time(platform, 30.0, holder)
    assert holder.current_number()
    platform.state.restore(copy)
    candidate = test_lease.Holder(platform, "candidate")
    for _ in range(round(lease.DEFAULT_SETTINGS["duration_s"] * 10)):
        test_lease.advance_time(platform, 0.1, candidate)
        assert not (holder.current_number() and candidate.current_number())
    test_lease.advance_time(platform, 30.0, candidate)
    assert candidate.current_number()


def test_watches_start_from_a_listing_without_a_call_in_vain(platform):
    store = platform.store()
    write(platform, "a", 1)
    platform.result(store.read(KIND, "a"))
    calls = platform.state.calls["GET"][KIND]
    store.learn_era(1)
    with pytest.raises(client.VersionTooOld):
        platform.result(store.wait_for_changes(KIND, 1))
    assert platform.state.calls["GET"][KIND] == calls

import pytest

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import objects
from hemlocktiller._internal.store import writes


def test_objects_are_created_read_updated_and_deleted(platform):
    store = platform.store()
    made = platform.result(store.create("thing", "a/b c", {"x": 1}))
    assert platform.result(store.read("thing", "a/b c")) == made
    changed = platform.result(
        store.update("thing", "a/b c", [2], made.version)
    )
    assert changed.version > made.version
    listing = platform.result(store.read_all("thing"))
    assert listing == client.Listing(changed.version, [changed])
    platform.result(store.delete("thing", "a/b c", changed.version))
    assert platform.result(store.read("thing", "a/b c")) is None


def test_lost_races_show_the_object_that_won(platform):
    store = platform.store()
    first = platform.result(store.create("thing", "a", 1))
    with pytest.raises(exceptions.ObjectExists) as exists:
        platform.result(platform.store("other").create("thing", "a", 2))
    assert exists.value.current == first
    second = platform.result(store.update("thing", "a", 3, first.version))
    with pytest.raises(exceptions.VersionConflict) as conflict:
        platform.result(store.update("thing", "a", 4, first.version))
    assert conflict.value.current == second


@pytest.mark.parametrize("lost", [1, 2, 3])
def test_lost_reply_is_settled_by_the_nonce(platform, lost):
    store = platform.store()
    platform.faults(lose_replies=lost)
    made = platform.result(store.create("thing", "a", 1))
    assert made.value == 1
    assert len(platform.state.changes) == 1
    changed = platform.result(store.update("thing", "a", 2, made.version))
    platform.faults(lose_replies=1)
    platform.result(store.delete("thing", "a", changed.version))
    assert platform.result(store.read("thing", "a")) is None


def test_outage_that_refuses_writes_nothing(platform):
    store = platform.store()
    platform.faults(outage="refuse")
    with pytest.raises(exceptions.StoreUnavailable):
        platform.result(store.create("thing", "a", 1))
    with pytest.raises(exceptions.StoreUnavailable):
        platform.result(store.read("thing", "a"))
    assert not platform.state.changes


def test_outage_that_hangs_leaves_a_write_unknown(platform):
    store = platform.store()
    platform.faults(outage="hang")
    with pytest.raises(exceptions.WriteOutcomeUnknown):
        platform.result(store.create("thing", "a", 1))
    with pytest.raises(exceptions.StoreUnavailable):
        platform.result(store.read("thing", "a"))


def test_refusal_after_a_lost_reply_is_not_called_unwritten(platform):
    store = platform.store()
    platform.faults(delay_s=60.0)
    writing = store.create("thing", "a", 1)
    platform.run(1.0)
    platform.faults(outage="refuse")
    with pytest.raises(exceptions.WriteOutcomeUnknown):
        platform.result(writing)
    platform.run(60.0)
    assert len(platform.state.changes) == 1


def test_slow_write_is_sent_again_and_takes_effect_once(platform):
    store = platform.store()
    platform.faults(delay_s=3.0)
    writing = store.create("thing", "a", 1)
    platform.run(1.5)
    platform.faults()
    assert platform.result(writing).value == 1
    platform.run(10.0)
    assert len(platform.state.changes) == 1


@pytest.mark.parametrize(
    ("nonce", "base_version", "may_have_run", "error"),
    [
        ("mine", 1, True, None),
        ("other", 1, True, exceptions.VersionConflict),
        ("other", 2, False, exceptions.VersionConflict),
        ("other", 2, True, exceptions.WriteOutcomeUnknown),
        ("", None, True, exceptions.WriteOutcomeUnknown),
    ],
)
def test_write_may_have_run_unless_its_base_was_replaced_by_another(
    nonce, base_version, may_have_run, error
):
    write = writes.Write("thing", "a", 1, "mine", 2, b"2")
    stored = objects.StoredObject("thing", "a", 3, 2)
    found = writes.ObjectWithOrigin(
        stored, objects.WriteOrigin(nonce, base_version)
    )
    outcome = writes.resolve_outcome(write, found, may_have_run)
    if error is None:
        assert outcome.ok == stored
    else:
        assert type(outcome.error) is error


def test_conflict_after_a_lost_reply_is_proved_by_the_base_version(platform):
    mine = platform.store("mine")
    made = platform.result(mine.create("thing", "a", 1))
    platform.faults(outage="hang")
    writing = mine.update("thing", "a", 2, made.version)
    platform.run(1.0)
    platform.faults()
    platform.result(platform.store().update("thing", "a", 3, made.version))
    with pytest.raises(exceptions.VersionConflict) as conflict:
        platform.result(writing)
    assert conflict.value.current.value == 3


def test_value_over_the_limit_is_an_error(platform):
    store = platform.store()
    with pytest.raises(exceptions.StoreError):
        platform.result(store.create("thing", "a", "x" * 1_100_000))
    assert not platform.state.changes

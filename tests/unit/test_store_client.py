import pytest
from twisted.internet import defer
from twisted.internet import task

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import objects
from hemlocktiller._internal.store import transport
from hemlocktiller._internal.store import watch
from hemlocktiller._internal.store import writes
from tests.fakes import memory


def test_objects_are_created_read_updated_and_deleted(platform):
    store = platform.store()
    created = platform.result(store.create("thing", "a/b c", {"x": 1}))
    assert platform.result(store.read("thing", "a/b c")) == created
    updated = platform.result(
        store.update("thing", "a/b c", [2], created.version)
    )
    assert updated.version > created.version
    listing = platform.result(store.read_all("thing"))
    assert listing == client.Listing(updated.version, [updated])
    platform.result(store.delete("thing", "a/b c", updated.version))
    assert platform.result(store.read("thing", "a/b c")) is None


def test_conflict_errors_carry_the_current_object(platform):
    store = platform.store()
    created = platform.result(store.create("thing", "a", 1))
    with pytest.raises(exceptions.ObjectExists) as exists:
        platform.result(platform.store("other").create("thing", "a", 2))
    assert exists.value.current == created
    updated = platform.result(store.update("thing", "a", 3, created.version))
    with pytest.raises(exceptions.VersionConflict) as conflict:
        platform.result(store.update("thing", "a", 4, created.version))
    assert conflict.value.current == updated


@pytest.mark.parametrize("lost", [1, 2, 3])
def test_lost_reply_is_resolved_by_the_nonce(platform, lost):
    store = platform.store()
    platform.faults(lose_replies=lost)
    created = platform.result(store.create("thing", "a", 1))
    assert created.value == 1
    assert len(platform.state.changes) == 1
    updated = platform.result(store.update("thing", "a", 2, created.version))
    platform.faults(lose_replies=1)
    platform.result(store.delete("thing", "a", updated.version))
    assert platform.result(store.read("thing", "a")) is None


def test_refused_calls_write_nothing(platform):
    store = platform.store()
    platform.faults(outage="refuse")
    with pytest.raises(exceptions.StoreUnavailable):
        platform.result(store.create("thing", "a", 1))
    with pytest.raises(exceptions.StoreUnavailable):
        platform.result(store.read("thing", "a"))
    assert not platform.state.changes


def test_write_that_times_out_has_an_unknown_outcome(platform):
    store = platform.store()
    platform.faults(outage="hang")
    with pytest.raises(exceptions.WriteOutcomeUnknown):
        platform.result(store.create("thing", "a", 1))
    with pytest.raises(exceptions.StoreUnavailable):
        platform.result(store.read("thing", "a"))


def test_refused_retry_after_a_lost_reply_has_an_unknown_outcome(platform):
    store = platform.store()
    platform.faults(delay_s=60.0)
    pending_write = store.create("thing", "a", 1)
    platform.run(1.0)
    platform.faults(outage="refuse")
    with pytest.raises(exceptions.WriteOutcomeUnknown):
        platform.result(pending_write)
    platform.run(60.0)
    assert len(platform.state.changes) == 1


def test_slow_write_is_retried_and_takes_effect_once(platform):
    store = platform.store()
    platform.faults(delay_s=3.0)
    pending_write = store.create("thing", "a", 1)
    platform.run(1.5)
    platform.faults()
    assert platform.result(pending_write).value == 1
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


def test_base_version_proves_a_conflict_after_a_lost_reply(platform):
    first_store = platform.store("mine")
    created = platform.result(first_store.create("thing", "a", 1))
    platform.faults(outage="hang")
    pending_write = first_store.update("thing", "a", 2, created.version)
    platform.run(1.0)
    platform.faults()
    platform.result(platform.store().update("thing", "a", 3, created.version))
    with pytest.raises(exceptions.VersionConflict) as conflict:
        platform.result(pending_write)
    assert conflict.value.current.value == 3


def test_value_over_the_limit_is_an_error(platform):
    store = platform.store()
    with pytest.raises(exceptions.StoreError):
        platform.result(store.create("thing", "a", "x" * 1_100_000))
    assert not platform.state.changes


class MalformedTransport:
    """Answers each call with 200 and a document of another structure."""

    def __init__(self, document):
        self._document = document

    def call(self, *arguments, **options):
        """Returns a Deferred that has fired with the reply."""
        return defer.succeed(transport.Reply(200, self._document))


@pytest.mark.parametrize(
    "document",
    [{}, {"version": 1}, {"version": "x", "objects": 5, "name": 1}],
)
def test_an_answer_of_another_structure_fails_as_a_store_error(document):
    store = client.ObjectStore(
        memory.STORE_SETTINGS,
        "test",
        task.Clock(),
        custom_transport=MalformedTransport(document),
    )
    for call in (
        store.read("thing", "a"),
        store.read_all("thing"),
        store.wait_for_object("thing", "a", 0),
        store.wait_for_changes("thing", 0),
        store.update("thing", "a", 1, 0),
    ):
        failures = []
        call.addErrback(failures.append)
        if failures:
            assert failures[0].check(exceptions.StoreError)


def test_a_watch_outlives_an_answer_of_another_structure():
    malformed = MalformedTransport({})
    clock = task.Clock()
    store = client.ObjectStore(
        memory.STORE_SETTINGS, "test", clock, custom_transport=malformed
    )
    reported = []
    watch.watch_kind(store, "thing", lambda *change: reported.append(change))
    clock.advance(1.0)
    malformed._document = {"version": 1, "objects": []}
    clock.pump([0.5] * 20)
    assert reported[0] == ([], [], True, 1)

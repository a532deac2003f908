"""Tests of leases and of the fence that rejects orders of former holders."""

import pytest
from twisted.internet import defer
from twisted.internet import task

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.control import fence
from hemlocktiller._internal.control import lease

NAME = "dc1"
SETTINGS = lease.DEFAULT_SETTINGS


class Holder:
    """A process that competes for the lease.

    Its timers run on a clock of its own, which stands still while the process
    is paused.
    """

    def __init__(self, platform, name):
        self.clock = task.Clock()
        self.changes = []
        self.lease = lease.Lease(
            platform.store(name),
            NAME,
            SETTINGS,
            self.clock,
            self.changes.append,
            platform.clock.seconds,
        )
        self.lease.start()

    def current_number(self):
        """Returns the fencing number, or None if the lease is not held."""
        try:
            return self.lease.fencing_number()
        except exceptions.LeaseLost:
            return None


def advance_time(platform, duration_s, *holders):
    """Advances the time; holders that are not given are paused."""
    for _ in range(round(duration_s * 10)):
        platform.run(0.1)
        for holder in holders:
            holder.clock.advance(0.1)


def test_fencing_number_grows_only_with_a_new_holder(platform):
    first = Holder(platform, "first")
    advance_time(platform, 1.0, first)
    number = first.current_number()
    advance_time(platform, 60.0, first)
    assert first.current_number() == number
    platform.result(first.lease.release())
    assert first.current_number() is None
    second = Holder(platform, "second")
    advance_time(platform, 1.0, second)
    assert second.current_number() > number
    assert first.changes == [True, False]


def test_two_candidates_never_hold_the_lease_at_once(platform):
    holders = [Holder(platform, "first"), Holder(platform, "second")]
    for _ in range(600):
        advance_time(platform, 0.1, *holders)
        assert [holder.current_number() for holder in holders].count(None) >= 1
    assert [holder.current_number() for holder in holders].count(None) == 1


@pytest.mark.parametrize("paused_s", [8.0, 12.0, 60.0])
def test_paused_holder_and_its_successor_never_hold_the_lease_at_once(
    platform, paused_s
):
    first = Holder(platform, "first")
    advance_time(platform, 1.0, first)
    number = first.current_number()
    second = Holder(platform, "second")
    for _ in range(round(paused_s * 10)):
        advance_time(platform, 0.1, second)
        assert not (second.current_number() and first.current_number())
    advance_time(platform, 30.0, first, second)
    numbers = [holder.current_number() for holder in (first, second)]
    assert numbers.count(None) == 1
    if second.current_number():
        assert second.current_number() > number


def test_expired_holder_without_a_successor_keeps_its_number(platform):
    first = Holder(platform, "first")
    advance_time(platform, 1.0, first)
    number = first.current_number()
    platform.run(60.0)
    assert first.current_number() is None
    advance_time(platform, SETTINGS["renew_interval_s"] + 1.0, first)
    assert first.current_number() == number


def test_lost_reply_to_an_acquisition_is_resolved(platform):
    platform.faults(lose_replies=2)
    first = Holder(platform, "first")
    advance_time(platform, 1.0, first)
    assert first.current_number() is not None


def test_acquisition_with_late_replies_is_completed_afterwards(platform):
    platform.faults(delay_s=2.5)
    first = Holder(platform, "first")
    advance_time(platform, 60.0, first)
    assert first.current_number() is None
    platform.faults()
    advance_time(platform, 20.0, first)
    assert first.current_number() is not None


@pytest.mark.parametrize("outage", ["refuse", "hang"])
def test_lease_is_lost_in_an_outage_and_held_once_afterwards(platform, outage):
    holders = [Holder(platform, "first"), Holder(platform, "second")]
    advance_time(platform, 2.0, *holders)
    platform.faults(outage=outage)
    advance_time(platform, 12.0, *holders)
    assert [holder.current_number() for holder in holders] == [None, None]
    platform.faults()
    advance_time(platform, 40.0, *holders)
    assert [holder.current_number() for holder in holders].count(None) == 1


def test_deleted_lease_is_acquired_with_a_higher_number(platform):
    first = Holder(platform, "first")
    advance_time(platform, 1.0, first)
    number = first.current_number()
    store = platform.store("operator")
    stored = platform.result(store.read(lease.KIND, NAME))
    platform.result(store.delete(lease.KIND, NAME, stored.version))
    advance_time(platform, 30.0, first)
    assert first.current_number() > number


def test_number_of_store_calls_of_holder_and_candidate(platform):
    first = Holder(platform, "first")
    advance_time(platform, 1.0, first)
    writes = platform.writes(lease.KIND)
    advance_time(platform, 30.0, first)
    assert platform.writes(lease.KIND) - writes == 10
    assert platform.state.calls["GET"][lease.KIND] <= 2
    second = Holder(platform, "second")
    reads = platform.state.calls["GET"][lease.KIND]
    advance_time(platform, 60.0, first, second)
    assert platform.state.calls["GET"][lease.KIND] - reads <= 7


def test_fence_rejects_an_order_of_a_former_holder(platform):
    first = Holder(platform, "first")
    advance_time(platform, 1.0, first)
    stale_number = first.current_number()
    second = Holder(platform, "second")
    advance_time(platform, 30.0, second)
    agent = fence.Fence(platform.store("agent"))
    executed = []
    platform.result(
        agent.run(NAME, second.current_number(), lambda: executed.append(2))
    )
    with pytest.raises(exceptions.StaleFencingNumber):
        platform.result(
            agent.run(NAME, stale_number, lambda: executed.append(1))
        )
    assert executed == [2]


def test_restarted_agent_reads_the_lease_before_an_order(platform):
    first = Holder(platform, "first")
    advance_time(platform, 1.0, first)
    stale_number = first.current_number()
    second = Holder(platform, "second")
    advance_time(platform, 30.0, second)
    agent = fence.Fence(platform.store("agent"))
    platform.faults(outage="refuse")
    with pytest.raises(exceptions.StoreUnavailable):
        platform.result(agent.run(NAME, second.current_number(), lambda: None))
    platform.faults()
    with pytest.raises(exceptions.StaleFencingNumber):
        platform.result(agent.run(NAME, stale_number, lambda: None))
    order = agent.run(NAME, second.current_number(), lambda: "done")
    assert platform.result(order) == "done"
    assert agent.highest(NAME) == second.current_number()


def test_orders_of_a_lease_run_one_after_another(platform):
    agent = fence.Fence(platform.store("agent"))
    pending_order = defer.Deferred()
    executed = []
    agent.run(NAME, 1, lambda: pending_order.addCallback(executed.append))
    agent.run(NAME, 2, lambda: executed.append("second"))
    platform.run(1.0)
    assert executed == []
    pending_order.callback("first")
    assert executed == ["first", "second"]

import pytest
from twisted.internet import defer
from twisted.internet import task

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.control import fence
from hemlocktiller._internal.control import lease

NAME = "dc1"
SETTINGS = lease.DEFAULT_SETTINGS


class Holder:
    """A process that bids; it can be paused."""

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

    def number(self):
        """Returns the fencing number, or None if the lease is not held."""
        try:
            return self.lease.fencing_number()
        except exceptions.LeaseLost:
            return None


def run(platform, duration_s, *holders):
    """Lets time pass; holders that are not given are paused."""
    for _ in range(round(duration_s * 10)):
        platform.run(0.1)
        for holder in holders:
            holder.clock.advance(0.1)


def test_number_stays_through_renewals_and_grows_with_the_holder(platform):
    first = Holder(platform, "first")
    run(platform, 1.0, first)
    number = first.number()
    run(platform, 60.0, first)
    assert first.number() == number
    platform.result(first.lease.release())
    assert first.number() is None
    second = Holder(platform, "second")
    run(platform, 1.0, second)
    assert second.number() > number
    assert first.changes == [True, False]


def test_two_bidders_never_hold_it_together(platform):
    holders = [Holder(platform, "first"), Holder(platform, "second")]
    for _ in range(600):
        run(platform, 0.1, *holders)
        assert [one.number() for one in holders].count(None) >= 1
    assert [one.number() for one in holders].count(None) == 1


@pytest.mark.parametrize("paused_s", [8.0, 12.0, 60.0])
def test_paused_holder_stops_itself_when_it_wakes(platform, paused_s):
    first = Holder(platform, "first")
    run(platform, 1.0, first)
    number = first.number()
    second = Holder(platform, "second")
    for _ in range(round(paused_s * 10)):
        run(platform, 0.1, second)
        assert not (second.number() and first.number())
    run(platform, 30.0, first, second)
    numbers = [one.number() for one in (first, second)]
    assert numbers.count(None) == 1
    if second.number():
        assert second.number() > number


def test_holder_that_nobody_followed_keeps_its_number(platform):
    first = Holder(platform, "first")
    run(platform, 1.0, first)
    number = first.number()
    platform.run(60.0)
    assert first.number() is None
    run(platform, SETTINGS["renew_interval_s"] + 1.0, first)
    assert first.number() == number


def test_lost_reply_at_acquire_is_settled(platform):
    platform.faults(lose_replies=2)
    first = Holder(platform, "first")
    run(platform, 1.0, first)
    assert first.number() is not None


def test_acquisition_that_took_effect_unseen_is_renewed(platform):
    platform.faults(delay_s=2.5)
    first = Holder(platform, "first")
    run(platform, 60.0, first)
    assert first.number() is None
    platform.faults()
    run(platform, 20.0, first)
    assert first.number() is not None


@pytest.mark.parametrize("outage", ["refuse", "hang"])
def test_holder_stops_in_an_outage_and_one_holds_it_afterwards(
    platform, outage
):
    holders = [Holder(platform, "first"), Holder(platform, "second")]
    run(platform, 2.0, *holders)
    platform.faults(outage=outage)
    run(platform, 12.0, *holders)
    assert [one.number() for one in holders] == [None, None]
    platform.faults()
    run(platform, 40.0, *holders)
    assert [one.number() for one in holders].count(None) == 1


def test_deleted_lease_goes_on_with_higher_numbers(platform):
    first = Holder(platform, "first")
    run(platform, 1.0, first)
    number = first.number()
    store = platform.store("operator")
    stored = platform.result(store.read(lease.KIND, NAME))
    platform.result(store.delete(lease.KIND, NAME, stored.version))
    run(platform, 30.0, first)
    assert first.number() > number


def test_renewal_is_one_write_and_a_bid_one_read_per_duration(platform):
    first = Holder(platform, "first")
    run(platform, 1.0, first)
    writes = platform.writes(lease.KIND)
    run(platform, 30.0, first)
    assert platform.writes(lease.KIND) - writes == 10
    assert platform.state.calls["GET"][lease.KIND] <= 2
    second = Holder(platform, "second")
    reads = platform.state.calls["GET"][lease.KIND]
    run(platform, 60.0, first, second)
    assert platform.state.calls["GET"][lease.KIND] - reads <= 7


def test_fence_refuses_the_order_of_a_woken_holder(platform):
    first = Holder(platform, "first")
    run(platform, 1.0, first)
    old = first.number()
    second = Holder(platform, "second")
    run(platform, 30.0, second)
    agent = fence.Fence(platform.store("agent"))
    done = []
    platform.result(agent.run(NAME, second.number(), lambda: done.append(2)))
    with pytest.raises(exceptions.StaleFencingNumber):
        platform.result(agent.run(NAME, old, lambda: done.append(1)))
    assert done == [2]


def test_restarted_agent_reads_the_lease_before_an_order(platform):
    first = Holder(platform, "first")
    run(platform, 1.0, first)
    old = first.number()
    second = Holder(platform, "second")
    run(platform, 30.0, second)
    agent = fence.Fence(platform.store("agent"))
    platform.faults(outage="refuse")
    with pytest.raises(exceptions.StoreUnavailable):
        platform.result(agent.run(NAME, second.number(), lambda: None))
    platform.faults()
    with pytest.raises(exceptions.StaleFencingNumber):
        platform.result(agent.run(NAME, old, lambda: None))
    order = agent.run(NAME, second.number(), lambda: "done")
    assert platform.result(order) == "done"
    assert agent.highest(NAME) == second.number()


def test_orders_of_a_lease_wait_for_each_other(platform):
    agent = fence.Fence(platform.store("agent"))
    slow = defer.Deferred()
    done = []
    agent.run(NAME, 1, lambda: slow.addCallback(done.append))
    agent.run(NAME, 2, lambda: done.append("second"))
    platform.run(1.0)
    assert done == []
    slow.callback("first")
    assert done == ["first", "second"]

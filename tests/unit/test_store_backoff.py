"""How often all gateways call a store that fails, and when they are back."""

import pytest

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.control import lease
from hemlocktiller._internal.policy import store_backoff
from hemlocktiller._internal.store import backoff
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import watch
from tests.fakes import memory

SETTINGS = {
    **memory.STORE_SETTINGS,
    "timeout_s": 1.0,
    "watch_timeout_s": 2.0,
    "retry_max_s": 0.5,
}
OUTAGE_S = 8.0
CALLERS = 4
REFUSED = exceptions.StoreUnavailable("503")


class Gateway:
    """The callers of the store in one gateway.

    Attributes:
        back_at_s: Time of the prober's first answer after an outage.
    """

    def __init__(self, platform, name, count, is_shared):
        self._platform = platform
        self._store = client.ObjectStore(
            SETTINGS, name, platform.clock, platform._agent
        )
        self.back_at_s = None
        rule = self._backoff = backoff.StoreBackoff(SETTINGS)
        rule.is_shared = is_shared
        rule.count_gateways = lambda: count
        self._watches = [
            watch.watch_kind(self._store, kind, lambda *changes: None)
            for kind in ("config", "targets")
        ]
        for one in self._watches:
            one.retry_wait = rule.retry_wait(store_backoff.Caller.PATIENT)
        self._prober = watch.Watch(self._store, "gateways", self._discover)
        self._prober.on_failure = self._on_lost
        self._prober.retry_wait = rule.retry_wait(store_backoff.Caller.PROBER)
        self._lease = lease.Lease(
            self._store,
            "layout",
            {"duration_s": 3.0, "renew_interval_s": 1.0},
            platform.clock,
            monotonic_s=platform.clock.seconds,
        )
        self._lease.backoff = rule
        self._lease.start()

    async def _discover(self):
        await self._store.read_all("gateways", may_be_stale=True)
        if self._backoff.is_store_lost:
            self._backoff.is_store_lost = False
            self.back_at_s = self._platform.clock.seconds()
            for one in self._watches:
                one.restart_poll()
            self._lease.retry_now()
        return 2.0

    def _on_lost(self):
        self._backoff.is_store_lost = True


def play_outage(platform, count, outage, is_shared):
    """Returns the calls in an outage, and how long all took to be back."""
    gateways = [
        Gateway(platform, f"g{number}", count, is_shared)
        for number in range(count)
    ]
    platform.run(3.0)
    before = count_calls(platform)
    platform.faults(outage=outage)
    platform.run(OUTAGE_S)
    calls = count_calls(platform) - before
    platform.faults()
    returned_s = platform.clock.seconds()
    platform.run(3.0)
    return calls, max(one.back_at_s for one in gateways) - returned_s


def count_calls(platform):
    return sum(sum(kinds.values()) for kinds in platform.state.calls.values())


@pytest.mark.parametrize("outage", ["refuse", "hang"])
@pytest.mark.parametrize("count", [9, 27])
def test_calls_in_an_outage_are_few_and_all_are_back_within_a_second(
    platform, count, outage
):
    calls, back_s = play_outage(platform, count, outage, is_shared=True)
    # The first failures of all callers come close together, then a call a
    # second of each gateway and one in four of its other callers.
    first = 2 * CALLERS * count
    later = OUTAGE_S * count * (1 / 0.8 + (CALLERS - 1) / 4.0)
    assert calls <= 1.1 * (first + later)
    assert back_s <= 1.2


def test_the_shared_rule_halves_the_calls(platform):
    apart = type(platform)()
    before, _ = play_outage(apart, 9, "refuse", is_shared=False)
    after, _ = play_outage(platform, 9, "refuse", is_shared=True)
    print(f"calls of 9 gateways in 8 s: {before} before, {after} after")
    assert after <= before / 2


def test_without_the_rule_waits_are_as_before(platform):
    rule = backoff.StoreBackoff(SETTINGS)
    for failures in range(6):
        for caller in store_backoff.Caller:
            limit_s = min(0.5, 0.1 * 2**failures)
            error = exceptions.StoreUnavailable.ended("", "503", 7.0)
            assert limit_s / 2 <= rule.wait_s(caller, failures, error)
            assert rule.wait_s(caller, failures, error) <= limit_s


def wait_s(caller, gateways, is_store_lost=True, error=REFUSED):
    rule = backoff.StoreBackoff(SETTINGS)
    rule.is_shared = True
    rule.is_store_lost = is_store_lost
    rule.count_gateways = lambda: gateways
    return rule.wait_s(caller, 3, error)


def test_the_rate_of_a_prober_falls_with_the_number_of_gateways():
    prober = store_backoff.Caller.PROBER
    assert wait_s(prober, 2) < wait_s(prober, 6) <= 1.0
    assert wait_s(prober, 1000) <= 1.0


def test_callers_wait_for_no_prober_that_is_answered():
    assert wait_s(store_backoff.Caller.PATIENT, 9, is_store_lost=False) <= 1.0


@pytest.mark.parametrize("caller", list(store_backoff.Caller))
def test_the_time_that_the_store_names_is_kept(caller):
    error = exceptions.StoreUnavailable.ended("", "429", 6.0)
    assert 6.0 <= wait_s(caller, 9, error=error) <= 7.5
    absurd = exceptions.StoreUnavailable.ended("", "429", 1e9)
    assert wait_s(caller, 9, error=absurd) <= 12.5

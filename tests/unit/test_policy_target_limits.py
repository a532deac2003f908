"""Turns of many gateways at a target that names a limit."""

import math
import random

import pytest

from hemlocktiller._internal.policy import target_limits
from tests.unit.gateway.named_limit_fleet import allowed_requests
from tests.unit.gateway.named_limit_fleet import most_in_window

TARGET = "a/1"
STEP_S = 0.02
# Gateways of the aim.
MANY_GATEWAYS = 420


class Gateways:
    """Gateways that know the same limit, and what they have sent."""

    def __init__(self, count, limit_per_s, seed=1):
        self.now_s = 1000.0
        self.sent_s = []
        self.orders = {}
        self.limits = {}
        self.rng = random.Random(seed)
        for index in range(count):
            self.add(f"g{index:03}")
        self.tell(limit_per_s)

    def add(self, name):
        """Adds a gateway, which knows of no limit."""
        limits = self.limits[name] = target_limits.TargetLimits()
        limits.turn_order = lambda: self.order_of(name)

    def order_of(self, name):
        """Returns the place of a gateway in the order of names."""
        names = sorted(self.limits)
        return target_limits.TurnOrder(names.index(name), len(names))

    def freeze_orders(self):
        """Lets all keep the order that they have, as it costs time here."""
        for name, limits in self.limits.items():
            order = self.order_of(name)
            limits.turn_order = lambda order=order: order

    def tell(self, limit_per_s):
        """Tells all of them a limit within a tenth of a second."""
        for limits in self.limits.values():
            limits.record_named(
                TARGET,
                limit_per_s,
                False,
                self.now_s + self.rng.uniform(0.0, 0.1),
            )

    def play(self, duration_s, is_busy=lambda name: True):
        """Lets each busy gateway send whenever it has a turn."""
        for _ in range(round(duration_s / STEP_S)):
            self.now_s += STEP_S
            for name, limits in self.limits.items():
                if not is_busy(name):
                    continue
                if limits.turn_wait_s(TARGET, self.now_s) <= 0:
                    limits.use_turn(TARGET, self.now_s)
                    self.sent_s.append(self.now_s)


@pytest.mark.parametrize("limit_per_s", [0.05, 0.5, 2.2, 30.0])
@pytest.mark.parametrize("count", [1, 2, 5, 68, MANY_GATEWAYS])
def test_gateways_together_use_the_limit_and_no_more(count, limit_per_s):
    gateways = Gateways(count, limit_per_s)
    gateways.freeze_orders()
    gateways.play(20.0)
    most = most_in_window(gateways.sent_s, 0.0)
    assert most <= allowed_requests(limit_per_s)
    assert len(gateways.sent_s) >= 0.8 * math.floor(20.0 * limit_per_s)


def test_idle_gateways_save_up_nothing_that_breaks_the_limit():
    gateways = Gateways(MANY_GATEWAYS, 2.2)
    gateways.freeze_orders()
    gateways.now_s += 600.0
    gateways.play(8.0)
    assert most_in_window(gateways.sent_s, 0.0) <= allowed_requests(2.2)


def test_each_gateway_gets_turns():
    gateways = Gateways(5, 10.0)
    gateways.freeze_orders()
    for name in gateways.limits:
        gateways.sent_s = []
        gateways.play(10.0, is_busy=lambda one, name=name: one == name)
        assert 19 <= len(gateways.sent_s) <= 23


def test_gateways_that_restart_or_join_are_told_which_turn_has_begun():
    gateways = Gateways(20, 3.0)
    gateways.play(2.0)
    for number in range(12):
        # One restarts without memory, another joins.
        for name in (f"g{number:03}", f"new{number}"):
            gateways.add(name)
            for limits in list(gateways.limits.values()):
                for told in limits.announcements(gateways.now_s):
                    gateways.limits[name].apply_announcement(
                        told, gateways.now_s
                    )
        gateways.play(0.7)
    assert most_in_window(gateways.sent_s, 0.0) <= allowed_requests(3.0)


def test_gateways_that_leave_make_room_for_the_others():
    gateways = Gateways(12, 3.0)
    for name in [f"g{number:03}" for number in range(9)]:
        gateways.play(0.9)
        del gateways.limits[name]
    assert most_in_window(gateways.sent_s, 0.0) <= allowed_requests(3.0)
    gateways.sent_s = []
    gateways.play(10.0)
    assert len(gateways.sent_s) >= 27


def test_a_changed_limit_holds_from_then_on():
    gateways = Gateways(10, 40.0)
    gateways.freeze_orders()
    gateways.play(5.0)
    gateways.tell(2.0)
    changed_s = gateways.now_s
    gateways.play(10.0)
    assert most_in_window(gateways.sent_s, changed_s) <= allowed_requests(2.0)
    gateways.tell(40.0)
    gateways.sent_s = []
    gateways.play(5.0)
    assert len(gateways.sent_s) >= 180


def test_a_limit_that_comes_and_goes_gives_no_turn_twice():
    gateways = Gateways(1, 2.0)
    limits = gateways.limits["g000"]
    for _ in range(40):
        gateways.play(0.1)
        limits.record_unnamed(
            TARGET, False, gateways.now_s + 0.2, gateways.now_s
        )
        limits.record_named(TARGET, 2.0, False, gateways.now_s)
    saved_turns = target_limits.SAVED_TURNS + 2 * target_limits.SAVED_S
    assert len(gateways.sent_s) <= 2 * 4.0 + saved_turns + 1


@pytest.mark.parametrize("limit_per_s", [0.0, 0.001])
def test_a_target_that_takes_none_gets_a_request_a_minute(limit_per_s):
    gateways = Gateways(3, limit_per_s)
    gateways.freeze_orders()
    gateways.play(300.0)
    assert 4 <= len(gateways.sent_s) <= 6


def test_a_limit_that_no_target_reaches_rejects_nothing():
    gateways = Gateways(MANY_GATEWAYS, 999_999_999.0)
    limits = gateways.limits["g007"]
    limits.turn_order = lambda: target_limits.TurnOrder(7, MANY_GATEWAYS)
    gateways.now_s += 1.0
    for _ in range(200):
        gateways.now_s += 0.01
        assert limits.turn_wait_s(TARGET, gateways.now_s) < 0.01
        limits.use_turn(TARGET, gateways.now_s)


def test_only_an_answer_to_a_later_request_ends_a_limit():
    limits = target_limits.TargetLimits()
    limits.record_named(TARGET, 2.0, False, 10.0)
    assert not limits.record_unnamed(TARGET, False, 9.9, 10.1)
    assert limits.limit_per_s(TARGET) == 2.0
    assert limits.record_unnamed(TARGET, False, 10.2, 10.4)
    assert limits.limit_per_s(TARGET) is None
    assert limits.turn_wait_s(TARGET, 10.4) == 0.0
    assert not limits


def test_a_probe_ends_only_a_limit_that_probes_have_shown():
    limits = target_limits.TargetLimits()
    limits.record_named(TARGET, 2.0, False, 10.0)
    assert not limits.record_unnamed(TARGET, True, 11.0, 11.1)
    limits.record_named(TARGET, 2.0, True, 12.0)
    assert limits.record_unnamed(TARGET, True, 13.0, 13.1)


def test_a_new_process_of_a_target_has_no_limit():
    limits = target_limits.TargetLimits()
    limits.record_named("a/1", 0.1, False, 10.0)
    limits.use_turn("a/1", 10.0)
    assert limits.turn_wait_s("a/1", 10.0) > 0
    assert limits.turn_wait_s("a/2", 10.0) == 0.0


def test_peers_are_told_once_and_of_changes_now_and_then():
    limits = target_limits.TargetLimits()
    limits.turn_order = lambda: target_limits.TurnOrder(0, MANY_GATEWAYS)
    told = 0
    for number in range(1000):
        now_s = 10.0 + number * 0.1
        limits.record_named(TARGET, 2.0 + number % 7, False, now_s)
        told += limits.take_announcement(TARGET, now_s) is not None
    # One goes to all the others, so it costs as much as a thousand others.
    assert 1 <= told <= 4
    limits.record_unnamed(TARGET, False, 200.0, 200.1)
    announcement = limits.take_announcement(TARGET, 200.1)
    assert announcement.limit_per_s is None
    assert limits.take_announcement(TARGET, 300.0) is None


def test_what_a_peer_told_is_not_told_again():
    limits = target_limits.TargetLimits()
    announcement = target_limits.Announcement(TARGET, 2.0, 40.5)
    assert limits.apply_announcement(announcement, 10.0)
    limits.record_named(TARGET, 2.0, False, 10.1)
    assert limits.take_announcement(TARGET, 60.0) is None
    (told,) = limits.announcements(11.0)
    assert told.turns == pytest.approx(42.5)


def test_an_announcement_never_takes_turns_back():
    limits = target_limits.TargetLimits()
    limits.record_named(TARGET, 10.0, False, 10.0)
    limits.apply_announcement(
        target_limits.Announcement(TARGET, 10.0, 3.0), 20.0
    )
    (told,) = limits.announcements(20.0)
    assert told.turns == pytest.approx(100.0)


def test_the_processes_that_are_kept_are_limited():
    limits = target_limits.TargetLimits()
    for number in range(target_limits.MAX_PROCESSES + 5):
        limits.record_named(f"t{number}/1", 1.0, False, 1.0)
    assert len(limits) == target_limits.MAX_PROCESSES
    assert limits.limit_per_s("t0/1") is None


def test_rejected_callers_return_one_after_the_other():
    times = target_limits.ReturnTimes()
    room = target_limits.Room(wait_s=0.5, starts_per_s=2.0)
    returns_s = [times.next_s("s", room, 1, 99.0, 10.0) for _ in range(4)]
    assert returns_s == pytest.approx([1.0, 1.5, 2.0, 2.5])
    # Those times have passed since.
    assert times.next_s("s", room, 0, 99.0, 100.0) == pytest.approx(0.5)
    many = [times.next_s("s", room, 0, 99.0, 100.0) for _ in range(1000)]
    assert max(many) == target_limits.MAX_RETURN_S


def test_no_start_is_kept_for_a_caller_that_cannot_return_in_time():
    times = target_limits.ReturnTimes()
    room = target_limits.Room(wait_s=0.5, starts_per_s=2.0)
    returns_s = [times.next_s("s", room, 0, 1.2, 10.0) for _ in range(5)]
    assert returns_s == pytest.approx([0.5, 1.0, 1.5, 1.5, 1.5])
    assert times.next_s("s", room, 0, 9.0, 10.0) == pytest.approx(1.5)


@pytest.mark.parametrize(
    ("wait_s", "starts_per_s", "starts"),
    [(1.3, 9.0, 0), (1.2, 0.0, 1), (0.0, 1.0, 2), (0.2, 5.0, 6)],
)
def test_only_requests_that_start_in_time_may_wait(
    wait_s, starts_per_s, starts
):
    room = target_limits.Room(wait_s, starts_per_s)
    assert target_limits.count_starts(room, 1.2) == starts

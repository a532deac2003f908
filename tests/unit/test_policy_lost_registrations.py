"""How long a target is used after its registration was removed.

Each case plays the calls of one gateway to a store that is away for a time,
and targets whose registrations expire or are removed around it.
"""

from typing import NamedTuple

import pytest

from hemlocktiller._internal.policy import lost_registrations

BOUNDS = lost_registrations.DEFAULT_BOUNDS
LONG_S = 6.0
# Longest time from the return of the store until a gateway knows of it.
DETECTION_S = 1.5


class Call(NamedTuple):
    """A call that failed.

    Attributes:
        sent_s: When it was sent.
        failed_s: When it failed.
    """

    sent_s: float
    failed_s: float


@pytest.fixture
def contact():
    """The contact of a gateway whose last answer came at time 0."""
    store_contact = lost_registrations.StoreContact(BOUNDS)
    store_contact.record_answer(0.0)
    return store_contact


def fail(contact, *calls):
    """Records failed calls."""
    for call in calls:
        contact.record_failure(call.failed_s, call.failed_s - call.sent_s)


def come_back(contact, answered_s):
    """Records the first answers after an outage."""
    contact.record_answer(answered_s)
    contact.record_registrations(answered_s)


def kept_s(contact, now_s, is_from_peer=False):
    """Returns for how long a target that is removed now is used."""
    return contact.keep_until_s(now_s, is_from_peer) - now_s


# Guards against a target that is used after it left, as its registration was
# removed soon after the store's return.
@pytest.mark.parametrize("is_from_peer", [False, True])
@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.4, 1.0, 2.3])
@pytest.mark.parametrize("detection_s", [0.1, 0.9, DETECTION_S])
def test_a_target_removed_after_the_return_is_gone_at_once(
    contact, detection_s, after_s, is_from_peer
):
    fail(contact, Call(1.0, 2.0), Call(LONG_S, LONG_S + detection_s / 2))
    answered_s = LONG_S + detection_s
    come_back(contact, answered_s)
    assert kept_s(contact, answered_s + after_s, is_from_peer) == 0.0


@pytest.mark.parametrize("detection_s", [0.1, 0.9])
def test_a_registration_that_expired_in_an_outage_may_return(
    contact, detection_s
):
    fail(contact, Call(1.0, 2.0), Call(LONG_S, LONG_S + 0.1))
    # The first answer holds the removal.
    returned_s = LONG_S + detection_s
    assert kept_s(contact, returned_s) >= 2.0 - lost_registrations.TRANSIT_S


@pytest.mark.parametrize("is_from_peer", [False, True])
@pytest.mark.parametrize("detection_s", [0.1, 0.9, DETECTION_S, 5.0])
@pytest.mark.parametrize("removed_s", [3.0, LONG_S - 0.1, LONG_S + 0.05])
def test_no_removed_target_is_used_beyond_the_bounds_of_the_deployment(
    contact, removed_s, detection_s, is_from_peer
):
    """The store returns just after a call that it did not answer."""
    end_s = LONG_S
    fail(contact, Call(1.0, 2.0), Call(end_s - 0.01, end_s + detection_s / 2))
    known_s = removed_s if is_from_peer else end_s + detection_s
    until_s = contact.keep_until_s(known_s, is_from_peer)
    limit_s = max(removed_s + BOUNDS.drain_s, end_s + BOUNDS.contact_s)
    assert until_s <= max(known_s, limit_s)


# A registration outlives two heartbeats that are missed, so that none of a
# target that serves expires in a short outage.
@pytest.mark.parametrize("failed_after_s", [0.0, 0.5, 1.0])
def test_no_registration_expires_in_a_short_outage(contact, failed_after_s):
    sent_s = 2 * BOUNDS.heartbeat_s - failed_after_s - 0.2
    fail(contact, Call(sent_s, sent_s + failed_after_s))
    assert kept_s(contact, sent_s + failed_after_s + 0.1) == 0.0


def test_a_peer_tells_of_a_removal_as_it_happens(contact):
    fail(contact, Call(4.0, 5.0), Call(6.0, 7.0))
    assert kept_s(contact, 7.0, is_from_peer=True) <= BOUNDS.drain_s


def test_registrations_that_were_read_before_a_failure_are_not_current(
    contact,
):
    fail(contact, Call(3.0, 4.0))
    come_back(contact, 4.5)
    fail(contact, Call(LONG_S, LONG_S + 1.0))
    contact.record_answer(LONG_S + 1.1)
    contact.record_registrations(LONG_S + 0.9)
    assert kept_s(contact, LONG_S + 1.2) > 0.0


def test_a_restored_store_may_have_lost_registrations(contact):
    contact.record_loss(0.1)
    assert kept_s(contact, 0.2) > 2.0

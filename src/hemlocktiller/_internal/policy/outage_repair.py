"""Decides whether the last holder of a lease may act while the store is away.

Answers targets that are lost in an outage of the store: their layers are
loaded elsewhere without waiting for its return. Targets refuse outdated
fencing numbers, so the lease only saves work; the rules here keep two
processes from doing the same.
"""

from typing import NamedTuple

from hemlocktiller._internal.schemas import entry_settings

# Registrations are as old as the outage. After this long the targets known
# may no longer be those that serve callers.
MAX_REPAIR_S = 60.0
# A timer of a busy process is late by less. A call that took longer than this
# beside its timeout ended late since the process was paused, and says nothing
# about the store, so callers would be served by two layouts.
MAX_TIMER_DELAY_S = 0.5
# One failure is a lost answer, or that of a call in a pause of this process.
MIN_FAILURES = 2


class Evidence(NamedTuple):
    """What a process knows of its last lease and of the store.

    Attributes:
        number: Fencing number of the last lease; 0 without one.
        expired_s: Time at which that lease ran out.
        newer_number: Highest number of others that peers or targets named.
        failures: Failed calls in a row, without a pause of this process.
        failure_began_s: Time at which the last of them was sent.
        failure_ended_s: Time at which it failed.
    """

    number: int
    expired_s: float
    newer_number: int
    failures: int
    failure_began_s: float
    failure_ended_s: float


def why_forbidden(
    evidence: Evidence, now_s: float, store: entry_settings.Store
) -> str | None:
    """Returns why the last number may not be used; None if it may.

    Args:
        evidence: What this process knows.
        now_s: The present time.
        store: Settings of the store's client.
    """
    if not evidence.number:
        return "no lease"
    if evidence.newer_number > evidence.number:
        return "newer number"
    max_call_s = store["timeout_s"] + MAX_TIMER_DELAY_S
    # The last call and the next one, which may have no answer yet.
    max_age_s = store["timeout_s"] + store["retry_max_s"] + max_call_s
    is_store_lost = (
        evidence.failures >= MIN_FAILURES
        and evidence.failure_began_s >= evidence.expired_s
        and now_s - evidence.failure_began_s <= max_age_s
        and evidence.failure_ended_s - evidence.failure_began_s <= max_call_s
    )
    if now_s < evidence.expired_s or not is_store_lost:
        return "store not known to be lost"
    if now_s - evidence.expired_s > MAX_REPAIR_S:
        return "outage too long"
    return None

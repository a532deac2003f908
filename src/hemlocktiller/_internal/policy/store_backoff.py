"""Decides how long callers of a store wait after a failed call.

Answers an outage in which all gateways repeat all their calls, whether the
store is away for all or turns some VMs away. One caller of each process, the
prober, finds out whether the store is back; the others wait for it. The rate
of a prober falls with the number of gateways.
"""

import enum
import random

from hemlocktiller._internal.schemas import entry_settings

# Calls of all probers together, of the 2,000 reads that a store serves: what
# other callers need of it at its return stays free.
FLEET_PROBES_PER_S = 10.0
# Registrations that expired are back within two seconds of the store's
# return, and a configuration is in force two seconds after it was written:
# a gateway knows of the return in half of that.
MAX_PROBE_WAIT_S = 0.8
# A caller that waits for the prober still tries by itself, in case the store
# answers it but not the prober.
PATIENT_WAIT_S = 4.0
JITTER_RATIO = 0.25
# A store that names a longer time is asked again after this, as callers
# can't be served by an outdated configuration for longer.
MAX_RETRY_AFTER_S = 10.0
_MAX_EXPONENT = 16


class Caller(enum.Enum):
    """Part that a caller has in an outage."""

    # Finds out whether the store answers.
    PROBER = "prober"
    # The last holder of a lease, one process of all, which must know it too.
    HOLDER = "holder"
    # Goes on once the prober was answered.
    PATIENT = "patient"


def exponential_wait_s(settings: entry_settings.Store, failures: int) -> float:
    """Returns an exponential wait with jitter, which knows no other caller.

    Args:
        settings: Settings of the store's client.
        failures: Number of failures in a row before this one.
    """
    exponent = min(failures, _MAX_EXPONENT)
    max_wait_s = min(
        settings["retry_max_s"], settings["retry_min_s"] * 2**exponent
    )
    return random.uniform(max_wait_s / 2, max_wait_s)


def shared_wait_s(
    settings: entry_settings.Store,
    caller: Caller,
    failures: int,
    gateways: int,
    is_store_lost: bool,
    took_s: float,
    retry_after_s: float,
) -> float:
    """Returns how long a caller waits under the shared rule.

    Args:
        settings: Settings of the store's client.
        caller: Part of the caller.
        failures: Number of failures in a row before this one.
        gateways: Number of gateways.
        is_store_lost: Whether the prober's last call failed.
        took_s: Time that the call waited for an answer in vain.
        retry_after_s: Time that the store named; 0 if it did not.
    """
    jitter = random.uniform(1.0 - JITTER_RATIO, 1.0 + JITTER_RATIO)
    if not failures:
        # A single failure is mostly a lost answer.
        wait_s = exponential_wait_s(settings, 0)
    elif caller is Caller.PATIENT and is_store_lost:
        wait_s = PATIENT_WAIT_S * jitter
    else:
        probe_wait_s = min(MAX_PROBE_WAIT_S, gateways / FLEET_PROBES_PER_S)
        wait_s = max(settings["retry_min_s"], probe_wait_s * jitter - took_s)
    named_wait_s = min(retry_after_s, MAX_RETRY_AFTER_S)
    return max(wait_s, named_wait_s * (1.0 + JITTER_RATIO * random.random()))

"""Decides whether a request may be retried, and on which targets.

A retry after a failure of a target takes capacity from other requests, and
a request that is not repeatable must run at most once.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from hemlocktiller._internal.policy import fleet


class Allowance(NamedTuple):
    """Retries that a route allows for a request.

    Attributes:
        may_repeat: Whether a request may run more than once.
        max_targets: Maximum number of targets that a request may run on.
    """

    may_repeat: bool
    max_targets: int


def may_run_again(allowance: Allowance, runs: int) -> bool:
    """Returns whether a request may run once more.

    Args:
        allowance: Retries that the request's route allows.
        runs: Number of runs that ended or are in progress.
    """
    return allowance.may_repeat and runs < allowance.max_targets


def required_first_targets(
    allowance: Allowance,
    started_on: Iterable[fleet.Target],
    has_ended: Callable[[fleet.Target], bool],
) -> frozenset[str] | None:
    """Returns the names of the targets that a run must start at.

    Returns None if a run may start at any target. A target that already
    started the request counts against the allowance unless its process has
    ended; one that is silent may still run it. Once the allowance is used up,
    only these targets may run the request again.

    Args:
        allowance: Retries that the request's route allows.
        started_on: Targets that started to run the request.
        has_ended: Returns whether the process of a target has ended.
    """
    alive_names = {
        target.name for target in started_on if not has_ended(target)
    }
    return (
        frozenset(alive_names)
        if len(alive_names) >= allowance.max_targets
        else None
    )

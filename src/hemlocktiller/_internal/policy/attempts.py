"""Decides whether a request may run once more, and where.

Answers failures of targets: each repeat is work that others go without, and
what may not be repeated must run once at most.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from hemlocktiller._internal.policy import fleet


class Allowance(NamedTuple):
    """What a route allows its requests.

    Attributes:
        may_repeat: Whether a request may run more than once.
        targets: Most targets that one request may run on.
    """

    may_repeat: bool
    targets: int


def may_run_again(allowance: Allowance, runs: int) -> bool:
    """Tells whether a request may be run once more.

    Args:
        allowance: What its route allows.
        runs: Runs that ended or are in progress.
    """
    return allowance.may_repeat and runs < allowance.targets


def first_targets(
    allowance: Allowance,
    began_at: Iterable[fleet.Target],
    is_down: Callable[[fleet.Target], bool],
) -> frozenset[str] | None:
    """Returns the targets that a run must begin at; None for any.

    A target that began to run the request counts against the allowance
    unless it has ended since; one that counts may run it again.

    Args:
        allowance: What the request's route allows.
        began_at: Targets that began to run it.
        is_down: Tells whether a target is down or gone.
    """
    alive = {target.name for target in began_at if not is_down(target)}
    return frozenset(alive) if len(alive) >= allowance.targets else None

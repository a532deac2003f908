"""What all requests of an entry share: targets, budget, journal, clock."""

from collections.abc import Callable
import random
from typing import Any
from typing import NamedTuple

import prometheus_client

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.config import snapshot as snapshot_module
from hemlocktiller._internal.entry import targets as targets_module
from hemlocktiller._internal.links import suspects_feed
from hemlocktiller._internal.observe import explain
from hemlocktiller._internal.observe import traces
from hemlocktiller._internal.policy import budget
from hemlocktiller._internal.policy import costs

ATTEMPTS = prometheus_client.Counter(
    "hemlocktiller_attempts", "Attempts sent to targets"
)
RETRIES = prometheus_client.Counter(
    "hemlocktiller_retries", "Attempts after the first, by reason", ["reason"]
)
STALE_ANSWERS = prometheus_client.Counter(
    "hemlocktiller_stale_answers", "Messages of old attempts that were dropped"
)


class Shared(NamedTuple):
    """The parts of an entry that requests use."""

    reactor: Any
    settings: Any
    targets: targets_module.Targets
    current_config: Callable[[], snapshot_module.Snapshot]
    push_config: Callable[[Any], None]
    budget: budget.RetryBudget
    suspects: suspects_feed.SuspectsFeed
    estimator: costs.Estimator
    journal: explain.Journal
    tracer: traces.Tracer
    rng: random.Random


def readmit(shared: Shared, call: Any) -> Any:
    """Returns a call as admitted under the configuration in force.

    Raises:
        RequestError: Its caller may not do this any more.
    """
    if call.caller.config_version == shared.current_config().version:
        return call
    renewed = call.readmit()
    if renewed.view.workspace != call.caller.view.workspace:
        raise exceptions.Unauthorized("the key is another workspace's now")
    return call._replace(caller=renewed)


def may_retry(
    shared: Shared, attempt: int, reason: str, died: bool = False
) -> bool:
    """Tells whether an attempt may follow, and spends the budget.

    The budget keeps refusals from multiplying under overload. An attempt
    that lost its target spends none: there is one for each death, and the
    limit of attempts holds for it as well.

    Args:
        shared: The parts of the entry.
        attempt: Number of attempts that failed.
        reason: Why the last one did.
        died: Whether its target, or one of its stages, was lost.
    """
    if attempt >= shared.settings["retries"]["attempts"]:
        return False
    if not died and not shared.budget.try_retry(shared.reactor.seconds()):
        return False
    RETRIES.labels(reason).inc()
    return True


def backoff_s(shared: Shared, attempt: int) -> float:
    """Returns the wait before the attempt that follows this one."""
    return budget.backoff_s(attempt, shared.settings["retries"], shared.rng)

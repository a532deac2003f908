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


class RequestContext(NamedTuple):
    """The parts of an entry that requests use."""

    reactor: Any
    settings: Any
    targets: targets_module.TargetPool
    current_config: Callable[[], snapshot_module.Snapshot]
    push_config: Callable[[Any], None]
    retry_budget: budget.RetryBudget
    suspects: suspects_feed.SuspectsFeed
    estimator: costs.Estimator
    journal: explain.Journal
    tracer: traces.Tracer
    rng: random.Random


def reauthorize(context: RequestContext, call: Any) -> Any:
    """Returns a call as admitted under the configuration in force.

    Raises:
        RequestError: Its caller may not do this any more.
    """
    if call.caller.config_version == context.current_config().version:
        return call
    reauthorized = call.reauthorize()
    if (
        reauthorized.workspace_view.workspace
        != call.caller.workspace_view.workspace
    ):
        raise exceptions.Unauthorized("the key is another workspace's now")
    return call._replace(caller=reauthorized)


def consume_retry(
    context: RequestContext,
    failed_attempts: int,
    reason: str,
    target_died: bool = False,
) -> bool:
    """Tells whether an attempt may follow, and spends the budget.

    The budget keeps refusals from multiplying under overload. An attempt
    that lost its target spends none: there is one for each death, and the
    limit of attempts holds for it as well.

    Args:
        context: The components of the entry.
        failed_attempts: Number of attempts that have failed.
        reason: Why the last attempt failed.
        target_died: Whether the target of the last attempt, or one of its
            stages, was lost.
    """
    if failed_attempts >= context.settings["retries"]["attempts"]:
        return False
    if not target_died and not context.retry_budget.try_retry(
        context.reactor.seconds()
    ):
        return False
    RETRIES.labels(reason).inc()
    return True


def backoff_s(context: RequestContext, failed_attempts: int) -> float:
    """Returns the wait before the attempt that follows this one."""
    return budget.backoff_s(
        failed_attempts, context.settings["retries"], context.rng
    )

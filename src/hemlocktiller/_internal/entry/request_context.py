"""Components that all requests of an entry share, and retry rules."""

from collections.abc import Callable
import random
from typing import Any
from typing import NamedTuple

import prometheus_client

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.config import snapshot as snapshot_module
from hemlocktiller._internal.entry import targets as targets_module
from hemlocktiller._internal.links import part_evidence_feed
from hemlocktiller._internal.links import suspects_feed
from hemlocktiller._internal.observe import request_log as request_log_module
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
    """Components of an entry that requests use.

    Attributes:
        reactor: Twisted reactor.
        settings: Settings of the entry.
        targets: Targets that the entry knows.
        current_config: Returns the configuration in force.
        push_config: Sends the configuration to a target whose version is
            older.
        retry_budget: Limits retries to a share of the successes.
        suspects: Requests suspected of crashing targets.
        part_evidence: Prompt parts suspected of crashing targets.
        estimator: Estimates the output tokens of a request.
        request_log: Records the events of each request.
        tracer: Creates the spans of requests.
        rng: Source of randomness for backoff and routing.
    """

    reactor: Any
    settings: Any
    targets: targets_module.TargetPool
    current_config: Callable[[], snapshot_module.Snapshot]
    push_config: Callable[[Any], None]
    retry_budget: budget.RetryBudget
    suspects: suspects_feed.SuspectsFeed
    part_evidence: part_evidence_feed.PartEvidenceFeed
    estimator: costs.Estimator
    request_log: request_log_module.RequestLog
    tracer: traces.Tracer
    rng: random.Random


def reauthorize(context: RequestContext, call: Any) -> Any:
    """Returns the call as authorized under the current configuration.

    Raises:
        RequestError: The caller is no longer allowed to make this call.
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
    """Returns whether to retry, and charges the retry budget if so.

    The budget keeps refusals from causing a retry storm under overload. A
    retry after the loss of a target isn't charged: each loss causes only
    one retry per request, and the limit on attempts applies to it as well.

    Args:
        context: Components of the entry.
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
    """Returns the wait before the attempt after this many failures."""
    return budget.backoff_s(
        failed_attempts, context.settings["retries"], context.rng
    )

"""Detects requests that crash the targets that run them.

A request that crashes a target does so when the target begins to run it.
When a target goes down, only requests that it had returned no data for
become suspects, and so do the parts of their prompts.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

import prometheus_client

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.links import part_evidence_feed
from hemlocktiller._internal.links import suspects_feed
from hemlocktiller._internal.observe import events
from hemlocktiller._internal.policy import crashing_parts
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import suspects

# The end of a target that is silent at first, or whose next process answers
# for it, may show only as its registration is replaced or expires. A report of
# a model target drops its failures before that.
EARLY_FAILURE_TTL_S = 5.0
# A failed attempt of a suspect waits for the probe of its target, which
# shows whether this was the second crash.
PROBE_WAIT_S = targets_module.PROBE_TIMEOUT_S
CONDEMNATION_DELAY_S = suspects.CONDEMNATION_DELAY_S
CONDEMNED_STATUS = exceptions.CrashesTargets.http_status
CONDEMNED_REASON = "targets went down as they began to run this request"
HALF_OPEN_REASON = "targets went down under this request; it is on trial"
CONDEMNED_PART_REASON = "targets went down on a part of this prompt"
# The oldest are forgotten first.
MAX_DOUBTED_PROCESSES = 10_000
MAX_DEAD_PROCESSES = 10_000
# Evidence is kept for as long as in an entry process, since callers retry
# requests in the same way.
SUSPECT_SETTINGS = {"suspect_ttl_s": 600.0}

PART_REJECTIONS = prometheus_client.Counter(
    "hemlocktiller_gateway_part_rejections",
    "Requests rejected as a part of their prompt crashes targets",
)


class _EarlyFailure(NamedTuple):
    """An attempt that failed before its target had returned data."""

    digest: int
    request_id: str
    expires_at_s: float
    prompt_parts: crashing_parts.Prompt


class RequestPrompt(NamedTuple):
    """The prompt of a request, by the parts that other requests may share."""

    request_id: str
    parts: crashing_parts.Prompt


class CrashEvidence:
    """Evidence of this process and its peers on crashing requests.

    Attributes:
        feed: The evidence on requests, exchanged with peers.
        part_feed: The evidence on prompt parts, exchanged with peers.
    """

    def __init__(self, reactor: Any) -> None:
        self.feed = suspects_feed.SuspectsFeed(
            reactor,
            SUSPECT_SETTINGS,
            relays=False,
            on_condemned=_log_condemned_request,
        )
        self.part_feed = part_evidence_feed.PartEvidenceFeed(
            reactor,
            SUSPECT_SETTINGS,
            relays=False,
            on_condemned=self._log_condemned_part,
        )
        self._reactor = reactor
        self._failures_by_process: dict[str, list[_EarlyFailure]] = {}
        # Processes that are dead for all that is known; oldest first.
        self._dead_processes: dict[str, None] = {}
        # Deaths of processes that are in doubt, by process; see `_death_id`.
        self._doubted_deaths: dict[str, int] = {}

    def follow(self, targets: targets_module.Targets) -> None:
        """Corrects the evidence by what shows whether targets survived."""
        targets.on_survival.append(self.record_survival)
        targets.on_unproven_survival.append(self.record_unproven_survival)
        targets.on_confirmed_end.append(self.record_confirmed_end)

    def state(self, digest: int) -> suspects.State:
        """Returns the state of a request; see `Suspects.state`."""
        return self.feed.state(digest)

    def try_trial(self, digest: int) -> bool:
        """Returns whether a half-open request may run now, and counts it."""
        return self.feed.try_trial(digest)

    def trial_wait_s(self, digest: int) -> float:
        """Returns after how long a half-open request should come back."""
        return self.feed.trial_wait_s(digest)

    def has_condemned_part(self, prompt_parts: Sequence[int]) -> bool:
        """Returns whether a part of a prompt is known to crash targets."""
        return self.part_feed.condemned_part(prompt_parts) is not None

    def record_early_failure(
        self,
        digest: int,
        request_id: str,
        targets: list[fleet.Target],
        prompt_parts: crashing_parts.Prompt = (),
    ) -> None:
        """Records an attempt that failed before any data was returned.

        One that fails after the death of its target was in progress then, and
        counts already.
        """
        now_s = self._reactor.seconds()
        self._drop_expired(now_s)
        for target in targets:
            if target.process_id in self._dead_processes:
                continue
            failures = self._failures_by_process.setdefault(
                target.process_id, []
            )
            failures.append(
                _EarlyFailure(
                    digest,
                    request_id,
                    now_s + EARLY_FAILURE_TTL_S,
                    prompt_parts,
                )
            )

    def record_first_data(self, digest: int) -> None:
        """Clears a request that a target has returned data for."""
        self.feed.record_response(digest)

    def record_output(self, prompt_parts: Sequence[int]) -> None:
        """Clears the parts of a prompt that a target has begun to answer."""
        self.part_feed.record_output(prompt_parts)

    def record_target_down(
        self,
        target: fleet.Target,
        waiting: Mapping[int, str],
        waiting_prompts: Sequence[RequestPrompt] = (),
    ) -> None:
        """Records that a target went down, as evidence against requests.

        Args:
            target: The target.
            waiting: Request ids by digest, of the requests in progress at
                the target that have returned no data yet.
            waiting_prompts: Prompts of these requests.
        """
        now_s = self._reactor.seconds()
        self._drop_expired(now_s)
        process_id = target.process_id
        self._dead_processes[process_id] = None
        if len(self._dead_processes) > MAX_DEAD_PROCESSES:
            del self._dead_processes[next(iter(self._dead_processes))]
        early_failures = self._failures_by_process.pop(process_id, [])
        requests = {
            attempt.digest: attempt.request_id for attempt in early_failures
        }
        requests.update(waiting)
        # Without returned data, a request counts as just started.
        self.feed.record_death(
            self._death_id(process_id), dict.fromkeys(requests, 0.0)
        )
        for digest, request_id in requests.items():
            events.emit(
                "request_suspected",
                request=request_id,
                digest=f"{digest:x}",
                target=target.name,
                born_ms=target.born_ms,
                state=self.state(digest),
            )
        prompts = [
            RequestPrompt(attempt.request_id, attempt.prompt_parts)
            for attempt in early_failures
        ]
        self._record_part_evidence(target, [*prompts, *waiting_prompts])

    def _record_part_evidence(self, target, prompts):
        """Records that a target went down, as evidence against parts."""
        self.part_feed.record_death(
            self._death_id(target.process_id),
            [prompt.parts for prompt in prompts],
        )
        for request_id, prompt_parts in prompts:
            if not prompt_parts:
                continue
            events.emit(
                "part_suspected",
                request=request_id,
                parts=[f"{part:x}" for part in prompt_parts],
                deaths=[
                    self.part_feed.parts.death_count(part)
                    for part in prompt_parts
                ],
                target=target.name,
                born_ms=target.born_ms,
            )

    def _log_condemned_part(self, part, death_count):
        contrast_age_s = (
            self._reactor.seconds() - self.part_feed.parts.contrast_s()
        )
        events.emit(
            "part_condemned",
            part=f"{part:x}",
            deaths=death_count,
            other_outputs=crashing_parts.MIN_OTHER_OUTPUTS,
            other_outputs_in_ms=round(contrast_age_s * 1000),
        )

    def record_survival(self, target: fleet.Target) -> None:
        """Withdraws the evidence of a target that was only silent."""
        self._failures_by_process.pop(target.process_id, None)
        self._dead_processes.pop(target.process_id, None)
        for death_id in self._death_ids(target.process_id):
            self.feed.suspects.record_survival(death_id)
            self.part_feed.withdraw_death(death_id)
        self._doubted_deaths.pop(target.process_id, None)

    def record_unproven_survival(self, target: fleet.Target) -> None:
        """Records that a process of unknown start answers after a death.

        The evidence stays, as that process may have been started since.
        """
        process_id = target.process_id
        self._dead_processes.pop(process_id, None)
        self.feed.suspects.record_doubt(self._death_id(process_id))
        self._doubted_deaths[process_id] = (
            self._doubted_deaths.get(process_id, 0) + 1
        )
        if len(self._doubted_deaths) > MAX_DOUBTED_PROCESSES:
            del self._doubted_deaths[next(iter(self._doubted_deaths))]

    def record_confirmed_end(self, target: fleet.Target) -> None:
        """Ends the doubts in a target's death, as it has been replaced."""
        for death_id in self._death_ids(target.process_id):
            self.feed.record_confirmation(death_id)
        self._doubted_deaths.pop(target.process_id, None)

    def _death_id(self, process_id):
        """Returns the id of the next death of a process.

        A death after one that is in doubt is another one: that of a later
        process that has not registered yet, for all that is known.
        """
        return _numbered_death(
            process_id, self._doubted_deaths.get(process_id, 0)
        )

    def _death_ids(self, process_id):
        """Returns the ids of all deaths recorded of a process."""
        count = self._doubted_deaths.get(process_id, 0)
        return [
            _numbered_death(process_id, number) for number in range(count + 1)
        ]

    def _drop_expired(self, now_s):
        """Drops early failures that are too old to be due to a crash."""
        for process_id, early_failures in list(
            self._failures_by_process.items()
        ):
            kept = [
                attempt
                for attempt in early_failures
                if now_s < attempt.expires_at_s
            ]
            if kept:
                self._failures_by_process[process_id] = kept
            else:
                del self._failures_by_process[process_id]


def _numbered_death(process_id, number):
    """Returns the id of a death; the first is called as its process."""
    return f"{process_id}+{number}" if number else process_id


def _log_condemned_request(request_digest, targets):
    events.emit(
        "request_condemned", digest=f"{request_digest:x}", targets=targets
    )


def digest(workspace: str, uri: bytes, body: bytes) -> int:
    """Returns the digest that identifies repeats of the same request."""
    return suspects.digest(workspace, uri + b"\0" + body)

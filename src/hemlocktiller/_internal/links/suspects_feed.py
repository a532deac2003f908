"""Distributes evidence on requests that crash targets over the links.

Evidence is sent on all open links at once, before any later message. A target
that is asked to run a suspect has therefore received the evidence against it.

A response that drops evidence is sent on all links too. A process that is
told of a death under a request that it knows a response to tells the reporter,
which passes that on, so that a request that only some processes have served is
not condemned at the others.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import logbook
import prometheus_client

from hemlocktiller._internal.links import link as link_module
from hemlocktiller._internal.policy import suspects

MAX_ENTRIES_PER_MESSAGE = 1024  # The schema's limit for one message.
RESPONSES_MESSAGE_TYPE = "responses_seen"

log = logbook.Logger(__name__)

ENTRIES_SENT = prometheus_client.Counter(
    "hemlocktiller_suspects_passed_on", "Evidence sent to peers"
)
RESPONSES_SENT = prometheus_client.Counter(
    "hemlocktiller_suspects_responses_sent",
    "Responses sent to peers that clear suspected requests",
)
TRIALS = prometheus_client.Counter(
    "hemlocktiller_suspects_trials",
    "Runs of half-open requests, which show whether they crash targets",
)


class SuspectsFeed:
    """Exchanges the evidence of this process with its peers.

    Args:
        reactor: Twisted reactor that supplies the time.
        settings: Time for which evidence is kept.
        relays: Whether a peer's evidence is forwarded to the other links;
            not needed where each process is linked to all others.
        on_condemned: See `Suspects`.

    Attributes:
        suspects: The evidence.
        trial_turn: Returns the place of this process, from 0, among those
            that may run a half-open request, by its digest.
    """

    def __init__(
        self,
        reactor: Any,
        settings: Any,
        relays: bool = True,
        on_condemned: Callable[[int, list[str]], None] | None = None,
    ) -> None:
        self.suspects = suspects.Suspects(settings, on_condemned=on_condemned)
        self.trial_turn: Callable[[int], int] = lambda digest: 0
        self._relays_evidence = relays
        self._reactor = reactor
        self._links: set[link_module.Link] = set()

    def state(self, digest: int) -> suspects.State:
        """Returns the state of a request."""
        return self.suspects.state(digest, self._reactor.seconds())

    def may_run_beside(
        self, digest: int, running_s: Mapping[int, float]
    ) -> bool:
        """Returns whether a request may start on a target.

        See `Suspects.may_run_beside`.
        """
        now_s = self._reactor.seconds()
        return self.suspects.may_run_beside(digest, running_s, now_s)

    def try_trial(self, digest: int) -> bool:
        """Returns whether a half-open request may run now, and counts it."""
        may_run = self.suspects.try_trial(
            digest, self.trial_turn(digest), self._reactor.seconds()
        )
        if may_run:
            TRIALS.inc()
        return may_run

    def trial_wait_s(self, digest: int) -> float:
        """Returns after how long a half-open request should come back.

        While a trial is under way its result is soon known.
        """
        wait_s = self.suspects.trial_wait_s(
            digest, self.trial_turn(digest), self._reactor.seconds()
        )
        return max(suspects.CONDEMNATION_DELAY_S, wait_s)

    def record_response(self, digest: int) -> None:
        """Clears a request that a target has responded to, at all peers."""
        dropping = self.suspects.record_response(
            digest, self._reactor.seconds()
        )
        self._broadcast_responses(dropping, None)

    def record_death(
        self, target: str, running_s: Mapping[int, float]
    ) -> None:
        """Records the death of a target and sends the evidence to all peers.

        Targets without running requests are recorded as well: if many
        targets die at once, the cause is not a request.
        """
        now_s = self._reactor.seconds()
        if running_s:
            log.warning(
                "target {} died with {} running requests",
                target,
                len(running_s),
            )
        self.suspects.record_death(target, running_s, now_s)
        entries = [
            entry
            for entry in self.suspects.export(now_s)
            if entry["digest"] in running_s
        ]
        self._broadcast(entries, None)
        self._broadcast_responses(
            self.suspects.responses(entries, now_s), None
        )

    def record_confirmation(self, target: str) -> None:
        """Ends the doubt in a target's death; tells peers, as it did not."""
        digests = set(self.suspects.record_confirmation(target))
        self._broadcast(
            [
                entry
                for entry in self.suspects.export(self._reactor.seconds())
                if entry["digest"] in digests
            ],
            None,
        )

    def on_open(self, link: link_module.Link) -> None:
        """Adds a new link and sends all evidence to its peer."""
        self._links.add(link)
        now_s = self._reactor.seconds()
        entries = self.suspects.export(now_s)
        self._send_to(link, entries)
        self._send_responses(link, self.suspects.responses(entries, now_s))

    def on_down(self, link: link_module.Link) -> None:
        """Removes a lost link."""
        self._links.discard(link)

    def on_message(self, link: link_module.Link, message: Any) -> None:
        """Merges a peer's evidence, or responses that clear requests."""
        now_s = self._reactor.seconds()
        if message["type"] == RESPONSES_MESSAGE_TYPE:
            self._merge_responses(link, message, now_s)
            return
        new_entries = self.suspects.merge(message["entries"], now_s)
        for entry in new_entries:
            log.info(
                "{} reports the death of {} under request {:x}",
                link.peer["name"],
                ", ".join(entry["targets"]),
                entry["digest"],
            )
        if self._relays_evidence:
            self._broadcast(new_entries, link)
        self._send_responses(
            link, self.suspects.responses(message["entries"], now_s)
        )

    def _merge_responses(
        self, link: link_module.Link, message: Any, now_s: float
    ) -> None:
        """Merges responses, and passes on those that others need."""
        news = self.suspects.merge_responses(
            (
                suspects.Response(
                    one["digest"],
                    now_s - one["age_s"],
                    tuple(one["cleared_targets"]),
                )
                for one in message["responses"]
            ),
            now_s,
        )
        for response in news:
            log.info(
                "{} had a response to request {:x}",
                link.peer["name"],
                response.digest,
            )
        self._broadcast_responses(
            [
                response
                for response in news
                if self._relays_evidence
                or self.suspects.is_reporter(response.digest, now_s)
            ],
            link,
        )

    def _broadcast_responses(
        self,
        responses: list[suspects.Response],
        source: link_module.Link | None,
    ) -> None:
        for link in list(self._links):
            if link is not source:
                self._send_responses(link, responses)

    def _send_responses(
        self, link: link_module.Link, responses: list[suspects.Response]
    ) -> None:
        if (
            not responses
            or not link.is_open
            or not link.peer_accepts(RESPONSES_MESSAGE_TYPE)
        ):
            return
        RESPONSES_SENT.inc(len(responses))
        now_s = self._reactor.seconds()
        for start in range(0, len(responses), MAX_ENTRIES_PER_MESSAGE):
            batch = responses[start : start + MAX_ENTRIES_PER_MESSAGE]
            link.send(
                {
                    "type": RESPONSES_MESSAGE_TYPE,
                    "responses": [
                        {
                            "digest": one.digest,
                            "age_s": max(0.0, now_s - one.time_s),
                            "cleared_targets": list(one.cleared_targets),
                        }
                        for one in batch
                    ],
                }
            )

    def _broadcast(
        self, entries: list[Any], source: link_module.Link | None
    ) -> None:
        for link in list(self._links):
            if link is not source:
                self._send_to(link, entries)

    def _send_to(self, link: link_module.Link, entries: list[Any]) -> None:
        if not entries or not link.is_open:
            return
        ENTRIES_SENT.inc(len(entries))
        for start in range(0, len(entries), MAX_ENTRIES_PER_MESSAGE):
            batch = entries[start : start + MAX_ENTRIES_PER_MESSAGE]
            link.send({"type": "suspects", "entries": batch})

"""Distributes evidence on prompt parts that crash targets over the links.

The death of a target is sent on all open links at once. A process that has
seen output for a part tells those that reported deaths with it. A reporter
passes the output on, so that a part that only some processes have served is
cleared at all of them.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any

import prometheus_client

from hemlocktiller._internal.links import link as link_module
from hemlocktiller._internal.policy import crashing_parts

MESSAGE_TYPE = "part_evidence"
MAX_DEATHS_PER_MESSAGE = 64  # The schema's limits for one message.
MAX_OUTPUTS_PER_MESSAGE = 256
# Keeps a message well below the default limit of a frame.
MAX_DEATH_PARTS_PER_MESSAGE = 2048
NO_CONTRAST_S = float("-inf")

DEATHS_SENT = prometheus_client.Counter(
    "hemlocktiller_part_deaths_sent",
    "Deaths of targets sent to peers as evidence against prompt parts",
)
OUTPUTS_SENT = prometheus_client.Counter(
    "hemlocktiller_part_outputs_sent",
    "Outputs sent to peers that clear prompt parts",
)


class PartEvidenceFeed:
    """Exchanges the evidence of this process with its peers.

    Args:
        reactor: Twisted reactor that supplies the time.
        settings: Time for which evidence is kept.
        relays: Whether a peer's evidence is forwarded to the other links;
            not needed where each process is linked to all others.
        on_condemned: Called with a part and the number of its deaths when
            the part is condemned.
    """

    def __init__(
        self,
        reactor: Any,
        settings: Any,
        relays: bool = True,
        on_condemned: Callable[[int, int], None] | None = None,
    ) -> None:
        self.parts = crashing_parts.CrashingParts(
            settings, on_condemned=on_condemned
        )
        self._relays_evidence = relays
        self._reactor = reactor
        self._links: set[link_module.Link] = set()
        # Links that reported deaths, by part; None stands for this process.
        self._reporters: dict[int, set[link_module.Link | None]] = {}

    def condemned_part(self, parts: Sequence[int]) -> int | None:
        """Returns the first condemned part of a prompt, if there is one."""
        return self.parts.condemned_part(parts, self._reactor.seconds())

    def record_death(
        self, target: str, prompts: Iterable[Sequence[int]]
    ) -> None:
        """Records the death of a target and tells all peers.

        Deaths without running requests are recorded as well: if many targets
        die at once, the cause is not a prompt part.

        Args:
            target: Name of the process, unique among its restarts.
            prompts: See `CrashingParts.record_death`.
        """
        now_s = self._reactor.seconds()
        death = self.parts.record_death(target, prompts, now_s)
        if death is None:
            return
        self._add_reporter([death], None)
        outputs = self.parts.outputs([death], now_s)
        self._broadcast([death], outputs, None)

    def record_output(self, parts: Sequence[int]) -> None:
        """Records that a target has begun its answer to a request."""
        cleared = self.parts.record_output(parts, self._reactor.seconds())
        if cleared:
            self._send_outputs(cleared, None)

    def withdraw_death(self, target: str) -> None:
        """Withdraws the death of a target that is running after all."""
        self.parts.withdraw_death(target, self._reactor.seconds())

    def on_open(self, link: link_module.Link) -> None:
        """Adds a new link and sends all evidence to its peer."""
        self._links.add(link)
        now_s = self._reactor.seconds()
        deaths = self.parts.deaths(now_s)
        self._send_to(link, deaths, self.parts.outputs(deaths, now_s))

    def on_down(self, link: link_module.Link) -> None:
        """Removes a lost link."""
        self._links.discard(link)
        for reporters in self._reporters.values():
            reporters.discard(link)

    def on_message(self, link: link_module.Link, message: Any) -> None:
        """Merges a peer's evidence, and tells what it did not know."""
        now_s = self._reactor.seconds()
        deaths = [
            crashing_parts.Death(
                death["target"],
                now_s - death["age_s"],
                tuple(map(tuple, death["prompts"])),
            )
            for death in message["deaths"]
        ]
        outputs = [
            crashing_parts.Output(output["part"], now_s - output["age_s"])
            for output in message["outputs"]
        ]
        contrast_s = NO_CONTRAST_S
        if "contrast_age_s" in message:
            contrast_s = now_s - message["contrast_age_s"]
        news = self.parts.merge(deaths, outputs, contrast_s, now_s)
        self._add_reporter(news.deaths, link)
        told_parts = {output.part for output in outputs}
        unknown_to_peer = [
            output
            for output in self.parts.outputs(news.deaths, now_s)
            if output.part not in told_parts
        ]
        if unknown_to_peer:
            self._send_to(link, [], unknown_to_peer)
        if self._relays_evidence and news.deaths:
            self._broadcast(
                news.deaths, self.parts.outputs(news.deaths, now_s), link
            )
        if news.outputs:
            self._send_outputs(news.outputs, link)

    def _add_reporter(
        self,
        deaths: Iterable[crashing_parts.Death],
        link: link_module.Link | None,
    ) -> None:
        """Remembers who reported deaths with some parts."""
        for part in crashing_parts.parts_of(deaths):
            reporters = self._reporters.pop(part, set())
            if len(self._reporters) >= crashing_parts.MAX_PARTS:
                del self._reporters[next(iter(self._reporters))]
            reporters.add(link)
            self._reporters[part] = reporters

    def _send_outputs(
        self,
        outputs: list[crashing_parts.Output],
        source: link_module.Link | None,
    ) -> None:
        """Sends outputs to those that need them.

        These are all peers if this process has reported a death with the
        part or relays evidence, and otherwise the reporters.

        Args:
            outputs: Outputs that cleared a part.
            source: Link that they were received on, if any.
        """
        for_all = []
        by_link: dict[link_module.Link, list[crashing_parts.Output]] = {}
        for output in outputs:
            reporters = self._reporters.get(output.part, set())
            if self._relays_evidence or None in reporters:
                for_all.append(output)
            elif source is None:
                for link in reporters:
                    by_link.setdefault(link, []).append(output)
        if for_all:
            self._broadcast([], for_all, source)
        for link, entries in by_link.items():
            self._send_to(link, [], entries)

    def _broadcast(
        self,
        deaths: list[crashing_parts.Death],
        outputs: list[crashing_parts.Output],
        source: link_module.Link | None,
    ) -> None:
        for link in list(self._links):
            if link is not source:
                self._send_to(link, deaths, outputs)

    def _send_to(
        self,
        link: link_module.Link,
        deaths: list[crashing_parts.Death],
        outputs: list[crashing_parts.Output],
    ) -> None:
        """Sends evidence; outputs first, as they may clear parts of deaths."""
        if not link.is_open or not link.peer_accepts(MESSAGE_TYPE):
            return
        now_s = self._reactor.seconds()
        DEATHS_SENT.inc(len(deaths))
        OUTPUTS_SENT.inc(len(outputs))
        death_batches = _batch_deaths(deaths)
        output_batches = [
            outputs[start : start + MAX_OUTPUTS_PER_MESSAGE]
            for start in range(0, len(outputs), MAX_OUTPUTS_PER_MESSAGE)
        ]
        # Most evidence fits into one message.
        while output_batches or death_batches:
            output_batch = output_batches.pop(0) if output_batches else []
            death_batch = (
                death_batches.pop(0)
                if death_batches and not output_batches
                else []
            )
            link.send(self._message(death_batch, output_batch, now_s))

    def _message(
        self,
        deaths: list[crashing_parts.Death],
        outputs: list[crashing_parts.Output],
        now_s: float,
    ) -> Any:
        message = {
            "type": MESSAGE_TYPE,
            "deaths": [
                {
                    "target": death.target,
                    "age_s": max(0.0, now_s - death.time_s),
                    "prompts": [list(prompt) for prompt in death.prompts],
                }
                for death in deaths
            ],
            "outputs": [
                {
                    "part": output.part,
                    "age_s": max(0.0, now_s - output.time_s),
                }
                for output in outputs
            ],
        }
        contrast_s = self.parts.own_contrast_s()
        if contrast_s > NO_CONTRAST_S:
            message["contrast_age_s"] = max(0.0, now_s - contrast_s)
        return message


def _batch_deaths(
    deaths: Iterable[crashing_parts.Death],
) -> list[list[crashing_parts.Death]]:
    """Returns the deaths in batches of limited size."""
    batches: list[list[crashing_parts.Death]] = []
    part_count = 0
    for death in deaths:
        death_part_count = sum(map(len, death.prompts))
        part_count += death_part_count
        if (
            not batches
            or len(batches[-1]) >= MAX_DEATHS_PER_MESSAGE
            or part_count > MAX_DEATH_PARTS_PER_MESSAGE
        ):
            batches.append([])
            part_count = death_part_count
        batches[-1].append(death)
    return batches

"""Simulation of callers, targets and gateways that share part evidence.

Gateways learn of the death of a target a moment after it, and of each other's
evidence with the delay of their links. Everything follows from the seed.
"""

import heapq
import itertools
import random
from typing import NamedTuple

from hemlocktiller._internal.links import part_evidence_feed

SETTINGS = {"suspect_ttl_s": 600.0}
FIRST_PART = 1
SECOND_PARTS = tuple(range(2, 8))
CRASHING_PARTS = (101, 102, 103, 104)
DETECTION_S = (0.01, 0.15)
LINK_DELAY_S = (0.005, 0.05)
CRASH_DELAY_S = (0.02, 0.2)
RESTART_S = 1.0
CRASHES_UNTIL_LATE = 5


class Play(NamedTuple):
    """What happens to a fleet.

    Attributes:
        crashing: Number of crashing parts.
        crashing_per_s: Requests with each of them a second.
        crashing_from_s: When they begin.
        targets: Number of targets.
        sound_per_s: Sound requests a second.
        first_output_s: Mean time to the first output of a sound request.
        other_deaths_per_s: Targets lost for other reasons, at random times.
        lost_share: Share of the targets that is lost at one moment.
        lost_at_s: When this happens for the first time.
        lost_every_s: Time between such losses.
        rare_parts: Number of further parts, of which each sound request has
            one, or none.
        retries: How often a sound request is sent again after it was lost.
        gateways: Number of gateways.
        gateway_restarts_s: Times at which a gateway is replaced.
        duration_s: Duration.
    """

    crashing: int = 0
    crashing_per_s: float = 2.0
    crashing_from_s: float = 3.0
    targets: int = 20
    sound_per_s: float = 40.0
    first_output_s: float = 0.3
    other_deaths_per_s: float = 0.0
    lost_share: float = 0.0
    lost_at_s: float = 5.0
    lost_every_s: float = 1e9
    rare_parts: int = 0
    retries: int = 0
    gateways: int = 4
    gateway_restarts_s: tuple[float, ...] = ()
    duration_s: float = 30.0


class Request(NamedTuple):
    """A request that runs at a target."""

    gateway: int
    parts: tuple[int, ...]
    retries: int = 0


class Link:
    """One direction of a link; what it sends arrives after a delay."""

    def __init__(self, number, deliver):
        self.is_open = True
        self._number = number
        self.reverse = None
        self._deliver = deliver

    def __hash__(self):
        # Sets of links must have the same order in each run.
        return self._number

    def peer_accepts(self, message_type):
        """Returns whether the peer has a type of message: it has all."""
        return True

    def send(self, message):
        """Sends a message."""
        self._deliver(self, message)


class Target:
    """A target and its runs without output.

    Attributes:
        name: Name of the process, unique among its restarts.
        runs: Requests without output, by number.
    """

    def __init__(self, name):
        self.name = name
        self.runs = {}


class Simulation:
    """A play, with a seed.

    Attributes:
        crashes_s: Times of the crashes by each crashing part.
        sent_s: Times at which requests with each crashing part were sent.
        sound: Number of sound requests.
        sound_begun_s: Times at which sound requests had output.
        rejected: Parts that sound requests were rejected by, one for each.
    """

    def __init__(self, play, seed):
        self.play = play
        self.crashes_s = {p: [] for p in CRASHING_PARTS[: play.crashing]}
        self.sent_s = {p: [] for p in CRASHING_PARTS[: play.crashing]}
        self.sound = 0
        self.sound_begun_s = []
        self.rejected = []
        self._rng = random.Random(seed)
        self._now_s = 0.0
        self._numbers = itertools.count()
        self._events = []
        self._targets = [self._new_target() for _ in range(play.targets)]
        self._feeds = []
        self._links = {}
        for gateway in range(play.gateways):
            self._feeds.append(None)
            self._start_gateway(gateway)

    def seconds(self):
        """Returns the time, as a reactor does."""
        return self._now_s

    def run(self):
        """Plays until the end and returns itself."""
        play = self.play
        self._repeat(0.0, play.sound_per_s, self._send_sound)
        for part in self.crashes_s:
            self._repeat(
                play.crashing_from_s,
                play.crashing_per_s,
                lambda part=part: self._send_crashing(part),
            )
        self._repeat(0.0, play.other_deaths_per_s, self._lose_one)
        if play.lost_share:
            self._at(play.lost_at_s, self._lose_share)
        for time_s in play.gateway_restarts_s:
            self._at(time_s, self._restart_gateway)
        while self._events and self._events[0][0] <= play.duration_s:
            self._now_s, _, function = heapq.heappop(self._events)
            function()
        return self

    def late(self, slack_s):
        """Returns how many requests with each part were sent too late.

        Args:
            slack_s: Time after the fifth crash of the part.
        """
        return {
            part: sum(
                sent_s > crashes_s[CRASHES_UNTIL_LATE - 1] + slack_s
                for sent_s in self.sent_s[part]
            )
            if len(crashes_s) >= CRASHES_UNTIL_LATE
            else 0
            for part, crashes_s in self.crashes_s.items()
        }

    def _at(self, time_s, function):
        heapq.heappush(self._events, (time_s, next(self._numbers), function))

    def _after(self, range_s, function):
        self._at(self._now_s + self._rng.uniform(*range_s), function)

    def _repeat(self, start_s, per_s, function):
        """Calls a function at random times."""
        if not per_s:
            return

        def call():
            function()
            self._repeat(self._now_s, per_s, function)

        self._at(start_s + self._rng.expovariate(per_s), call)

    def _start_gateway(self, gateway):
        feed = part_evidence_feed.PartEvidenceFeed(
            self, SETTINGS, relays=False
        )
        self._feeds[gateway] = feed
        for peer, peer_feed in enumerate(self._feeds):
            if peer_feed is None or peer == gateway:
                continue
            there = Link(next(self._numbers), self._deliver_to(peer_feed))
            back = Link(next(self._numbers), self._deliver_to(feed))
            there.reverse, back.reverse = back, there
            self._links[gateway, peer] = there
            self._links[peer, gateway] = back
            feed.on_open(there)
            peer_feed.on_open(back)

    def _deliver_to(self, feed):
        def deliver(link, message):
            self._after(
                LINK_DELAY_S,
                lambda: (
                    feed.on_message(link.reverse, message)
                    if link.is_open
                    else None
                ),
            )

        return deliver

    def _restart_gateway(self):
        gateway = self._rng.randrange(self.play.gateways)
        for (source, peer), link in self._links.items():
            if gateway in (source, peer):
                link.is_open = False
                if peer == gateway:
                    self._feeds[source].on_down(link)
        for target in self._targets:
            if target is not None:
                target.runs = {
                    number: run
                    for number, run in target.runs.items()
                    if run.gateway != gateway
                }
        self._start_gateway(gateway)

    def _new_target(self):
        return Target(f"t{next(self._numbers)}")

    def _send_sound(self):
        self.sound += 1
        parts = (FIRST_PART, self._rng.choice(SECOND_PARTS))
        if self.play.rare_parts:
            parts += (1000 + self._rng.randrange(self.play.rare_parts),)
        self._attempt_sound(parts, self.play.retries)

    def _attempt_sound(self, parts, retries):
        gateway = self._rng.randrange(self.play.gateways)
        part = self._feeds[gateway].condemned_part(parts)
        if part is not None:
            self.rejected.append(part)
            return
        target = self._pick_target()
        if target is None:
            return
        number = next(self._numbers)
        target.runs[number] = Request(gateway, parts, retries)

        def begin_output():
            if target.runs.pop(number, None) is not None:
                self.sound_begun_s.append(self._now_s)
                self._feeds[gateway].record_output(parts)

        mean_s = self.play.first_output_s
        self._after((0.5 * mean_s, 1.5 * mean_s), begin_output)

    def _send_crashing(self, part):
        parts = (FIRST_PART, self._rng.choice(SECOND_PARTS), part)
        gateway = self._rng.randrange(self.play.gateways)
        if self._feeds[gateway].condemned_part(parts) is not None:
            return
        target = self._pick_target()
        if target is None:
            return
        self.sent_s[part].append(self._now_s)
        target.runs[next(self._numbers)] = Request(gateway, parts)

        def crash():
            if target in self._targets:
                self.crashes_s[part].append(self._now_s)
                self._lose(target)

        self._after(CRASH_DELAY_S, crash)

    def _pick_target(self):
        running = [target for target in self._targets if target is not None]
        return self._rng.choice(running) if running else None

    def _lose_one(self):
        target = self._pick_target()
        if target is not None:
            self._lose(target)

    def _lose_share(self):
        count = round(self.play.lost_share * len(self._targets))
        for target in self._rng.sample(self._targets, count):
            if target is not None:
                self._lose(target)
        self._at(self._now_s + self.play.lost_every_s, self._lose_share)

    def _lose(self, target):
        """Ends a target; each gateway finds out on its own."""
        place = self._targets.index(target)
        self._targets[place] = None
        runs, target.runs = target.runs, {}
        for gateway in range(self.play.gateways):
            prompts = [
                run.parts for run in runs.values() if run.gateway == gateway
            ]

            def record(gateway=gateway, prompts=prompts):
                self._feeds[gateway].record_death(target.name, prompts)

            self._after(DETECTION_S, record)

        for run in runs.values():
            if run.retries:
                self._after(
                    DETECTION_S,
                    lambda run=run: self._attempt_sound(
                        run.parts, run.retries - 1
                    ),
                )

        def restart():
            self._targets[place] = self._new_target()

        self._at(self._now_s + RESTART_S, restart)

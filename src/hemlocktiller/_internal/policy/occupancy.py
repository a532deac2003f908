"""Memory and sequences in use at each target, own and of peers.

Reports of targets are older than the requests of a moment, so gateways
count what they have sent themselves and tell each other the sums.
"""

import collections
from collections.abc import Callable
from collections.abc import Mapping
import itertools
from typing import NamedTuple

from hemlocktiller._internal.policy import fleet

# How often sums are told: half of the engines' own lag, at a fifth of the
# bytes of 50 ms.
REPORT_INTERVAL_S = 0.25
# With many peers each tells more rarely, so that what a process hears grows
# with the requests and not with the square of the processes.
REPORT_INTERVAL_PER_PEER_S = 0.01
# All rows are told this often, in case a peer has expired some of them.
WHOLE_EVERY = 4
# A peer's sums count for this many times that they should have come.
PEER_TTL_ROUNDS = 10
# What peers sent since they last told is not known yet: half of the interval
# on the mean, in which they did as this process did.
UNHEARD_SHARE = 0.5

# Crossings are counted over this long; a prompt takes a tenth of it on a
# slow pipe.
CROSSING_WINDOW_S = 1.5


class Load(NamedTuple):
    """What runs at a target.

    Attributes:
        token_layers: Memory in use or promised, in tokens times layers.
        sequences: Requests that run.
        prefill_tokens: Prompt tokens not yet read, times layers.
    """

    token_layers: float = 0.0
    sequences: int = 0
    prefill_tokens: float = 0.0


NO_LOAD = Load()


class Reserved(NamedTuple):
    """Memory promised to one request on its path."""

    path: fleet.Path
    tokens: float
    prompt_tokens: float
    reading: bool


class Occupancy:
    """Loads of targets by name.

    Attributes:
        sharers: Returns how many processes send to the targets.
    """

    def __init__(self) -> None:
        self.sharers: Callable[[], int] = lambda: 1
        self._own: dict[str, Load] = {}
        self._recent: dict[str, collections.deque[tuple[float, Load]]] = {}
        self._requests: dict[str, Reserved] = {}
        self._peers: dict[str, tuple[float, dict[str, Load]]] = {}
        self._peer_totals: dict[str, Load] = {}
        self._expired_s = 0.0
        self._crossings: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._peer_crossings_mbps: dict[str, tuple[float, float]] = {}

    def report_interval_s(self) -> float:
        """Returns how often a process tells its peers its sums."""
        return max(
            REPORT_INTERVAL_S,
            REPORT_INTERVAL_PER_PEER_S * (self.sharers() - 1),
        )

    def reserve(
        self,
        request: str,
        path: fleet.Path,
        tokens: float,
        prompt: float,
        now_s: float,
    ) -> None:
        """Promises memory along a path to a request."""
        self.release(request)
        reserved = Reserved(path, tokens, prompt, True)
        self._requests[request] = reserved
        self._add(reserved, 1)
        for stage in path:
            sent = self._recent.setdefault(
                stage.target.name, collections.deque()
            )
            sent.append((now_s, _stage_load(reserved, stage)))

    def crossed(self, megabits: float, now_s: float) -> None:
        """Notes activations that a request sends between data centres."""
        if megabits:
            self._crossings.append((now_s, megabits))

    def own_crossing_mbps(self, now_s: float) -> float:
        """Returns what requests of this process send between them."""
        oldest_s = now_s - CROSSING_WINDOW_S
        while self._crossings and self._crossings[0][0] < oldest_s:
            self._crossings.popleft()
        total = sum(megabits for _, megabits in self._crossings)
        return total / CROSSING_WINDOW_S

    def heard_crossing(self, peer: str, mbps: float, now_s: float) -> None:
        """Takes what a peer's requests send between data centres."""
        self._peer_crossings_mbps[peer] = (now_s, mbps)

    def crossing_mbps(self, now_s: float) -> float:
        """Returns what all send between data centres, as far as known."""
        return self.own_crossing_mbps(now_s) + sum(
            mbps
            for heard_s, mbps in self._peer_crossings_mbps.values()
            if now_s - heard_s < self._peer_ttl_s()
        )

    def began(self, request: str) -> None:
        """Notes that a request's prompt has been read."""
        reserved = self._requests.get(request)
        if reserved is None or not reserved.reading:
            return
        self._add(reserved, -1)
        reserved = reserved._replace(reading=False)
        self._requests[request] = reserved
        self._add(reserved, 1)

    def release(self, request: str) -> None:
        """Takes back what was promised to a request."""
        reserved = self._requests.pop(request, None)
        if reserved is not None:
            self._add(reserved, -1)

    def own(self) -> Mapping[str, Load]:
        """Returns the sums of this process, to tell the peers."""
        return self._own

    def running(self) -> int:
        """Returns the requests of this process that hold memory."""
        return len(self._requests)

    def heard(
        self,
        peer: str,
        loads: Mapping[str, Load],
        now_s: float,
        is_whole: bool = True,
    ) -> None:
        """Takes sums of a peer: all of them, or those that changed."""
        _, known = self._peers.get(peer, (0.0, {}))
        if is_whole:
            for target in set(known) - set(loads):
                self._replace(target, known.pop(target), NO_LOAD)
        for target, load in loads.items():
            self._replace(target, known.get(target, NO_LOAD), load)
            known[target] = load
        self._peers[peer] = (now_s, known)

    def load(self, target: str, now_s: float) -> Load:
        """Returns what runs at a target, as far as it is known."""
        if now_s > self._expired_s:
            self._expired_s = now_s
            self._expire(now_s)
        total = self._own.get(target, NO_LOAD)
        of_peers = self._peer_totals.get(target)
        if of_peers is not None:
            total = _sum(total, of_peers, 1)
        if target not in self._recent:
            return total
        return _sum(total, self._unheard(target, now_s), 1)

    def _expire(self, now_s: float) -> None:
        """Drops the sums of peers that have not told for long."""
        oldest_s = now_s - self._peer_ttl_s()
        for peer, (heard_s, known) in list(self._peers.items()):
            if heard_s <= oldest_s:
                del self._peers[peer]
                for target, load in known.items():
                    self._replace(target, load, NO_LOAD)

    def _replace(self, target: str, old: Load, new: Load) -> None:
        """Replaces a peer's load of a target in the total of all peers."""
        total = _sum(self._peer_totals.get(target, NO_LOAD), old, -1)
        total = _sum(total, new, 1)
        if total.sequences or total.token_layers:
            self._peer_totals[target] = total
        else:
            self._peer_totals.pop(target, None)

    def _peer_ttl_s(self) -> float:
        return self.report_interval_s() * PEER_TTL_ROUNDS

    def _unheard(self, target: str, now_s: float) -> Load:
        """Returns what peers are assumed to have sent of late.

        One request in that time is usual and says nothing of the others;
        more are a sign of a herd, of which each gets its share.
        """
        sent = self._recent.get(target)
        while sent and sent[0][0] <= now_s - self.report_interval_s():
            sent.popleft()
        if not sent:
            self._recent.pop(target, None)
            return NO_LOAD
        times = (self.sharers() - 1) * UNHEARD_SHARE
        total = NO_LOAD
        for _, load in itertools.islice(sent, 1, None):
            total = _sum(total, load, 1)
        return Load(
            total.token_layers * times,
            round(total.sequences * times),
            total.prefill_tokens * times,
        )

    def _add(self, reserved: Reserved, sign: int) -> None:
        for stage in reserved.path:
            name = stage.target.name
            change = _stage_load(reserved, stage)
            total = _sum(self._own.get(name, NO_LOAD), change, sign)
            if total.sequences:
                self._own[name] = total
            else:
                self._own.pop(name, None)


def _stage_load(reserved: Reserved, stage: fleet.Stage) -> Load:
    """Returns what a request takes at one stage."""
    reading = reserved.prompt_tokens if reserved.reading else 0.0
    return Load(reserved.tokens * stage.layers, 1, reading * stage.layers)


def _sum(left: Load, right: Load, sign: int) -> Load:
    return Load(
        max(0.0, left.token_layers + sign * right.token_layers),
        max(0, left.sequences + sign * right.sequences),
        max(0.0, left.prefill_tokens + sign * right.prefill_tokens),
    )

"""Load of each target: memory and sequences that gateways' requests use.

Load reports of the targets lag behind the requests, so each gateway counts
what its own requests use and reports the sums to its peers.
"""

import collections
from collections.abc import Callable
from collections.abc import Mapping
import itertools
from typing import NamedTuple

from hemlocktiller._internal.policy import fleet

# Interval of reports to peers: half the lag of the engines' own load reports.
# The reports have a fifth of the bytes that they would have every 50 ms.
REPORT_INTERVAL_S = 0.25
# The interval grows with the number of peers, so that the reports that a
# process receives grow with the requests and not with the square of the
# processes.
REPORT_INTERVAL_PER_PEER_S = 0.01
# One in this many reports has the loads of all targets and not only those that
# changed, in case a peer has expired some of them.
FULL_REPORT_EVERY = 4
# A peer's loads expire after this many report intervals without a report.
PEER_TTL_INTERVALS = 10
# Requests of peers are unreported for this share of the report interval, on
# average. Each peer is assumed to have sent what this process sent.
UNREPORTED_INTERVAL_RATIO = 0.5

# Sliding window for the traffic between data centres; the transfer of a prompt
# takes a tenth of it on a slow pipe.
INTER_DC_WINDOW_S = 1.5


class Load(NamedTuple):
    """Load of a target.

    Attributes:
        token_layers: Memory in use or reserved, in tokens times layers.
        sequences: Running requests.
        prefill_tokens: Prompt tokens not yet prefilled, times layers.
    """

    token_layers: float = 0.0
    sequences: int = 0
    prefill_tokens: float = 0.0


NO_LOAD = Load()


class Reservation(NamedTuple):
    """Memory reserved for one request on its path.

    Attributes:
        path: Stages that the request runs on.
        tokens: Tokens that memory is reserved for, in each layer.
        prompt_tokens: Tokens of the prompt.
        is_prefilling: Whether the prompt is not prefilled yet.
    """

    path: fleet.Path
    tokens: float
    prompt_tokens: float
    is_prefilling: bool


class Occupancy:
    """Loads of targets by name, from this process and its peers.

    Attributes:
        count_gateways: Returns how many processes send requests to the
            targets, this one included.
    """

    def __init__(self) -> None:
        self.count_gateways: Callable[[], int] = lambda: 1
        self._own_loads: dict[str, Load] = {}
        self._recent_own_loads: dict[
            str, collections.deque[tuple[float, Load]]
        ] = {}
        self._reservations: dict[str, Reservation] = {}
        self._peer_loads: dict[str, tuple[float, dict[str, Load]]] = {}
        self._peer_totals: dict[str, Load] = {}
        self._last_expiry_s = 0.0
        self._inter_dc_transfers: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._peer_inter_dc_mbps: dict[str, tuple[float, float]] = {}

    def report_interval_s(self) -> float:
        """Returns the interval of a process's reports to its peers."""
        return max(
            REPORT_INTERVAL_S,
            REPORT_INTERVAL_PER_PEER_S * (self.count_gateways() - 1),
        )

    def reserve(
        self,
        request: str,
        path: fleet.Path,
        tokens: float,
        prompt_tokens: float,
        now_s: float,
    ) -> None:
        """Reserves memory for a request at each target of its path."""
        self.release(request)
        reservation = Reservation(path, tokens, prompt_tokens, True)
        self._reservations[request] = reservation
        self._add_to_own(reservation, 1)
        for stage in path:
            recent = self._recent_own_loads.setdefault(
                stage.target.name, collections.deque()
            )
            recent.append((now_s, _stage_load(reservation, stage)))

    def record_inter_dc_transfer(self, megabits: float, now_s: float) -> None:
        """Records activations that a request sends between data centres."""
        if megabits:
            self._inter_dc_transfers.append((now_s, megabits))

    def own_inter_dc_mbps(self, now_s: float) -> float:
        """Returns the traffic between data centres from this process."""
        oldest_s = now_s - INTER_DC_WINDOW_S
        while (
            self._inter_dc_transfers
            and self._inter_dc_transfers[0][0] < oldest_s
        ):
            self._inter_dc_transfers.popleft()
        total_megabits = sum(
            megabits for _, megabits in self._inter_dc_transfers
        )
        return total_megabits / INTER_DC_WINDOW_S

    def apply_peer_inter_dc_mbps(
        self, peer: str, mbps: float, now_s: float
    ) -> None:
        """Records the reported traffic of a peer between data centres."""
        self._peer_inter_dc_mbps[peer] = (now_s, mbps)

    def inter_dc_mbps(self, now_s: float) -> float:
        """Returns the known traffic of all processes between data centres."""
        return self.own_inter_dc_mbps(now_s) + sum(
            mbps
            for received_s, mbps in self._peer_inter_dc_mbps.values()
            if now_s - received_s < self._peer_ttl_s()
        )

    def record_prefill_done(self, request: str) -> None:
        """Records that the prompt of a request has been prefilled."""
        reservation = self._reservations.get(request)
        if reservation is None or not reservation.is_prefilling:
            return
        self._add_to_own(reservation, -1)
        reservation = reservation._replace(is_prefilling=False)
        self._reservations[request] = reservation
        self._add_to_own(reservation, 1)

    def raise_reserved(self, request: str, tokens: float) -> None:
        """Reserves memory for at least so many tokens of a request."""
        reservation = self._reservations.get(request)
        if reservation is None or reservation.tokens >= tokens:
            return
        self._add_to_own(reservation, -1)
        reservation = reservation._replace(tokens=tokens)
        self._reservations[request] = reservation
        self._add_to_own(reservation, 1)

    def release(self, request: str) -> None:
        """Releases the memory reserved for a request."""
        reservation = self._reservations.pop(request, None)
        if reservation is not None:
            self._add_to_own(reservation, -1)

    def own_loads(self) -> Mapping[str, Load]:
        """Returns the loads from requests of this process, by target."""
        return self._own_loads

    def reservation_count(self) -> int:
        """Returns how many requests of this process have memory reserved."""
        return len(self._reservations)

    def apply_peer_loads(
        self,
        peer: str,
        loads: Mapping[str, Load],
        now_s: float,
        is_full_report: bool = True,
    ) -> None:
        """Applies a peer's report of its loads.

        Args:
            peer: Name of the peer.
            loads: Loads by target.
            now_s: The time.
            is_full_report: Whether the report has the loads of all targets,
                and not only those that changed.
        """
        _, known_loads = self._peer_loads.get(peer, (0.0, {}))
        if is_full_report:
            for target in set(known_loads) - set(loads):
                self._replace_peer_load(
                    target, known_loads.pop(target), NO_LOAD
                )
        for target, load in loads.items():
            self._replace_peer_load(
                target, known_loads.get(target, NO_LOAD), load
            )
            known_loads[target] = load
        self._peer_loads[peer] = (now_s, known_loads)

    def load(self, target: str, now_s: float) -> Load:
        """Returns the estimated load of a target from all processes."""
        if now_s > self._last_expiry_s:
            self._last_expiry_s = now_s
            self._expire(now_s)
        total = self._own_loads.get(target, NO_LOAD)
        peer_total = self._peer_totals.get(target)
        if peer_total is not None:
            total = _add_loads(total, peer_total, 1)
        if target not in self._recent_own_loads:
            return total
        return _add_loads(total, self._estimate_unreported(target, now_s), 1)

    def _expire(self, now_s: float) -> None:
        """Drops the loads of peers whose last report is too old."""
        oldest_s = now_s - self._peer_ttl_s()
        for peer, (received_s, known_loads) in list(self._peer_loads.items()):
            if received_s <= oldest_s:
                del self._peer_loads[peer]
                for target, load in known_loads.items():
                    self._replace_peer_load(target, load, NO_LOAD)

    def _replace_peer_load(self, target: str, old: Load, new: Load) -> None:
        """Replaces a peer's load on a target in the total of all peers."""
        total = _add_loads(self._peer_totals.get(target, NO_LOAD), old, -1)
        total = _add_loads(total, new, 1)
        if total.sequences or total.token_layers:
            self._peer_totals[target] = total
        else:
            self._peer_totals.pop(target, None)

    def _peer_ttl_s(self) -> float:
        return self.report_interval_s() * PEER_TTL_INTERVALS

    def _estimate_unreported(self, target: str, now_s: float) -> Load:
        """Estimates the load from requests that peers have not reported yet.

        A single own request within the report interval is normal and says
        nothing about the peers. Further ones indicate that all gateways
        choose this target at once, so each peer is assumed to send as many.
        """
        recent = self._recent_own_loads.get(target)
        while recent and recent[0][0] <= now_s - self.report_interval_s():
            recent.popleft()
        if not recent:
            self._recent_own_loads.pop(target, None)
            return NO_LOAD
        factor = (self.count_gateways() - 1) * UNREPORTED_INTERVAL_RATIO
        total = NO_LOAD
        for _, load in itertools.islice(recent, 1, None):
            total = _add_loads(total, load, 1)
        return Load(
            total.token_layers * factor,
            round(total.sequences * factor),
            total.prefill_tokens * factor,
        )

    def _add_to_own(self, reservation: Reservation, sign: int) -> None:
        """Adds a reservation to the own loads; subtracts it if sign is -1."""
        for stage in reservation.path:
            name = stage.target.name
            change = _stage_load(reservation, stage)
            total = _add_loads(
                self._own_loads.get(name, NO_LOAD), change, sign
            )
            if total.sequences:
                self._own_loads[name] = total
            else:
                self._own_loads.pop(name, None)


def _stage_load(reservation: Reservation, stage: fleet.Stage) -> Load:
    """Returns the load of a request at one stage of its path."""
    prefill_tokens = (
        reservation.prompt_tokens if reservation.is_prefilling else 0.0
    )
    return Load(
        reservation.tokens * stage.layers, 1, prefill_tokens * stage.layers
    )


def _add_loads(left: Load, right: Load, sign: int) -> Load:
    """Returns left + sign * right, where no part falls below 0."""
    return Load(
        max(0.0, left.token_layers + sign * right.token_layers),
        max(0, left.sequences + sign * right.sequences),
        max(0.0, left.prefill_tokens + sign * right.prefill_tokens),
    )

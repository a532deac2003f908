"""Detects requests that crash the targets that run them.

A request that may have been running on a target when the target died is a
suspect. A suspect is only scheduled where no other suspect is on probation
(recently started), so that a second death implicates just one request. A
request that two deaths implicate is condemned after a short delay, unless
more targets die in the meantime, which points to another cause.

A death is ambiguous if it can't be attributed to one request: several
suspects ran on the target, the suspect had been running for long, or many
targets died at once. A suspect with ambiguous deaths runs apart from all
other suspects.

A response of any target, at whichever process, shows that a request crashes
no targets: it drops all deaths before it. A popular request is under way on
whatever target dies, so deaths alone don't condemn one that had responses not
long ago. It is half-open, as a circuit breaker: a single trial after each wait
shows whether it crashes targets now, and all others are rejected meanwhile. It
is condemned once all trials have ended with the death of their target.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import Literal
from typing import NamedTuple

from prometheus_client import Counter
import xxhash

from hemlocktiller._internal.schemas import entry_settings
from hemlocktiller._internal.schemas import messages

CONDEMNED = Counter(
    "hemlocktiller_suspects_condemned",
    "Requests named by the death of a second target",
)
DEATHS_TO_CONDEMN = 2
AMBIGUOUS_DEATHS_TO_IMPLICATE = 2
MASS_FAILURE_DEATHS = 3
MASS_FAILURE_WINDOW_S = 2.0
PROBATION_S = 1.0
CONDEMNATION_DELAY_S = 0.5
MAX_RECORDS = 10_000
MAX_RESPONSES = 10_000
# Waits before the first and each further trial of a half-open request. Few,
# as each trial of a request that does crash targets costs one.
TRIAL_WAITS_S = (0.0, 10.0)
# A trial without a result, as its caller has left, gives way to another.
TRIAL_TIMEOUT_S = 5.0
# Processes take turns: a death is known to all of them within this time.
TRIAL_TURN_S = 0.5


State = Literal["clear", "suspect", "undecided", "half_open", "condemned"]
STATES_TO_RUN: tuple[State, ...] = ("clear", "suspect")


class Response(NamedTuple):
    """The latest response of a target to a request.

    Attributes:
        digest: Digest of the request.
        time_s: Time of the response.
        cleared_targets: Targets whose deaths came before a response. They are
            named, as times of two processes can't be compared closely.
    """

    digest: int
    time_s: float
    cleared_targets: tuple[str, ...]


class _Record:
    """Evidence against the request with one digest.

    Attributes:
        targets: Targets whose death implicates the request.
        ambiguous_targets: Targets whose death may have another cause.
        cleared_targets: Targets whose death the request did not cause, as it
            had a response later; reports of peers on them are ignored.
        doubted_targets: Targets that may have survived, as something answers
            at their address that does not show which process it is.
        is_own: Whether this process has recorded a death of its own.
        peer_response_s: Time of the latest response that a peer told.
        condemned_at_s: Time from which the request counts as condemned.
        next_trial_s: Time of the next trial while it is half-open.
        expires_at_s: Time at which the evidence expires.
    """

    def __init__(self) -> None:
        self.targets: set[str] = set()
        self.ambiguous_targets: set[str] = set()
        self.cleared_targets: set[str] = set()
        self.doubted_targets: set[str] = set()
        self.is_own = False
        self.peer_response_s = -math.inf
        self.condemned_at_s = 0.0
        self.next_trial_s = 0.0
        self.expires_at_s = 0.0


def digest(workspace: str, body: bytes) -> int:
    """Returns a digest that identifies a request across retries."""
    hasher = xxhash.xxh64(workspace.encode())
    hasher.update(b"\0")
    hasher.update(body)
    return hasher.intdigest()


class Suspects:
    """Evidence collected by this process and received from its peers.

    Args:
        settings: Time for which evidence is kept.
        max_records: Maximum number of digests; the oldest are dropped first.
        on_condemned: Called with a digest and the targets whose deaths
            condemn it, before the delay.
    """

    def __init__(
        self,
        settings: entry_settings.Retries,
        max_records: int = MAX_RECORDS,
        on_condemned: Callable[[int, list[str]], None] | None = None,
    ) -> None:
        self._on_condemned = on_condemned
        self._ttl_s = settings["suspect_ttl_s"]
        self._max_records = max_records
        self._records: dict[int, _Record] = {}
        self._deaths: collections.deque[tuple[float, str]] = (
            collections.deque()
        )
        # Times of the latest responses at this process by digest, oldest
        # first.
        self._response_s: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._records)

    def state(self, digest: int, now_s: float) -> State:
        """Returns the state of a request.

        A condemned request must be answered with an error. For an
        undecided one, the caller waits `CONDEMNATION_DELAY_S` and asks
        again. A half-open one may run as `try_trial` allows. A suspect may
        run where `may_run_beside` allows it.
        """
        record = self._valid_record(digest, now_s)
        if record is None or not record.targets:
            return "clear"
        if len(record.targets) < DEATHS_TO_CONDEMN:
            return "suspect"
        if record.condemned_at_s > now_s:
            return "undecided"
        response_s = self._latest_response_s(digest, now_s)
        had_response = now_s < response_s + self._ttl_s
        may_be_sound = had_response or bool(
            record.targets & record.doubted_targets
        )
        if may_be_sound and not _is_tried(record):
            return "half_open"
        return "condemned"

    def try_trial(self, digest: int, turn: int, now_s: float) -> bool:
        """Returns whether a half-open request may run now, and counts it.

        Args:
            digest: Digest of the request.
            turn: Place of this process among those that may run it, from 0.
            now_s: Current time.
        """
        if self.trial_wait_s(digest, turn, now_s) > 0:
            return False
        self._records[digest].next_trial_s = now_s + TRIAL_TIMEOUT_S
        return True

    def trial_wait_s(self, digest: int, turn: int, now_s: float) -> float:
        """Returns the time until a half-open request may run; 0 if now."""
        record = self._records[digest]
        trial_s = record.next_trial_s + turn * TRIAL_TURN_S
        return max(0.0, trial_s - now_s)

    def may_run_beside(
        self, digest: int, running_s: Mapping[int, float], now_s: float
    ) -> bool:
        """Returns whether a request may start beside those on a target.

        Args:
            digest: Digest of the request.
            running_s: How long each request has been running there.
            now_s: Current time.
        """
        if self.state(digest, now_s) == "clear":
            return True
        return not any(
            other != digest
            and self._must_run_apart(digest, other, other_running_s, now_s)
            for other, other_running_s in running_s.items()
        )

    def record_death(
        self, target: str, running_s: Mapping[int, float], now_s: float
    ) -> None:
        """Records the death of a target as evidence against its requests.

        Without an earlier suspect, each request becomes one. Otherwise only a
        single suspect on probation is implicated, or the only suspect, if it
        has ambiguous deaths and thus ran apart from others. For all other
        requests, and in a mass failure, the death is ambiguous.

        Args:
            target: Name of the target.
            running_s: How long each request had been running there.
            now_s: Current time.
        """
        is_mass_failure = self._detect_mass_failure(target, now_s)
        on_trial = {
            digest
            for digest in running_s
            if self.state(digest, now_s) == "half_open"
        }
        prior_suspects = [
            digest
            for digest in running_s
            if self.state(digest, now_s) != "clear"
        ]
        on_probation = [
            digest
            for digest in prior_suspects
            if running_s[digest] < PROBATION_S
        ]
        for digest in running_s:
            if not prior_suspects:
                implicated = True
            elif prior_suspects == [digest]:
                implicated = bool(on_probation) or self._has_ambiguous_deaths(
                    digest, now_s
                )
            elif on_probation == [digest]:
                # The target has survived the others for long enough.
                implicated = True
            else:
                implicated = False
            # Trials are apart, so they end with any death of their target.
            if is_mass_failure and digest not in on_trial:
                implicated = False
            self._add_death(digest, target, implicated, now_s)

    def record_response(self, digest: int, now_s: float) -> list[Response]:
        """Clears a request that a target has responded to.

        Returns:
            The response, if it drops evidence; else nothing.
        """
        self._response_s.pop(digest, None)
        if len(self._response_s) >= MAX_RESPONSES:
            del self._response_s[next(iter(self._response_s))]
        self._response_s[digest] = now_s
        record = self._valid_record(digest, now_s)
        if record is None or not record.targets | record.ambiguous_targets:
            return []
        targets = tuple(sorted(record.targets | record.ambiguous_targets))
        _clear(record, targets)
        return [Response(digest, now_s, targets)]

    def responses(
        self, entries: Iterable[messages.Suspect], now_s: float
    ) -> list[Response]:
        """Returns the responses to some requests, where known.

        Args:
            entries: Evidence against the requests; its targets are named if
                they died before the response.
            now_s: Current time.
        """
        known = []
        for entry in entries:
            time_s = self._latest_response_s(entry["digest"], now_s)
            if now_s < time_s + self._ttl_s:
                record = self._valid_record(entry["digest"], now_s)
                cleared = record.cleared_targets if record else set()
                names = tuple(
                    one for one in entry["targets"] if one in cleared
                )
                known.append(Response(entry["digest"], time_s, names))
        return known

    def merge_responses(
        self, responses: Iterable[Response], now_s: float
    ) -> list[Response]:
        """Merges responses that a peer knows.

        Returns:
            Those that drop evidence, or that are the first known ones.
        """
        return [
            response
            for response in responses
            if self._merge_response(response, now_s)
        ]

    def is_reporter(self, digest: int, now_s: float) -> bool:
        """Returns whether this process saw a death under a request."""
        record = self._valid_record(digest, now_s)
        return record is not None and record.is_own

    def record_survival(self, target: str) -> None:
        """Withdraws the death of a target that answers again.

        It was silent or unreachable, so no request has crashed it. Reports of
        peers on its death are ignored from now on.
        """
        for record in self._records.values():
            if target in record.targets | record.ambiguous_targets:
                _clear(record, (target,))

    def record_doubt(self, target: str) -> None:
        """Records that a target may have survived the death recorded of it.

        The death still counts, but the requests that it implicates get trials,
        as a process that was restarted answers as well as one that survived.
        """
        for record in self._records.values():
            if target in record.targets | record.ambiguous_targets:
                record.doubted_targets.add(target)

    def record_confirmation(self, target: str) -> list[int]:
        """Ends the doubt in the death of a target.

        Returns:
            Digests of the requests that it is evidence against.
        """
        digests = []
        for digest, record in self._records.items():
            if target in record.doubted_targets:
                record.doubted_targets.discard(target)
                digests.append(digest)
        return digests

    def export(self, now_s: float) -> list[messages.Suspect]:
        """Returns the evidence to send to a peer.

        It leaves out the deaths in doubt, as peers can't tell them apart.
        """
        return [
            {
                "digest": digest,
                "targets": sorted(record.targets - record.doubted_targets),
                "expires_in_s": record.expires_at_s - now_s,
            }
            for digest, record in self._records.items()
            if record.targets - record.doubted_targets
            and record.expires_at_s > now_s
        ]

    def merge(
        self, entries: Iterable[messages.Suspect], now_s: float
    ) -> list[messages.Suspect]:
        """Merges a peer's evidence; returns the entries that were new."""
        return [entry for entry in entries if self._merge_entry(entry, now_s)]

    def _merge_entry(self, entry: messages.Suspect, now_s: float) -> bool:
        """Merges a peer's evidence on one digest; tells if it was new."""
        if entry["expires_in_s"] <= 0:
            return False
        digest = entry["digest"]
        ttl_s = min(self._ttl_s, entry["expires_in_s"])
        mass_failed = self._mass_failure_targets(now_s)
        record = self._valid_record(digest, now_s)
        known_targets = (
            record.targets | record.cleared_targets if record else set()
        )
        targets = set(entry["targets"]) - known_targets
        if self.state(digest, now_s) != "half_open":
            targets -= mass_failed
        if not targets:
            return False
        record = record or self._add_record(digest)
        record.expires_at_s = max(record.expires_at_s, now_s + ttl_s)
        # The evidence expires a certain time after the last death.
        died_s = now_s + ttl_s - self._ttl_s
        if died_s < self._response_s.get(digest, -math.inf):
            record.cleared_targets |= targets
            return False
        self._add_targets(digest, record, targets, now_s)
        return True

    def _merge_response(self, response: Response, now_s: float) -> bool:
        """Merges a response that a peer knows; tells if it was news."""
        digest = response.digest
        known_s = self._latest_response_s(digest, now_s)
        record = self._valid_record(digest, now_s)
        if record is None:
            # Evidence may still come that was sent before.
            record = self._add_record(digest)
            record.expires_at_s = now_s + self._ttl_s
        record.peer_response_s = max(
            record.peer_response_s, min(response.time_s, now_s)
        )
        is_implicated = any(
            one in record.targets for one in response.cleared_targets
        )
        _clear(record, response.cleared_targets)
        return is_implicated or known_s == -math.inf

    def _latest_response_s(self, digest: int, now_s: float) -> float:
        """Returns the time of the latest response known, or minus infinity."""
        record = self._valid_record(digest, now_s)
        return max(
            self._response_s.get(digest, -math.inf),
            record.peer_response_s if record else -math.inf,
        )

    def _add_death(
        self, digest: int, target: str, implicated: bool, now_s: float
    ) -> None:
        """Adds the death of a target to the evidence on a digest.

        Enough ambiguous deaths count as one that implicates the request.
        """
        record = self._valid_record(digest, now_s) or self._add_record(digest)
        record.expires_at_s = now_s + self._ttl_s
        record.is_own = True
        if target in record.targets:
            return
        if implicated:
            self._add_targets(digest, record, {target}, now_s)
            return
        record.ambiguous_targets.add(target)
        if len(record.ambiguous_targets) >= AMBIGUOUS_DEATHS_TO_IMPLICATE:
            record.ambiguous_targets.clear()
            self._add_targets(digest, record, {target}, now_s)

    def _add_targets(
        self,
        digest: int,
        record: _Record,
        targets: set[str],
        now_s: float,
    ) -> None:
        """Adds deaths that implicate a request; enough of them condemn it.

        The request counts as condemned, or is half-open, after
        `CONDEMNATION_DELAY_S`. A further death ends a trial.
        """
        count_before = len(record.targets)
        record.targets |= targets
        trial_count = len(record.targets) - DEATHS_TO_CONDEMN
        if 0 <= trial_count < len(TRIAL_WAITS_S):
            record.next_trial_s = (
                now_s + CONDEMNATION_DELAY_S + TRIAL_WAITS_S[trial_count]
            )
        if count_before < DEATHS_TO_CONDEMN <= len(record.targets):
            record.condemned_at_s = now_s + CONDEMNATION_DELAY_S
            CONDEMNED.inc()
            if self._on_condemned is not None:
                self._on_condemned(digest, sorted(record.targets))

    def _must_run_apart(
        self, digest: int, other: int, other_running_s: float, now_s: float
    ) -> bool:
        """Returns whether a suspect must not start beside another request."""
        if self.state(other, now_s) == "clear":
            return False
        either_ambiguous = self._has_ambiguous_deaths(
            digest, now_s
        ) or self._has_ambiguous_deaths(other, now_s)
        return either_ambiguous or other_running_s < PROBATION_S

    def _has_ambiguous_deaths(self, digest: int, now_s: float) -> bool:
        """Returns whether a request is a suspect and has ambiguous deaths."""
        record = self._valid_record(digest, now_s)
        return bool(record and record.targets and record.ambiguous_targets)

    def _detect_mass_failure(self, target: str, now_s: float) -> bool:
        """Records a death; returns whether it is part of a mass failure.

        The other deaths of a mass failure, recorded just before, become
        ambiguous too.
        """
        if all(target != name for _, name in self._deaths):
            self._deaths.append((now_s, target))
        mass_failed = self._mass_failure_targets(now_s)
        for record in self._records.values() if mass_failed else ():
            if not _is_condemned(record, now_s):
                record.ambiguous_targets |= record.targets & mass_failed
                record.targets -= mass_failed
        return bool(mass_failed)

    def _mass_failure_targets(self, now_s: float) -> set[str]:
        """Returns the targets of a current mass failure, or an empty set."""
        while (
            self._deaths
            and self._deaths[0][0] <= now_s - MASS_FAILURE_WINDOW_S
        ):
            self._deaths.popleft()
        if len(self._deaths) < MASS_FAILURE_DEATHS:
            return set()
        return {name for _, name in self._deaths}

    def _valid_record(self, digest: int, now_s: float) -> _Record | None:
        """Returns the record of a digest, if it has not expired."""
        record = self._records.get(digest)
        if record is None or record.expires_at_s > now_s:
            return record
        del self._records[digest]
        return None

    def _add_record(self, digest: int) -> _Record:
        """Adds an empty record; drops the oldest one if there are too many."""
        if len(self._records) >= self._max_records:
            del self._records[next(iter(self._records))]
        record = _Record()
        self._records[digest] = record
        return record


def _clear(record: _Record, targets: Iterable[str]) -> None:
    """Drops the deaths of targets; reports on them are ignored from now on."""
    record.targets.difference_update(targets)
    record.ambiguous_targets.difference_update(targets)
    record.doubted_targets.difference_update(targets)
    record.cleared_targets.update(targets)


def _is_tried(record: _Record) -> bool:
    """Returns whether no trial of a half-open request is left."""
    return len(record.targets) >= DEATHS_TO_CONDEMN + len(TRIAL_WAITS_S)


def _is_condemned(record: _Record, now_s: float) -> bool:
    """Returns whether a request has enough deaths and the delay is over."""
    has_enough_deaths = len(record.targets) >= DEATHS_TO_CONDEMN
    return has_enough_deaths and record.condemned_at_s <= now_s

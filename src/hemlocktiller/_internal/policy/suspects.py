"""Requests that may crash the targets that run them.

A request that may have run on a target when the target died is a suspect.
A suspect is run where no other suspect is on probation, so that a second
death names it alone. It is condemned a little later, unless more targets
die meanwhile: then the cause lies elsewhere. A death that does not name one
request (several suspects were there, it had run for long, many targets died
at once) only raises doubts; a suspect in doubt runs apart from all others.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Literal

from prometheus_client import Counter
import xxhash

from hemlocktiller._internal.schemas import entry_settings
from hemlocktiller._internal.schemas import messages

CONDEMNED = Counter(
    "hemlocktiller_suspects_condemned",
    "Requests named by the death of a second target",
)
DEATHS_TO_CONDEMN = 2
DOUBTS_TO_COUNT = 2
MASS_DEATHS = 3
MASS_WINDOW_S = 2.0
PROBATION_S = 1.0
DECISION_S = 0.5
SUSPECTS_LIMIT = 10_000


State = Literal["clear", "suspect", "undecided", "condemned"]


class _Record:
    """The evidence against a digest."""

    def __init__(self) -> None:
        self.targets: set[str] = set()
        self.doubts: set[str] = set()
        self.cleared: set[str] = set()
        self.decided_s = 0.0
        self.expires_s = 0.0


def digest(workspace: str, body: bytes) -> int:
    """Returns the digest by which a request is known when sent again."""
    state = xxhash.xxh64(workspace.encode())
    state.update(b"\0")
    state.update(body)
    return state.intdigest()


class Suspects:
    """The evidence of this process and of its peers.

    Args:
        settings: Time that a suspect is remembered.
        limit: Most digests remembered; the oldest go first.
    """

    def __init__(
        self, settings: entry_settings.Retries, limit: int = SUSPECTS_LIMIT
    ) -> None:
        self._ttl_s = settings["suspect_ttl_s"]
        self._limit = limit
        self._records: dict[int, _Record] = {}
        self._deaths: collections.deque[tuple[float, str]] = (
            collections.deque()
        )

    def __len__(self) -> int:
        return len(self._records)

    def state(self, digest: int, now_s: float) -> State:
        """Returns what is known of a request.

        A condemned one gets a final answer; an undecided one is to wait
        for `DECISION_S` and to be asked for again; a suspect runs where
        `may_join` allows it.
        """
        record = self._record(digest, now_s)
        if record is None or not record.targets:
            return "clear"
        if len(record.targets) < DEATHS_TO_CONDEMN:
            return "suspect"
        return "condemned" if record.decided_s <= now_s else "undecided"

    def may_join(
        self, digest: int, running_s: Mapping[int, float], now_s: float
    ) -> bool:
        """Returns whether a request may start beside those that run.

        Args:
            digest: The request.
            running_s: How long each digest has been running at the target.
            now_s: The time.
        """
        if self.state(digest, now_s) == "clear":
            return True
        return not any(
            other != digest
            and self._needs_distance(digest, other, time_s, now_s)
            for other, time_s in running_s.items()
        )

    def died(
        self, target: str, running_s: Mapping[int, float], now_s: float
    ) -> None:
        """Takes the death of a target.

        Args:
            target: The target.
            running_s: How long each digest had been running there.
            now_s: The time.
        """
        mass = self._is_mass_death(target, now_s)
        earlier = [
            digest
            for digest in running_s
            if self.state(digest, now_s) != "clear"
        ]
        on_probation = [
            digest for digest in earlier if running_s[digest] < PROBATION_S
        ]
        for digest in running_s:
            if not earlier:
                named = True
            elif earlier == [digest]:
                named = bool(on_probation) or self._doubted(digest, now_s)
            elif on_probation == [digest]:
                # The others have shown that a target survives them.
                named = True
            else:
                named = False
            self._accuse(digest, target, named and not mass, now_s)

    def succeeded(self, digest: int, now_s: float) -> None:
        """Clears a request that was answered in full."""
        record = self._record(digest, now_s)
        if record is not None and not _is_condemned(record, now_s):
            record.cleared |= record.targets | record.doubts
            record.targets = set()
            record.doubts = set()

    def export(self, now_s: float) -> list[messages.Suspect]:
        """Returns the evidence to pass on to a peer."""
        return [
            {
                "digest": digest,
                "targets": sorted(record.targets),
                "expires_in_s": record.expires_s - now_s,
            }
            for digest, record in self._records.items()
            if record.targets and record.expires_s > now_s
        ]

    def merge(
        self, entries: Iterable[messages.Suspect], now_s: float
    ) -> list[messages.Suspect]:
        """Takes a peer's evidence; returns what was new, to pass it on."""
        return [entry for entry in entries if self._learn(entry, now_s)]

    def _learn(self, entry: messages.Suspect, now_s: float) -> bool:
        """Adds a peer's evidence on one digest, if it is new."""
        if entry["expires_in_s"] <= 0:
            return False
        mass_dead = self._mass_dead(now_s)
        record = self._record(entry["digest"], now_s)
        known = record.targets | record.cleared if record else set()
        targets = set(entry["targets"]) - known - mass_dead
        if not targets:
            return False
        record = record or self._add(entry["digest"])
        ttl_s = min(self._ttl_s, entry["expires_in_s"])
        record.expires_s = max(record.expires_s, now_s + ttl_s)
        _add_targets(record, targets, now_s)
        return True

    def _accuse(
        self, digest: int, target: str, named: bool, now_s: float
    ) -> None:
        """Adds the death of a target to the evidence on a digest."""
        record = self._record(digest, now_s) or self._add(digest)
        record.expires_s = now_s + self._ttl_s
        if target in record.targets:
            return
        if named:
            _add_targets(record, {target}, now_s)
            return
        record.doubts.add(target)
        if len(record.doubts) >= DOUBTS_TO_COUNT:
            record.doubts.clear()
            _add_targets(record, {target}, now_s)

    def _needs_distance(
        self, digest: int, other: int, other_s: float, now_s: float
    ) -> bool:
        """Returns whether two requests must not run on one target."""
        if self.state(other, now_s) == "clear":
            return False
        doubted = self._doubted(digest, now_s) or self._doubted(other, now_s)
        return doubted or other_s < PROBATION_S

    def _doubted(self, digest: int, now_s: float) -> bool:
        """Returns whether a digest needs to run apart from all suspects."""
        record = self._record(digest, now_s)
        return bool(record and record.targets and record.doubts)

    def _is_mass_death(self, target: str, now_s: float) -> bool:
        """Notes a death; returns whether many targets died just now.

        The deaths shortly before turn from evidence into doubts as well.
        """
        if all(target != name for _, name in self._deaths):
            self._deaths.append((now_s, target))
        dead = self._mass_dead(now_s)
        for record in self._records.values() if dead else ():
            if not _is_condemned(record, now_s):
                record.doubts |= record.targets & dead
                record.targets -= dead
        return bool(dead)

    def _mass_dead(self, now_s: float) -> set[str]:
        """Returns the targets that died together just now, if many did."""
        while self._deaths and self._deaths[0][0] <= now_s - MASS_WINDOW_S:
            self._deaths.popleft()
        if len(self._deaths) < MASS_DEATHS:
            return set()
        return {name for _, name in self._deaths}

    def _record(self, digest: int, now_s: float) -> _Record | None:
        """Returns the evidence on a digest, if it is still valid."""
        record = self._records.get(digest)
        if record is None or record.expires_s > now_s:
            return record
        del self._records[digest]
        return None

    def _add(self, digest: int) -> _Record:
        """Adds an empty record; the oldest makes room for it."""
        if len(self._records) >= self._limit:
            del self._records[next(iter(self._records))]
        record = _Record()
        self._records[digest] = record
        return record


def _add_targets(record: _Record, targets: set[str], now_s: float) -> None:
    """Adds deaths that name a request; enough of them start a decision."""
    before = len(record.targets)
    record.targets |= targets
    if before < DEATHS_TO_CONDEMN <= len(record.targets):
        record.decided_s = now_s + DECISION_S
        CONDEMNED.inc()


def _is_condemned(record: _Record, now_s: float) -> bool:
    """Returns whether the evidence is enough and no longer open."""
    enough = len(record.targets) >= DEATHS_TO_CONDEMN
    return enough and record.decided_s <= now_s

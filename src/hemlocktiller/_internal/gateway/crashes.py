"""Evidence against requests that crash the targets that run them.

A target that crashes on a request does so as it begins to run it, so only
runs that had shown nothing when a target went down count against theirs.
"""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.links import suspects_feed
from hemlocktiller._internal.observe import events
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import suspects

# A run breaks some milliseconds before its target is found to be down: a
# probe takes at most its timeout, and a queued one as long again.
BROKEN_KEPT_S = 2 * targets_module.PROBE_TIMEOUT_S
# A run that may be the second crash waits until its target has been asked.
VERDICT_S = targets_module.PROBE_TIMEOUT_S
DECISION_S = suspects.DECISION_S
STATUS_CONDEMNED = exceptions.CrashesTargets.http_status
REASON_CONDEMNED = "targets went down as they began to run this request"
SETTINGS = {"suspect_ttl_s": 600.0}  # As an entry's, whose callers do alike.


class _Broken(NamedTuple):
    """A run that broke before it had shown anything."""

    digest: int
    request_id: str
    broke_s: float


class Crashes:
    """What this process and its peers hold against requests."""

    def __init__(self, reactor: Any) -> None:
        self.feed = suspects_feed.SuspectsFeed(reactor, SETTINGS, relays=False)
        self._reactor = reactor
        self._broken: dict[str, list[_Broken]] = {}

    def state(self, digest: int) -> suspects.State:
        """Returns what is known of a request."""
        return self.feed.state(digest)

    def broke(
        self, digest: int, request_id: str, targets: list[fleet.Target]
    ) -> None:
        """Notes a run that broke before it had shown anything."""
        now_s = self._reactor.seconds()
        self._drop_old(now_s)
        for target in targets:
            broken = self._broken.setdefault(_lifetime(target), [])
            broken.append(_Broken(digest, request_id, now_s))

    def began(self, digest: int) -> None:
        """Clears a request that a target began to run, and survived."""
        if len(self.feed.suspects):
            self.feed.succeeded(digest)

    def target_down(
        self, target: fleet.Target, waiting: Mapping[int, str]
    ) -> None:
        """Takes the loss of a target.

        Args:
            target: The target.
            waiting: Ids by digest of the requests whose runs there have
                shown nothing yet.
        """
        now_s = self._reactor.seconds()
        self._drop_old(now_s)
        lifetime = _lifetime(target)
        broken = self._broken.pop(lifetime, [])
        requests = {one.digest: one.request_id for one in broken}
        requests.update(waiting)
        # Such a run has not begun, so it has been running for no time.
        self.feed.died(lifetime, dict.fromkeys(requests, 0.0))
        for digest, request_id in requests.items():
            events.emit(
                "request_suspected",
                request=request_id,
                digest=f"{digest:x}",
                target=target.name,
                born_ms=target.born_ms,
                state=self.state(digest),
            )

    def _drop_old(self, now_s):
        for lifetime, broken in list(self._broken.items()):
            kept = [o for o in broken if now_s - o.broke_s < BROKEN_KEPT_S]
            if kept:
                self._broken[lifetime] = kept
            else:
                del self._broken[lifetime]


def digest(workspace: str, uri: bytes, body: bytes) -> int:
    """Returns the digest by which a request is known when it comes again."""
    return suspects.digest(workspace, uri + b"\0" + body)


def _lifetime(target: fleet.Target) -> str:
    """Names one process of a target; it may start again under its name."""
    return f"{target.name}/{target.born_ms}"

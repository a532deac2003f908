"""Sends load reports when they say something new."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import prometheus_client

from hemlocktiller._internal.links import link as link_module

REFRESH_S = 30.0
MAX_PREFIXES = 64

REPORTS = prometheus_client.Counter(
    "hemlocktiller_load_reports", "Load reports sent to entries"
)


class LoadReports:
    """The last report and the cached prefixes that it has to tell of."""

    def __init__(self, reactor: Any, build: Callable[[], Any]) -> None:
        self._reactor = reactor
        self._build = build
        self._last: Any = None
        self._sent_s = 0.0
        self._prefixes: dict[int, None] = {}
        self._fresh: dict[int, None] = {}

    def note_prefixes(self, digests: Iterable[int]) -> None:
        """Notes the prefixes of a prompt that runs now."""
        for digest in digests:
            if digest not in self._prefixes:
                self._fresh[digest] = None
            self._prefixes.pop(digest, None)
            self._prefixes[digest] = None
        while len(self._prefixes) > MAX_PREFIXES:
            oldest = next(iter(self._prefixes))
            del self._prefixes[oldest]
            self._fresh.pop(oldest, None)

    def whole(self) -> Any:
        """Returns a report with all cached prefixes, for a new link."""
        return {**self._build(), "prefixes": list(reversed(self._prefixes))}

    def send(self, links: Iterable[link_module.Link]) -> None:
        """Sends a report if it is new, with the fresh prefixes alone."""
        report = self._build()
        now_s = self._reactor.seconds()
        is_old = now_s - self._sent_s >= REFRESH_S
        if report == self._last and not self._fresh and not is_old:
            return
        message = {**report, "prefixes": list(self._fresh)}
        if is_old:
            message = self.whole()
        self._last = report
        self._sent_s = now_s
        self._fresh.clear()
        for link in links:
            REPORTS.inc()
            link.send(message)

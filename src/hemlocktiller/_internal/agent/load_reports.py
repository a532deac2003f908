"""Sends load reports to entries when the load has changed."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import prometheus_client

from hemlocktiller._internal.links import link as link_module

FULL_REPORT_INTERVAL_S = 30.0
MAX_PREFIXES = 64

REPORTS = prometheus_client.Counter(
    "hemlocktiller_load_reports", "Load reports sent to entries"
)


class LoadReports:
    """Sends the load and the cached prompt prefixes of this target.

    Args:
        reactor: Twisted reactor.
        build_report: Returns the current load report, without prefixes.
    """

    def __init__(self, reactor: Any, build_report: Callable[[], Any]) -> None:
        self._reactor = reactor
        self._build_report = build_report
        self._last_report: Any = None
        self._last_sent_s = 0.0
        self._prefixes: dict[int, None] = {}
        self._unsent_prefixes: dict[int, None] = {}

    def record_prefixes(self, digests: Iterable[int]) -> None:
        """Records the prefix digests of a prompt that starts now."""
        for digest in digests:
            if digest not in self._prefixes:
                self._unsent_prefixes[digest] = None
            self._prefixes.pop(digest, None)
            self._prefixes[digest] = None
        while len(self._prefixes) > MAX_PREFIXES:
            oldest = next(iter(self._prefixes))
            del self._prefixes[oldest]
            self._unsent_prefixes.pop(oldest, None)

    def full_report(self) -> Any:
        """Returns the current report with all prefixes, newest first."""
        return {
            **self._build_report(),
            "prefixes": list(reversed(self._prefixes)),
        }

    def send_if_changed(self, links: Iterable[link_module.Link]) -> None:
        """Sends a report after a change, or a full one if that is due.

        A report after a change has only the prefixes that are new.
        """
        report = self._build_report()
        now_s = self._reactor.seconds()
        is_full_due = now_s - self._last_sent_s >= FULL_REPORT_INTERVAL_S
        if (
            report == self._last_report
            and not self._unsent_prefixes
            and not is_full_due
        ):
            return
        message = {**report, "prefixes": list(self._unsent_prefixes)}
        if is_full_due:
            message = self.full_report()
        self._last_report = report
        self._last_sent_s = now_s
        self._unsent_prefixes.clear()
        for link in links:
            REPORTS.inc()
            link.send(message)

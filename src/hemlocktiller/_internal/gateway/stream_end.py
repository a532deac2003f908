"""Confirms the end of a stream that its framing does not delimit.

A body without length or chunks ends with its connection. The kernel closes
the connections of a process that crashes as cleanly as a target that has sent
everything, and a first stage closes them when a later one is lost.
"""

from collections.abc import Callable
import functools
import math

from hemlocktiller._internal import http_exchange
from hemlocktiller._internal.gateway import model
from hemlocktiller._internal.gateway import targets as targets_module
from hemlocktiller._internal.policy import fleet

# The targets of a stream send several events in this time, or its end.
MAX_CLOSE_DELAY_S = 0.35


class CloseCheck:
    """Finds closes that may hide a later stage that was given up.

    A target that has sent everything closes at once. One that gives up a later
    stage has waited for it, which a pause of this process may hide.
    """

    def __init__(self) -> None:
        self._last_tick_s = math.inf
        self._pause_end_s = -math.inf

    def begin(self, now_s: float) -> None:
        """Begins another run of the stream."""
        self._last_tick_s = now_s
        self._pause_end_s = -math.inf

    def record_tick(self, now_s: float) -> None:
        """Notes that this process runs; called several times a second."""
        if now_s - self._last_tick_s > MAX_CLOSE_DELAY_S:
            self._pause_end_s = now_s
        self._last_tick_s = now_s

    def is_doubtful(self, now_s: float, last_activity_s: float) -> bool:
        """Returns whether events may be missing before a close.

        Another run that ends after the same event removes the doubt only if
        its own end is not doubtful: what broke one off may break off both.

        Args:
            now_s: Time of the close.
            last_activity_s: Time of the last event before it.
        """
        self.record_tick(now_s)
        return (
            now_s - last_activity_s > MAX_CLOSE_DELAY_S
            or now_s - self._pause_end_s <= MAX_CLOSE_DELAY_S
        )


def confirm(
    targets: targets_module.Targets,
    unconfirmed: dict[str, fleet.Target],
    on_result: Callable[[fleet.Target | None, str], None],
    on_silent: Callable[[fleet.Target, str, bool], None],
) -> None:
    """Asks the targets of a path whether they outlived a stream.

    One of the two callbacks is called, once.

    Args:
        targets: Registry of the targets.
        unconfirmed: Targets of the path by name; those that have answered
            are removed, so that a later call asks only the others.
        on_result: Called with None after all targets have answered, else
            with the first one that was lost, and the reason.
        on_silent: Called with a target that gave no proof, the reason, and
            whether it has answered; it may give one later.
    """
    is_decided = False

    def decide(lost_target: fleet.Target | None, reason: str = "") -> None:
        nonlocal is_decided
        if not is_decided:
            is_decided = True
            on_result(lost_target, reason)

    def wait_for(
        target: fleet.Target, reason: str, has_answered: bool = True
    ) -> None:
        nonlocal is_decided
        if not is_decided:
            is_decided = True
            on_silent(target, reason, has_answered)

    def on_survival(target: fleet.Target) -> None:
        if targets.is_leaving(target) or not targets.is_registered(target):
            # It may have stopped at the end of its drain, in mid-stream.
            decide(target, "is leaving")
            return
        unconfirmed.pop(target.name, None)
        if not unconfirmed:
            decide(None)

    def on_report(target: fleet.Target, report: model.TargetReport) -> None:
        if targets_module.is_same_process(report, target):
            on_survival(target)
        elif targets_module.is_other_process(report, target):
            decide(target, "started again")
        else:
            wait_for(target, "no start time")

    def on_failed(
        target: fleet.Target, failure: http_exchange.ExchangeFailure
    ) -> None:
        if targets.shows_end(target, failure) or targets.has_ended(target):
            decide(target, failure.reason)
        else:
            if not failure.was_answered:
                targets.probe_suspect(target, failure.reason)
            wait_for(target, failure.reason, failure.was_answered)

    for target in list(unconfirmed.values()):
        if targets.has_ended(target):
            decide(target, "has ended")
            return
        if not targets.try_probe(target):
            # The pause may be older than the end of the stream.
            wait_for(target, "in a pause")
            continue
        targets.request_report(
            target,
            functools.partial(on_report, target),
            functools.partial(on_failed, target),
        )
    if not unconfirmed:
        decide(None)

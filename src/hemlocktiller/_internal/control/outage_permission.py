"""Permission of a lease's last holder to act while the store is away.

It is not the lease: another process may hold that already. It serves orders
whose receivers refuse an outdated fencing number; see
`policy.outage_repair`.
"""

from collections.abc import Callable

from hemlocktiller._internal.policy import outage_repair
from hemlocktiller._internal.schemas import entry_settings

# The permission is asked for several times a second. After a longer gap this
# process was paused, and what it knew of the store doesn't count.
MAX_ASK_GAP_S = 1.0

_NOTHING = outage_repair.Evidence(0, 0.0, 0, 0, 0.0, 0.0)


class OutagePermission:
    """Evidence on the last lease of this process and on the store.

    Args:
        settings: Settings of the store's client.
        monotonic_s: Clock that also runs while this process is suspended.
    """

    def __init__(
        self,
        settings: entry_settings.Store,
        monotonic_s: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._monotonic_s = monotonic_s
        self._evidence = _NOTHING
        self._refused_number = 0
        self._last_asked_s = 0.0

    def record_held(self, number: int, until_s: float) -> None:
        """Records that the store granted or renewed the lease.

        What the store says goes before what peers say.
        """
        self._evidence = _NOTHING._replace(number=number, expired_s=until_s)

    def take_over(self, number: int) -> None:
        """Records that a holder that stops has handed its number over."""
        if number > max(self._evidence.number, self._refused_number):
            self._evidence = _NOTHING._replace(
                number=number, expired_s=self._monotonic_s()
            )

    def has_number(self) -> bool:
        """Returns whether this process may act if the store is lost."""
        return self._evidence.number > 0

    def forget(self) -> None:
        """Ends the permission until this process holds the lease again."""
        self._evidence = _NOTHING

    def record_failure(self, began_s: float) -> None:
        """Records that a call that began then has just failed."""
        self._evidence = self._evidence._replace(
            failures=self._evidence.failures + 1,
            failure_began_s=began_s,
            failure_ended_s=self._monotonic_s(),
        )

    def record_answer(self) -> None:
        """Records that the store answers."""
        self._evidence = self._evidence._replace(failures=0)

    def record_newer(self, number: int) -> bool:
        """Records a number that a peer named; returns whether it is newer."""
        is_newer = 0 < self._evidence.number < number
        if is_newer and number > self._evidence.newer_number:
            self._evidence = self._evidence._replace(newer_number=number)
        return is_newer

    def record_refused(self, number: int) -> None:
        """Records that a target has seen a higher number than this one."""
        self._refused_number = max(self._refused_number, number)

    def number(self) -> tuple[int, str]:
        """Returns the number to order with, or 0 and why there is none.

        Must be called several times a second, and before each order.
        """
        now_s = self._monotonic_s()
        if now_s - self._last_asked_s > MAX_ASK_GAP_S:
            self._evidence = self._evidence._replace(failures=0)
        self._last_asked_s = now_s
        if 0 < self._evidence.number <= self._refused_number:
            return 0, "refused by a target"
        reason = outage_repair.why_forbidden(
            self._evidence, now_s, self._settings
        )
        return (0, reason) if reason else (self._evidence.number, "")

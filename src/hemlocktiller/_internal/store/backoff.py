"""Pauses of all callers of the store in one process, while calls fail."""

from collections.abc import Callable
import functools

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.policy import store_backoff
from hemlocktiller._internal.schemas import entry_settings

RetryWait = Callable[[int, exceptions.StoreError], float]


class StoreBackoff:
    """Gives callers their waits, by the shared rule once it is in force.

    Attributes:
        is_shared: Whether the shared rule is in force; else each caller
            waits exponentially.
        is_store_lost: Whether the prober's last call failed.
        count_gateways: Returns the number of gateways.
    """

    def __init__(self, settings: entry_settings.Store) -> None:
        self._settings = settings
        self.is_shared = False
        self.is_store_lost = False
        self.count_gateways: Callable[[], int] = lambda: 1

    def retry_wait(self, caller: store_backoff.Caller) -> RetryWait:
        """Returns a function that gives a caller the wait after a failure."""
        return functools.partial(self.wait_s, caller)

    def wait_s(
        self,
        caller: store_backoff.Caller,
        failures: int,
        error: exceptions.StoreError,
    ) -> float:
        """Returns the time to wait after a failed call.

        Args:
            caller: Part of the caller.
            failures: Number of failures in a row before this one.
            error: Why the call failed.
        """
        if not self.is_shared:
            return store_backoff.exponential_wait_s(self._settings, failures)
        return store_backoff.shared_wait_s(
            self._settings,
            caller,
            failures,
            self.count_gateways(),
            self.is_store_lost,
            self._settings["timeout_s"] if error.outcome == "timeout" else 0.0,
            error.retry_after_s,
        )

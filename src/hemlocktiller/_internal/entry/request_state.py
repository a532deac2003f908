"""What model requests and calls of services have in common at an entry."""

from collections.abc import Callable
from typing import Any

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.entry import attempts
from hemlocktiller._internal.entry import routes
from hemlocktiller._internal.entry import targets as targets_module
from hemlocktiller._internal.policy import suspects

RETRY_AFTER_S = 1.0
STALE_CONFIG = "stale_config"
STALE_WAIT_S = 0.1  # The target sends the newer one meanwhile.


class RequestState:
    """State of a request through all of its attempts.

    Attributes:
        call: The request.
        attempt: Number of the current attempt, from 1.
        target: Target of the current attempt, or None between attempts.
        sent_s: When the current attempt was sent.
        ended: Whether the caller has its final answer.
    """

    def __init__(
        self,
        shared: attempts.Shared,
        call: Any,
        on_error: Callable[[exceptions.RequestError], None],
    ) -> None:
        self.call = call
        self.attempt = 0
        self.target: targets_module.Target | None = None
        self.sent_s = 0.0
        self.ended = False
        self._shared = shared
        self._on_error = on_error
        self._excluded: set[str] = set()
        self._may_have_run = False
        self._failures = 0
        self._retry_after_s = RETRY_AFTER_S
        plan = call.caller.view.plan
        self._deadline_s = shared.reactor.seconds() + plan["deadline_s"]
        self._span = shared.tracer.start(
            "request", call.traceparent, request=call.request
        )
        self._timer = shared.reactor.callLater(
            plan["deadline_s"], self._on_deadline
        )
        self._wait: Any = None

    def begin(self) -> None:
        """Sends the next attempt."""
        raise NotImplementedError

    def cancel(self) -> None:
        """Ends the request since its caller has gone.

        A call that may have reached its service is left to finish there.
        """
        if not self.ended:
            self._note("cancelled")
            self._cancel_attempt()
            self._end()

    def _on_deadline(self) -> None:
        raise NotImplementedError

    @property
    def _cost_tokens(self) -> float:
        """Expected cost of the next attempt."""
        return 1.0

    @property
    def _place(self) -> dict[str, Any]:
        return {"request": self.call.request, "attempt": self.attempt}

    @property
    def _ran(self) -> exceptions.Ran:
        """What can be said of whether the request ran."""
        return "unknown" if self._may_have_run else "no"

    @property
    def _time_left_s(self) -> float:
        return max(self._deadline_s - self._shared.reactor.seconds(), 0.0)

    def _is_current(self, message: Any) -> bool:
        """Tells whether a message belongs to the attempt under way."""
        same = message["attempt"] == self.attempt
        if same and self.target is not None:
            return True
        attempts.STALE_ANSWERS.inc()
        return False

    def _may_begin(self) -> bool:
        """Tells whether an attempt may be sent now; else ends or waits."""
        self._wait = None
        return not self._is_held_back() and self._is_readmitted()

    def _is_readmitted(self) -> bool:
        """Admits the call under the newest configuration, or ends it."""
        try:
            self.call = attempts.readmit(self._shared, self.call)
        except exceptions.RequestError as error:
            error.ran = self._ran
            self._fail(error)
            return False
        return True

    def _is_held_back(self) -> bool:
        """Ends a request that crashes targets; waits while undecided."""
        state = self._shared.suspects.state(self.call.digest)
        if state == "condemned":
            message = "targets died while they ran this request"
            self._fail(exceptions.CrashesTargets(message, self._ran))
        elif state == "undecided":
            self._begin_later(suspects.DECISION_S)
        return state in ("condemned", "undecided")

    def _send(
        self, route: routes.Route, message: Callable[[], dict[str, Any]]
    ) -> None:
        """Sends the next attempt to the target of a route."""
        self.attempt += 1
        self.target = route.target
        name = route.target.name
        attempts.ATTEMPTS.inc()
        self._note("attempt", target=name, why=route.why)
        self._shared.push_config(route.target)
        route.target.link.send(message())
        now_s = self._shared.reactor.seconds()
        self.sent_s = now_s
        plan = self.call.caller.view.plan["plan"]
        view = self._shared.targets.view
        view.loads.sent(
            name, self.call.request, plan, self._cost_tokens, now_s
        )
        view.breaker.sent(name, now_s)

    def _begin_later(self, wait_s: float) -> None:
        """Begins another attempt after a wait."""
        self._wait = self._shared.reactor.callLater(wait_s, self.begin)

    def _may_retry(self, reason: str, died: bool = False) -> bool:
        """Counts a failure; tells whether an attempt may follow it."""
        self._failures += 1
        return attempts.may_retry(self._shared, self._failures, reason, died)

    def _back_off(self) -> None:
        """Begins another attempt after the wait that failures call for."""
        self._begin_later(attempts.backoff_s(self._shared, self._failures))

    def _succeeded(self) -> None:
        """Notes a success of the request and its target, and ends it."""
        now_s = self._shared.reactor.seconds()
        self._shared.budget.record_success(now_s)
        self._shared.suspects.succeeded(self.call.digest)
        self._shared.targets.view.breaker.succeeded(self.target.name)
        self._end()

    def _fail(self, error: exceptions.RequestError) -> None:
        """Gives the final answer at once."""
        if self.ended:
            return
        self._note("error", code=error.code, ran=error.ran, why=str(error))
        self._end()
        self._on_error(error)

    def _end(self) -> None:
        self.ended = True
        self._release_target()
        self._span.end()
        for timer in (self._timer, self._wait):
            if timer is not None and timer.active():
                timer.cancel()

    def _cancel_attempt(self) -> None:
        """Tells the target that the current attempt is given up."""
        link = self.target.link if self.target else None
        if link is not None:
            link.send({"type": "cancel", **self._place})
        self._release_target()

    def _failed_target(self) -> None:
        """Counts a failure of the target and tries others first."""
        if self.target is None:
            return
        now_s = self._shared.reactor.seconds()
        self._shared.targets.view.breaker.failed(self.target.name, now_s)
        self._exclude_target()

    def _exclude_target(self) -> None:
        if self.target is not None:
            self._excluded.add(self.target.name)
        self._release_target()

    def _release_target(self) -> None:
        if self.target is None:
            return
        loads = self._shared.targets.view.loads
        loads.done(self.target.name, self.call.request)
        self.target = None

    def _note(self, event: str, **fields: Any) -> None:
        self._shared.journal.note(
            self.call.request, event, attempt=self.attempt, **fields
        )

"""Relays one call to a plain service, and repeats it where that is safe."""

from typing import Any
from typing import NamedTuple

from hemlocktiller._internal.gateway import crashes
from hemlocktiller._internal.gateway import request_context
from hemlocktiller._internal.gateway import upstream
from hemlocktiller._internal.gateway import wire as wire_module
from hemlocktiller._internal.observe import events
from hemlocktiller._internal.policy import attempts
from hemlocktiller._internal.policy import fleet
from hemlocktiller._internal.policy import plain

# A repeatable call is sent a second time when the first has taken this
# share of the route's target latency: enough is left to be in time.
HEDGE_RATIO = 0.9
# When all places are taken: a few service times of a plain target.
RETRY_AFTER_S = 0.3
# Offers turned down before running that are tried elsewhere.
OFFERS_MAX = 3


class _Answer(NamedTuple):
    """A whole answer of a target."""

    status: int
    headers: wire_module.Headers
    body: bytes


class _Run:
    """One attempt at a target."""

    def __init__(self, target: fleet.Target) -> None:
        self.target = target
        self.exchange: upstream.Exchange | None = None
        self.status = 0
        self.headers: wire_module.Headers = []
        self.body: list[bytes] = []


class Outstanding:
    """Own requests at each target of a plain service."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}

    def count(self, name: str) -> int:
        """Returns the requests at a target."""
        return self._counts.get(name, 0)

    def add(self, name: str, change: int) -> None:
        """Counts a request in or out."""
        left = self._counts.get(name, 0) + change
        if left > 0:
            self._counts[name] = left
        else:
            self._counts.pop(name, None)


class Call:
    """State of one request to a plain service.

    Attributes:
        digest: What the request is known by when it comes again.
        request_id: Its id; each attempt of the caller has its own.
    """

    def __init__(
        self,
        context: request_context.RequestContext,
        outstanding: Outstanding,
        rng: Any,
        admitted: request_context.AdmittedRequest,
        on_over: Any,
    ) -> None:
        self._context = context
        self._outstanding = outstanding
        self._rng = rng
        self._admitted = admitted
        self._on_over = on_over
        self.digest = request_context.request_digest(admitted)
        self.request_id = admitted.parsed_headers.request_id
        self._running: dict[str, _Run] = {}
        self._tried: set[str] = set()
        self._ran = 0
        self._offers = 0
        self._kept: _Answer | None = None
        self._over = False
        self._hedge: Any = None
        admitted.caller_request.on_disconnect = self._gone
        left_s = (
            request_context.request_deadline_s(admitted)
            - context.reactor.seconds()
        )
        self._timer = context.reactor.callLater(max(0.0, left_s), self._expire)

    def start(self) -> None:
        """Sends the call, unless it is known to crash targets."""
        state = self._context.crashes.state(self.digest)
        if state == "condemned":
            self._condemned()
            return
        if state == "undecided":
            self._refuse(crashes.REASON_CONDEMNED, crashes.DECISION_S)
            return
        if not self._send():
            self._refuse("no target has a free place")
            return
        route = self._admitted.route
        if route.may_repeat and route.attempts > 1:
            wait_s = route.target_latency_s * HEDGE_RATIO
            self._hedge = self._context.reactor.callLater(
                wait_s, self._send_second
            )

    def check_progress(self, now_s: float) -> None:
        """Does nothing; a call's clocks are its own."""

    def on_target_down(self, target: fleet.Target, reason: str) -> None:
        """Gives up an attempt at a target that is down, if it may repeat."""
        run = self._running.get(target.name)
        if run is not None and self._admitted.route.may_repeat:
            self._broken(run, upstream.Failed(reason, was_sent=True))

    def awaits_output_from(self, target: fleet.Target) -> bool:
        """Tells whether a target has the call and has not answered."""
        return target.name in self._running

    def _send(self):
        """Sends the call to one more target; tells whether it could."""
        context = self._context
        admitted = self._admitted
        candidates = context.targets.of_service(admitted.service.name)
        target = plain.choose(
            candidates,
            self._outstanding.count,
            context.targets.failure_ratio,
            context.data_centre,
            self._tried,
            self._rng,
        )
        if target is None:
            return False
        now_s = context.reactor.seconds()
        events.emit(
            "dispatch",
            request=self.request_id,
            target=target.name,
            offer=self._offers + 1,
            waited_ms=round(
                (now_s - admitted.caller_request.received_at_s) * 1000
            ),
            config=admitted.config_version,
        )
        run = _Run(target)
        self._offers += 1
        self._tried.add(target.name)
        self._running[target.name] = run
        self._outstanding.add(target.name, 1)
        run.exchange = request_context.send_to_target(
            context,
            admitted,
            target,
            upstream.Events(
                lambda status, answer: self._on_head(run, status, answer),
                run.body.append,
                lambda failed: self._on_end(run, failed),
            ),
        )
        return True

    def _send_second(self):
        if self._over or not self._may_run_again():
            return
        if self._budget().try_retry(self._context.reactor.seconds()):
            self._send()

    def _may_run_again(self):
        return attempts.may_run_again(
            self._admitted.route.allowance, self._ran + len(self._running)
        )

    def _budget(self):
        return self._context.retry_budget_for(self._admitted.service.name)

    def _on_head(self, run, status, headers):
        run.status = status
        run.headers = headers

    def _on_end(self, run, failed):
        if self._over or self._running.get(run.target.name) is not run:
            return
        if failed is not None:
            self._broken(run, failed)
            return
        answered = self._context.wire.read_answer(run.status, run.headers)
        if answered.request_id not in ("", self.request_id):
            self._broken(run, upstream.Failed("another's answer", True))
            return
        self._drop(run)
        if answered.not_run:
            self._turned_down(run, answered)
            return
        self._context.crashes.began(self.digest)
        self._ran += 1
        answer = _Answer(run.status, run.headers, b"".join(run.body))
        is_failure = run.status >= 500
        if not answered.is_signed or not answered.is_plain:
            self._unusable(run)
        elif is_failure:
            self._context.targets.failed(run.target, f"answered {run.status}")
            self._kept = answer
            self._again_or_end(f"answered {run.status}")
        else:
            self._context.targets.succeeded(run.target)
            self._deliver(answer)

    def _unusable(self, run):
        """An answer without a signature vouches for nothing."""
        reason = f"unsigned answer {run.status}"
        self._context.targets.failed(run.target, reason)
        self._again_or_end(reason)

    def _broken(self, run, failed):
        self._drop(run)
        if failed.was_refused:
            self._context.targets.mark_down(run.target, failed.reason)
        else:
            self._context.targets.failed(run.target, failed.reason)
        if failed.was_sent:
            self._context.crashes.broke(
                self.digest, self.request_id, [run.target]
            )
            self._ran += 1
            self._again_or_end(failed.reason)
            return
        self._offer_again(failed.reason)

    def _turned_down(self, run, answered):
        if answered.wrong_target:
            self._context.targets.suspect(run.target, "wrong target")
        self._offer_again(f"turned down with {run.status}")

    def _offer_again(self, reason):
        """Offers a call that did not run to another target."""
        now_s = self._context.reactor.seconds()
        if self._running:
            return
        may_offer = (
            self._offers < OFFERS_MAX
            and (self._ran == 0 or self._may_run_again())
            and self._budget().try_retry(now_s)
        )
        if may_offer and self._send():
            return
        self._give_up(reason)

    def _again_or_end(self, reason):
        if self._running:
            return
        state = self._context.crashes.state(self.digest)
        if state == "condemned":
            self._condemned()
            return
        if state == "undecided":
            # A call has no time to wait for the decision.
            self._give_up(reason)
            return
        now_s = self._context.reactor.seconds()
        if (
            self._may_run_again()
            and self._budget().try_retry(now_s)
            and self._send()
        ):
            return
        self._give_up(reason)

    def _give_up(self, reason):
        if self._kept is not None:
            self._deliver(self._kept)
        elif self._ran:
            self._end(request_context.STATUS_BAD_GATEWAY, reason)
        else:
            self._refuse(reason)

    def _deliver(self, answer):
        self._close()
        if answer.status < 500:
            now_s = self._context.reactor.seconds()
            self._budget().record_success(now_s)
        request_context.record_completion(
            self._context, self._admitted, str(answer.status)
        )
        self._admitted.caller_request.respond(
            answer.status, answer.headers, answer.body
        )

    def _refuse(self, reason, retry_after_s=RETRY_AFTER_S):
        self._end(
            request_context.STATUS_SERVICE_UNAVAILABLE, reason, retry_after_s
        )

    def _end(self, status, reason, retry_after_s=0.0):
        """Answers with a failure of our own."""
        self._close()
        request_context.respond_with_error(
            self._context, self._admitted, status, reason, retry_after_s
        )

    def _condemned(self):
        """Ends a call that crashes the targets that run it."""
        if self._kept is not None:
            self._deliver(self._kept)
            return
        self._end(crashes.STATUS_CONDEMNED, crashes.REASON_CONDEMNED)

    def _expire(self):
        may_have_run = self._ran > 0 or bool(self._running)
        if self._kept is not None:
            self._deliver(self._kept)
            return
        status = request_context.STATUS_SERVICE_UNAVAILABLE
        if may_have_run:
            status = request_context.STATUS_GATEWAY_TIMEOUT
        self._end(status, "deadline passed")

    def _gone(self):
        if not self._over:
            self._close()
            request_context.record_completion(
                self._context, self._admitted, "caller left"
            )

    def _drop(self, run):
        if self._running.pop(run.target.name, None) is not None:
            self._outstanding.add(run.target.name, -1)
            run.exchange.cancel()

    def _close(self):
        self._over = True
        for timer in (self._timer, self._hedge):
            if timer is not None and timer.active():
                timer.cancel()
        for run in list(self._running.values()):
            self._drop(run)
        self._on_over(self)

"""The queue before a target: admits, refuses, orders and starts requests.

A refusal is proof that the request did not run, so the entry may send it
elsewhere.
"""

from collections.abc import Callable
import math
from typing import Any
from typing import NamedTuple

import prometheus_client

from hemlocktiller._internal.agent import heads
from hemlocktiller._internal.agent import rates
from hemlocktiller._internal.agent import runs
from hemlocktiller._internal.config import snapshot as snapshot_module
from hemlocktiller._internal.links import link as link_module
from hemlocktiller._internal.observe import explain
from hemlocktiller._internal.policy import costs
from hemlocktiller._internal.policy import fair_queue
from hemlocktiller._internal.policy import lending

EXPIRY_INTERVAL_S = 0.1
MIN_TOKENS_PER_S = 1.0

REFUSED = prometheus_client.Counter(
    "hemlocktiller_refused", "Requests refused by reason", ["reason"]
)
QUEUED = prometheus_client.Gauge(
    "hemlocktiller_queued_requests", "Requests that wait"
)
RUNNING = prometheus_client.Gauge(
    "hemlocktiller_running_requests", "Requests that run"
)


class Waiting(NamedTuple):
    """A request with the link on which its answer goes back."""

    message: Any
    link: link_module.Link
    item: fair_queue.Item


class Work(NamedTuple):
    """What a door does with requests that leave the queue.

    Attributes:
        begin: Starts a request.
        suspect_reason: Returns why a suspect may not start now.
        preempt: Stops a running request, which is resumed later.
    """

    begin: Callable[[Any, link_module.Link], None]
    suspect_reason: Callable[[Any], str]
    preempt: Callable[[runs.Key], None]


class Door:
    """The requests that wait for this target or run at it."""

    def __init__(
        self,
        reactor: Any,
        settings: Any,
        current_config: Callable[[], snapshot_module.Snapshot],
        work: Work,
        journal: explain.Journal,
    ) -> None:
        self.leaving = False
        self.unready = ""
        self.rates = rates.Rates(reactor)
        self._reactor = reactor
        self._settings = settings
        self._current_config = current_config
        self._work = work
        self._journal = journal
        self._lender = lending.Lender()
        self._queue = fair_queue.FairQueue(settings["limits"], {})
        self._waiting: dict[str, Waiting] = {}
        self._running: dict[str, Waiting] = {}
        self._started_s: dict[str, float] = {}
        self._timer: Any = None

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Requests that run."""
        return len(self._running)

    @property
    def queued_cost_tokens(self) -> float:
        """Estimated cost of what waits."""
        return self._queue.cost_tokens

    def backlogs(self) -> dict[str, float]:
        """Returns the cost that a new request would wait for, by plan."""
        return self._queue.backlogs()

    def on_config(self, snapshot: snapshot_module.Snapshot) -> None:
        """Takes the shares of a new configuration."""
        self._queue.set_shares(self._shares())

    def submit(self, message: Any, link: link_module.Link) -> None:
        """Queues a request, or refuses it at once."""
        reason = self.refusal_reason(message)
        if reason:
            self._refuse(message, link, reason)
            return
        item = self._item(message)
        if self._is_hopeless(item, message["expires_in_s"]):
            self._refuse(message, link, "hopeless")
            return
        self._note(message, "queued", waiting=len(self._waiting))
        waiting = Waiting(message, link, item)
        pushed = self._queue.push(waiting.item)
        if not pushed.accepted:
            self._refuse(message, link, "full")
            return
        self._waiting[waiting.item.request] = waiting
        if pushed.displaced is not None:
            self._drop(pushed.displaced.request, "displaced")
        self.pump()

    def refusal_reason(self, message: Any) -> str:
        """Returns why a request can't be taken, or an empty string."""
        if self.leaving:
            return "leaving"
        if self.unready:
            return self.unready
        if message["config_version"] < self._current_config().version:
            return "stale_config"
        if message["expires_in_s"] <= 0:
            return "expired"
        return ""

    def pump(self) -> None:
        """Starts what may start and refuses what can't be in time."""
        now_s = self._reactor.seconds()
        for item in self._queue.expired(now_s):
            self._drop(item.request, "expired")
        while True:
            item = self._queue.pop(now_s, *self._running_by_lane())
            if item is None:
                break
            self._start(self._waiting.pop(item.request))
        self._take_back(now_s)
        self.rates.set_busy(bool(self._running))
        QUEUED.set(len(self._waiting))
        RUNNING.set(len(self._running))
        self._check_later()

    def _start(self, waiting: Waiting) -> None:
        reason = self._work.suspect_reason(waiting.message)
        if reason:
            item = waiting.item
            self._queue.correct(
                item.plan, item.workspace, item.cost_tokens, 0.0
            )
            self._refuse(waiting.message, waiting.link, reason)
            return
        self._running[waiting.item.request] = waiting
        self._started_s[waiting.item.request] = self._reactor.seconds()
        self._note(waiting.message, "started_here")
        self._work.begin(self._with_time_left(waiting), waiting.link)

    def _take_back(self, now_s: float) -> None:
        """Stops a request on lent capacity if its owner waits for it."""
        places = self._settings["limits"]["running"]
        item = self._queue.peek(now_s)
        if item is None or len(self._running) < places:
            return
        victim = self._lender.preempt(
            item,
            self._lent(),
            self._shares(),
            places,
            now_s,
            self._next_free_s(),
        )
        if victim is not None:
            running = self._running[victim.request]
            self._work.preempt(runs.place_of(running.message))

    def _next_free_s(self) -> float:
        """Returns the expected time until a place comes free."""
        count = len(self._running)
        if not self.rates.known or count == 0:
            return math.inf
        run_s = [
            self._expected_run_s(running.message)
            for running in self._running.values()
        ]
        return sum(run_s) / count**2

    def _expected_run_s(self, message: Any) -> float:
        """Returns how long a request would run here, if that is known."""
        words_tokens = costs.actual_cost_tokens(_prompt_words(message), 0.0)
        output_tokens = max(message["cost_tokens"] - words_tokens, 0.0)
        return costs.run_s(output_tokens, self.rates.token_s)

    def _lent(self) -> list[lending.Running]:
        """Returns the running requests that can be resumed elsewhere."""
        return [
            lending.Running(
                name,
                running.item.plan,
                running.item.worth,
                self._started_s[name],
                running.message["attempt"] - 1,
            )
            for name, running in self._running.items()
            if running.message["type"] == "start"
        ]

    def _shares(self) -> dict[str, float]:
        plans = self._current_config().plans
        return {name: plan["share"] for name, plan in plans.items()}

    def done(self, done: heads.Done) -> None:
        """Frees the place of a request and corrects its cost."""
        waiting = self._running.pop(_name(done.key), None)
        if waiting is None:
            return
        started_s = self._started_s.pop(waiting.item.request)
        item = waiting.item
        actual_tokens = costs.actual_cost_tokens(
            _prompt_words(waiting.message), done.token_count
        )
        self._queue.correct(
            item.plan, item.workspace, item.cost_tokens, actual_tokens
        )
        run_s = self._reactor.seconds() - started_s
        self.rates.done(actual_tokens, run_s, done.token_count)
        self._reactor.callLater(0, self.pump)

    def cancel(self, key: runs.Key) -> bool:
        """Forgets a request that waits; tells whether it did."""
        name = _name(key)
        self._queue.remove(name)
        return self._waiting.pop(name, None) is not None

    def drop_link(self, link: link_module.Link) -> None:
        """Forgets what waits for an entry that is gone."""
        names = [
            name
            for name, waiting in self._waiting.items()
            if waiting.link is link
        ]
        for name in names:
            self._queue.remove(name)
            del self._waiting[name]

    def refuse_waiting(self, reason: str) -> None:
        """Gives all that waits back, as not run."""
        for name in list(self._waiting):
            self._queue.remove(name)
            self._drop(name, reason)

    def sample_rate(self) -> None:
        """Takes what was served lately into the averages."""
        self.rates.sample()

    def _with_time_left(self, waiting: Waiting) -> Any:
        left_s = waiting.item.deadline_s - self._reactor.seconds()
        return {**waiting.message, "expires_in_s": max(left_s, 0.0)}

    def _running_by_lane(self) -> tuple[int, int]:
        short = sum(
            self._queue.lane(waiting.item) == fair_queue.SHORT
            for waiting in self._running.values()
        )
        return short, len(self._running) - short

    def _item(self, message: Any) -> fair_queue.Item:
        return fair_queue.Item(
            _name(runs.place_of(message)),
            message["plan"],
            message["workspace"],
            message["cost_tokens"],
            message["worth"],
            self._reactor.seconds() + message["expires_in_s"],
            self._contended_run_s(message),
        )

    def _contended_run_s(self, message: Any) -> float:
        """Returns the expected run time if others compete for the place.

        A place that nobody else wants is given also to what may end late.
        """
        is_free = len(self._running) < self._settings["limits"]["running"]
        if is_free or not self.rates.known:
            return 0.0
        return self._expected_run_s(message)

    def _is_hopeless(self, item: fair_queue.Item, expires_in_s: float) -> bool:
        """Tells whether a request can't even start in time behind others."""
        if not self.rates.known or not self._waiting:
            return False
        return self._wait_s(item) > expires_in_s

    def _wait_s(self, item: fair_queue.Item) -> float:
        rate = max(self.rates.tokens_per_s, MIN_TOKENS_PER_S)
        return self._queue.estimate_wait_s(item, rate)

    def _drop(self, name: str, reason: str) -> None:
        waiting = self._waiting.pop(name, None)
        if waiting is not None:
            self._refuse(waiting.message, waiting.link, reason)

    def _refuse(
        self, message: Any, link: link_module.Link, reason: str
    ) -> None:
        REFUSED.labels(reason).inc()
        self._note(message, "refused_here", why=reason)
        if not link.up:
            return
        wait_s = self._wait_s(self._item(message))
        link.send(
            runs.refusal(
                message,
                reason,
                self._settings["name"],
                wait_s,
                self._current_config().version,
            )
        )

    def _note(self, message: Any, event: str, **fields: Any) -> None:
        self._journal.note(
            message["request"],
            event,
            attempt=message["attempt"],
            target=self._settings["name"],
            **fields,
        )

    def _check_later(self) -> None:
        if self._timer is None and self._waiting:
            self._timer = self._reactor.callLater(
                EXPIRY_INTERVAL_S, self._check
            )

    def _check(self) -> None:
        self._timer = None
        self.pump()


def _prompt_words(message: Any) -> int:
    """Returns the words and tokens that a request starts from."""
    words = len(message.get("prompt", "").split())
    return words + len(message.get("generated", ()))


def _name(key: runs.Key) -> str:
    return f"{key[0]}/{key[1]}"

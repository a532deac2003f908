"""Workload, cost model and bound of the policy benchmark."""

import collections
import itertools
import random
from typing import NamedTuple

PLACES = 16
STEP_S = 0.02
SEQUENCE_S = 0.0005
PROMPT_WORD_S = 0.0002
TOKEN_S = STEP_S / PLACES + SEQUENCE_S
SPEEDS = (1.0, 0.8, 0.5)
CACHED_PREFIXES = 24
PREFIX_WORDS = 256
TEMPLATES = 4
SHORT_RATIO = 0.7


class Plan(NamedTuple):
    """A plan of the workload; `demands` weighs its workspaces."""

    share: float
    worth: float
    deadline_s: float
    demands: tuple[float, ...]


PLANS = {
    "gold": Plan(0.5, 3.0, 20.0, (4.0, 1.0, 1.0)),
    "silver": Plan(0.35, 2.0, 30.0, (4.0, 1.0, 1.0)),
    "bronze": Plan(0.15, 1.0, 40.0, (6.0, 1.0, 1.0, 1.0)),
}
SHARES = {name: plan.share for name, plan in PLANS.items()}


class Request(NamedTuple):
    """A request; `tokens` is the length that nobody knows before."""

    request: str
    arrival_s: float
    plan: str
    workspace: str
    template: int
    own_words: int
    max_tokens: int
    tokens: int

    @property
    def worth(self):
        """Worth of the answer in time."""
        return PLANS[self.plan].worth

    @property
    def deadline_s(self):
        """Time by which the answer must be complete."""
        return self.arrival_s + PLANS[self.plan].deadline_s

    @property
    def prompt_words(self):
        """Words of the prompt."""
        return PREFIX_WORDS + self.own_words

    @property
    def prefixes(self):
        """Digests of the shared prefix of the prompt."""
        return tuple(self.template * 8 + place for place in range(5))

    @property
    def work_s(self):
        """Engine time at full batch with the shared prefix cached."""
        return self.own_words * PROMPT_WORD_S + self.tokens * TOKEN_S


def step_s(speed, sequences, prompt_words):
    """Returns the time of one step of an engine."""
    time_s = STEP_S + SEQUENCE_S * sequences + PROMPT_WORD_S * prompt_words
    return time_s / speed


def tokens_per_s(speed):
    """Returns the rate of an engine at full batch."""
    return speed / TOKEN_S


def speeds(count):
    """Returns the speeds of a fleet of mixed accelerators."""
    return [SPEEDS[number % len(SPEEDS)] for number in range(count)]


def _draw(rng, name, plan, workspace, arrival_s, number):
    short = rng.random() < SHORT_RATIO
    max_tokens = rng.randint(30, 100) if short else rng.randint(160, 500)
    return Request(
        f"{name}-{number}",
        arrival_s,
        name,
        f"{name}-w{workspace}",
        (list(PLANS).index(name) * 8 + workspace) * TEMPLATES
        + rng.randrange(TEMPLATES),
        rng.randint(20, 120),
        max_tokens,
        max(1, round(max_tokens * rng.uniform(0.4, 0.8))),
    )


def workload(seed, capacity, duration_s, loads):
    """Returns the requests in the order of their arrival.

    Args:
        seed: Seed.
        capacity: Engine seconds a second of the fleet.
        duration_s: Length.
        loads: Offered engine time of each plan as a part of the capacity.
    """
    requests = []
    for name, load in loads.items():
        rng = random.Random(f"{seed} {name}")
        plan = PLANS[name]
        sample = [_draw(rng, name, plan, 0, 0.0, 0) for _ in range(4000)]
        mean_s = sum(request.work_s for request in sample) / len(sample)
        rate_per_s = load * capacity / mean_s
        now_s = rng.expovariate(rate_per_s)
        for number in itertools.count():
            if now_s >= duration_s:
                break
            places = range(len(plan.demands))
            workspace = rng.choices(places, plan.demands)[0]
            requests.append(_draw(rng, name, plan, workspace, now_s, number))
            now_s += rng.expovariate(rate_per_s)
    return sorted(requests, key=lambda request: request.arrival_s)


class Piece(NamedTuple):
    """A request, or what is left of one, as the bound sees it."""

    worth: float
    work_s: float


def _greedy(pieces, budget_s):
    """Spends a budget on the densest pieces, the last one in part.

    Returns:
        The worth got, the pieces left over, the budget left over in s.
    """
    worth = 0.0
    rest = []
    for piece in sorted(pieces, key=lambda one: -one.worth / one.work_s):
        taken_s = min(piece.work_s, budget_s)
        part = piece.worth * taken_s / piece.work_s
        worth += part
        budget_s -= taken_s
        if taken_s < piece.work_s:
            rest.append(Piece(piece.worth - part, piece.work_s - taken_s))
    return worth, rest, budget_s


def _fair(demands_s, weights, budget_s):
    """Returns the max-min fair parts of a budget, by weight."""
    parts = dict.fromkeys(demands_s, 0.0)
    hungry = {name for name, demand_s in demands_s.items() if demand_s > 0}
    while hungry and budget_s > 1e-9:
        total = sum(weights[name] for name in hungry)
        unit_s = min(
            (demands_s[name] - parts[name]) / weights[name] for name in hungry
        )
        unit_s = min(unit_s, budget_s / total)
        for name in hungry:
            parts[name] += unit_s * weights[name]
        budget_s -= unit_s * total
        hungry = {
            name for name in hungry if demands_s[name] - parts[name] > 1e-9
        }
    return parts


def _demands(requests, field):
    demands_s = collections.Counter()
    for request in requests:
        demands_s[getattr(request, field)] += request.work_s
    return demands_s


def _split(requests, field):
    parts = collections.defaultdict(list)
    for request in requests:
        parts[getattr(request, field)].append(request)
    return parts


def bound(requests, engine_s, by_workspace=True):
    """Returns the most worth that any policy gets out of the engine time.

    Each plan gets its entitlement, spent on its requests of the highest
    worth per engine second with all lengths known and all shared prefixes
    cached; what a plan leaves goes to the densest requests of the others.

    Args:
        requests: What is offered.
        engine_s: Engine time at full batch.
        by_workspace: Whether the workspaces of a plan are entitled to
            equal parts of what the plan is entitled to.
    """
    worth = 0.0
    rest = []
    left_s = engine_s
    for name, own in _split(requests, "plan").items():
        entitled_s = SHARES[name] * engine_s
        groups = {"": own}
        parts = {"": entitled_s}
        if by_workspace:
            groups = _split(own, "workspace")
            demands_s = _demands(own, "workspace")
            parts = _fair(demands_s, dict.fromkeys(groups, 1.0), entitled_s)
        for group, members in groups.items():
            pieces = [Piece(one.worth, one.work_s) for one in members]
            part, remaining, unused_s = _greedy(pieces, parts[group])
            worth += part
            rest += remaining
            left_s -= parts[group] - unused_s
    return worth + _greedy(rest, max(0.0, left_s))[0]

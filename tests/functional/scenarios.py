"""Runs under seeded faults, with the findings of all history checks.

The promise tests run these with fixed seeds; the campaign with many.
"""

import itertools
import time
from typing import NamedTuple

from tests.fakes import model
from tests.functional import client
from tests.functional import harness
from tests.functional import history
from tests.functional import schedules

LAYER_COUNT = 12
STAGES = 3
CHAINS = 2
REQUESTS = 40
CALLERS = 8
MAX_TOKENS = 12
STEP_S = 0.002
RESENDS = 12
RESEND_POLLS = 4
ENTRIES = ("e0", "e1")
MODEL_AGENTS = tuple(
    f"c{chain}s{stage}" for chain in range(CHAINS) for stage in range(STAGES)
)
CALL_AGENTS = ("b0", "b1")


class Outcome(NamedTuple):
    """What a run gave.

    Attributes:
        findings: What the checks found wrong, by promise number.
        exchanges: All requests with their answers.
        faults: The schedule.
    """

    findings: dict[int, list[str]]
    exchanges: list[client.Exchange]
    faults: list[schedules.Fault]

    def whole(self) -> int:
        """Returns how many requests got a whole answer."""
        return sum(exchange.whole for exchange in self.exchanges)


def reference(prompt: str, count: int) -> tuple[int, ...]:
    """Returns the whole answer of the stand-in model."""
    return tuple(model.reference(prompt, LAYER_COUNT, count))


def start_models(deployment: harness.Deployment, relayed=()) -> None:
    """Starts two chains of three stages and two entries."""
    harness.start_chains(
        deployment,
        chains=CHAINS,
        stages=STAGES,
        layer_count=LAYER_COUNT,
        relayed=relayed,
        step_s=STEP_S,
    )
    harness.start_together(deployment.start_entry, ENTRIES)
    deployment.wait_ready()


def start_calls(deployment: harness.Deployment, relayed=(), **options) -> None:
    """Starts two booking services and two entries."""
    harness.start_bookings(
        deployment, count=len(CALL_AGENTS), relayed=relayed, **options
    )
    harness.start_together(deployment.start_entry, ENTRIES)
    deployment.wait_ready()


def ask_model(deployment: harness.Deployment, number: int) -> client.Exchange:
    """Sends one prompt, through the entries in turn."""
    entry = deployment.callers(ENTRIES[number % len(ENTRIES)])
    key = list(harness.KEYS.values())[number % len(harness.KEYS)]
    name = f"prompt {number}"
    send = client.stream if number % 4 else client.complete
    return send(entry, key, name, name, max_tokens=MAX_TOKENS)


def model_run(
    deployment: harness.Deployment, seed: int, faults: int, kinds=None
) -> Outcome:
    """Runs prompts under the faults of a seed."""
    schedule = schedules.make(
        seed,
        kinds or schedules.MODEL_FAULTS,
        MODEL_AGENTS,
        ENTRIES,
        REQUESTS,
        faults,
    )
    start_models(deployment, schedules.relayed(schedule))
    load = client.Load(CALLERS)
    for number in range(REQUESTS):
        load.send(ask_model, deployment, number)
    schedules.run(deployment, schedule, load)
    exchanges = load.results()
    findings = check_models(deployment, exchanges, schedule)
    return Outcome(findings, exchanges, schedule)


def check_models(deployment, exchanges, schedule) -> dict[int, list[str]]:
    """Returns what the checks of model requests found, by promise."""
    runs = deployment.all_runs()
    touched = schedules.touched(deployment, schedule)
    layers = history.check_layers(runs, touched.lossy, touched.late)
    layers += history.check_covered(exchanges, runs, LAYER_COUNT)
    if not schedule:
        layers += history.check_one_attempt(runs, LAYER_COUNT)
    not_run = history.check_not_run(exchanges, runs, [])
    return {
        1: layers,
        2: history.check_answers(exchanges, reference),
        3: not_run + history.check_errors(exchanges),
    }


def book(deployment: harness.Deployment, number: int) -> list[client.Exchange]:
    """Makes one booking; its caller resends it until it is answered."""
    key = list(harness.KEYS.values())[number % len(harness.KEYS)]
    body = {"item": f"hall {number}"}
    exchanges = []
    for attempt in range(RESENDS):
        entry = ENTRIES[(number + attempt) % len(ENTRIES)]
        exchange = client.call_service(
            deployment.callers(entry),
            key,
            f"booking {number} resend {attempt}",
            body,
            f"key {number}",
        )
        exchanges.append(exchange)
        if exchange.whole:
            return exchanges
        time.sleep(RESEND_POLLS * schedules.POLL_S)
    return exchanges


def book_without_key(deployment: harness.Deployment, number: int):
    """Makes one booking without a key and sends it once."""
    entry = deployment.callers(ENTRIES[number % len(ENTRIES)])
    key = harness.KEYS["events"]
    body = {"item": f"keyless {number}"}
    name = f"keyless {number}"
    return [client.call_service(entry, key, name, body)]


def call_run(
    deployment: harness.Deployment, seed: int, faults: int, kinds=None
) -> Outcome:
    """Makes bookings under the faults of a seed."""
    schedule = schedules.make(
        seed,
        kinds or schedules.CALL_FAULTS,
        CALL_AGENTS,
        ENTRIES,
        REQUESTS,
        faults,
    )
    relayed = schedules.relayed(schedule)
    start_calls(deployment, relayed, delay_s=STEP_S)
    load = client.Load(CALLERS)
    for number in range(REQUESTS):
        send = book if number % 4 else book_without_key
        load.send(send, deployment, number)
    schedules.run(deployment, schedule, load)
    exchanges = list(itertools.chain.from_iterable(load.results()))
    return Outcome(check_calls(deployment, exchanges), exchanges, schedule)


def check_calls(deployment, exchanges) -> dict[int, list[str]]:
    """Returns what the checks of bookings found, by promise."""
    bookings = deployment.all_bookings()
    not_run = history.check_not_run(exchanges, [], bookings)
    return {
        3: not_run + history.check_errors(exchanges),
        4: history.check_at_most_once(exchanges, bookings),
    }

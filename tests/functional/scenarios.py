"""Scenarios that send requests under seeded faults and check the history.

The `test_promises_*` tests run them with fixed seeds, the campaign with many.
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
MAX_BOOKING_SENDS = 12
RESEND_DELAY_POLLS = 4
ENTRIES = ("e0", "e1")
MODEL_AGENTS = tuple(
    f"c{chain}s{stage}" for chain in range(CHAINS) for stage in range(STAGES)
)
CALL_AGENTS = ("b0", "b1")


class Outcome(NamedTuple):
    """Result of one scenario.

    Attributes:
        findings: Violations by number of the guarantee, as in the names of
            the `test_promises_*` files.
        exchanges: All requests with their responses.
        faults: The faults that were injected.
    """

    findings: dict[int, list[str]]
    exchanges: list[client.Exchange]
    faults: list[schedules.Fault]

    def whole(self) -> int:
        """Returns how many requests got a complete answer."""
        return sum(exchange.whole for exchange in self.exchanges)


def reference(prompt: str, count: int) -> tuple[int, ...]:
    """Returns the complete answer of the fake model."""
    return tuple(model.reference(prompt, LAYER_COUNT, count))


def start_models(deployment: harness.Deployment, relayed=()) -> None:
    """Starts the chains of model engines and the entries."""
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
    """Starts the booking services and the entries."""
    harness.start_bookings(
        deployment, count=len(CALL_AGENTS), relayed=relayed, **options
    )
    harness.start_together(deployment.start_entry, ENTRIES)
    deployment.wait_ready()


def send_prompt(
    deployment: harness.Deployment, number: int
) -> client.Exchange:
    """Sends prompt `number`; successive prompts use the entries in turn."""
    entry = deployment.callers(ENTRIES[number % len(ENTRIES)])
    key = list(harness.KEYS.values())[number % len(harness.KEYS)]
    name = f"prompt {number}"
    send = client.stream if number % 4 else client.complete
    return send(entry, key, name, name, max_tokens=MAX_TOKENS)


def run_prompts(
    deployment: harness.Deployment, seed: int, faults: int, kinds=None
) -> Outcome:
    """Sends prompts while faults drawn from a seed are injected."""
    schedule = schedules.make_schedule(
        seed,
        kinds or schedules.MODEL_FAULTS,
        MODEL_AGENTS,
        ENTRIES,
        REQUESTS,
        faults,
    )
    start_models(deployment, schedules.relayed_agents(schedule))
    load = client.Load(CALLERS)
    for number in range(REQUESTS):
        load.send(send_prompt, deployment, number)
    schedules.run(deployment, schedule, load)
    exchanges = load.results()
    findings = check_models(deployment, exchanges, schedule)
    return Outcome(findings, exchanges, schedule)


def check_models(deployment, exchanges, schedule) -> dict[int, list[str]]:
    """Returns the violations in the history of prompts, by guarantee."""
    runs = deployment.all_runs()
    excused = schedules.excused_engines(deployment, schedule)
    layer_findings = history.check_layers(runs, excused.lossy, excused.late)
    layer_findings += history.check_covered(exchanges, runs, LAYER_COUNT)
    if not schedule:
        layer_findings += history.check_one_attempt(runs, LAYER_COUNT)
    not_run = history.check_not_run(exchanges, runs, [])
    return {
        1: layer_findings,
        2: history.check_answers(exchanges, reference),
        3: not_run + history.check_errors(exchanges),
    }


def make_booking(
    deployment: harness.Deployment, number: int
) -> list[client.Exchange]:
    """Makes one booking, with retries until it succeeds."""
    key = list(harness.KEYS.values())[number % len(harness.KEYS)]
    body = {"item": f"hall {number}"}
    exchanges = []
    for attempt in range(MAX_BOOKING_SENDS):
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
        time.sleep(RESEND_DELAY_POLLS * schedules.POLL_S)
    return exchanges


def make_booking_without_key(deployment: harness.Deployment, number: int):
    """Sends one booking without an idempotency key, once."""
    entry = deployment.callers(ENTRIES[number % len(ENTRIES)])
    key = harness.KEYS["events"]
    body = {"item": f"keyless {number}"}
    name = f"keyless {number}"
    return [client.call_service(entry, key, name, body)]


def run_bookings(
    deployment: harness.Deployment, seed: int, faults: int, kinds=None
) -> Outcome:
    """Makes bookings while faults drawn from a seed are injected."""
    schedule = schedules.make_schedule(
        seed,
        kinds or schedules.CALL_FAULTS,
        CALL_AGENTS,
        ENTRIES,
        REQUESTS,
        faults,
    )
    relayed = schedules.relayed_agents(schedule)
    start_calls(deployment, relayed, delay_s=STEP_S)
    load = client.Load(CALLERS)
    for number in range(REQUESTS):
        send = make_booking if number % 4 else make_booking_without_key
        load.send(send, deployment, number)
    schedules.run(deployment, schedule, load)
    exchanges = list(itertools.chain.from_iterable(load.results()))
    return Outcome(check_calls(deployment, exchanges), exchanges, schedule)


def check_calls(deployment, exchanges) -> dict[int, list[str]]:
    """Returns the violations in the history of bookings, by guarantee."""
    bookings = deployment.all_bookings()
    not_run = history.check_not_run(exchanges, [], bookings)
    return {
        3: not_run + history.check_errors(exchanges),
        4: history.check_at_most_once(exchanges, bookings),
    }

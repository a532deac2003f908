"""Checks that recorded histories meet the product's guarantees.

Each check is a pure function that returns a list of violations, which is
empty if the history is correct.
"""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import json
from typing import NamedTuple

from tests.functional.client import Exchange

ReferenceAnswer = Callable[[str, int], tuple[int, ...]]


class Run(NamedTuple):
    """Execution of a range of layers by one engine for one token.

    Attributes:
        engine: Name of the engine.
        sequence: Sequence id, `REQUEST/ATTEMPT`.
        token_index: Index of the token.
        first_layer: First layer run.
        end_layer: Layer after the last one run.
        at_s: Time of the run, on a clock that all engines share.
    """

    engine: str
    sequence: str
    token_index: int
    first_layer: int
    end_layer: int
    at_s: float


class Booking(NamedTuple):
    """Execution of a call by a booking service.

    Attributes:
        service: Name of the service process.
        body: JSON text of the request body, with sorted keys.
    """

    service: str
    body: str


class Sample(NamedTuple):
    """A configuration version that a process reported as in force."""

    process: str
    version: int


def request_id_of(sequence: str) -> str:
    """Returns the request id in a sequence id."""
    return sequence.rpartition("/")[0]


def parse_bookings(service: str, lines) -> list[Booking]:
    """Returns the calls in the history of a booking service."""
    return [Booking(service, canonical_json(line["body"])) for line in lines]


def canonical_json(body) -> str:
    """Returns JSON text that is identical for equal bodies."""
    return json.dumps(body, sort_keys=True)


def parse_runs(engine: str, lines) -> list[Run]:
    """Returns the runs in the history of an engine, without KV rebuilds."""
    return [
        Run(
            engine,
            line["sequence"],
            line["token_index"],
            line["first_layer"],
            line["end_layer"],
            line["at_s"],
        )
        for line in lines
        if line.get("kind") == "run"
    ]


def _group_by_token(
    all_runs: Iterable[Run],
) -> dict[tuple[str, int], list[Run]]:
    grouped = collections.defaultdict(list)
    for run in sorted(all_runs, key=lambda run: run.at_s):
        grouped[run.sequence, run.token_index].append(run)
    return grouped


def check_layers(
    all_runs: Iterable[Run],
    lossy: Collection[str] = (),
    late: Collection[str] = (),
) -> list[str]:
    """Checks that layers run once and in order for each token.

    A run is accepted if it starts at the layer where the accepted runs
    before it end. No engine may run a layer of a token twice. A run that is
    not accepted is a violation unless a fault explains it: another engine
    repeats the latest range because the output of the first was lost, or an
    engine that was suspended runs layers that others ran in its place.

    Args:
        all_runs: Runs of all engines.
        lossy: Engines whose output may have been lost by a fault.
        late: Engines that a fault may have delayed.
    """
    all_runs = list(all_runs)
    findings = _find_repeated_layers(all_runs)
    for token_runs in _group_by_token(all_runs).values():
        findings += _find_layer_order_errors(token_runs, lossy, late)
    return findings + _find_token_order_errors(all_runs)


def _find_repeated_layers(all_runs: list[Run]) -> list[str]:
    layers = collections.Counter(
        (run.engine, run.sequence, run.token_index, layer)
        for run in all_runs
        for layer in range(run.first_layer, run.end_layer)
    )
    return [
        f"{engine} ran layer {layer} of {sequence} token {index} {count} times"
        for (engine, sequence, index, layer), count in layers.items()
        if count > 1
    ]


def _find_layer_order_errors(
    token_runs: list[Run], lossy: Collection[str], late: Collection[str]
) -> list[str]:
    findings = []
    accepted: list[Run] = []
    for run in token_runs:
        next_layer = accepted[-1].end_layer if accepted else 0
        if run.first_layer == next_layer:
            accepted.append(run)
        elif run.first_layer > next_layer:
            findings.append(f"gap before layer {run.first_layer}: {run}")
        elif _is_excused_rerun(run, accepted[-1], lossy):
            accepted[-1] = run
        elif run.engine not in late:
            findings.append(f"earlier layer run again: {run}")
    return findings


def _is_excused_rerun(run: Run, last: Run, lossy: Collection[str]) -> bool:
    same_range = (run.first_layer, run.end_layer) == (
        last.first_layer,
        last.end_layer,
    )
    return same_range and last.engine in lossy


def _find_token_order_errors(all_runs: list[Run]) -> list[str]:
    newest: dict[str, int] = {}
    findings = []
    for run in sorted(all_runs, key=lambda run: run.at_s):
        if run.first_layer != 0:
            continue
        if run.token_index < newest.get(run.sequence, -1):
            findings.append(f"token run after a later one: {run}")
        newest[run.sequence] = run.token_index
    return findings


def check_covered(
    exchanges: Iterable[Exchange], all_runs: Iterable[Run], layer_count: int
) -> list[str]:
    """Checks that all layers ran for each token that a caller received."""
    covered_tokens = collections.defaultdict(set)
    for (sequence, index), token_runs in _group_by_token(all_runs).items():
        if _ran_all_layers(token_runs, layer_count):
            covered_tokens[request_id_of(sequence)].add(index)
    return [
        f"{exchange.name}: token {index} without a run of all layers"
        for exchange in exchanges
        for index in range(len(exchange.tokens))
        if index not in covered_tokens[exchange.request]
    ]


def check_one_attempt(all_runs: Iterable[Run], layer_count: int) -> list[str]:
    """Checks that no two attempts of a request completed the same token."""
    attempts = collections.defaultdict(set)
    for (sequence, index), token_runs in _group_by_token(all_runs).items():
        if _ran_all_layers(token_runs, layer_count):
            attempts[request_id_of(sequence), index].add(sequence)
    return [
        f"token {index} finished by attempts {sorted(sequences)}"
        for (_, index), sequences in attempts.items()
        if len(sequences) > 1
    ]


def _ran_all_layers(token_runs: list[Run], layer_count: int) -> bool:
    next_layer = 0
    for run in token_runs:
        if run.first_layer == next_layer:
            next_layer = run.end_layer
    return next_layer == layer_count


def check_answers(
    exchanges: Iterable[Exchange], reference: ReferenceAnswer
) -> list[str]:
    """Checks that each answer is the expected one, or a marked prefix of it.

    Args:
        exchanges: Requests with their responses.
        reference: Returns the complete answer to a prompt and a maximum
            number of tokens.
    """
    exchanges = list(exchanges)
    findings = _find_repeated_ids(exchanges)
    for exchange in exchanges:
        if exchange.kind != "call":
            expected = reference(exchange.sent, exchange.wanted_tokens)
            findings += _find_answer_errors(exchange, tuple(expected))
    return findings


def _find_answer_errors(
    exchange: Exchange, expected: tuple[int, ...]
) -> list[str]:
    got = exchange.tokens
    if exchange.whole and exchange.code:
        return [f"{exchange.name}: complete, but with error {exchange.code}"]
    if exchange.whole and got != expected:
        return [f"{exchange.name}: complete, but {got} is not {expected}"]
    if got != expected[: len(got)]:
        return [f"{exchange.name}: {got} is not a prefix of {expected}"]
    return []


def _find_repeated_ids(exchanges: list[Exchange]) -> list[str]:
    counts = collections.Counter(
        exchange.request for exchange in exchanges if exchange.request
    )
    return [f"id {name} answered twice" for name in counts if counts[name] > 1]


def check_all_whole(exchanges: Iterable[Exchange]) -> list[str]:
    """Checks that no request was truncated or refused."""
    return [
        f"{exchange.name}: not complete: {exchange}"
        for exchange in exchanges
        if not exchange.whole
    ]


def check_not_run(
    exchanges: Iterable[Exchange],
    all_runs: Iterable[Run],
    bookings: Iterable[Booking],
) -> list[str]:
    """Checks that no request that was reported as not run was executed.

    Calls with equal bodies are retries of one booking: it must not have run
    if all of their responses report that it did not.
    """
    exchanges = list(exchanges)
    ran_requests = {request_id_of(run.sequence) for run in all_runs}
    findings = [
        f"{exchange.name}: reported as not run, but an engine ran it"
        for exchange in exchanges
        if exchange.kind != "call"
        and exchange.ran == "no"
        and exchange.request in ran_requests
    ]
    booked_bodies = {booking.body for booking in bookings}
    not_run_answers = collections.defaultdict(list)
    for exchange in exchanges:
        if exchange.kind == "call":
            not_run_answers[exchange.sent].append(exchange.ran == "no")
    return findings + [
        f"{sent}: always reported as not run, but a service ran it"
        for sent, answers in not_run_answers.items()
        if all(answers) and canonical_json(json.loads(sent)) in booked_bodies
    ]


def check_errors(exchanges: Iterable[Exchange]) -> list[str]:
    """Checks that each error reports whether the request ran."""
    return [
        f"{exchange.name}: error {exchange.code!r}, ran {exchange.ran!r}"
        for exchange in exchanges
        if (exchange.code or exchange.status >= 400)
        and exchange.ran not in ("no", "yes", "unknown")
    ]


def check_at_most_once(
    exchanges: Iterable[Exchange], bookings: Iterable[Booking]
) -> list[str]:
    """Checks that each booking ran at most once.

    Each logical request must have a body of its own. A booking that was
    answered must have run, and all answers to it must be equal.
    """
    counts = collections.Counter(booking.body for booking in bookings)
    findings = [
        f"{body} ran {count} times"
        for body, count in counts.items()
        if count > 1
    ]
    answers = collections.defaultdict(set)
    for exchange in exchanges:
        if exchange.kind == "call" and exchange.whole:
            body = canonical_json(json.loads(exchange.sent))
            answers[body].add(canonical_json(exchange.body))
    for body, distinct_answers in answers.items():
        if counts[body] == 0:
            findings.append(f"{body} answered, but never ran")
        if len(distinct_answers) > 1:
            findings.append(
                f"{body} got different answers: {distinct_answers}"
            )
    return findings


def check_versions(samples: Iterable[Sample]) -> list[str]:
    """Checks that no process reverts to an older configuration.

    Version 0 means that a process has not read one since its start.

    Args:
        samples: Samples in the order in which they were taken.
    """
    newest: dict[str, Sample] = {}
    findings = []
    for sample in samples:
        if sample.version == 0:
            continue
        last = newest.get(sample.process, sample)
        if sample.version < last.version:
            findings.append(f"{last} reverted to {sample.version}")
        newest[sample.process] = max(sample, last)
    return findings

"""Checks of recorded histories; each returns what it found wrong.

All checks are pure functions: no findings means that the history holds.
"""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import json
from typing import NamedTuple

from tests.functional.client import Exchange

Reference = Callable[[str, int], tuple[int, ...]]


class Run(NamedTuple):
    """A range of layers that an engine ran for one token.

    Attributes:
        engine: Name of the engine.
        sequence: The engine's sequence, `REQUEST/ATTEMPT`.
        token_index: Index of the token.
        first_layer: First layer run.
        end_layer: Layer after the last one run.
        at_s: Time of the run on a clock that all engines share.
    """

    engine: str
    sequence: str
    token_index: int
    first_layer: int
    end_layer: int
    at_s: float


class Booking(NamedTuple):
    """A call that a booking service ran.

    Attributes:
        service: Name of the service process.
        body: JSON text of the request body, with sorted keys.
    """

    service: str
    body: str


class Sample(NamedTuple):
    """A configuration version that a process said was in force."""

    process: str
    version: int


def request_of(sequence: str) -> str:
    """Returns the request id of an engine's sequence."""
    return sequence.rpartition("/")[0]


def bookings(service: str, lines) -> list[Booking]:
    """Returns the bookings of a service's history."""
    return [Booking(service, canonical(line["body"])) for line in lines]


def canonical(body) -> str:
    """Returns the same JSON text for equal bodies."""
    return json.dumps(body, sort_keys=True)


def runs(engine: str, lines) -> list[Run]:
    """Returns the runs of an engine's history, without KV rebuilds."""
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


def _by_token(all_runs: Iterable[Run]) -> dict[tuple[str, int], list[Run]]:
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

    A run counts as accepted if it starts where the accepted ones before
    it end. No engine may run a layer of a token twice. Only a fault
    excuses a run that is not accepted: the newest range is run again at
    another engine because the output of the first was lost, or a frozen
    engine runs late what others have run in its place.

    Args:
        all_runs: Runs of all engines.
        lossy: Engines whose output a fault may have lost.
        late: Engines that a fault may have delayed.
    """
    all_runs = list(all_runs)
    findings = _repeats(all_runs)
    for token_runs in _by_token(all_runs).values():
        findings += _order(token_runs, lossy, late)
    return findings + _token_order(all_runs)


def _repeats(all_runs: list[Run]) -> list[str]:
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


def _order(
    token_runs: list[Run], lossy: Collection[str], late: Collection[str]
) -> list[str]:
    findings = []
    accepted: list[Run] = []
    for run in token_runs:
        frontier = accepted[-1].end_layer if accepted else 0
        if run.first_layer == frontier:
            accepted.append(run)
        elif run.first_layer > frontier:
            findings.append(f"gap before layer {run.first_layer}: {run}")
        elif _replaces(run, accepted[-1], lossy):
            accepted[-1] = run
        elif run.engine not in late:
            findings.append(f"earlier layer run again: {run}")
    return findings


def _replaces(run: Run, last: Run, lossy: Collection[str]) -> bool:
    same = (run.first_layer, run.end_layer) == (
        last.first_layer,
        last.end_layer,
    )
    return same and last.engine in lossy


def _token_order(all_runs: list[Run]) -> list[str]:
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
    """Checks that all layers ran for each token that a caller got."""
    covered = collections.defaultdict(set)
    for (sequence, index), token_runs in _by_token(all_runs).items():
        if _covers(token_runs, layer_count):
            covered[request_of(sequence)].add(index)
    return [
        f"{exchange.name}: token {index} without a run of all layers"
        for exchange in exchanges
        for index in range(len(exchange.tokens))
        if index not in covered[exchange.request]
    ]


def check_one_attempt(all_runs: Iterable[Run], layer_count: int) -> list[str]:
    """Checks that no two attempts of a request finished the same token."""
    attempts = collections.defaultdict(set)
    for (sequence, index), token_runs in _by_token(all_runs).items():
        if _covers(token_runs, layer_count):
            attempts[request_of(sequence), index].add(sequence)
    return [
        f"token {index} finished by attempts {sorted(sequences)}"
        for (_, index), sequences in attempts.items()
        if len(sequences) > 1
    ]


def _covers(token_runs: list[Run], layer_count: int) -> bool:
    frontier = 0
    for run in token_runs:
        if run.first_layer == frontier:
            frontier = run.end_layer
    return frontier == layer_count


def check_answers(
    exchanges: Iterable[Exchange], reference: Reference
) -> list[str]:
    """Checks that answers are whole, or marked as cut, and unmixed.

    Args:
        exchanges: Requests with their answers.
        reference: Returns the whole answer to a prompt, given the most
            tokens asked for.
    """
    exchanges = list(exchanges)
    findings = _repeated_ids(exchanges)
    for exchange in exchanges:
        if exchange.kind != "call":
            wanted = reference(exchange.sent, exchange.wanted_tokens)
            findings += _answer(exchange, tuple(wanted))
    return findings


def _answer(exchange: Exchange, wanted: tuple[int, ...]) -> list[str]:
    got = exchange.tokens
    if exchange.whole and exchange.code:
        return [f"{exchange.name}: whole, but with error {exchange.code}"]
    if exchange.whole and got != wanted:
        return [f"{exchange.name}: whole, but {got} is not {wanted}"]
    if got != wanted[: len(got)]:
        return [f"{exchange.name}: {got} is no start of {wanted}"]
    return []


def _repeated_ids(exchanges: list[Exchange]) -> list[str]:
    counts = collections.Counter(
        exchange.request for exchange in exchanges if exchange.request
    )
    return [f"id {name} answered twice" for name in counts if counts[name] > 1]


def check_all_whole(exchanges: Iterable[Exchange]) -> list[str]:
    """Checks that no request was cut off or refused."""
    return [
        f"{exchange.name}: not whole: {exchange}"
        for exchange in exchanges
        if not exchange.whole
    ]


def check_not_run(
    exchanges: Iterable[Exchange],
    all_runs: Iterable[Run],
    bookings: Iterable[Booking],
) -> list[str]:
    """Checks that what was answered as not run has no run anywhere.

    Calls with the same body are one booking that its caller sent again:
    it must not have run if each answer says that it did not.
    """
    exchanges = list(exchanges)
    ran = {request_of(run.sequence) for run in all_runs}
    findings = [
        f"{exchange.name}: answered as not run, but an engine ran it"
        for exchange in exchanges
        if exchange.kind != "call"
        and exchange.ran == "no"
        and exchange.request in ran
    ]
    booked = {booking.body for booking in bookings}
    said_not_run = collections.defaultdict(list)
    for exchange in exchanges:
        if exchange.kind == "call":
            said_not_run[exchange.sent].append(exchange.ran == "no")
    return findings + [
        f"{sent}: always answered as not run, but a service ran it"
        for sent, answers in said_not_run.items()
        if all(answers) and canonical(json.loads(sent)) in booked
    ]


def check_errors(exchanges: Iterable[Exchange]) -> list[str]:
    """Checks that each error says whether the request ran."""
    return [
        f"{exchange.name}: error {exchange.code!r}, ran {exchange.ran!r}"
        for exchange in exchanges
        if (exchange.code or exchange.status >= 400)
        and exchange.ran not in ("no", "yes", "unknown")
    ]


def check_at_most_once(
    exchanges: Iterable[Exchange], bookings: Iterable[Booking]
) -> list[str]:
    """Checks bookings whose bodies are unique among logical requests.

    Each may run once at most, must have run if it was answered, and all
    answers to it must be equal.
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
            body = canonical(json.loads(exchange.sent))
            answers[body].add(canonical(exchange.body))
    for body, different in answers.items():
        if counts[body] == 0:
            findings.append(f"{body} answered, but never ran")
        if len(different) > 1:
            findings.append(f"{body} got different answers: {different}")
    return findings


def check_versions(samples: Iterable[Sample]) -> list[str]:
    """Checks that no process goes back to an older configuration.

    Version 0 means that a process, after its start, has none yet.

    Args:
        samples: In the order in which they were taken.
    """
    newest: dict[str, Sample] = {}
    findings = []
    for sample in samples:
        if sample.version == 0:
            continue
        last = newest.get(sample.process, sample)
        if sample.version < last.version:
            findings.append(f"{last} went back to {sample.version}")
        newest[sample.process] = max(sample, last)
    return findings

"""Compares the ways to bring the replacement of a lost stage up to date.

Two stages on the engine stand-in, whose cost model is set on the command
line; the second is lost after a number of tokens. Measured is the time
until its replacement gives the token that was under way: after a replay of
kept inputs, after an import of exported KV cache and a replay of the rest,
and with a new attempt that prefills all stages. Bytes are computed for a
real model's sizes, as those of the stand-in do not grow alike.

    python -m benchmarks.reform_ways --step-s 0.01 --unit-s 0.0002
"""

import argparse
from collections.abc import Callable
import json
from pathlib import Path
import statistics
import tempfile
import time
from typing import Any
from typing import NamedTuple

import cbor2

from tests.fakes import model
from tests.functional import client
from tests.functional import process

PROMPT = "a menu for the hall"
LAYER_COUNT = 8
SPLIT_LAYER = 4
CBOR_TYPE = {"Content-Type": "application/cbor"}
UNIT_BYTES = 8192  # 4,096 values of 2 bytes.
LAYER_KV_BYTES = 4096  # A unit's keys and values: 8 heads of 128 values.
STAGE_LAYERS = (4, 20)
LINK_BYTES_PER_S = 125e6


class Context(NamedTuple):
    """What is known when the second stage is lost.

    Attributes:
        tokens: Tokens so far.
        kept: Inputs of the second stage for all complete tokens.
        current: Its input for the token under way.
        wanted: The token that it has to give.
        kv: Exported cache of the first `kv_units` inputs.
        kv_units: Inputs that the export holds.
    """

    tokens: list[int]
    kept: list[bytes]
    current: bytes
    wanted: int
    kv: bytes
    kv_units: int


class Engines(NamedTuple):
    """Addresses of both first stages, the lost stage and its replacement."""

    first: process.Address
    other_first: process.Address
    lost: process.Address
    replacement: process.Address


def _call(engine: process.Address, page: str, message: Any) -> Any:
    answer = client.http_call(
        engine, "POST", f"/v1/{page}", cbor2.dumps(message), CBOR_TYPE
    )
    assert answer.status == 200, answer
    return cbor2.loads(answer.body)


def _steps(
    engine: process.Address,
    sequence: str,
    first_index: int,
    inputs: list[bytes],
    rebuild: bool = False,
) -> list[Any]:
    """Runs inputs of consecutive tokens in one call."""
    steps = [
        {
            "sequence": sequence,
            "token_index": first_index + offset,
            "data": data,
            "rebuild": rebuild,
        }
        for offset, data in enumerate(inputs)
    ]
    return _call(engine, "step", {"steps": steps})["results"]


def _prefix(tokens: list[int]) -> bytes:
    return cbor2.dumps({"prompt": PROMPT, "generated": tokens})


def make_context(engines: Engines, count: int, interval: int) -> Context:
    """Runs a request for a number of tokens, then exports its cache.

    The export is as old as it is on average: half of the interval.
    """
    answer = model.reference(PROMPT, LAYER_COUNT, count + 1)
    tokens, wanted = answer[:count], answer[count]
    name = f"context {count}"
    result = _steps(engines.first, name, count, [_prefix(tokens)])[0]
    units = [cbor2.dumps([unit]) for unit in cbor2.loads(result["data"])]
    kept, current = units[:-1], units[-1]
    kv_units = max(count - interval // 2, 0)
    kv = b""
    if kv_units:
        _steps(engines.lost, name, 0, kept[:kv_units], rebuild=True)
        exported = _call(engines.lost, "kv/export", {"sequence": name})
        kv = exported["kv"]
    return Context(tokens, kept, current, wanted, kv, kv_units)


def replay(engines: Engines, context: Context, name: str) -> int:
    """Rebuilds the cache from all kept inputs."""
    _steps(engines.replacement, name, 0, context.kept, rebuild=True)
    return _current(engines, context, name)


def import_kv(engines: Engines, context: Context, name: str) -> int:
    """Imports the exported cache and replays what came after it."""
    if context.kv:
        message = {"sequence": name, "kv": context.kv}
        _call(engines.replacement, "kv/import", message)
    rest = context.kept[context.kv_units :]
    _steps(engines.replacement, name, context.kv_units, rest, rebuild=True)
    return _current(engines, context, name)


def new_attempt(engines: Engines, context: Context, name: str) -> int:
    """Prefills prompt and tokens through all stages of another chain."""
    index = len(context.tokens)
    prefix = _prefix(context.tokens)
    data = _steps(engines.other_first, name, index, [prefix])[0]["data"]
    return _steps(engines.replacement, name, index, [data])[0]["token"]


def _current(engines: Engines, context: Context, name: str) -> int:
    index = len(context.tokens)
    results = _steps(engines.replacement, name, index, [context.current])
    return results[0]["token"]


WAYS: dict[str, Callable[[Engines, Context, str], int]] = {
    "replay": replay,
    "import": import_kv,
    "new_attempt": new_attempt,
}


def costs(way: str, count: int, interval: int, layers: int) -> dict[str, Any]:
    """Returns bytes on links and units run again, at a real model's sizes.

    `steady_bytes` are sent during the request so that recovery can follow:
    each export holds the whole cache so far.
    """
    exported = max(count - interval // 2, 0)
    kv_unit_bytes = LAYER_KV_BYTES * layers
    exports = range(interval, count + 1, interval)
    by_way = {
        "replay": (count * UNIT_BYTES, 0, count),
        "import": (
            exported * kv_unit_bytes + (count - exported) * UNIT_BYTES,
            sum(exports) * kv_unit_bytes,
            count - exported,
        ),
        "new_attempt": (count * UNIT_BYTES, 0, 2 * count),
    }
    recovery_bytes, steady_bytes, units = by_way[way]
    return {
        "layers": layers,
        "recovery_bytes": recovery_bytes,
        "steady_bytes": steady_bytes,
        "units_again": units,
        "transfer_s": recovery_bytes / LINK_BYTES_PER_S,
    }


def measure(
    engines: Engines, way: str, context: Context, repeats: int
) -> float:
    """Returns the median time of a way, in seconds."""
    times_s = []
    for number in range(repeats):
        name = f"{way} {len(context.tokens)} {number}"
        started_s = time.monotonic()
        token = WAYS[way](engines, context, name)
        times_s.append(time.monotonic() - started_s)
        assert token == context.wanted, name
        for engine in (engines.replacement, engines.other_first):
            _call(engine, "close", {"sequences": [name]})
    return statistics.median(times_s)


def _start(directory: Path, options: Any) -> list[process.Process]:
    places = {
        "first": (0, SPLIT_LAYER),
        "other_first": (0, SPLIT_LAYER),
        "lost": (SPLIT_LAYER, LAYER_COUNT),
        "replacement": (SPLIT_LAYER, LAYER_COUNT),
    }
    started = []
    for name, (first_layer, end_layer) in places.items():
        words = ["--port", 0, "--layer-count", LAYER_COUNT]
        words += ["--first-layer", first_layer, "--end-layer", end_layer]
        words += ["--step-s", options.step_s, "--unit-s", options.unit_s]
        engine = process.Process(name, "tests.fakes.engine", words, directory)
        started.append(engine.start())
    return started


def main(arguments: list[str] | None = None) -> None:
    """Prints a row for each way and number of tokens."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--step-s", type=float, default=0.01)
    parser.add_argument("--unit-s", type=float, default=0.0002)
    parser.add_argument("--interval", type=int, default=64)
    parser.add_argument("--repeats", type=int, default=10)
    parser.add_argument(
        "--tokens", type=int, nargs="+", default=[16, 256, 1024]
    )
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory() as directory:
        started = _start(Path(directory), options)
        engines = Engines(*(engine.address for engine in started))
        try:
            for count in options.tokens:
                context = make_context(engines, count, options.interval)
                for way in WAYS:
                    _print_rows(engines, way, context, options)
        finally:
            for engine in started:
                engine.kill()


def _print_rows(
    engines: Engines, way: str, context: Context, options: Any
) -> None:
    count = len(context.tokens)
    took_s = measure(engines, way, context, options.repeats)
    for layers in STAGE_LAYERS:
        row = costs(way, count, options.interval, layers)
        print(json.dumps({"tokens": count, "way": way, "s": took_s, **row}))


if __name__ == "__main__":
    main()

"""Compares methods of restoring the KV cache after the loss of a stage.

A request runs on two stages, each a fake engine whose cost model is set on
the command line. Its second stage is lost after a number of tokens. Measured
is the time until the replacement returns the token in progress: after a
replay of retained inputs, after an import of the exported KV cache and a
replay of later inputs, or in a new attempt that prefills all stages. Bytes
are computed from the sizes of a real model, since those of the fake grow
differently.

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
CBOR_HEADERS = {"Content-Type": "application/cbor"}
UNIT_BYTES = 8192  # 4,096 values of 2 bytes
LAYER_KV_BYTES = 4096  # Keys and values of a unit: 8 heads of 128 values
STAGE_LAYER_COUNTS = (4, 20)
LINK_BYTES_PER_S = 125e6


class RequestState(NamedTuple):
    """State of a request when its second stage is lost.

    Attributes:
        tokens: Tokens generated so far.
        retained_inputs: Inputs of the second stage for all units before the
            token in progress.
        current_input: Input of the second stage for the token in progress.
        expected_token: Token that the second stage has to return for it.
        exported_kv: KV cache of the first `exported_units` inputs; empty if
            there are none.
        exported_units: Number of inputs in the exported KV cache.
    """

    tokens: list[int]
    retained_inputs: list[bytes]
    current_input: bytes
    expected_token: int
    exported_kv: bytes
    exported_units: int


class Engines(NamedTuple):
    """Addresses of the fake engines.

    Attributes:
        first: First stage of the request.
        other_first: First stage of the chain that runs a new attempt.
        lost: Second stage until it is lost.
        replacement: Second stage from then on, also of a new attempt.
    """

    first: process.Address
    other_first: process.Address
    lost: process.Address
    replacement: process.Address


def _post(engine: process.Address, endpoint: str, message: Any) -> Any:
    response = client.http_call(
        engine, "POST", f"/v1/{endpoint}", cbor2.dumps(message), CBOR_HEADERS
    )
    assert response.status == 200, response
    return cbor2.loads(response.body)


def _run_steps(
    engine: process.Address,
    sequence: str,
    first_index: int,
    inputs: list[bytes],
    rebuild: bool = False,
) -> list[Any]:
    """Runs the inputs of consecutive tokens in one call."""
    steps = [
        {
            "sequence": sequence,
            "token_index": first_index + offset,
            "data": data,
            "rebuild": rebuild,
        }
        for offset, data in enumerate(inputs)
    ]
    return _post(engine, "step", {"steps": steps})["results"]


def _prefix_input(tokens: list[int]) -> bytes:
    return cbor2.dumps({"prompt": PROMPT, "generated": tokens})


def make_request_state(
    engines: Engines, token_count: int, export_interval_tokens: int
) -> RequestState:
    """Runs a request for a number of tokens and exports its KV cache.

    The export is half an interval old, which is its average age when a
    stage is lost.
    """
    answer = model.reference(PROMPT, LAYER_COUNT, token_count + 1)
    tokens, expected_token = answer[:token_count], answer[token_count]
    sequence = f"request {token_count}"
    result = _run_steps(
        engines.first, sequence, token_count, [_prefix_input(tokens)]
    )[0]
    inputs = [cbor2.dumps([unit]) for unit in cbor2.loads(result["data"])]
    retained_inputs, current_input = inputs[:-1], inputs[-1]
    exported_units = max(token_count - export_interval_tokens // 2, 0)
    exported_kv = b""
    if exported_units:
        _run_steps(
            engines.lost,
            sequence,
            0,
            retained_inputs[:exported_units],
            rebuild=True,
        )
        export = _post(engines.lost, "kv/export", {"sequence": sequence})
        exported_kv = export["kv"]
    return RequestState(
        tokens,
        retained_inputs,
        current_input,
        expected_token,
        exported_kv,
        exported_units,
    )


def replay(engines: Engines, state: RequestState, sequence: str) -> int:
    """Rebuilds the KV cache from all retained inputs."""
    _run_steps(
        engines.replacement, sequence, 0, state.retained_inputs, rebuild=True
    )
    return _run_current_step(engines, state, sequence)


def import_kv(engines: Engines, state: RequestState, sequence: str) -> int:
    """Imports the exported KV cache and replays the inputs after it."""
    if state.exported_kv:
        message = {"sequence": sequence, "kv": state.exported_kv}
        _post(engines.replacement, "kv/import", message)
    later_inputs = state.retained_inputs[state.exported_units :]
    _run_steps(
        engines.replacement,
        sequence,
        state.exported_units,
        later_inputs,
        rebuild=True,
    )
    return _run_current_step(engines, state, sequence)


def new_attempt(engines: Engines, state: RequestState, sequence: str) -> int:
    """Prefills the prompt and the tokens on all stages of another chain."""
    index = len(state.tokens)
    units = _prefix_input(state.tokens)
    data = _run_steps(engines.other_first, sequence, index, [units])[0]["data"]
    return _run_steps(engines.replacement, sequence, index, [data])[0]["token"]


def _run_current_step(
    engines: Engines, state: RequestState, sequence: str
) -> int:
    index = len(state.tokens)
    results = _run_steps(
        engines.replacement, sequence, index, [state.current_input]
    )
    return results[0]["token"]


RECOVERY_METHODS: dict[str, Callable[[Engines, RequestState, str], int]] = {
    "replay": replay,
    "import": import_kv,
    "new_attempt": new_attempt,
}


def compute_costs(
    method: str,
    token_count: int,
    export_interval_tokens: int,
    layer_count: int,
) -> dict[str, Any]:
    """Returns bytes on links and units run again, at a real model's sizes.

    `steady_bytes` are those of the exports that are sent while the request
    runs; each export holds the whole KV cache at that time.

    Args:
        method: Key of `RECOVERY_METHODS`.
        token_count: Tokens generated before the second stage is lost.
        export_interval_tokens: Tokens between two exports.
        layer_count: Layers of the second stage.
    """
    exported_units = max(token_count - export_interval_tokens // 2, 0)
    kv_unit_bytes = LAYER_KV_BYTES * layer_count
    units_of_exports = range(
        export_interval_tokens, token_count + 1, export_interval_tokens
    )
    costs_by_method = {
        "replay": (token_count * UNIT_BYTES, 0, token_count),
        "import": (
            exported_units * kv_unit_bytes
            + (token_count - exported_units) * UNIT_BYTES,
            sum(units_of_exports) * kv_unit_bytes,
            token_count - exported_units,
        ),
        "new_attempt": (token_count * UNIT_BYTES, 0, 2 * token_count),
    }
    recovery_bytes, steady_bytes, repeated_units = costs_by_method[method]
    return {
        "layers": layer_count,
        "recovery_bytes": recovery_bytes,
        "steady_bytes": steady_bytes,
        "units_again": repeated_units,
        "transfer_s": recovery_bytes / LINK_BYTES_PER_S,
    }


def measure_median_s(
    engines: Engines, method: str, state: RequestState, repeats: int
) -> float:
    """Returns the median recovery time of a method."""
    durations_s = []
    for number in range(repeats):
        sequence = f"{method} {len(state.tokens)} {number}"
        started_s = time.monotonic()
        token = RECOVERY_METHODS[method](engines, state, sequence)
        durations_s.append(time.monotonic() - started_s)
        assert token == state.expected_token, sequence
        for engine in (engines.replacement, engines.other_first):
            _post(engine, "close", {"sequences": [sequence]})
    return statistics.median(durations_s)


def _start_engines(directory: Path, options: Any) -> list[process.Process]:
    layer_ranges = {
        "first": (0, SPLIT_LAYER),
        "other_first": (0, SPLIT_LAYER),
        "lost": (SPLIT_LAYER, LAYER_COUNT),
        "replacement": (SPLIT_LAYER, LAYER_COUNT),
    }
    processes = []
    for name, (first_layer, end_layer) in layer_ranges.items():
        command_line = ["--port", 0, "--layer-count", LAYER_COUNT]
        command_line += [
            "--first-layer",
            first_layer,
            "--end-layer",
            end_layer,
        ]
        command_line += [
            "--step-s",
            options.step_s,
            "--unit-s",
            options.unit_s,
        ]
        engine = process.Process(
            name, "tests.fakes.engine", command_line, directory
        )
        processes.append(engine.start())
    return processes


def main(arguments: list[str] | None = None) -> None:
    """Prints a row for each number of tokens, method and size of stage."""
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
        processes = _start_engines(Path(directory), options)
        engines = Engines(*(engine.address for engine in processes))
        try:
            for token_count in options.tokens:
                state = make_request_state(
                    engines, token_count, options.interval
                )
                for method in RECOVERY_METHODS:
                    _print_rows(engines, method, state, options)
        finally:
            for engine in processes:
                engine.kill()


def _print_rows(
    engines: Engines, method: str, state: RequestState, options: Any
) -> None:
    token_count = len(state.tokens)
    median_s = measure_median_s(engines, method, state, options.repeats)
    for layer_count in STAGE_LAYER_COUNTS:
        costs = compute_costs(
            method, token_count, options.interval, layer_count
        )
        print(
            json.dumps(
                {"tokens": token_count, "way": method, "s": median_s, **costs}
            )
        )


if __name__ == "__main__":
    main()

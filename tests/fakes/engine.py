"""Fake of a model engine that holds a range of layers.

Run `python -m tests.fakes.engine --port 0 --model small --layer-count 8`.
"""

import argparse
import collections
import json
import os
import time
import uuid

import cbor2
from twisted.internet import defer
from twisted.internet import task
import xxhash

from tests.fakes import model
from tests.fakes import web

CRASH_EXIT_CODE = 70
CRASH_PROMPT_WORD = "CRASH-ENGINE"
CBOR_CONTENT_TYPE = "application/cbor"
# Loads are this old at most, and cache events are reported this late.
LOAD_MAX_AGE_S = 1.0
EVENT_DELAY_S = 1.0
# Every event with a number divisible by this is lost.
LOST_EVENT_DIVISOR = 7
BLOCK_WORDS = 16


class Engine:
    """State and request handler of the fake.

    Steps run one after the other. A step of an unknown sequence is rejected,
    as happens after a restart. Other errors of a caller, such as a repeated
    step, are not detected: they show in the history and in the tokens.
    """

    def __init__(self, options, clock):
        self.options = options
        self.clock = clock
        self.process_id = uuid.uuid4().hex
        self.sequences = {}
        self.unit_counts = collections.Counter()
        self.step_lock = defer.DeferredLock()
        self.history = {"runs": [], "orders": [], "cancelled": []}
        self.highest_fencing_number = 0
        self.role = ""
        self.cached_blocks = collections.OrderedDict()
        self.cache_events = []
        self.queued_steps = 0
        self.load_report = (0.0, {})

    def handle(self, request, segments):
        """Handles a request; see `web.HandlerResource`."""
        handlers = {
            ("GET", "info"): self._info,
            ("GET", "load"): self._load,
            ("GET", "events"): self._events,
            ("GET", "history"): self._history,
            ("POST", "step"): self._step,
            ("POST", "close"): self._close,
            ("POST", "kv/export"): self._export,
            ("POST", "kv/import"): self._import,
            ("POST", "orders"): self._order,
        }
        endpoint = (request.method.decode(), "/".join(segments[1:]))
        if segments[0] != "v1" or endpoint not in handlers:
            return web.json_response({}, 404)
        return handlers[endpoint](request)

    def _info(self, request):
        return web.json_response(
            {
                "engine": self.process_id,
                "model": self.options.model,
                "first_layer": self.options.first_layer,
                "end_layer": self.options.end_layer,
                "layer_count": self.options.layer_count,
                "accelerator_kind": self.options.accelerator_kind,
                "sequences": self.options.sequences,
                "role": self.role,
            }
        )

    def _load(self, request):
        now_s = self.clock.seconds()
        if (
            not self.load_report[1]
            or now_s - self.load_report[0] >= LOAD_MAX_AGE_S
        ):
            report = {
                "sequences": len(self.sequences),
                "queued_steps": self.queued_steps,
                "at_s": time.time(),
            }
            self.load_report = (now_s, report)
        return web.json_response(self.load_report[1])

    def _events(self, request):
        after = web.query_number(request, "after") or 0
        reported_until_s = self.clock.seconds() - EVENT_DELAY_S
        reported = [
            {"number": number, "kind": "stored", "prefix": digest}
            for number, at_s, digest in self.cache_events
            if number > after
            and at_s <= reported_until_s
            and number % LOST_EVENT_DIVISOR
        ]
        return web.json_response({"events": reported})

    def _history(self, request):
        return web.json_response(self.history)

    def _record(self, part, **record):
        record["at_s"] = time.time()
        self.history[part].append(record)
        web.append_line(self.options.history_file, {"part": part, **record})

    def _step(self, request):
        steps = cbor2.loads(request.content.read())["steps"]
        return defer.ensureDeferred(self._run_steps(steps))

    async def _run_steps(self, steps):
        self.queued_steps += 1
        await self.step_lock.acquire()
        try:
            await task.deferLater(self.clock, self._duration_s(steps))
            results = [self._run_step(step) for step in steps]
        finally:
            self.queued_steps -= 1
            self.step_lock.release()
        return web.Response(
            200, cbor2.dumps({"results": results}), CBOR_CONTENT_TYPE
        )

    def _duration_s(self, steps):
        prompts = [self._step_prompt(step) for step in steps]
        if any(CRASH_PROMPT_WORD in prompt for prompt in prompts):
            os._exit(CRASH_EXIT_CODE)
        words = sum(self._uncached_words(prompt) for prompt in prompts)
        words += sum(self._prefilled_units(step) for step in steps)
        return (
            self.options.step_s
            + self.options.sequence_s * len(steps)
            + self.options.unit_s * words
        )

    def _step_prompt(self, step):
        if self.options.first_layer:
            return ""
        return cbor2.loads(step["data"]).get("prompt", "")

    def _prefilled_units(self, step):
        """Returns the number of units of a step that only fill the KV cache.

        The prompt itself is counted in words, by `_uncached_words`.
        """
        content = cbor2.loads(step["data"])
        if not self.options.first_layer:
            return len(content.get("generated", ()))
        return len(content) - (0 if step.get("rebuild") else 1)

    def _uncached_words(self, prompt):
        """Returns the number of uncached words; caches their blocks."""
        words = prompt.split()
        uncached = len(words) % BLOCK_WORDS
        block_ends = range(BLOCK_WORDS, len(words) + 1, BLOCK_WORDS)
        for end in block_ends:
            digest = xxhash.xxh64_intdigest(" ".join(words[:end]).encode())
            if digest not in self.cached_blocks:
                uncached += BLOCK_WORDS
                now_s = self.clock.seconds()
                self.cache_events.append(
                    (len(self.cache_events) + 1, now_s, digest)
                )
            self.cached_blocks[digest] = True
            self.cached_blocks.move_to_end(digest)
        while len(self.cached_blocks) > self.options.cache_blocks:
            self.cached_blocks.popitem(last=False)
        return uncached

    def _run_step(self, step):
        step_id = {
            "sequence": step["sequence"],
            "token_index": step["token_index"],
        }
        units = self._step_units(step["data"])
        error_text = self._step_error(step, units)
        if error_text:
            return {**step_id, "error": error_text}
        kvs = self._layer_states(step["sequence"])
        outputs = [model.run_layers(kvs, unit) for unit in units]
        self.unit_counts[step["sequence"]] += len(units)
        rebuild = step.get("rebuild", False)
        self._record(
            "runs",
            first_layer=self.options.first_layer,
            end_layer=self.options.end_layer,
            kind="rebuild" if rebuild else "run",
            **step_id,
        )
        return {**step_id, **self._step_result(outputs)}

    def _step_units(self, data):
        content = cbor2.loads(data)
        if self.options.first_layer:
            return content
        if "token" in content:
            return [model.token_unit(content["token"])]
        return model.prefix_units(
            content["prompt"], content.get("generated", ())
        )

    def _step_error(self, step, units):
        if step["sequence"] in self.sequences:
            return ""
        if len(units) != step["token_index"] + 1:
            return "unknown sequence"
        if len(self.sequences) >= self.options.sequences:
            return "full"
        return ""

    def _layer_states(self, sequence):
        empty = model.empty_kvs(
            self.options.first_layer, self.options.end_layer
        )
        return self.sequences.setdefault(sequence, empty)

    def _step_result(self, outputs):
        if self.options.end_layer < self.options.layer_count:
            return {"data": cbor2.dumps(outputs)}
        token, final = model.token_of(outputs[-1])
        return {"token": token, "final": final}

    def _close(self, request):
        for sequence in cbor2.loads(request.content.read())["sequences"]:
            if self.sequences.pop(sequence, None) is not None:
                units = self.unit_counts.pop(sequence)
                self._record("cancelled", sequence=sequence, units=units)
        return web.Response(200, cbor2.dumps({}), CBOR_CONTENT_TYPE)

    def _export(self, request):
        sequence = cbor2.loads(request.content.read())["sequence"]
        if sequence not in self.sequences:
            return web.json_response({"error": "unknown sequence"}, 404)
        kv = cbor2.dumps(
            [self.unit_counts[sequence], self.sequences[sequence]]
        )
        return web.Response(200, cbor2.dumps({"kv": kv}), CBOR_CONTENT_TYPE)

    def _import(self, request):
        body = cbor2.loads(request.content.read())
        units, kvs = cbor2.loads(body["kv"])
        layers = range(self.options.first_layer, self.options.end_layer)
        if sorted(kvs) != list(layers):
            return web.json_response({"error": "other layers"}, 409)
        self.sequences[body["sequence"]] = kvs
        self.unit_counts[body["sequence"]] = units
        return web.Response(200, cbor2.dumps({}), CBOR_CONTENT_TYPE)

    def _order(self, request):
        order = json.load(request.content)
        number = order["fencing_number"]
        is_stale = number < self.highest_fencing_number
        is_rejected = is_stale and self.options.fencing == "checks"
        self._record("orders", accepted=not is_rejected, **order)
        if is_rejected:
            body = {"fencing_number": self.highest_fencing_number}
            return web.json_response(body, 409)
        self.highest_fencing_number = max(number, self.highest_fencing_number)
        self._execute_order(order["kind"], order["arguments"])
        return web.json_response({})

    def _execute_order(self, kind, arguments):
        if kind == "change_role":
            self.role = arguments["role"]
        if kind == "load_model":
            self.sequences.clear()
            self.unit_counts.clear()
            self.options.model = arguments["model"]
            for name in ("first_layer", "end_layer", "layer_count"):
                if name in arguments:
                    setattr(self.options, name, int(arguments[name]))


def parser():
    """Returns the command line parser."""
    options = argparse.ArgumentParser()
    options.add_argument("--port", type=int, default=0)
    options.add_argument("--model", default="small")
    options.add_argument("--first-layer", type=int, default=0)
    options.add_argument("--end-layer", type=int, default=None)
    options.add_argument("--layer-count", type=int, default=8)
    options.add_argument("--accelerator-kind", default="a")
    options.add_argument("--step-s", type=float, default=0.001)
    options.add_argument("--sequence-s", type=float, default=0.0)
    options.add_argument("--unit-s", type=float, default=0.0)
    options.add_argument("--sequences", type=int, default=64)
    options.add_argument("--cache-blocks", type=int, default=256)
    options.add_argument(
        "--fencing", choices=("checks", "ignores"), default="checks"
    )
    options.add_argument("--history-file", default="")
    return options


def parse(arguments=None):
    """Returns the parsed options of a command line."""
    options = parser().parse_args(arguments)
    if options.end_layer is None:
        options.end_layer = options.layer_count
    return options


def main():
    """Runs the fake until it is stopped."""
    from twisted.internet import reactor

    options = parse()
    web.run(Engine(options, reactor).handle, options.port)


if __name__ == "__main__":
    main()

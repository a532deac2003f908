"""Stand-in for a model engine that holds a range of layers.

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

CRASH_CODE = 70
CRASH_WORD = "CRASH-ENGINE"
CBOR_TYPE = "application/cbor"
LOAD_LAG_S = 1.0
EVENT_LAG_S = 1.0
EVENT_GAP = 7
BLOCK_WORDS = 16


class Engine:
    """The state of the stand-in.

    Steps run one after the other. A sequence is unknown after a restart;
    everything else that a caller does wrong, such as a repeated step, is
    run as asked and shows in the history and in the tokens.
    """

    def __init__(self, options, clock):
        self.options = options
        self.clock = clock
        self.boot = uuid.uuid4().hex
        self.sequences = {}
        self.units = collections.Counter()
        self.turn = defer.DeferredLock()
        self.history = {"runs": [], "orders": [], "cancelled": []}
        self.highest_fencing_number = 0
        self.role = ""
        self.blocks = collections.OrderedDict()
        self.events = []
        self.queued_steps = 0
        self.load = (0.0, {})

    def handle(self, request, segments):
        """Answers one request; see `web.HandlerResource`."""
        pages = {
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
        page = (request.method.decode(), "/".join(segments[1:]))
        if segments[0] != "v1" or page not in pages:
            return web.json_answer({}, 404)
        return pages[page](request)

    def _info(self, request):
        return web.json_answer(
            {
                "engine": self.boot,
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
        if not self.load[1] or now_s - self.load[0] >= LOAD_LAG_S:
            report = {
                "sequences": len(self.sequences),
                "queued_steps": self.queued_steps,
                "at_s": time.time(),
            }
            self.load = (now_s, report)
        return web.json_answer(self.load[1])

    def _events(self, request):
        after = web.number_argument(request, "after") or 0
        newest_s = self.clock.seconds() - EVENT_LAG_S
        seen = [
            {"number": number, "kind": "stored", "prefix": digest}
            for number, at_s, digest in self.events
            if number > after and at_s <= newest_s and number % EVENT_GAP
        ]
        return web.json_answer({"events": seen})

    def _history(self, request):
        return web.json_answer(self.history)

    def _record(self, part, **record):
        record["at_s"] = time.time()
        self.history[part].append(record)
        web.append_line(self.options.history_file, {"part": part, **record})

    def _step(self, request):
        steps = cbor2.loads(request.content.read())["steps"]
        return defer.ensureDeferred(self._run_in_turn(steps))

    async def _run_in_turn(self, steps):
        self.queued_steps += 1
        await self.turn.acquire()
        try:
            await task.deferLater(self.clock, self._duration_s(steps))
            results = [self._run(step) for step in steps]
        finally:
            self.queued_steps -= 1
            self.turn.release()
        return web.Answer(200, cbor2.dumps({"results": results}), CBOR_TYPE)

    def _duration_s(self, steps):
        prompts = [self._prompt(step) for step in steps]
        if any(CRASH_WORD in prompt for prompt in prompts):
            os._exit(CRASH_CODE)
        words = sum(self._uncached_words(prompt) for prompt in prompts)
        words += sum(self._prefilled_units(step) for step in steps)
        return (
            self.options.step_s
            + self.options.sequence_s * len(steps)
            + self.options.unit_s * words
        )

    def _prompt(self, step):
        if self.options.first_layer:
            return ""
        return cbor2.loads(step["data"]).get("prompt", "")

    def _prefilled_units(self, step):
        """Counts the units besides a prompt that only fill the cache."""
        content = cbor2.loads(step["data"])
        if not self.options.first_layer:
            return len(content.get("generated", ()))
        return len(content) - (0 if step.get("rebuild") else 1)

    def _uncached_words(self, prompt):
        """Counts the words outside cached blocks, and caches them."""
        words = prompt.split()
        uncached = len(words) % BLOCK_WORDS
        ends = range(BLOCK_WORDS, len(words) + 1, BLOCK_WORDS)
        for end in ends:
            digest = xxhash.xxh64_intdigest(" ".join(words[:end]).encode())
            if digest not in self.blocks:
                uncached += BLOCK_WORDS
                now_s = self.clock.seconds()
                self.events.append((len(self.events) + 1, now_s, digest))
            self.blocks[digest] = True
            self.blocks.move_to_end(digest)
        while len(self.blocks) > self.options.cache_blocks:
            self.blocks.popitem(last=False)
        return uncached

    def _run(self, step):
        place = {
            "sequence": step["sequence"],
            "token_index": step["token_index"],
        }
        units = self._units(step["data"])
        error = self._error(step, units)
        if error:
            return {**place, "error": error}
        kvs = self._kvs(step["sequence"])
        outputs = [model.run_layers(kvs, unit) for unit in units]
        self.units[step["sequence"]] += len(units)
        rebuild = step.get("rebuild", False)
        self._record(
            "runs",
            first_layer=self.options.first_layer,
            end_layer=self.options.end_layer,
            kind="rebuild" if rebuild else "run",
            **place,
        )
        return {**place, **self._output(outputs)}

    def _units(self, data):
        content = cbor2.loads(data)
        if self.options.first_layer:
            return content
        if "token" in content:
            return [model.token_unit(content["token"])]
        return model.prefix_units(
            content["prompt"], content.get("generated", ())
        )

    def _error(self, step, units):
        if step["sequence"] in self.sequences:
            return ""
        if len(units) != step["token_index"] + 1:
            return "unknown sequence"
        if len(self.sequences) >= self.options.sequences:
            return "full"
        return ""

    def _kvs(self, sequence):
        empty = model.empty_kvs(
            self.options.first_layer, self.options.end_layer
        )
        return self.sequences.setdefault(sequence, empty)

    def _output(self, outputs):
        if self.options.end_layer < self.options.layer_count:
            return {"data": cbor2.dumps(outputs)}
        token, final = model.token_of(outputs[-1])
        return {"token": token, "final": final}

    def _close(self, request):
        for sequence in cbor2.loads(request.content.read())["sequences"]:
            if self.sequences.pop(sequence, None) is not None:
                units = self.units.pop(sequence)
                self._record("cancelled", sequence=sequence, units=units)
        return web.Answer(200, cbor2.dumps({}), CBOR_TYPE)

    def _export(self, request):
        sequence = cbor2.loads(request.content.read())["sequence"]
        if sequence not in self.sequences:
            return web.json_answer({"error": "unknown sequence"}, 404)
        kv = cbor2.dumps([self.units[sequence], self.sequences[sequence]])
        return web.Answer(200, cbor2.dumps({"kv": kv}), CBOR_TYPE)

    def _import(self, request):
        body = cbor2.loads(request.content.read())
        units, kvs = cbor2.loads(body["kv"])
        layers = range(self.options.first_layer, self.options.end_layer)
        if sorted(kvs) != list(layers):
            return web.json_answer({"error": "other layers"}, 409)
        self.sequences[body["sequence"]] = kvs
        self.units[body["sequence"]] = units
        return web.Answer(200, cbor2.dumps({}), CBOR_TYPE)

    def _order(self, request):
        order = json.load(request.content)
        number = order["fencing_number"]
        stale = number < self.highest_fencing_number
        refused = stale and self.options.fencing == "checks"
        self._record("orders", accepted=not refused, **order)
        if refused:
            body = {"fencing_number": self.highest_fencing_number}
            return web.json_answer(body, 409)
        self.highest_fencing_number = max(number, self.highest_fencing_number)
        self._carry_out(order["kind"], order["arguments"])
        return web.json_answer({})

    def _carry_out(self, kind, arguments):
        if kind == "change_role":
            self.role = arguments["role"]
        if kind == "load_model":
            self.sequences.clear()
            self.units.clear()
            self.options.model = arguments["model"]
            for name in ("first_layer", "end_layer", "layer_count"):
                if name in arguments:
                    setattr(self.options, name, int(arguments[name]))


def parser():
    """Returns the parser of the command line."""
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
    """Returns the options of a command line."""
    options = parser().parse_args(arguments)
    if options.end_layer is None:
        options.end_layer = options.layer_count
    return options


def main():
    """Runs the stand-in."""
    from twisted.internet import reactor

    options = parse()
    web.run(Engine(options, reactor).handle, options.port)


if __name__ == "__main__":
    main()

"""Deterministic fake of a language model, to verify that each layer ran.

A unit is the input of a layer for a prompt or for one token. The state of a
sequence at a layer is a hash of all units that the layer has processed, so a
layer that is skipped, repeated or run out of order changes every later token.
"""

import xxhash

VOCABULARY_SIZE = 50_000
FINAL_TOKEN_DIVISOR = 4096
EMPTY_KV = bytes(8)
UNIT_BYTES = 8


def prompt_unit(prompt):
    """Returns the input unit of a prompt."""
    return prompt.encode()


def token_unit(token):
    """Returns the input unit of a token."""
    return token.to_bytes(UNIT_BYTES, "little")


def prefix_units(prompt, generated):
    """Returns the input units of a prompt and the tokens after it."""
    return [prompt_unit(prompt), *(token_unit(t) for t in generated)]


def run_layer(layer, kv, unit):
    """Runs a unit through one layer; returns the new state and unit."""
    kv = xxhash.xxh64_digest(kv + unit)
    unit = xxhash.xxh64_digest(bytes([layer]) + kv + unit)
    return kv, unit


def run_layers(kvs, unit):
    """Runs a unit through layers; returns the output unit.

    Args:
        kvs: States by layer, which are updated in place.
        unit: Input of the first of these layers.
    """
    for layer in sorted(kvs):
        kvs[layer], unit = run_layer(layer, kvs[layer], unit)
    return unit


def empty_kvs(first_layer, end_layer):
    """Returns the states by layer of a sequence without units."""
    return dict.fromkeys(range(first_layer, end_layer), EMPTY_KV)


def token_of(unit):
    """Returns the token of an output unit, and whether it is the last."""
    number = int.from_bytes(unit, "big")
    return number % VOCABULARY_SIZE, number % FINAL_TOKEN_DIVISOR == 0


def reference(prompt, layer_count, count, generated=()):
    """Returns up to `count` correct tokens after those in `generated`."""
    kvs = empty_kvs(0, layer_count)
    for unit in prefix_units(prompt, generated):
        result = run_layers(kvs, unit)
    tokens = []
    while len(tokens) < count:
        token, final = token_of(result)
        tokens.append(token)
        if final:
            break
        result = run_layers(kvs, token_unit(token))
    return tokens

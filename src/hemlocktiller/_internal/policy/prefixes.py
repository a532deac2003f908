"""Digests of the beginnings of prompts, in words."""

from typing import NamedTuple

import xxhash

from hemlocktiller._internal.policy import held_prompts

PREFIX_WORD_COUNTS = (16, 32, 64, 128, 256, 512, 1024)


class PromptInfo(NamedTuple):
    """What routing and the evidence on crashes need to know of a prompt.

    Attributes:
        word_count: Length of the prompt in words.
        beginnings: Its beginnings that a target may hold, shortest first.
        parts: Ids of its parts that other prompts for the same model may
            have; see `crashing_parts`.
    """

    word_count: int
    beginnings: tuple[held_prompts.Part, ...]
    parts: tuple[int, ...]


def describe(model: str, workspace: str, prompt: str) -> PromptInfo:
    """Returns the length, the beginnings and the parts of a prompt.

    The parts are the prefixes that the prompt goes on after. Their ids differ
    by model, as a part that crashes the targets of one may suit another. The
    keys of the beginnings differ by workspace: how fast an answer comes must
    not tell one workspace what another one asks.
    """
    word_count = len(prompt.split())
    prefixes = digests(prompt)
    model_digest = xxhash.xxh64_intdigest(model.encode())
    workspace_digest = xxhash.xxh64_intdigest(f"held by {workspace}".encode())
    parts = tuple(
        prefix ^ model_digest
        for prefix, length in zip(prefixes, PREFIX_WORD_COUNTS, strict=False)
        if length < word_count
    )
    beginnings = tuple(
        held_prompts.Part(prefix ^ workspace_digest, length)
        for prefix, length in zip(prefixes, PREFIX_WORD_COUNTS, strict=False)
    )
    return PromptInfo(word_count, beginnings, parts)


def digests(prompt: str) -> list[int]:
    """Returns the digests of a prompt's prefixes, shortest first.

    The lengths of the prefixes in words are those of `PREFIX_WORD_COUNTS` that
    don't exceed the length of the prompt.
    """
    words = prompt.split(None, PREFIX_WORD_COUNTS[-1])[
        : PREFIX_WORD_COUNTS[-1]
    ]
    hasher = xxhash.xxh64()
    prefix_digests = []
    start = 0
    for count in PREFIX_WORD_COUNTS:
        if count > len(words):
            break
        added_text = " ".join(words[start:count]) + " "
        hasher.update(added_text.encode("utf-8", "surrogatepass"))
        prefix_digests.append(hasher.intdigest())
        start = count
    return prefix_digests

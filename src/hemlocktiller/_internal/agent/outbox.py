"""Joins messages of many runs to one peer into one frame."""

from typing import Any

from hemlocktiller._internal.agent import peers as peers_module
from hemlocktiller._internal.links import coalesce

HOPS = "hops"
HOP_RESULTS = "hop_results"
FIELDS = {HOPS: "hops", HOP_RESULTS: "results"}


class Outbox:
    """Items that wait for the end of the current turn of the loop."""

    def __init__(self, reactor: Any, peers: peers_module.Peers) -> None:
        self._reactor = reactor
        self._peers = peers
        self._batches: dict[tuple[str, str], coalesce.Coalescer] = {}

    def add(self, name: str, kind: str, item: Any) -> None:
        """Adds an item for a peer.

        Args:
            name: Name of the peer.
            kind: Message type that carries the item.
            item: The item.
        """
        batch = self._batches.get((name, kind))
        if batch is None:
            batch = self._new_batch(name, kind)
            self._batches[(name, kind)] = batch
        batch.add(item)

    def _new_batch(self, name: str, kind: str) -> coalesce.Coalescer:
        field = FIELDS[kind]

        def send(items: list[Any]) -> None:
            self._peers.send(name, {"type": kind, field: items})

        return coalesce.Coalescer(self._reactor, 0.0, send)

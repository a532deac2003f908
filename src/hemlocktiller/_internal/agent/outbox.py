"""Batches items of many runs for the same peer into one message."""

from typing import Any

from hemlocktiller._internal.agent import peers as peers_module
from hemlocktiller._internal.links import coalesce

HOPS = "hops"
HOP_RESULTS = "hop_results"
ITEM_FIELDS = {HOPS: "hops", HOP_RESULTS: "results"}


class Outbox:
    """Collects items; sends them by the next event loop iteration."""

    def __init__(self, reactor: Any, peers: peers_module.Peers) -> None:
        self._reactor = reactor
        self._peers = peers
        self._batches: dict[tuple[str, str], coalesce.Coalescer] = {}

    def add(self, peer_name: str, message_type: str, item: Any) -> None:
        """Adds an item to the next batch for a peer.

        Args:
            peer_name: Name of the peer.
            message_type: Type of the message that carries the item.
            item: A hop or a hop result.
        """
        batch = self._batches.get((peer_name, message_type))
        if batch is None:
            batch = self._new_batch(peer_name, message_type)
            self._batches[(peer_name, message_type)] = batch
        batch.add(item)

    def _new_batch(
        self, peer_name: str, message_type: str
    ) -> coalesce.Coalescer:
        item_field = ITEM_FIELDS[message_type]

        def send_batch(items: list[Any]) -> None:
            self._peers.send(
                peer_name, {"type": message_type, item_field: items}
            )

        return coalesce.Coalescer(self._reactor, 0.0, send_batch)

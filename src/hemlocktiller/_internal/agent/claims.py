"""Claims of calls that may not be repeated, kept in the object API."""

from typing import Any
from typing import NamedTuple

from twisted.internet import defer
import xxhash

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.store import client

KIND = "claim"


class Answer(NamedTuple):
    """The recorded answer of a call."""

    status: int
    content_type: str
    body: bytes


class Begun(NamedTuple):
    """The call may be made now."""

    stored: client.StoredObject


class Recorded(NamedTuple):
    """The call was made before; this is its answer."""

    answer: Answer


class InProgress(NamedTuple):
    """The call is being made."""


class OutcomeUnknown(NamedTuple):
    """The call was begun; whether it ran can't be told."""


class Mismatch(NamedTuple):
    """The key belongs to a call with another body."""


class Void(NamedTuple):
    """The attempt was declared not run."""


class Unavailable(NamedTuple):
    """The object API can't be asked; the call was not made."""


class Claims:
    """Begins and ends claims."""

    def __init__(
        self, store: client.ObjectStore, settings: Any, reactor: Any
    ) -> None:
        self._store = store
        self._settings = settings
        self._reactor = reactor

    def begin(self, call: Any) -> defer.Deferred:
        """Claims a call; it may be made if the outcome is Begun."""
        return defer.Deferred.fromCoroutine(self._begin(call))

    def finish(self, begun: Begun, answer: Answer) -> defer.Deferred:
        """Records the answer of a call."""
        value = {
            **begun.stored.value,
            "state": "done",
            "status": answer.status,
            "content_type": answer.content_type,
            "body": answer.body.hex(),
        }
        return defer.Deferred.fromCoroutine(self._write(begun, value))

    def not_run(self, begun: Begun) -> defer.Deferred:
        """Gives a claim back, as the service never got the call."""
        value = {**begun.stored.value, "state": "void"}
        return defer.Deferred.fromCoroutine(self._write(begun, value))

    async def _begin(self, call: Any) -> Any:
        key = f"{call['workspace']}\0{call['service']}"
        key += f"\0{call['idempotency_key']}"
        name = xxhash.xxh128_hexdigest(key.encode())
        value = {"state": "started", "fingerprint": call["digest"]}
        try:
            return Begun(await self._store.create(KIND, name, value))
        except exceptions.ObjectExists as found:
            return await self._meet(found.current, value)
        except exceptions.StoreError:
            return Unavailable()

    async def _meet(self, current: Any, value: Any) -> Any:
        if current.value["fingerprint"] != value["fingerprint"]:
            return Mismatch()
        if current.value["state"] == "done":
            return Recorded(_answer(current.value))
        if current.value["state"] == "started":
            return OutcomeUnknown()
        try:
            return Begun(
                await self._store.update(
                    KIND, current.name, value, current.version
                )
            )
        except exceptions.StoreError:
            return Unavailable()

    async def _write(self, begun: Begun, value: Any) -> None:
        stored = begun.stored
        try:
            await self._store.update(KIND, stored.name, value, stored.version)
        except exceptions.StoreError:
            return


def _answer(value: Any) -> Answer:
    body = bytes.fromhex(value["body"])
    return Answer(value["status"], value["content_type"], body)

"""Tests of the registration of a process, retried until it succeeds."""

from twisted.internet import defer
from twisted.internet.task import Clock

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import registration

VALUE = {"host": "127.0.0.1", "port": 9}


class ScriptedStore:
    """Store stub with scripted results of reads; records the writes."""

    settings = {"retry_min_s": 0.1, "retry_max_s": 0.5}  # noqa: RUF012

    def __init__(self, *results):
        self.reactor = Clock()
        self.written = []
        self._results = list(results)

    def read(self, kind, name):
        """Returns the next scripted result, or fails if it is an exception."""
        result = self._results.pop(0)
        if isinstance(result, Exception):
            return defer.fail(result)
        return defer.succeed(result)

    def update(self, kind, name, value, version):
        """Records a write."""
        self.written.append((kind, name, value, version))
        return defer.succeed(None)


def write(store):
    return defer.Deferred.fromCoroutine(
        registration.register(store, "gateways", "g", VALUE)
    )


def test_earlier_registration_is_replaced():
    store = ScriptedStore(client.StoredObject("gateways", "g", 7, {}))
    assert write(store).called
    assert store.written == [("gateways", "g", VALUE, 7)]


def test_current_registration_is_not_rewritten():
    store = ScriptedStore(client.StoredObject("gateways", "g", 7, VALUE))
    assert write(store).called
    assert store.written == []


def test_registration_is_retried_while_the_store_is_unavailable():
    unavailable = exceptions.StoreUnavailable("away")
    store = ScriptedStore(unavailable, unavailable, None)
    done = write(store)
    for _ in range(10):
        store.reactor.advance(0.5)
    assert done.called
    assert store.written == [("gateways", "g", VALUE, 0)]

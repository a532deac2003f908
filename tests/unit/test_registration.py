"""A process registers until it has."""

from twisted.internet import defer
from twisted.internet.task import Clock

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import registration

VALUE = {"host": "127.0.0.1", "port": 9}


class ScriptedStore:
    """Answers reads from a list, and keeps what was written."""

    settings = {"retry_min_s": 0.1, "retry_max_s": 0.5}  # noqa: RUF012

    def __init__(self, *found):
        self.reactor = Clock()
        self.written = []
        self._found = list(found)

    def read(self, kind, name):
        """Returns or raises the next of the list."""
        found = self._found.pop(0)
        if isinstance(found, Exception):
            return defer.fail(found)
        return defer.succeed(found)

    def update(self, kind, name, value, version):
        """Keeps a write."""
        self.written.append((kind, name, value, version))
        return defer.succeed(None)


def write(store):
    return defer.Deferred.fromCoroutine(
        registration.register(store, "gateways", "g", VALUE)
    )


def test_an_earlier_registration_is_replaced():
    store = ScriptedStore(client.StoredObject("gateways", "g", 7, {}))
    assert write(store).called
    assert store.written == [("gateways", "g", VALUE, 7)]


def test_a_registration_that_is_right_is_left_alone():
    store = ScriptedStore(client.StoredObject("gateways", "g", 7, VALUE))
    assert write(store).called
    assert store.written == []


def test_it_is_tried_again_while_the_store_is_away():
    away = exceptions.StoreUnavailable("away")
    store = ScriptedStore(away, away, None)
    done = write(store)
    for _ in range(10):
        store.reactor.advance(0.5)
    assert done.called
    assert store.written == [("gateways", "g", VALUE, 0)]

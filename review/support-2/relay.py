"""Relay between one gateway and the store, which can turn silent.

While it is silent, what arrives is dropped, and a connection on which
something was dropped returns nothing further.
"""

import socket
import threading


class Relay:
    """Relays connections to an address.

    Attributes:
        address: Where it listens, as `host:port`.
        is_silent: Whether it drops what arrives.
        on_call: Called with the first line of each call that arrives, and
            with whether it was dropped.
    """

    def __init__(self, target):
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.is_silent = False
        self.on_call = lambda line, was_dropped: None
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            caller, _ = self._listener.accept()
            host, port = self._target.split(":")
            try:
                store = socket.create_connection((host, int(port)))
            except OSError:
                caller.close()
                continue
            pair = _Pair()
            for source, sink, is_call in (
                (caller, store, True),
                (store, caller, False),
            ):
                threading.Thread(
                    target=self._pump,
                    args=(pair, source, sink, is_call),
                    daemon=True,
                ).start()

    def _pump(self, pair, source, sink, is_call):
        try:
            while data := source.recv(65536):
                if self.is_silent:
                    pair.is_dead = True
                if is_call:
                    line = data.split(b"\r\n", 1)[0].decode("latin-1")
                    self.on_call(line, pair.is_dead)
                if not pair.is_dead:
                    sink.sendall(data)
        except OSError:
            pass
        for one in (source, sink):
            try:
                one.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class _Pair:
    """Two connections that are relayed to each other."""

    is_dead = False

"""A caller that keeps its connection and reads answers strictly."""

import socket
import time
from typing import NamedTuple


class Answer(NamedTuple):
    """What a caller has seen of the answer to one request.

    Attributes:
        status: HTTP status; 0 without an answer.
        headers: Values by header name in lower case.
        body: Body.
        is_whole: Whether the answer ended as its framing says.
        took_s: Time from the first byte sent to the end.
        error: Why there is no whole answer.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool
    took_s: float
    error: str = ""


class Caller:
    """One connection to a gateway."""

    def __init__(self, address, timeout_s=25.0):
        self.address = address
        self._socket = socket.create_connection(address, 5.0)
        self._socket.settimeout(timeout_s)
        self._file = self._socket.makefile("rb")

    def close(self):
        """Closes the connection."""
        self._file.close()
        self._socket.close()

    def send(self, method, path, headers, body=b""):
        """Sends a request and reads its answer."""
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        began_s = time.monotonic()
        status, found, data = 0, {}, b""
        try:
            self._socket.sendall(
                "\r\n".join(lines).encode() + b"\r\n\r\n" + body
            )
            line = self._file.readline()
            if not line:
                raise ConnectionError("closed without an answer")
            status = int(line.split()[1])
            while line := self._file.readline().strip():
                name, _, value = line.decode("latin-1").partition(":")
                found[name.strip().lower()] = value.strip()
            if found.get("transfer-encoding", "").lower() == "chunked":
                while size := int(self._read_line(), 16):
                    data += self._read(size)
                    self._read_line()
                self._read_line()
            else:
                data = self._read(int(found["content-length"]))
        except (OSError, ValueError, KeyError) as error:
            took_s = time.monotonic() - began_s
            return Answer(status, found, data, False, took_s, repr(error))
        took_s = time.monotonic() - began_s
        return Answer(status, found, data, True, took_s)

    def _read_line(self):
        line = self._file.readline()
        if not line.endswith(b"\n"):
            raise ConnectionError("closed inside the answer")
        return line.strip()

    def _read(self, size):
        data = self._file.read(size)
        if len(data) < size:
            raise ConnectionError("closed inside the answer")
        return data

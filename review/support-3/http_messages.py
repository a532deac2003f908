"""Reads and writes HTTP/1.1 messages for the stand-ins and their clients."""

import asyncio
import json
import socket
from typing import NamedTuple


class Request(NamedTuple):
    """A request as it was received.

    Attributes:
        method: Method.
        path: Path without the query.
        query: Text behind the question mark.
        headers: Headers by their names in lower case.
        body: Body.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


class Answer(NamedTuple):
    """What a client received in answer to one request.

    Attributes:
        status: Status; 0 if the connection ended before the head.
        headers: Headers by their names in lower case.
        body: Body as far as it was received.
        is_complete: Whether the framing shows the body as complete.
        took_s: Time from the last byte sent to the end of the answer.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool
    took_s: float


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Returns the next request of a connection; None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    path, _, query = target.partition("?")
    return Request(method, path, query, headers, body)


def encode_head(status: int, headers: dict[str, str]) -> bytes:
    """Returns the head of a response."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_json(status: int, value, headers: dict[str, str] | None = None):
    """Returns a whole response with a JSON body."""
    body = json.dumps(value).encode()
    length = {
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
    }
    return encode_head(status, {**(headers or {}), **length}) + body


def encode_request(
    method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns a whole request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def exchange(
    address: tuple[str, int], request: bytes, timeout_s: float
) -> Answer:
    """Sends a request on a new connection and reads its answer."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            writer.write(request)
            await writer.drain()
            began_s = loop.time()
            try:
                answer = await read_answer(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Answer(0, {}, b"", False, timeout_s)
    return answer._replace(took_s=loop.time() - began_s)


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Reads one answer; an end before its framing says so is no success."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    status = int(first.split(" ")[1])
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = bytearray()
    is_complete = False
    try:
        if headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                if not size:
                    await reader.readuntil(b"\r\n")
                    is_complete = True
                    break
                body += await reader.readexactly(size)
                await reader.readexactly(2)
        elif "content-length" in headers:
            length = int(headers["content-length"])
            while len(body) < length:
                data = await reader.read(length - len(body))
                if not data:
                    break
                body += data
            is_complete = len(body) == length
        else:
            while data := await reader.read(65_536):
                body += data
            is_complete = True
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    return Answer(status, headers, bytes(body), is_complete, 0.0)

"""Small HTTP/1.1 server for the stand-ins, on asyncio alone."""

import asyncio
import json
from typing import NamedTuple
from urllib import parse

MAX_LINE_BYTES = 65_536


class Request(NamedTuple):
    """A request that was read completely.

    Attributes:
        method: HTTP method.
        target: Request target as sent.
        path: Path without the query.
        query: Query arguments.
        headers: Values by header name in lower case.
        body: Body.
    """

    method: str
    target: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


async def read_request(reader):
    """Returns the next request of a connection, or None at its end."""
    line = await reader.readline()
    if not line.strip():
        return None
    method, target, _ = line.decode("latin-1").split()
    headers = {}
    while True:
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    elif length := int(headers.get("content-length", "0")):
        body = await reader.readexactly(length)
    path, _, query = target.partition("?")
    return Request(
        method, target, path, dict(parse.parse_qsl(query)), headers, body
    )


def response(status, body=b"", headers=()):
    """Returns the bytes of a complete response with its length."""
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
        headers = (*headers, ("Content-Type", "application/json"))
    head = "".join(f"{name}: {value}\r\n" for name, value in headers)
    return (
        f"HTTP/1.1 {status} Status\r\n{head}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def serve(handle, host, port):
    """Starts a server; `handle` gets each request and the writer.

    It returns the bytes of the response, or None to close the connection.
    """

    async def on_connection(reader, writer):
        try:
            while request := await read_request(reader):
                answer = await handle(request, reader, writer)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(
        on_connection, host, port, limit=MAX_LINE_BYTES, backlog=512
    )

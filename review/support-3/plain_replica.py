"""Stand-in of a replica of a plain service.

It writes its answer in pieces. With `--framing close` the answer has no length
and ends with its connection.
"""

import asyncio

import http_messages as http
import replica


def answer_body(request_id: str, size: int) -> bytes:
    """Returns the only correct answer to a request."""
    line = f"{request_id}:".encode()
    text = line * (size // len(line) + 1)
    return text[: size - 4] + b"END\n"


async def main():
    """Runs the replica until it is stopped."""
    parser = replica.parser(__doc__)
    parser.add_argument("--framing", choices=("length", "close"))
    parser.add_argument("--work-s", type=float, default=0.045)
    parser.add_argument("--answer-bytes", type=int, default=800)
    parser.add_argument("--pieces", type=int, default=2)
    parser.add_argument("--pause-s", type=float, default=0.02)
    options = parser.parse_args()
    plain = replica.Replica(options)
    slots = asyncio.Semaphore(options.slots)

    async def handle(request, writer):
        if request.path == "/health":
            writer.write(plain.health())
            await writer.drain()
            return True
        refusal = plain.refusal(request)
        if refusal is not None:
            writer.write(refusal)
            await writer.drain()
            return True
        request_id = request.headers["request-id"]
        async with slots:
            plain.record(
                "run",
                request_id,
                path=request.path,
                tenant=request.headers.get("tenant"),
                key=request.headers.get("key"),
            )
            await asyncio.sleep(options.work_s)
            body = answer_body(request_id, options.answer_bytes)
            headers = plain.head(request_id, Content_Type="text/plain")
            if options.framing == "length":
                headers["Content-Length"] = str(len(body))
            else:
                headers["Connection"] = "close"
            writer.write(http.encode_head(200, headers))
            step = -(-len(body) // options.pieces)
            for start in range(0, len(body), step):
                if start:
                    await asyncio.sleep(options.pause_s)
                writer.write(body[start : start + step])
                await writer.drain()
            plain.record("answered", request_id)
        return options.framing == "length"

    await plain.run(handle)


if __name__ == "__main__":
    asyncio.run(main())

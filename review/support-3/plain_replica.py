"""Stand-in of a replica of a plain service.

It writes its answer in pieces. With `--framing close` the answer has no length
and ends with its connection. After SIGUSR1 it turns requests away for a while
and says with `Retry-After` for how long it wants none. A request whose last
part of the path begins with `crash` crashes it as it begins to run it.
"""

import asyncio
import os
import signal

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
    parser.add_argument("--refuse-s", type=float, default=1.0)
    parser.add_argument("--retry-after-s", type=int, default=0)
    options = parser.parse_args()
    plain = replica.Replica(options)
    slots = asyncio.Semaphore(options.slots)
    loop = asyncio.get_running_loop()
    refuses_until_s = 0.0

    def refuse_for_a_while():
        nonlocal refuses_until_s
        refuses_until_s = loop.time() + options.refuse_s

    loop.add_signal_handler(signal.SIGUSR1, refuse_for_a_while)

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
        plain.record("arrival", request_id)
        if loop.time() < refuses_until_s:
            plain.record("refused", request_id)
            writer.write(
                http.encode_json(
                    503,
                    {},
                    {
                        "Request-Id": request_id,
                        "Not-Executed": "1",
                        "Retry-After": str(options.retry_after_s),
                    },
                )
            )
            await writer.drain()
            return True
        async with slots:
            plain.record(
                "run",
                request_id,
                path=request.path,
                tenant=request.headers.get("tenant"),
                key=request.headers.get("key"),
            )
            if request.path.rpartition("/")[2].startswith("crash"):
                os.kill(os.getpid(), signal.SIGKILL)
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

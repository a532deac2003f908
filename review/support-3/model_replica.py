"""Stand-in of a model replica, which holds the layers that it is ordered to.

It reads the prompt for a while, then writes numbered events; before each it
asks the other replicas of the path. Work that depends on one that doesn't
answer stalls for `stall_ms` and is then cut off. A request whose body begins
with `crash` crashes it as it begins to run it.
"""

import asyncio
import json
import os
import signal

import http_messages as http
import replica

LAYERS = 80
LAYER_MB = 1750.0
# Cards that hold all layers, or a little more than half of them.
LARGE_CARD_MB = 1_000_000.0
SMALL_CARD_MB = 100_000.0
STALL_S = 2.0


class CutOff(Exception):
    """Another replica of the path is dead or cut off."""


def engine(card_mb: float = LARGE_CARD_MB) -> dict:
    """Returns the engine of a service of these replicas."""
    return {
        "slots": 32,
        "kv_token_bytes": 1_836_000,
        "link_mbps": 400_000.0,
        "stride": 3,
        "models": [{"name": "m", "load_s": 0.5}],
        "step_ms": 1.0,
        "per_seq_ms": 0.01,
        "context_per_k": 0.02,
        "read_per_s": 100_000.0,
        "usual": {"prompt": 100, "answer": 30},
        "layers": LAYERS,
        "layer_mb": LAYER_MB,
        "act_bytes": 90_000,
        "pipe_mbps": 18_000.0,
        "kinds": [{"name": "card", "mb": card_mb, "pace": 1.0, "read_x": 1.0}],
    }


def event_of(request_id: str, number: int) -> bytes:
    """Returns an event of the only correct answer to a request."""
    return f"id: {number}\ndata: {request_id}.{number}\n\n".encode()


def parse_hops(text: str) -> list[tuple[str, int, int]]:
    """Returns address, first layer and end of each part of a path."""
    hops = []
    for part in filter(None, text.split(",")):
        address, _, span = part.partition("=")
        first, _, end = span.partition("-")
        hops.append((address, int(first), int(end)))
    return hops


class Stage:
    """Another replica of a path, on one connection for one request.

    Attributes:
        address: Its address.
    """

    def __init__(self, address: str):
        self.address = address
        self._reader = None
        self._writer = None

    async def ask(self) -> None:
        """Lets it run its layers for one event.

        Raises:
            CutOff: It has not answered in time.
        """
        try:
            async with asyncio.timeout(STALL_S):
                if self._writer is None:
                    host, _, port = self.address.partition(":")
                    self._reader, self._writer = await asyncio.open_connection(
                        host, int(port)
                    )
                self._writer.write(http.encode_request("POST", "/stage", {}))
                answer = await http.read_answer(self._reader)
        except TimeoutError as error:
            raise CutOff(self.address) from error
        except (OSError, asyncio.IncompleteReadError) as error:
            await asyncio.sleep(STALL_S)
            raise CutOff(self.address) from error
        if answer.status != 200:
            raise CutOff(self.address)

    def close(self) -> None:
        """Closes its connection."""
        if self._writer is not None:
            self._writer.close()


async def main():
    """Runs the replica until it is stopped."""
    parser = replica.parser(__doc__)
    parser.add_argument("--read-s", type=float, default=0.1)
    parser.add_argument("--events", type=int, default=20)
    parser.add_argument("--pause-s", type=float, default=0.05)
    parser.add_argument("--framing", choices=("chunked", "close"))
    parser.add_argument("--advertised", help="address of a relay before it")
    options = parser.parse_args()
    model = replica.Replica(options)
    model.address = options.advertised or model.address
    orders = 0
    fence = 0
    held = (0, 0)
    plain_entry = model.entry

    def entry():
        spec = {
            **plain_entry(),
            "route_type": "card",
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
        }
        if held[1]:
            spec["layers"] = {"from": held[0], "target": held[1], "version": 1}
        return spec

    model.entry = entry

    def report():
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "layers": {"from": held[0], "target": held[1], "version": 1},
            "busy": False,
            "seq": orders,
            "born": model.born_ms,
            "pace": 1.0,
            "waiting": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 50_000,
            "handles": 0,
            "stalled": [],
        }

    async def order(request):
        nonlocal orders, fence, held
        wanted = json.loads(request.body)
        if wanted.get("fence_token", 0) < fence:
            return 412
        if wanted.get("expect", orders) != orders:
            return 409
        fence = max(fence, wanted.get("fence_token", 0))
        orders += 1
        held = (wanted["from"], wanted["target"])
        model.record("order", layers=list(held), fence=fence)
        await model.beat()
        return 202

    async def stream(request, writer, stages):
        request_id = request.headers["request-id"]
        after = int(request.headers.get("last-event-id") or 0)
        await asyncio.sleep(options.read_s)
        model.record(
            "run",
            request_id,
            after=after,
            body=request.body[:24].decode(),
            later_stages=[stage.address for stage in stages],
        )
        if request.body.startswith(b"crash"):
            os.kill(os.getpid(), signal.SIGKILL)
        headers = model.head(request_id, Content_Type="text/event-stream")
        if options.framing == "close":
            headers["Connection"] = "close"
        else:
            headers["Transfer-Encoding"] = "chunked"
        writer.write(http.encode_head(200, headers))
        for number in range(after + 1, options.events + 1):
            try:
                for stage in stages:
                    await stage.ask()
            except CutOff as cut_off:
                model.record(
                    "cut_off", request_id, event_number=number, at=str(cut_off)
                )
                return False
            event = event_of(request_id, number)
            if options.framing != "close":
                event = b"%x\r\n%s\r\n" % (len(event), event)
            writer.write(event)
            await writer.drain()
            await asyncio.sleep(options.pause_s)
        if options.framing != "close":
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        model.record("answered", request_id)
        return options.framing != "close"

    async def handle(request, writer):
        if request.path == "/health":
            writer.write(model.health())
        elif request.path == "/api/report":
            writer.write(http.encode_json(200, report()))
        elif request.path == "/stage":
            writer.write(http.encode_json(200, {}))
        elif request.path == "/api/order":
            writer.write(http.encode_json(await order(request), {}))
        else:
            refusal = model.refusal(request)
            hops = parse_hops(request.headers.get("hop-count", "")) or [
                (model.address, 0, LAYERS)
            ]
            address, first, end = hops[0]
            if refusal is None and (
                address != model.address or first < held[0] or end > held[1]
            ):
                refusal = http.encode_json(
                    421,
                    {},
                    {
                        "Request-Id": request.headers["request-id"],
                        "Not-Executed": "1",
                        "At-Server": model.address,
                    },
                )
            if refusal is None:
                stages = [Stage(address) for address, _, _ in hops[1:]]
                try:
                    return await stream(request, writer, stages)
                finally:
                    for stage in stages:
                        stage.close()
            writer.write(refusal)
        await writer.drain()
        return True

    await model.run(handle)


if __name__ == "__main__":
    asyncio.run(main())

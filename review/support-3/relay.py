"""TCP relay that can hold all bytes back, as a partition does.

SIGUSR1 starts to hold them back, SIGUSR2 lets them pass, held ones first.
"""

import argparse
import asyncio
import contextlib
import signal


async def main():
    """Runs the relay until it is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--target-port", type=int, required=True)
    options = parser.parse_args()
    is_open = asyncio.Event()
    is_open.set()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, is_open.clear)
    loop.add_signal_handler(signal.SIGUSR2, is_open.set)

    async def forward(reader, writer):
        """Forwards bytes and the end of a connection, or its reset."""
        try:
            while True:
                data = await reader.read(65_536)
                await is_open.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except OSError:
            writer.transport.abort()

    async def serve(reader, writer):
        await is_open.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", options.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        onward = asyncio.create_task(forward(reader, far_writer))
        back = asyncio.create_task(forward(far_reader, writer))
        await back
        # Nothing more is answered.
        onward.cancel()
        far_writer.close()
        writer.close()

    async def serve_until_left(reader, writer):
        with contextlib.suppress(ConnectionError):
            await serve(reader, writer)

    server = await asyncio.start_server(
        serve_until_left, "127.0.0.1", options.port
    )
    print("listening", flush=True)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())

"""One process of hollow gateways or servers, hundreds to a process: the real sessions and calls, with nothing behind.

`python -m crowseam.capacity.hollow_process` takes a job on the first line of its input, then orders, one JSON object
a line, each answered with one line (`crowseam.capacity.hollow_protocol`).  It ends with its input.
"""

from __future__ import annotations

import asyncio
import sys

import msgspec
import uvloop

from crowseam.capacity.hollow_gateways import Gateways
from crowseam.capacity.hollow_protocol import Job, Order
from crowseam.capacity.hollow_servers import Servers


async def serve() -> None:
    """Take the job and the orders from the input until it ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    job = msgspec.json.decode(await reader.readline(), type=Job)
    crowd = Gateways(loop, job) if job.count else Servers(loop, job)
    loop.call_later(job.load.seconds_most, loop.stop)  # ends by itself, whoever has started it
    while line := await reader.readline():
        report = crowd.order(msgspec.json.decode(line, type=Order))
        sys.stdout.buffer.write(msgspec.json.encode(report) + b"\n")
        sys.stdout.buffer.flush()


def main() -> int:
    """Run one process of hollow ends; the exit code."""
    try:
        uvloop.run(serve())
    except (msgspec.MsgspecError, RuntimeError) as error:
        print(f"hollow: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

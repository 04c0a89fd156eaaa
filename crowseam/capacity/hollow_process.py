"""A process that runs hundreds of hollow gateways or servers: real sessions and calls, but no traffic.

`python -m crowseam.capacity.hollow_process` reads a job from the first line of standard input, then commands, one JSON
object a line, and answers each with one line (`crowseam.capacity.hollow_protocol`). It exits at end of input.
"""

from __future__ import annotations

import asyncio
import sys

import msgspec
import uvloop

from crowseam.capacity.hollow_gateways import HollowGatewayGroup
from crowseam.capacity.hollow_protocol import Command, Job
from crowseam.capacity.hollow_servers import HollowServerGroup


async def serve() -> None:
    """Read the job and the commands from standard input until it ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    job = msgspec.json.decode(await reader.readline(), type=Job)
    group = HollowGatewayGroup(loop, job) if job.count else HollowServerGroup(loop, job)
    loop.call_later(job.load.seconds_most, loop.stop)  # exits even if the parent never closes the input
    while line := await reader.readline():
        report = group.execute(msgspec.json.decode(line, type=Command))
        sys.stdout.buffer.write(msgspec.json.encode(report) + b"\n")
        sys.stdout.buffer.flush()


def main() -> int:
    """Run the process and return its exit code."""
    try:
        uvloop.run(serve())
    except (msgspec.MsgspecError, RuntimeError) as error:
        print(f"hollow: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

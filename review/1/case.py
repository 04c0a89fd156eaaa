"""A keyed order with a long body, at servers that answer before they have read all of it."""

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import fleet as stand_in  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ORDERS = 5
BODY_BYTES = 512 * 1024
PIECE_BYTES, PIECE_PAUSE_S = 32 * 1024, 0.06  # the client's link: about 0.5 MB/s, so 1 s for the body
EARLY_BYTES = 64 * 1024  # of the body, after which a server in `TROUBLE` starts to work
RECEIPT_BYTES = 96 * 1024  # of the server's answer
WORK_S = 0.16
DEADLINE_S = 6.0
KEY_WINDOW_S = 60.0  # as in the settings


async def play(record):
    """Return whether a key ran twice."""
    runs = {}  # by key: [(seconds, attempt id, server)]

    async def serve(server, reader, writer, first_line, fields):
        attempt, key = fields["x-attempt-id"], fields["x-op-key"]
        length = int(fields["content-length"])
        read = 0
        while read < (min(EARLY_BYTES, length) if TROUBLE else length):
            data = await reader.read(64 * 1024)
            if not data:
                record.line(f"server {server.ident}: {attempt} broke off after {read} bytes; not run")
                return False
            read += len(data)
        runs.setdefault(key, []).append((record.now(), attempt, server.ident))
        record.line(f"server {server.ident}: runs {attempt} key {key}, {read} of {length} bytes read")
        await asyncio.sleep(WORK_S)
        head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal.{attempt}\r\n"
        writer.write(f"{head}Content-Length: {RECEIPT_BYTES}\r\n\r\n".encode() + b"r" * RECEIPT_BYTES)
        record.line(f"server {server.ident}: answers {attempt} with 200, {RECEIPT_BYTES} bytes")
        await writer.drain()
        while read < length:
            data = await reader.read(64 * 1024)
            if not data:
                record.line(f"server {server.ident}: the rest of {attempt} did not come")
                return False
            read += len(data)
        return True

    async def send_body(writer, body):
        for at in range(0, len(body), PIECE_BYTES):
            writer.write(body[at : at + PIECE_BYTES])
            await writer.drain()
            await asyncio.sleep(PIECE_PAUSE_S)

    async def attempt_order(index, key, body, ends_at):
        """One try on a connection of its own; return its status, or 0 for no answer, and the pause asked for."""
        attempt = f"{random.getrandbits(64):016x}"
        left_ms = int((ends_at - record.now()) * 1000)
        record.line(f"client: sends {attempt} key {key} to machine {index + 1}")
        reader, writer = await asyncio.open_connection(system.ips[index], system.http)
        head = f"POST /orders/new HTTP/1.1\r\nHost: {stand_in.HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Op-Key: {key}\r\n"
        head += f"X-Time-Left: {left_ms}\r\nAuthorization: Bearer {stand_in.KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode())
        sending = asyncio.create_task(send_body(writer, body))
        status, pause_s, got = 0, 0.0, 0
        try:
            async with asyncio.timeout(max(0.1, ends_at - record.now())):
                found = await stand_in.read_head(reader)
                if found is not None:
                    status, fields = int(found[0].split()[1]), found[1]
                    pause_s = float(fields.get("retry-after", "0"))
                    got = len(await reader.readexactly(int(fields["content-length"])))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status = 0
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        writer.close()
        record.line(f"client: {attempt} key {key} gets {status or 'no whole answer'}, {got} bytes, pause {pause_s}")
        return status, pause_s

    async def order(number):
        """An operation of a client: tried again with the same key after any failure, twice at most."""
        key, body = f"k-{number}-{random.getrandbits(32):08x}", random.randbytes(BODY_BYTES)
        ends_at = record.now() + DEADLINE_S
        for tried in range(3):
            status, pause_s = await attempt_order((number + tried) % 3, key, body, ends_at)
            left_s = ends_at - record.now()
            if 200 <= status < 300 or status in (400, 401, 404, 413, 431) or left_s < 0.5:
                break
            await asyncio.sleep(min(pause_s, left_s / 3))

    system = stand_in.Fleet(record)
    servers = [stand_in.Server(system, number, serve) for number in range(6)]
    try:
        system.start()
        await system.until_ready(stand_in.configuration(stand_in.route("meal-order", "/orders/", "idem")))
        for server in servers:
            await server.start()
        await asyncio.sleep(4.0)  # every gateway knows the servers and has its share of the quota
        for number in range(ORDERS):
            await order(number)
        await asyncio.sleep(1.0)
    finally:
        for server in servers:
            if hasattr(server, "server"):
                await server.stop()
        system.stop(keep_logs=bool(os.environ.get("KEEP_LOGS")))
    if len(runs) < ORDERS:
        raise stand_in.CannotRunError(f"only {len(runs)} of {ORDERS} orders ran at all")
    twice = {key: at for key, at in runs.items() if len(at) > 1 and at[1][0] - at[0][0] < KEY_WINDOW_S}
    for key, at in twice.items():
        told = ", ".join(f"{attempt} at {ident} ({seconds:.3f} s)" for seconds, attempt, ident in at)
        record.line(f"TWICE: key {key} ran {len(at)} times: {told}")
    record.line(f"{len(twice)} of {len(runs)} keys ran more than once")
    return bool(twice)


sys.exit(stand_in.run(play))

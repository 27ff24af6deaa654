"""Clients that pause while they read an answer lose the rest of it."""

import asyncio
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import kit  # noqa: E402

# The longest response of the class `briefing-pack` in the site file of mwangaza-rosters.
BODY_BYTES = 540_000
DEADLINE_MS = 10_592
CLIENTS = 12
# What a client reads before it pauses, the pause, and the buffer of its socket.
FIRST_BYTES = 16_384
PAUSE_S = 2.5
RECEIVE_BUFFER_BYTES = 65_536
MAX_CLOSED = 3


async def read_body(reader, length, pauses):
    """Read a body; return the number of bytes that arrived and what ended it."""
    received = 0
    try:
        while received < length:
            data = await reader.read(min(FIRST_BYTES, length - received))
            if not data:
                return received, "closed"
            received += len(data)
            if pauses and received == len(data):
                await asyncio.sleep(PAUSE_S)
    except ConnectionError as error:
        return received, repr(error)
    return received, "complete"


async def run_client(record, instance, number):
    """Use a channel twice; return whether the second answer came whole."""
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    raw.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(raw, ("127.0.0.1", instance.port))
    # A small buffer of the stand-in, so that a pause keeps the bytes in the network.
    reader, writer = await asyncio.open_connection(sock=raw, limit=FIRST_BYTES)
    whole = False
    for use, path in enumerate(("/small/1", "/packs/1")):
        attempt = f"client{number:02d}use{use}"
        sent_at = time.monotonic()
        writer.write(kit.request_bytes(attempt, path, deadline_ms=DEADLINE_MS))
        head = await kit.read_head(reader)
        if head is None:
            record(f"sent {attempt}, no answer")
            break
        length = int(head.get("content-length", "0"))
        received, end = await read_body(reader, length, kit.TROUBLE and use == 1)
        took = time.monotonic() - sent_at
        record(
            f"sent {attempt} {path}, answered {head.first[1]}, {received} of {length} "
            f"bytes after {took:.2f} s: {end}"
        )
        whole = received == length
    writer.close()
    return whole


async def main(record, temporary, instances):
    store = kit.Store()
    await store.start()
    routes = [
        ("r-1", "/small/", "shifts", "idempotent"),
        ("r-2", "/packs/", "desk", "download"),
    ]
    config = kit.make_config(7, routes)
    for route in config["hosts"][0]["paths"]:
        route.update(timeout_ms=8000, target_latency_ms=1324)
    store.put("config", "main", config)
    upstreams = []
    for service, body_bytes in (("shifts", 400), ("desk", BODY_BYTES)):
        for number in range(3):
            name = f"i-{service}{number}"
            upstream = kit.Upstream(record, name, service, 0.05, body_bytes, 9)
            await upstream.start()
            store.put("servers", upstream.name, upstream.entry())
            upstreams.append(upstream)
    instance = kit.Instance(temporary, store)
    instances.append(instance)
    await instance.start()
    if not await instance.wait_until_ready():
        raise kit.CannotRun("the instance is not ready")
    # The machine is in touch from stability_window_ms after its start on.
    await asyncio.sleep(3.5)
    clients = [run_client(record, instance, number) for number in range(CLIENTS)]
    whole = await asyncio.gather(*clients)
    runs = sum(len(upstream.runs) for upstream in upstreams)
    closed = whole.count(False)
    record(f"{runs} requests run; {closed} channels closed without a whole answer")
    return closed > MAX_CLOSED


kit.run_case(FOLDER, main)

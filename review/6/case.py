"""After a restart, one unreadable entry of another writer hides all upstreams."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import kit  # noqa: E402

VALUE_BYTES = 1_048_576
RECOVERY_S = 15.0
REQUESTS = 60


def odd_specification():
    """Return a value that is JSON, of the greatest size, with text that can't be read.

    Half of a surrogate pair, as from a writer that cut a text in its middle.
    """
    head, tail = b'{"service":"huvo11a","note":"', b'\\ud83d"}'
    return head + b"x" * (VALUE_BYTES - len(head) - len(tail)) + tail


async def send_requests(record, instance, label):
    """Send requests one after another; return how many were served."""
    served = 0
    for number in range(REQUESTS):
        attempt = f"{label}{number:04d}"
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", instance.port)
            writer.write(kit.request_bytes(attempt, "/lepu270/2f", deadline_ms=3000))
            head = await asyncio.wait_for(kit.read_head(reader), 4)
            status = None if head is None else int(head.first[1])
            writer.close()
        except (OSError, TimeoutError) as error:
            status = repr(error)
        record(f"sent {attempt}, answered {status}")
        served += status == 200
        await asyncio.sleep(0.05)
    return served


async def main(record, temporary, instances):
    store = kit.Store()
    await store.start()
    routes = [("r-1", "/lepu270/", "huvo11a", "idempotent")]
    store.put("config", "main", kit.make_config(7, routes))
    for number in range(6):
        upstream = kit.Upstream(record, f"i-{number}f3a91c2", "huvo11a", work_s=0.02)
        await upstream.start()
        store.put("servers", upstream.name, upstream.entry())
    instance = kit.Instance(temporary, store)
    instances.append(instance)
    await instance.start()
    if not await instance.wait_until_ready():
        raise kit.CannotRun("the instance is not ready")
    before = await send_requests(record, instance, "before")
    record(f"{before} of {REQUESTS} served before")
    if before < REQUESTS // 4:
        raise kit.CannotRun("too few requests are served before the fault")
    if kit.TROUBLE:
        store.put("servers", "backup-0017", odd_specification())
        record("another writer wrote servers/backup-0017")
        await asyncio.sleep(3.0)
    await instance.end()
    record("process killed")
    await asyncio.sleep(1.0)
    await instance.start()
    is_ready = await instance.wait_until_ready()
    record(f"process started again, ready: {is_ready}")
    await asyncio.sleep(RECOVERY_S + 1.0)
    after = await send_requests(record, instance, "after")
    record(f"{after} of {REQUESTS} served after recovery_s")
    for line in instance.log().splitlines():
        if "unreadable" in line or "upstream_joined" in line:
            record(f"log {line[:200]}")
    return after < REQUESTS / 4


kit.run_case(FOLDER, main)

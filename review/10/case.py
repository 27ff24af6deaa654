"""The health answer of one upstream in trouble ends the whole process."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import kit  # noqa: E402

# `srv_crash` of preljev-mreza: share = 0.14, for_s = 4.5 at most.
UPSTREAMS = 7
DOWN_S = 1.2
# An upstream that started registers at its first heartbeat.
HEARTBEAT_S = 1.5
WORK_S = 0.8
KEPT_CHANNELS = 12
DURATION_S = 12.0
MAX_CLOSED = 3
SPOILED_TIMEOUT = "timeout=" + "9" * 400


async def use_kept_channel(instance, number, results):
    """File notices one after another on one channel until it ends."""
    reader, writer = await asyncio.open_connection("127.0.0.1", instance.port)
    for use in range(1000):
        attempt = f"kept{number:02d}use{use:03d}"
        results[attempt] = None
        try:
            request = kit.request_bytes(attempt, "/xapu221/1", "POST", body=b"{}")
            writer.write(request)
            head = await kit.read_head(reader)
            if head is None:
                return
            await reader.readexactly(int(head.get("content-length", "0")))
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        results[attempt] = head.first[1]
        if head.get("connection") == "close":
            return


async def main(record, temporary, instances):
    store = kit.Store()
    await store.start()
    routes = [("r-1", "/xapu221/", "wuno96b", "non_idempotent")]
    store.put("config", "main", kit.make_config(7, routes))
    upstreams = []
    for number in range(UPSTREAMS):
        name = f"i-{number}f3a91c2"
        upstream = kit.Upstream(record, name, "wuno96b", WORK_S, 1000, slots=3)
        await upstream.start()
        store.put("servers", upstream.name, upstream.entry())
        upstreams.append(upstream)
    instance = kit.Instance(temporary, store)
    instances.append(instance)
    await instance.start()
    if not await instance.wait_until_ready():
        raise kit.CannotRun("the instance is not ready")
    await asyncio.sleep(3.5)

    results = {}
    tasks = [
        asyncio.create_task(use_kept_channel(instance, number, results))
        for number in range(KEPT_CHANNELS)
    ]
    begin = time.monotonic()
    await asyncio.sleep(2.0)
    faulty = upstreams[0]
    if kit.TROUBLE:
        faulty.crash()
        record(f"{faulty.name} crashes")
        await asyncio.sleep(DOWN_S)
        faulty.health_headers = {"Keep-Alive": SPOILED_TIMEOUT}
        faulty.born = int(time.time() * 1000)
        await faulty.start()
        record(f"{faulty.name} is up again, its health answer is spoiled")
        await asyncio.sleep(HEARTBEAT_S)
        store.put("servers", faulty.name, faulty.entry())
    while time.monotonic() - begin < DURATION_S and not instance.has_ended:
        await asyncio.sleep(0.1)
    await asyncio.sleep(0.3)
    has_crashed = instance.has_ended
    record(f"the process ended by itself: {has_crashed}")
    sound_runs = {attempt for u in upstreams[1:] for attempt in u.runs}
    lost = sorted(a for a, s in results.items() if s is None and a in sound_runs)
    lost *= has_crashed
    record(f"passed on to sound upstreams and never answered: {lost}")
    for attempt, status in results.items():
        record(f"sent {attempt}, answered {status}")
    for line in instance.log().splitlines():
        if "Error" in line and not line.startswith("{"):
            record(f"log {line.strip()[:160]}")
    for task in tasks:
        task.cancel()
    return len(lost) > MAX_CLOSED


kit.run_case(FOLDER, main)

"""A zone is evacuated, taken back and evacuated again while a relay is turned away.

Three machines; the first two are seeds, and the third follows one of them. The store
turns the second machine away for 9 s and serves the others. In this time the zone is
taken back and evacuated again. A config changes at the end. Later the first machine is
killed, so the third follows the second. No request may reach the evacuated zone later
than evacuation_ms after its evacuation was confirmed.
"""

import asyncio
import os
import random
import signal

from harness import (
    BOUNDS,
    Clients,
    Instance,
    Store,
    Upstream,
    make_configuration,
    now_s,
    run_case,
)

HOST = "reads.example"
ZONES = {"split-a": "jadran", "rijeka-b": "jadran"}
EVACUATED = "rijeka-b"
EVACUATION_S = BOUNDS["evacuation_ms"] / 1000
STABILITY_S = BOUNDS["stability_window_ms"] / 1000
TURNED_AWAY_S = 9.0


async def case(record, folder, network, instances, trouble):
    store = Store(record)
    await store.start(f"{network}.1")
    second_address = await store.start_second(f"{network}.2")
    upstreams = []
    for number in range(8):
        zone = list(ZONES)[number % 2]
        upstream = Upstream(record, store, f"i-{number:04x}", "reads", zone)
        await upstream.start(f"{network}.{100 + number}")
        upstream.register()
        upstreams.append(upstream)
    route = (HOST, "/reads/", "idempotent", "reads", 3000, 400)
    store.put("config", "main", make_configuration(5, [route], ["reads"]))
    for number in range(3):
        address = second_address if number == 1 else store.address
        name, host = f"front-split-a-{number + 1}", f"{network}.{10 + number}"
        instances.append(Instance(folder, host, name, "split-a", ZONES, address))
    first, second, third = instances
    seeds = [first.endpoint("control_plane"), second.endpoint("control_plane")]
    for instance in instances:
        await instance.start(seeds)
    for instance in instances:
        if not await instance.wait_ready():
            return 2
    await asyncio.sleep(STABILITY_S + 1)
    clients, keys = Clients(record), random.Random(1)

    async def traffic():
        while True:
            clients.send(third, "GET", "/reads/1", HOST, 3000, keys.randrange(40))
            await asyncio.sleep(0.05)

    load = asyncio.ensure_future(traffic())
    await asyncio.sleep(1)
    store.put("evacuations", EVACUATED, {})
    await asyncio.sleep(3)
    if trouble:
        store.turn_away_second(True)
    turned_away_at_s = now_s()
    await asyncio.sleep(2)
    store.delete("evacuations", EVACUATED)
    await asyncio.sleep(5)
    confirmed_s = store.put("evacuations", EVACUATED, {})
    await asyncio.sleep(1)
    shorter = (HOST, "/reads/", "idempotent", "reads", 2900, 400)
    store.put("config", "main", make_configuration(7, [shorter], ["reads"]))
    await asyncio.sleep(turned_away_at_s + TURNED_AWAY_S - now_s())
    store.turn_away_second(False)
    await asyncio.sleep(STABILITY_S + 1)
    first.signal(signal.SIGKILL)
    record.write("killed", machine=first.name)
    await asyncio.sleep(STABILITY_S + 4)
    late = [
        arrived_s - confirmed_s
        for upstream in upstreams
        if upstream.zone == EVACUATED
        for arrived_s, _ in upstream.runs
        if arrived_s > confirmed_s + EVACUATION_S
    ]
    load.cancel()
    await clients.wait()
    served = sum(1 for result in clients.results.values() if result[2] == 200)
    record.write("result", late=len(late), served=served)
    print(
        f"requests in the evacuated zone later than {EVACUATION_S} s: {len(late)},"
        f" {min(late, default=0):.1f} to {max(late, default=0):.1f} s after the"
        f" confirmation; served {served}"
    )
    if served < 200:
        return 2
    return 1 if late else 0


run_case(case, os.path.dirname(os.path.abspath(__file__)))

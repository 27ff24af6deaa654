"""A channel from a machine to the store goes silent; other and new channels work.

Two machines, two services, 20 reads a second. The store's answer to the pending watch of
`config` of the first machine, which is a seed, is never sent, and nothing else on that
channel. 4 s later, when the machines have been in touch again for a second, a config
moves the route to the other service and adds a route. The store confirms it while it is
stable. Requests sent later than configuration_apply_ms after that must not be handled
as only the older config allows.
"""

import asyncio
import os
import random

from harness import (
    BOUNDS,
    Clients,
    Instance,
    Store,
    Upstream,
    make_configuration,
    run_case,
)

HOST = "reads.example"
NEW_HOST = "added.example"
ZONES = {"split-a": "jadran", "rijeka-b": "jadran"}
APPLY_S = BOUNDS["configuration_apply_ms"] / 1000
STABILITY_S = BOUNDS["stability_window_ms"] / 1000
OBSERVED_S = 9.0


async def case(record, folder, network, instances, trouble):
    store = Store(record)
    await store.start(f"{network}.1")
    services = ["old", "new"]
    upstreams = []
    for number in range(8):
        zone = list(ZONES)[number // 2 % 2]
        upstream = Upstream(
            record, store, f"i-{number:04x}", services[number % 2], zone
        )
        await upstream.start(f"{network}.{100 + number}")
        upstream.register()
        upstreams.append(upstream)
    route = (HOST, "/reads/", "idempotent", "old", 3000, 400)
    store.put("config", "main", make_configuration(5, [route], services))
    for number, zone in enumerate(ZONES):
        instances.append(
            Instance(
                folder,
                f"{network}.{10 + number}",
                f"front-{zone}-1",
                zone,
                ZONES,
                store.address,
            )
        )
    seeds = [instances[0].endpoint("control_plane")]
    for instance in instances:
        await instance.start(seeds)
    for instance in instances:
        if not await instance.wait_ready():
            return 2
    record.write("ready")
    await asyncio.sleep(STABILITY_S + 1)
    clients, added, keys = Clients(record), Clients(record, "a"), random.Random(1)
    sends_added = False

    async def traffic():
        while True:
            for instance in instances:
                key = keys.randrange(40)
                clients.send(instance, "GET", "/reads/1", HOST, 3000, key)
                if sends_added:
                    added.send(instance, "GET", "/reads/1", NEW_HOST, 3000, key)
            await asyncio.sleep(0.1)

    load = asyncio.ensure_future(traffic())
    await asyncio.sleep(2)
    # A new time-out, so the pending watch is answered and the next one begins.
    shorter = (HOST, "/reads/", "idempotent", "old", 2900, 400)
    store.put("config", "main", make_configuration(7, [shorter], services))
    await asyncio.sleep(2)
    watches = [
        channel
        for channel in store.channels
        if channel.target.startswith("/objects/config?watch=")
    ]
    record.write("watches", count=len(watches))
    # Only the seed watches the store; the other machine follows it.
    if len(watches) != 1:
        return 2
    if trouble:
        watches[0].is_silent = True
        record.write("channel_goes_silent", target=watches[0].target)
    await asyncio.sleep(STABILITY_S + 1)
    moved = (HOST, "/reads/", "idempotent", "new", 2900, 400)
    new_route = (NEW_HOST, "/reads/", "idempotent", "new", 2900, 400)
    confirmed_s = store.put(
        "config", "main", make_configuration(9, [moved, new_route], services)
    )
    await asyncio.sleep(APPLY_S)
    sends_added = True
    await asyncio.sleep(OBSERVED_S - APPLY_S)
    load.cancel()
    await clients.wait()
    await added.wait()
    service_of = {
        attempt: upstream.service
        for upstream in upstreams
        for _, attempt in upstream.runs
    }
    stale = [
        attempt
        for attempt, result in clients.results.items()
        if result[0] > confirmed_s + APPLY_S and service_of.get(attempt) == "old"
    ]
    unknown = [a for a, result in added.results.items() if result[2] == 404]
    served = sum(1 for result in clients.results.values() if result[2] == 200)
    last_s = max((clients.results[a][0] for a in stale), default=confirmed_s)
    record.write(
        "result",
        run_by_old_service=len(stale),
        last_sent_s=round(last_s - confirmed_s, 2),
        refused_with_404=len(unknown),
        served=served,
    )
    print(
        f"sent later than {APPLY_S} s after the confirmation: {len(stale)} run by the"
        f" old service, the last sent {last_s - confirmed_s:.1f} s after it;"
        f" {len(unknown)} of {len(added.results)} on the new route got 404;"
        f" served {served}"
    )
    if served < 100:
        return 2
    return 1 if stale or unknown else 0


run_case(case, os.path.dirname(os.path.abspath(__file__)))

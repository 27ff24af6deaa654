"""One open channel from a machine to the store goes silent; new ones work.

Two machines, six upstreams, 20 reads a second. The store's answer to the pending watch
of `servers` of the first machine, which is a seed, is never sent, and nothing else on
that channel. From 4 s later on, when the machines have been in touch again for a
second, an upstream reports `draining`. The store confirms it while it is stable, and
requests must not reach that upstream later than drain_period_ms after that.
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
    now_s,
    run_case,
    make_configuration,
)

HOST = "reads.example"
ZONES = {"split-a": "jadran", "rijeka-b": "jadran"}
DRAIN_S = BOUNDS["drain_period_ms"] / 1000
STABILITY_S = BOUNDS["stability_window_ms"] / 1000
# How long the draining upstream goes on serving ("at times many seconds").
SERVES_ON_S = 9.0


async def case(record, folder, network, instances, trouble):
    store = Store(record)
    await store.start(f"{network}.1")
    upstreams = [
        Upstream(record, store, f"i-{number:04x}", "reads", list(ZONES)[number % 2])
        for number in range(6)
    ]
    for number, upstream in enumerate(upstreams):
        await upstream.start(f"{network}.{100 + number}")
        upstream.register()
    store.put(
        "config",
        "main",
        make_configuration(
            5, [(HOST, "/reads/", "idempotent", "reads", 3000, 400)], ["reads"]
        ),
    )
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
    clients, keys = Clients(record), random.Random(1)

    async def traffic():
        while True:
            for instance in instances:
                clients.send(
                    instance, "GET", "/reads/1", HOST, 3000, keys.randrange(40)
                )
            await asyncio.sleep(0.1)

    load = asyncio.ensure_future(traffic())
    await asyncio.sleep(2)
    # An upstream joins, so the pending watch is answered and the next one begins.
    joined = Upstream(record, store, "i-0100", "reads", "split-a")
    await joined.start(f"{network}.120")
    joined.register()
    await asyncio.sleep(2)
    watches = [
        channel
        for channel in store.channels
        if channel.target.startswith("/objects/servers?watch=")
    ]
    record.write("watches", count=len(watches))
    # Only the seed watches the store; the other machine follows it.
    if len(watches) != 1:
        return 2
    if trouble:
        watches[0].is_silent = True
        record.write("channel_goes_silent", target=watches[0].target)
    await asyncio.sleep(STABILITY_S + 1)
    leaving = upstreams[0]
    confirmed_s = leaving.report_draining()
    await asyncio.sleep(SERVES_ON_S)
    late = [run for run in leaving.runs if run[0] > confirmed_s + DRAIN_S]
    leaving.exit()
    await asyncio.sleep(2)
    load.cancel()
    await clients.wait()
    answers = list(clients.results.values())
    statuses = {
        status: sum(1 for answer in answers if answer[2] == status)
        for status in {a[2] for a in answers}
    }
    last_s = max((run[0] for run in leaving.runs), default=0.0) - confirmed_s
    record.write(
        "result", late=len(late), last_arrival_s=round(last_s, 2), statuses=statuses
    )
    print(
        f"requests at the draining upstream later than {DRAIN_S} s: {len(late)}; the last {last_s:.1f} s after the confirmation; answers {statuses}"
    )
    if statuses.get(200, 0) < 100:
        return 2
    return 1 if late else 0


run_case(case, os.path.dirname(os.path.abspath(__file__)))

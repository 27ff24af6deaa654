"""The store comes back from an older copy, and a change gets a revision that was used.

Two machines run here, one of them the relay. Two configs are written and applied. Then
the store is away for a second and comes back from a copy of before. The operator, who
wants to move the route to another service, could not write meanwhile. Once the store is
back, it writes its last config again and then the new one. Both machines must follow.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))
import harness  # noqa: E402

OLD, NEW = "motritelj", "ljetopis"
AWAY_S = 1.0
APPLY_S = 2.5
# Later than stability_window_ms after the store's return, machines are in touch.
STABLE_S = 3.0
OBSERVE_S = 30.0


def make_config(version, service):
    routes = [
        harness.route("r-1", "/status/", "idempotent", service, 2000 + version, 400)
    ]
    return harness.config(version, routes, [OLD, NEW])


async def case(record, folder, has_trouble, to_stop):
    store = harness.Store()
    await store.start()
    upstreams = []
    for number, service in enumerate((OLD, OLD, NEW, NEW)):
        upstream = harness.Upstream(record, f"i-{number}", service, "split-a", 4, 12)
        await upstream.start()
        store.put("servers", upstream.name, upstream.entry())
        upstreams.append(upstream)
    store.put("config", "main", make_config(1, OLD))
    instances = [harness.Instance(n, "split-a", store, folder) for n in (1, 2)]
    to_stop.extend(instances)
    for each in instances:
        each.write_settings([f"{instances[0].host}:{instances[0].control}"])
        await each.start()
    for each in instances:
        await each.wait_ready()
    await asyncio.sleep(1.0)

    async def send(request_id, instance):
        """Return the service that ran a request, or the status of its answer."""
        answer = await harness.ask(
            instance.host,
            instance.front,
            "GET",
            "/status/1",
            harness.request_headers(request_id, 3000),
            4.0,
        )
        for upstream in upstreams:
            if any(found == request_id for _, found in upstream.runs):
                return upstream.service
        return "no answer" if answer is None else str(answer.status)

    copied = store.copy()
    record.write(f"the store is copied at revision {store.revision}")
    for version in (2, 3):
        store.put("config", "main", make_config(version, OLD))
        record.write(f"config {version} is written at revision {store.revision}")
        await asyncio.sleep(1.0)
    await asyncio.sleep(APPLY_S)
    if has_trouble:
        store.go_away()
        record.write("the store goes away")
        await asyncio.sleep(AWAY_S)
        store.come_back(copied)
        record.write(f"the store is back from the copy, revision {store.revision}")
    back_s = record.now_s()
    store.put("config", "main", make_config(3, OLD))
    record.write(f"config 3 is written again, revision {store.revision}")
    store.put("config", "main", make_config(4, NEW))
    confirmed_s = record.now_s()
    record.write(f"config 4 moves the route, revision {store.revision}")
    await asyncio.sleep(max(APPLY_S, STABLE_S) + 0.2)
    stale, number = [], 0
    while record.now_s() < back_s + OBSERVE_S:
        for each in instances:
            number += 1
            after_s = record.now_s() - confirmed_s
            service = await send(f"after-{number:03d}", each)
            record.write(f"{each.name}: after-{number:03d} is run by {service}")
            if service != NEW:
                stale.append(round(after_s, 1))
        await asyncio.sleep(0.5)
    record.write(f"{len(stale)} of {number} requests are handled by the old config")
    if stale:
        record.write(
            f"the first one was sent {stale[0]} s after the confirmation, the last one "
            f"{stale[-1]} s after it"
        )
    return not stale


harness.run_case(case, FOLDER)

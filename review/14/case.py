"""The store comes back from an older copy, and the operator changes a config after it.

Two machines run here, one of them the relay. Configs come in quick succession, and all
are applied. Then the store is away for a second and comes back from a copy of before.
The operator and the upstreams write again what they had written. Well after that the
operator moves the route to another service. Both machines must follow.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))
import harness  # noqa: E402

OLD, NEW = "motritelj", "ljetopis"
STORM_COUNT, STORM_GAP_S = 12, 0.33
AWAY_S = 1.0
# More than stability_window_ms, after which machines are in touch again.
CALM_S = 4.0
APPLY_S = 2.5
# How long requests are sent after the bound, in seconds.
OBSERVE_S = 8.0


def make_config(version, service, timeout_ms=2000):
    routes = [harness.route("r-1", "/status/", "idempotent", service, timeout_ms, 400)]
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

    copied, version = store.copy(), 1
    record.write(f"the store is copied at revision {store.revision}")
    for _ in range(STORM_COUNT):
        version += 1
        store.put("config", "main", make_config(version, OLD, 2000 + version))
        await asyncio.sleep(STORM_GAP_S)
    record.write(f"config {version} is written at revision {store.revision}")
    await asyncio.sleep(APPLY_S)
    for each in instances:
        record.write(f"{each.name}: {await send(f'before-{each.name}', each)}")
    if has_trouble:
        store.go_away()
        record.write("the store goes away")
        await asyncio.sleep(AWAY_S)
        store.come_back(copied)
        record.write(f"the store is back from the copy, revision {store.revision}")
    store.put("config", "main", make_config(version, OLD, 2000 + version))
    for upstream in upstreams:
        store.put("servers", upstream.name, upstream.entry())
    record.write(f"all is written again, revision {store.revision}")
    await asyncio.sleep(CALM_S)
    version += 1
    store.put("config", "main", make_config(version, NEW))
    confirmed_s = record.now_s()
    record.write(f"config {version} moves the route, revision {store.revision}")
    await asyncio.sleep(APPLY_S + 0.1)
    stale, number = [], 0
    while record.now_s() < confirmed_s + APPLY_S + OBSERVE_S:
        for each in instances:
            number += 1
            after_s = record.now_s() - confirmed_s
            service = await send(f"after-{number:03d}", each)
            record.write(f"{each.name}: after-{number:03d} is run by {service}")
            if service != NEW:
                stale.append((each.name, round(after_s, 1)))
        await asyncio.sleep(0.5)
    record.write(f"{len(stale)} of {number} requests are handled by the old config")
    if stale:
        record.write(f"the last one was sent {stale[-1][1]} s after the confirmation")
    return not stale


harness.run_case(case, FOLDER)

"""A planned stop of a machine while it holds a request that an upstream refused.

One machine of a larger deployment runs here, and a service of two upstreams, which
the other machines' requests fill; the upstreams play these. The machine gets SIGTERM.
Then a client's retry reaches it. The first upstream refuses the retry as not run,
because it is full, and the machine knows that the other one is full too.
"""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))
import harness  # noqa: E402

# As of the service volunteer-desk and its briefing packs in
# demands/mwangaza-rosters-grown.toml. Three of 100 runs last seven times as long.
SERVICE, SLOTS, QUEUE = "volunteer-desk", 9, 27
DEADLINE_S, TARGET_MS, WORK_S = 10.59, 1324, 1.2
LONG_WORK_S = 7 * WORK_S
KEY_COUNT = 16


async def case(record, folder, has_trouble, to_stop):
    store = harness.Store()
    await store.start()
    work_s = {}
    upstreams = []
    for number in (1, 2):
        upstream = harness.Upstream(
            record, f"i-{number}", SERVICE, "split-a", SLOTS, QUEUE
        )
        upstream.work_s = lambda request: work_s.get(
            request.get("X-Tanagercourse-Attempt-Id"), 0.3
        )
        await upstream.start()
        store.put("servers", upstream.name, upstream.entry())
        upstreams.append(upstream)
    routes = [harness.route("r-1", "/pack/", "download", SERVICE, 10592, TARGET_MS)]
    store.put("config", "main", harness.config(7, routes, [SERVICE]))
    instance = harness.Instance(1, "split-a", store, folder)
    to_stop.append(instance)
    instance.write_settings([f"{instance.host}:{instance.control}"])
    await instance.start()
    await instance.wait_ready()
    outcomes, ended_s = {}, {}

    async def send(request_id, key, deadline_s=DEADLINE_S):
        record.write(f"client sends {request_id}, time limit {deadline_s} s")
        try:
            answer = await harness.ask(
                instance.host,
                instance.front,
                "GET",
                f"/pack/{key}",
                harness.request_headers(request_id, deadline_s * 1000, key),
                deadline_s,
            )
            outcome = "closed" if answer is None else str(answer.status)
        except asyncio.TimeoutError:
            outcome = "timeout"
        except (OSError, asyncio.IncompleteReadError):
            outcome = "closed"
        outcomes[request_id], ended_s[request_id] = outcome, record.now_s()
        record.write(f"client has {outcome} for {request_id}")

    # Which upstream each object's requests go to.
    for key in range(KEY_COUNT):
        await send(f"warm-{key}", key)
    first, second = upstreams
    ran_at_first = {request_id for _, request_id in first.runs}
    keys_of_first = [k for k in range(KEY_COUNT) if f"warm-{k}" in ran_at_first]
    keys_of_second = [k for k in range(KEY_COUNT) if k not in keys_of_first]
    if not keys_of_first or not keys_of_second:
        raise harness.CouldNotRunError("all objects have the same upstream")

    stopped_s = record.now_s()
    if has_trouble:
        record.write("SIGTERM")
        instance.signal(signal.SIGTERM)
    await asyncio.sleep(0.8)
    # Requests with a long run, as some are; they are at work until the end.
    clients = []
    for number in range(6):
        work_s[f"long-{number}"] = LONG_WORK_S
        key = keys_of_second[number % len(keys_of_second)]
        clients.append(asyncio.create_task(send(f"long-{number}", key)))
        await asyncio.sleep(0.05)
    work_s["usual"] = WORK_S
    clients.append(asyncio.create_task(send("usual", keys_of_second[0])))
    await asyncio.sleep(0.5)
    for upstream in upstreams:
        upstream.fill(WORK_S)
    record.write("other machines' requests fill both upstreams")
    while outcomes.get("usual") is None:
        await asyncio.sleep(0.01)
    # Its client was refused elsewhere and comes back after Retry-After.
    clients.append(
        asyncio.create_task(send("retry", keys_of_first[0], DEADLINE_S - 0.9))
    )
    await asyncio.wait(clients, timeout=DEADLINE_S + 2)
    refusals = [i for u in upstreams for _, i in u.refused if i == "retry"]
    arrivals = [i for u in upstreams for _, i in u.arrivals if i == "retry"]
    after_s = ended_s["retry"] - stopped_s
    record.write(
        f"retry: {len(arrivals)} arrival(s), {len(refusals)} refused as not run, "
        f"{outcomes['retry']} {after_s:.2f} s after SIGTERM (or its time)"
    )
    if not refusals:
        raise harness.CouldNotRunError("no upstream refused the retry")
    is_at_upstream = len(refusals) < len(arrivals)
    return outcomes["retry"] != "closed" or is_at_upstream


harness.run_case(case, FOLDER)

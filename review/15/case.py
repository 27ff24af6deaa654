"""A planned stop of a machine while a finished answer waits behind a running request.

A client sends two idempotent requests on one channel without waiting. The first one
runs long, the second one is answered by its upstream soon. The machine gets SIGTERM in
between. The second request has its answer within the grace period, so it must not be
lost when the process ends.
"""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))
import harness  # noqa: E402

# As of the service shifts and its roster reads in demands/mwangaza-rosters-grown.toml.
# Three of 100 runs last seven times as long.
SERVICE, SLOTS, QUEUE = "shifts", 9, 27
DEADLINE_S, TARGET_MS, WORK_S = 8.8, 1320, 1.5
LONG_WORK_S = 7 * WORK_S
KEY_COUNT = 16


async def case(record, folder, has_trouble, to_stop):
    store = harness.Store()
    await store.start()
    work_s = {"first": LONG_WORK_S, "second": WORK_S}
    upstreams = []
    for number in (1, 2):
        upstream = harness.Upstream(
            record, f"i-{number}", SERVICE, "split-a", SLOTS, QUEUE
        )
        upstream.work_s = lambda request: work_s.get(
            request.get("X-Tanagercourse-Attempt-Id"), 0.1
        )
        await upstream.start()
        store.put("servers", upstream.name, upstream.entry())
        upstreams.append(upstream)
    routes = [
        harness.route("r-1", "/roster/", "idempotent", SERVICE, 8800, TARGET_MS, 2)
    ]
    store.put("config", "main", harness.config(7, routes, [SERVICE]))
    instance = harness.Instance(1, "split-a", store, folder)
    to_stop.append(instance)
    instance.write_settings([f"{instance.host}:{instance.control}"])
    await instance.start()
    await instance.wait_ready()

    reader, writer = await asyncio.open_connection(instance.host, instance.front)
    sent_s = record.now_s()
    for request_id in ("first", "second"):
        headers = harness.request_headers(request_id, DEADLINE_S * 1000)
        writer.write(harness.encode(f"GET /roster/{request_id} HTTP/1.1", headers))
    record.write("client sends first and second on one channel")
    await asyncio.sleep(0.3)
    stopped_s = record.now_s()
    if has_trouble:
        record.write("SIGTERM")
        instance.signal(signal.SIGTERM)
    answers = []
    try:
        while len(answers) < 2:
            left_s = sent_s + DEADLINE_S + 0.5 - record.now_s()
            answer = await asyncio.wait_for(harness.read_message(reader), left_s)
            if answer is None:
                break
            answers.append(answer)
            of = answer.get("X-Tanagercourse-Attempt-Id") or "the next request"
            record.write(f"client has {answer.status} for {of}")
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        record.write(f"client's channel: {error!r}")
    ended_s = record.now_s()
    writer.close()
    answered_s = [u.answered["second"] for u in upstreams if "second" in u.answered]
    if not answered_s:
        raise harness.CouldNotRunError("no upstream answered the second request")
    after_s = answered_s[0] - record.started_s - stopped_s
    record.write(
        f"second: answered by its upstream {after_s:.2f} s after SIGTERM (or its time)"
    )
    record.write(
        f"the client has {len(answers)} answer(s), its channel ended "
        f"{ended_s - stopped_s:.2f} s after SIGTERM and {ended_s - sent_s:.2f} s after "
        f"the requests, whose time limit is {DEADLINE_S} s"
    )
    return len(answers) == 2


harness.run_case(case, FOLDER)

"""Planned stops and sudden deaths of an entry instance, as a process of its own."""

import anyio
import httpx
import pytest
from returns.result import Failure, Result

from tanagercourse.client.call import Call, CallProblem, CallResponse
from tanagercourse.client.caller import Caller
from tanagercourse.core.ids import ServiceId
from tanagercourse.core.states import Idempotency
from tanagercourse.testing.platform import FakePlatform
from tanagercourse.testing.processes import EntryProcess, start_entry, wait_until_ready
from tanagercourse.testing.upstream import FakeUpstream, UpstreamFault

pytestmark = pytest.mark.anyio

# Far under the default of --stop-timeout-s: an exit in time did not wait for that.
EXIT_WITHIN_S = 10.0
SLOW_S = 0.5

Outcome = Result[CallResponse, CallProblem]


async def exit_code(entry: EntryProcess) -> int:
    return await anyio.to_thread.run_sync(entry.process.wait, EXIT_WITHIN_S)


async def wait_until_offered(
    http: httpx.AsyncClient, entry: EntryProcess, count: int
) -> None:
    with anyio.fail_after(EXIT_WITHIN_S):
        offered = 0
        while offered < count:
            found = await http.get(entry.url + "/v1/lookup", params={"client": "::1"})
            offered = len(found.json()["instances"])


async def wait_until_in_service(upstreams: tuple[FakeUpstream, ...]) -> None:
    with anyio.fail_after(EXIT_WITHIN_S):
        while not any(stand_in.in_service for stand_in in upstreams):
            await anyio.sleep(0.005)


def slow_down(upstreams: tuple[FakeUpstream, ...], service_time_s: float) -> None:
    for stand_in in upstreams:
        stand_in.service_time_s = service_time_s


async def test_request_in_hand_is_answered_whole_before_the_exit(
    caller: Caller,
    entry: EntryProcess,
    http: httpx.AsyncClient,
    upstreams: tuple[FakeUpstream, ...],
) -> None:
    slow_down(upstreams, SLOW_S)
    outcomes: list[Outcome] = []

    async def call() -> None:
        notice = Call(ServiceId("prijavnica"), "/notice", "POST", b"spill")
        outcomes.append(await caller.call(notice))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(call)
        await wait_until_in_service(upstreams)
        entry.stop()
        ready = await http.get(entry.url + "/readyz")
        while ready.status_code == httpx.codes.OK:
            ready = await http.get(entry.url + "/readyz")
        found = await http.get(entry.url + "/v1/lookup", params={"client": "::1"})
    assert ready.status_code == httpx.codes.SERVICE_UNAVAILABLE
    assert found.json()["instances"] == []
    assert outcomes[0].unwrap().body == b"/noticespill"
    assert await exit_code(entry) == 0


async def test_open_connection_is_answered_and_closed_while_leaving(
    caller: Caller, entry: EntryProcess, http: httpx.AsyncClient
) -> None:
    url = entry.url + "/v1/services/motritelj/status"
    kept_open = await http.get(url)
    entry.stop()
    answered = await http.get(url)
    while "connection" not in answered.headers:
        answered = await http.get(url)
    assert "connection" not in kept_open.headers
    assert answered.status_code == httpx.codes.OK
    assert answered.headers["connection"] == "close"
    assert await exit_code(entry) == 0


async def test_stop_never_outlasts_its_set_time(
    platform: FakePlatform,
    platform_url: str,
    upstreams: tuple[FakeUpstream, ...],
    http: httpx.AsyncClient,
) -> None:
    for stand_in in upstreams:
        stand_in.fault = UpstreamFault.SILENT
    with start_entry(
        "entry-1", "split-a", platform_url, "--stop-timeout-s", "0.5"
    ) as entry:
        while (await http.get(entry.url + "/readyz")).status_code != httpx.codes.OK:
            await anyio.sleep(0.02)
        url = entry.url + "/v1/services/prijavnica/notice"
        refused: list[httpx.Response] = []

        async def call() -> None:
            headers = {"x-request-deadline-ms": "60000"}
            refused.append(await http.post(url, headers=headers, timeout=EXIT_WITHIN_S))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call)
            await wait_until_in_service(upstreams)
            entry.stop()
            assert await exit_code(entry) == 0
    assert refused[0].status_code == httpx.codes.SERVICE_UNAVAILABLE
    assert refused[0].headers["x-refusal-reason"] == "leaving"
    assert refused[0].headers["x-execution"] == "may_have_run"


@pytest.mark.parametrize("kill", [EntryProcess.stop, EntryProcess.kill])
async def test_callers_move_on_when_an_instance_goes_under_load(
    caller: Caller,
    entry: EntryProcess,
    second_entry: EntryProcess,
    http: httpx.AsyncClient,
    upstreams: tuple[FakeUpstream, ...],
    kill: object,
) -> None:
    await wait_until_ready(http, second_entry)
    await wait_until_offered(http, entry, 2)
    outcomes: list[tuple[Call, Outcome]] = []

    async def keep_calling(service: str, idempotency: Idempotency) -> None:
        for number in range(40):
            call = Call(
                ServiceId(service), f"/{number}", "POST", idempotency=idempotency
            )
            outcomes.append((call, await caller.call(call)))
            await anyio.sleep(0.01)

    async with anyio.create_task_group() as tasks:
        for _ in range(4):
            tasks.start_soon(keep_calling, "motritelj", Idempotency.IDEMPOTENT)
            tasks.start_soon(keep_calling, "prijavnica", Idempotency.NON_IDEMPOTENT)
        await anyio.sleep(0.2)
        if kill is EntryProcess.kill:
            entry.kill()
        else:
            entry.stop()

    failed = [call for call, outcome in outcomes if isinstance(outcome, Failure)]
    notices = [stand_in for stand_in in upstreams if "prijavnica" in stand_in.id]
    runs = [count for stand_in in notices for count in stand_in.runs.values()]
    assert max(runs) == 1
    assert not [call for call in failed if call.idempotency is Idempotency.IDEMPOTENT]
    if kill is EntryProcess.stop:
        assert not failed
    last = Call(ServiceId("prijavnica"), "/after", "POST")
    assert not isinstance(await caller.call(last), Failure)

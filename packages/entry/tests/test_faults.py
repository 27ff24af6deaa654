"""Broken connections to upstreams: what callers see, and how often a request ran."""

from collections import Counter
from collections.abc import AsyncIterator, Callable

import anyio
import httpx
import pytest

from tanagercourse.core.states import Idempotency
from tanagercourse.testing.faulty_upstream import ConnectionFault, FaultyUpstream
from tanagercourse.testing.loopback import serve_on_loopback
from tanagercourse.testing.upstream import FakeUpstream, upstream_application

pytestmark = pytest.mark.anyio

DEADLINE = {"x-request-deadline-ms": "800"}
LOST = "upstream_lost"
TRUNCATED = "answer_truncated"
DEADLINE_PASSED = "deadline"

# Each fault with the refusal that a request which must not be repeated ends in.
REFUSALS = {
    ConnectionFault.CLOSED_UNREAD: LOST,
    ConnectionFault.CLOSED_AFTER_RUN: LOST,
    ConnectionFault.CLOSED_IN_HEAD: LOST,
    ConnectionFault.TRUNCATED_CONTENT_LENGTH: TRUNCATED,
    ConnectionFault.TRUNCATED_CHUNKED: TRUNCATED,
    ConnectionFault.UNDELIMITED: TRUNCATED,
    ConnectionFault.SILENT: DEADLINE_PASSED,
}


@pytest.mark.parametrize("fault", REFUSALS, ids=lambda fault: fault.value)
async def test_order_is_sent_once_and_said_to_may_have_run(
    http: httpx.AsyncClient,
    entry_url: str,
    broken: FaultyUpstream,
    fault: ConnectionFault,
) -> None:
    broken.fault = fault
    refused = await http.post(entry_url + "/v1/services/orders/", headers=DEADLINE)
    assert refused.is_error
    assert refused.headers["x-refusal-reason"] == REFUSALS[fault]
    assert refused.headers["x-execution"] == "may_have_run"
    assert broken.connections == 1
    assert broken.runs.total() <= 1


@pytest.mark.parametrize("fault", REFUSALS, ids=lambda fault: fault.value)
async def test_read_is_tried_again_but_never_answered_in_part(
    http: httpx.AsyncClient,
    entry_url: str,
    broken: FaultyUpstream,
    fault: ConnectionFault,
) -> None:
    broken.fault = fault
    refused = await http.get(entry_url + "/v1/services/reads/", headers=DEADLINE)
    assert refused.is_error
    assert refused.headers["x-execution"] == "may_have_run"
    assert broken.connections > 1


@pytest.mark.parametrize("service", ["orders", "reads"])
async def test_long_answer_that_breaks_off_breaks_the_callers_connection(
    http: httpx.AsyncClient, entry_url: str, broken: FaultyUpstream, service: str
) -> None:
    broken.fault = ConnectionFault.TRUNCATED_LONG_BODY
    with pytest.raises(httpx.RemoteProtocolError):
        await http.get(f"{entry_url}/v1/services/{service}/", headers=DEADLINE)
    assert broken.runs.total() == 1


async def test_silent_connection_is_replaced_for_reads(
    http: httpx.AsyncClient, entry_url: str, broken: FaultyUpstream
) -> None:
    broken.fault = ConnectionFault.SILENT_WHEN_REUSED
    url = entry_url + "/v1/services/reads/"
    for _ in range(4):
        answered = await http.get(url, headers=DEADLINE)
        assert answered.status_code == httpx.codes.OK
        assert answered.content == b"whole"


async def test_orders_never_meet_a_connection_that_went_silent(
    http: httpx.AsyncClient, entry_url: str, broken: FaultyUpstream
) -> None:
    broken.fault = ConnectionFault.SILENT_WHEN_REUSED
    url = entry_url + "/v1/services/orders/"
    for _ in range(4):
        answered = await http.post(url, headers=DEADLINE)
        assert answered.content == b"whole"
    assert broken.connections == broken.runs.total() == 4


@pytest.fixture
async def two_upstreams(
    put_in_force: Callable[..., None],
) -> AsyncIterator[tuple[FakeUpstream, FakeUpstream]]:
    """Run two upstreams of "orders" that serve one request each, not four."""
    one, other = (FakeUpstream(f"orders-{n}", 1, 0.02) for n in range(2))
    async with (
        serve_on_loopback(upstream_application(one)) as one_url,
        serve_on_loopback(upstream_application(other)) as other_url,
    ):
        ports = (httpx.URL(one_url).port or 0, httpx.URL(other_url).port or 0)
        put_in_force("orders", Idempotency.NON_IDEMPOTENT, *ports)
        yield one, other


async def test_orders_that_were_shed_run_once_somewhere_else_or_later(
    http: httpx.AsyncClient,
    entry_url: str,
    two_upstreams: tuple[FakeUpstream, FakeUpstream],
) -> None:
    answers: list[httpx.Response] = []

    async def order(number: int) -> None:
        url = f"{entry_url}/v1/services/orders/{number}"
        headers = {"idempotency-key": str(number), "x-request-deadline-ms": "5000"}
        answers.append(await http.post(url, headers=headers))

    async with anyio.create_task_group() as tasks:
        for number in range(8):
            tasks.start_soon(order, number)
    runs = sum((each.runs_by_key for each in two_upstreams), Counter())
    assert sum(each.sheds for each in two_upstreams) > 0
    assert {answer.status_code for answer in answers} == {httpx.codes.OK}
    assert runs == {str(number): 1 for number in range(8)}


async def test_cold_upstream_delays_but_neither_doubles_nor_loses_orders(
    http: httpx.AsyncClient,
    entry_url: str,
    two_upstreams: tuple[FakeUpstream, FakeUpstream],
) -> None:
    two_upstreams[0].service_time_s = 0.4
    headers = {"x-request-deadline-ms": "3000"}
    for _ in range(4):
        answered = await http.post(entry_url + "/v1/services/orders/", headers=headers)
        assert answered.status_code == httpx.codes.OK
    assert sum(each.runs.total() for each in two_upstreams) == 4


async def test_metrics_count_how_requests_ended(
    http: httpx.AsyncClient, entry_url: str, broken: FaultyUpstream
) -> None:
    await http.get(entry_url + "/v1/services/reads/", headers=DEADLINE)
    broken.fault = ConnectionFault.CLOSED_AFTER_RUN
    await http.post(entry_url + "/v1/services/orders/", headers=DEADLINE)
    counted = (await http.get(entry_url + "/metrics")).text
    prefix = "tanagercourse_requests_total{execution="
    ended = 'rank="next",service='
    assert f'{prefix}"ran",outcome="answered",{ended}"reads"}} 1.0' in counted
    assert f'{prefix}"may_have_run",outcome="{LOST}",{ended}"orders"}} 1.0' in counted
    assert 'tanagercourse_in_flight{service="orders"} 0.0' in counted


async def test_late_answer_never_reaches_the_next_caller(
    http: httpx.AsyncClient, entry_url: str, put_in_force: Callable[..., None]
) -> None:
    upstream = FakeUpstream("reads-0", slots=2, service_time_s=0.3)
    async with serve_on_loopback(upstream_application(upstream)) as url:
        put_in_force("reads", Idempotency.IDEMPOTENT, httpx.URL(url).port)
        reads = entry_url + "/v1/services/reads/"
        for number in range(3):
            late = await http.get(
                f"{reads}late-{number}", headers={"x-request-deadline-ms": "100"}
            )
            assert late.status_code == httpx.codes.GATEWAY_TIMEOUT
            did_reach = upstream.runs[late.headers["x-request-id"]] > 0
            assert (late.headers["x-execution"] == "may_have_run") == did_reach
            answered = await http.get(f"{reads}own-{number}")
            assert answered.text == f"/own-{number}"

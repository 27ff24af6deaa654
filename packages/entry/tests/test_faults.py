"""Tests of faulty connections to upstreams: callers' responses and number of runs."""

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

DEADLINE_HEADERS = {"x-request-deadline-ms": "800"}
UPSTREAM_LOST = "upstream_lost"
ANSWER_TRUNCATED = "answer_truncated"
ANSWER_MISMATCHED = "answer_mismatched"
DEADLINE_EXPIRED = "deadline"

# The refusal reason of a non-idempotent request for each fault.
REFUSAL_REASONS = {
    ConnectionFault.CLOSED_UNREAD: UPSTREAM_LOST,
    ConnectionFault.CLOSED_AFTER_RUN: UPSTREAM_LOST,
    ConnectionFault.CLOSED_IN_HEAD: UPSTREAM_LOST,
    ConnectionFault.TRUNCATED_CONTENT_LENGTH: ANSWER_TRUNCATED,
    ConnectionFault.TRUNCATED_CHUNKED: ANSWER_TRUNCATED,
    ConnectionFault.UNDELIMITED: ANSWER_TRUNCATED,
    ConnectionFault.SILENT: DEADLINE_EXPIRED,
    ConnectionFault.STATUS_ZERO: UPSTREAM_LOST,
    ConnectionFault.STATUS_TOO_HIGH: ANSWER_MISMATCHED,
    ConnectionFault.ENDLESS_HEAD: UPSTREAM_LOST,
    ConnectionFault.ENDLESS_INTERIM: DEADLINE_EXPIRED,
}


@pytest.mark.parametrize("fault", REFUSAL_REASONS, ids=lambda fault: fault.value)
async def test_order_is_sent_once_and_reported_as_may_have_run(
    http: httpx.AsyncClient,
    entry_url: str,
    faulty_upstream: FaultyUpstream,
    fault: ConnectionFault,
) -> None:
    faulty_upstream.fault = fault
    response = await http.post(
        entry_url + "/v1/services/orders/", headers=DEADLINE_HEADERS
    )
    assert response.is_error
    assert response.headers["x-refusal-reason"] == REFUSAL_REASONS[fault]
    assert response.headers["x-execution"] == "may_have_run"
    assert faulty_upstream.connections == 1
    assert faulty_upstream.runs.total() <= 1


@pytest.mark.parametrize("fault", REFUSAL_REASONS, ids=lambda fault: fault.value)
async def test_read_is_retried_but_never_answered_partially(
    http: httpx.AsyncClient,
    entry_url: str,
    faulty_upstream: FaultyUpstream,
    fault: ConnectionFault,
) -> None:
    faulty_upstream.fault = fault
    response = await http.get(
        entry_url + "/v1/services/reads/", headers=DEADLINE_HEADERS
    )
    assert response.is_error
    assert response.headers["x-execution"] == "may_have_run"
    assert faulty_upstream.connections > 1


@pytest.mark.parametrize("service", ["orders", "reads"])
async def test_truncated_long_response_closes_the_callers_connection(
    http: httpx.AsyncClient,
    entry_url: str,
    faulty_upstream: FaultyUpstream,
    service: str,
) -> None:
    faulty_upstream.fault = ConnectionFault.TRUNCATED_LONG_BODY
    with pytest.raises(httpx.RemoteProtocolError):
        await http.get(f"{entry_url}/v1/services/{service}/", headers=DEADLINE_HEADERS)
    assert faulty_upstream.runs.total() == 1


async def test_silent_connection_is_replaced_for_reads(
    http: httpx.AsyncClient, entry_url: str, faulty_upstream: FaultyUpstream
) -> None:
    faulty_upstream.fault = ConnectionFault.SILENT_WHEN_REUSED
    url = entry_url + "/v1/services/reads/"
    for _ in range(4):
        response = await http.get(url, headers=DEADLINE_HEADERS)
        assert response.status_code == httpx.codes.OK
        assert response.content == b"whole"


async def test_orders_are_never_sent_on_a_reused_connection(
    http: httpx.AsyncClient, entry_url: str, faulty_upstream: FaultyUpstream
) -> None:
    faulty_upstream.fault = ConnectionFault.SILENT_WHEN_REUSED
    url = entry_url + "/v1/services/orders/"
    for _ in range(4):
        response = await http.post(url, headers=DEADLINE_HEADERS)
        assert response.content == b"whole"
    assert faulty_upstream.connections == faulty_upstream.runs.total() == 4


@pytest.fixture
async def two_upstreams(
    apply_service: Callable[..., None],
) -> AsyncIterator[tuple[FakeUpstream, FakeUpstream]]:
    """Run two upstreams of "orders" with one slot each, while the settings state 4."""
    first, second = (FakeUpstream(f"orders-{number}", 1, 0.02) for number in range(2))
    async with (
        serve_on_loopback(upstream_application(first)) as first_url,
        serve_on_loopback(upstream_application(second)) as second_url,
    ):
        ports = (httpx.URL(first_url).port or 0, httpx.URL(second_url).port or 0)
        apply_service("orders", Idempotency.NON_IDEMPOTENT, *ports)
        yield first, second


async def test_shed_orders_run_once_on_another_upstream_or_later(
    http: httpx.AsyncClient,
    entry_url: str,
    two_upstreams: tuple[FakeUpstream, FakeUpstream],
) -> None:
    responses: list[httpx.Response] = []

    async def order(number: int) -> None:
        url = f"{entry_url}/v1/services/orders/{number}"
        headers = {"idempotency-key": str(number), "x-request-deadline-ms": "5000"}
        responses.append(await http.post(url, headers=headers))

    async with anyio.create_task_group() as tasks:
        for number in range(8):
            tasks.start_soon(order, number)
    runs = sum((upstream.runs_by_key for upstream in two_upstreams), Counter())
    assert sum(upstream.sheds for upstream in two_upstreams) > 0
    assert {response.status_code for response in responses} == {httpx.codes.OK}
    assert runs == {str(number): 1 for number in range(8)}


async def test_cold_upstream_delays_orders_without_duplicates_or_losses(
    http: httpx.AsyncClient,
    entry_url: str,
    two_upstreams: tuple[FakeUpstream, FakeUpstream],
) -> None:
    two_upstreams[0].service_time_s = 0.4
    headers = {"x-request-deadline-ms": "3000"}
    for _ in range(4):
        response = await http.post(entry_url + "/v1/services/orders/", headers=headers)
        assert response.status_code == httpx.codes.OK
    assert sum(upstream.runs.total() for upstream in two_upstreams) == 4


async def test_metrics_count_requests_by_outcome(
    http: httpx.AsyncClient, entry_url: str, faulty_upstream: FaultyUpstream
) -> None:
    await http.get(entry_url + "/v1/services/reads/", headers=DEADLINE_HEADERS)
    faulty_upstream.fault = ConnectionFault.CLOSED_AFTER_RUN
    await http.post(entry_url + "/v1/services/orders/", headers=DEADLINE_HEADERS)
    metrics = (await http.get(entry_url + "/metrics")).text
    prefix = "tanagercourse_requests_total{execution="
    labels = 'rank="next",service='
    assert f'{prefix}"ran",outcome="answered",{labels}"reads"}} 1.0' in metrics
    assert (
        f'{prefix}"may_have_run",outcome="{UPSTREAM_LOST}",{labels}"orders"}} 1.0'
        in metrics
    )
    assert 'tanagercourse_in_flight{service="orders"} 0.0' in metrics


async def test_late_response_never_reaches_the_next_caller(
    http: httpx.AsyncClient, entry_url: str, apply_service: Callable[..., None]
) -> None:
    upstream = FakeUpstream("reads-0", slots=2, service_time_s=0.3)
    async with serve_on_loopback(upstream_application(upstream)) as url:
        apply_service("reads", Idempotency.IDEMPOTENT, httpx.URL(url).port)
        reads_url = entry_url + "/v1/services/reads/"
        for number in range(3):
            late_response = await http.get(
                f"{reads_url}late-{number}", headers={"x-request-deadline-ms": "100"}
            )
            assert late_response.status_code == httpx.codes.GATEWAY_TIMEOUT
            did_run = upstream.runs[late_response.headers["x-request-id"]] > 0
            assert (late_response.headers["x-execution"] == "may_have_run") == did_run
            response = await http.get(f"{reads_url}own-{number}")
            assert response.text == f"/own-{number}"

"""Broken connections to upstreams: what callers see, and how often a request ran."""

import httpx
import pytest
from tanagercourse.testing.broken import BrokenUpstream, ConnectionFault

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
    ConnectionFault.CUT_DECLARED: TRUNCATED,
    ConnectionFault.CUT_CHUNKED: TRUNCATED,
    ConnectionFault.UNDELIMITED: TRUNCATED,
    ConnectionFault.SILENT: DEADLINE_PASSED,
}


@pytest.mark.parametrize("fault", REFUSALS, ids=lambda fault: fault.value)
async def test_order_is_sent_once_and_said_to_may_have_run(
    http: httpx.AsyncClient,
    entry_url: str,
    broken: BrokenUpstream,
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
    broken: BrokenUpstream,
    fault: ConnectionFault,
) -> None:
    broken.fault = fault
    refused = await http.get(entry_url + "/v1/services/reads/", headers=DEADLINE)
    assert refused.is_error
    assert refused.headers["x-execution"] == "may_have_run"
    assert broken.connections > 1


@pytest.mark.parametrize("service", ["orders", "reads"])
async def test_long_answer_that_breaks_off_breaks_the_callers_connection(
    http: httpx.AsyncClient, entry_url: str, broken: BrokenUpstream, service: str
) -> None:
    broken.fault = ConnectionFault.CUT_LONG
    with pytest.raises(httpx.RemoteProtocolError):
        await http.get(f"{entry_url}/v1/services/{service}/", headers=DEADLINE)
    assert broken.runs.total() == 1


async def test_silent_connection_is_replaced_for_reads(
    http: httpx.AsyncClient, entry_url: str, broken: BrokenUpstream
) -> None:
    broken.fault = ConnectionFault.SILENT_WHEN_REUSED
    url = entry_url + "/v1/services/reads/"
    for _ in range(4):
        answered = await http.get(url, headers=DEADLINE)
        assert answered.status_code == httpx.codes.OK
        assert answered.content == b"whole"


async def test_orders_never_meet_a_connection_that_went_silent(
    http: httpx.AsyncClient, entry_url: str, broken: BrokenUpstream
) -> None:
    broken.fault = ConnectionFault.SILENT_WHEN_REUSED
    url = entry_url + "/v1/services/orders/"
    for _ in range(4):
        answered = await http.post(url, headers=DEADLINE)
        assert answered.content == b"whole"
    assert broken.connections == broken.runs.total() == 4

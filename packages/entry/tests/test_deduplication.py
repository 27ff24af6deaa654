"""Tests that no duplicate runs, by ids and keys of running and finished requests."""

from itertools import count

import anyio
import httpx
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure

from tanagercourse.core.ids import IdempotencyKey, RequestId, ServiceId
from tanagercourse.core.problems import InvalidField, Refusal
from tanagercourse.core.states import Execution, Idempotency, Rank
from tanagercourse.core.work import Work
from tanagercourse.entry.deduplication import RequestDeduplicator, RequestProgress
from tanagercourse.testing.faulty_upstream import ConnectionFault, FaultyUpstream

ORDERS = "/v1/services/orders/"
KEY = {"idempotency-key": "order-1"}
NOT_RUN, MAY_HAVE_RUN, RAN = Execution


def order(request_id: str, key: str | None = "k") -> Work:
    return Work(
        RequestId(request_id),
        ServiceId("orders"),
        Rank.NEXT,
        Idempotency.NON_IDEMPOTENT,
        10.0,
        IdempotencyKey(key) if key else None,
    )


def run_request(
    deduplicator: RequestDeduplicator, work: Work, execution: Execution
) -> bool:
    """Run a request; return False if it was refused."""
    with deduplicator.tracking(work) as progress:
        if isinstance(progress, Failure):
            return False
        progress.unwrap().begin_attempt()
        progress.unwrap().end_attempt(execution)
    return True


@pytest.mark.parametrize(
    ("execution", "is_accepted"), [(NOT_RUN, True), (MAY_HAVE_RUN, False), (RAN, False)]
)
def test_key_is_accepted_again_only_if_its_request_did_not_run(
    execution: Execution, is_accepted: bool
) -> None:
    deduplicator = RequestDeduplicator(lambda: 0.0)
    assert run_request(deduplicator, order("1"), execution)
    assert run_request(deduplicator, order("2"), RAN) is is_accepted


def test_key_and_id_of_a_running_request_are_refused() -> None:
    deduplicator = RequestDeduplicator(lambda: 0.0)
    with deduplicator.tracking(order("1")):
        with deduplicator.tracking(order("2")) as same_key:
            refusal = same_key.failure()
            assert isinstance(refusal, Refusal)
            assert refusal.execution is MAY_HAVE_RUN
        with deduplicator.tracking(order("1", None)) as same_id:
            assert isinstance(same_id.failure(), InvalidField)


def test_keys_are_evicted_beyond_the_maximum_number_and_age() -> None:
    now_s = 0.0
    deduplicator = RequestDeduplicator(lambda: now_s, retention_s=10.0, max_retained=2)
    ids = (str(number) for number in count())
    for key in ("a", "b", "c"):
        assert run_request(deduplicator, order(next(ids), key), RAN)
    assert run_request(deduplicator, order(next(ids), "a"), RAN)
    assert not run_request(deduplicator, order(next(ids), "c"), RAN)
    now_s = 11.0
    assert run_request(deduplicator, order(next(ids), "c"), RAN)


@settings(derandomize=True, max_examples=50)
@given(st.lists(st.sampled_from(Execution), min_size=1, max_size=6))
def test_progress_keeps_the_most_certain_execution_of_all_attempts(
    attempts: list[Execution],
) -> None:
    certainty_order = [NOT_RUN, MAY_HAVE_RUN, RAN]
    progress = RequestProgress(order("1"))
    for execution in attempts:
        progress.begin_attempt()
        assert progress.execution is not NOT_RUN
        progress.end_attempt(execution)
    assert progress.execution is max(attempts, key=certainty_order.index)


@pytest.mark.anyio
async def test_order_with_the_key_of_a_running_order_is_refused(
    http: httpx.AsyncClient, entry_url: str, faulty_upstream: FaultyUpstream
) -> None:
    faulty_upstream.fault = ConnectionFault.SILENT
    url = entry_url + ORDERS
    headers = {**KEY, "x-request-deadline-ms": "600"}
    async with anyio.create_task_group() as tasks:

        async def post_first() -> None:
            await http.post(url, headers=headers)

        tasks.start_soon(post_first)
        while not faulty_upstream.runs:
            await anyio.sleep(0.005)
        response = await http.post(url, headers=KEY)
    assert response.status_code == httpx.codes.CONFLICT
    assert response.headers["x-execution"] == "may_have_run"
    assert faulty_upstream.runs.total() == 1


@pytest.mark.anyio
async def test_disconnected_caller_frees_its_slot_and_its_late_response_is_dropped(
    http: httpx.AsyncClient, entry_url: str, faulty_upstream: FaultyUpstream
) -> None:
    faulty_upstream.fault = ConnectionFault.SILENT
    with anyio.move_on_after(0.2):
        await http.get(entry_url + "/v1/services/reads/", timeout=60)
    faulty_upstream.fault = ConnectionFault.NONE
    response = await http.get(entry_url + "/v1/services/reads/")
    assert response.content == b"whole"

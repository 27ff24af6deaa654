"""No request runs twice by mistake: ids and keys in hand, and keys that ended."""

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
from tanagercourse.entry.deduplication import Progress, RequestsInHand
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


def run(held: RequestsInHand, work: Work, execution: Execution) -> bool:
    """Run a request to an end; False when it was refused."""
    with held.holding(work) as progress:
        if isinstance(progress, Failure):
            return False
        progress.unwrap().begin_attempt()
        progress.unwrap().end_attempt(execution)
    return True


@pytest.mark.parametrize(
    ("first", "again"), [(NOT_RUN, True), (MAY_HAVE_RUN, False), (RAN, False)]
)
def test_key_may_come_again_only_when_its_request_did_not_run(
    first: Execution, again: bool
) -> None:
    held = RequestsInHand(lambda: 0.0)
    assert run(held, order("1"), first)
    assert run(held, order("2"), RAN) is again


def test_key_and_id_in_hand_are_refused() -> None:
    held = RequestsInHand(lambda: 0.0)
    with held.holding(order("1")):
        with held.holding(order("2")) as same_key:
            refusal = same_key.failure()
            assert isinstance(refusal, Refusal)
            assert refusal.execution is MAY_HAVE_RUN
        with held.holding(order("1", None)) as same_id:
            assert isinstance(same_id.failure(), InvalidField)


def test_keys_are_forgotten_past_a_number_and_an_age() -> None:
    now_s = 0.0
    held = RequestsInHand(lambda: now_s, remember_s=10.0, max_remembered=2)
    ids = (str(number) for number in count())
    for key in ("a", "b", "c"):
        assert run(held, order(next(ids), key), RAN)
    assert run(held, order(next(ids), "a"), RAN)
    assert not run(held, order(next(ids), "c"), RAN)
    now_s = 11.0
    assert run(held, order(next(ids), "c"), RAN)


@settings(derandomize=True, max_examples=50)
@given(st.lists(st.sampled_from(Execution), min_size=1, max_size=6))
def test_what_is_known_of_a_run_never_shrinks(attempts: list[Execution]) -> None:
    order_of = [NOT_RUN, MAY_HAVE_RUN, RAN]
    progress = Progress(order("1"))
    for execution in attempts:
        progress.begin_attempt()
        assert progress.execution is not NOT_RUN
        progress.end_attempt(execution)
    assert progress.execution is max(attempts, key=order_of.index)


@pytest.mark.anyio
async def test_second_order_with_a_key_is_refused_while_the_first_runs(
    http: httpx.AsyncClient, entry_url: str, broken: FaultyUpstream
) -> None:
    broken.fault = ConnectionFault.SILENT
    url = entry_url + ORDERS
    headers = {**KEY, "x-request-deadline-ms": "600"}
    async with anyio.create_task_group() as tasks:

        async def post_first() -> None:
            await http.post(url, headers=headers)

        tasks.start_soon(post_first)
        while not broken.runs:
            await anyio.sleep(0.005)
        refused = await http.post(url, headers=KEY)
    assert refused.status_code == httpx.codes.CONFLICT
    assert refused.headers["x-execution"] == "may_have_run"
    assert broken.runs.total() == 1


@pytest.mark.anyio
async def test_caller_that_hangs_up_frees_the_slot_and_its_late_answer_goes_nowhere(
    http: httpx.AsyncClient, entry_url: str, broken: FaultyUpstream
) -> None:
    broken.fault = ConnectionFault.SILENT
    with anyio.move_on_after(0.2):
        await http.get(entry_url + "/v1/services/reads/", timeout=60)
    broken.fault = ConnectionFault.NONE
    ready = await http.get(entry_url + "/v1/services/reads/")
    assert ready.content == b"whole"

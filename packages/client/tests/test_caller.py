"""Tests of the client library against fake entry instances."""

from collections.abc import AsyncIterator
from random import Random

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Result

from tanagercourse.client.call import Call, CallProblem, CallResponse, NoInstance
from tanagercourse.client.caller import Caller, open_caller
from tanagercourse.client.failover import may_fail_over
from tanagercourse.core.ids import RequestId, ServiceId
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import Execution, Idempotency, RefusalReason
from tanagercourse.testing.instances import FakeInstance

Instances = tuple[FakeInstance, ...]

IDEMPOTENT_CALL = Call(ServiceId("motritelj"), "/")
NON_IDEMPOTENT_CALL = Call(
    ServiceId("prijavnica"), "/", "POST", idempotency=Idempotency.NON_IDEMPOTENT
)
NOT_RUN, MAY_HAVE_RUN = Execution.NOT_RUN, Execution.MAY_HAVE_RUN


@pytest.fixture
async def caller(instances: Instances) -> AsyncIterator[Caller]:
    async with open_caller([instances[0].url], "10.0.0.1", random=Random(1)) as caller:
        yield caller


def request_counts(instances: Instances) -> list[int]:
    return [instance.calls["request"] for instance in instances]


def refusal_of(outcome: Result[CallResponse, CallProblem]) -> Refusal:
    problem = outcome.failure()
    assert isinstance(problem, Refusal)
    return problem


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("call", "reason", "execution", "expected_counts"),
    [
        (NON_IDEMPOTENT_CALL, RefusalReason.LEAVING, NOT_RUN, [1, 1, 0]),
        (NON_IDEMPOTENT_CALL, RefusalReason.NO_UPSTREAM, NOT_RUN, [1, 1, 0]),
        (NON_IDEMPOTENT_CALL, RefusalReason.UPSTREAM_LOST, MAY_HAVE_RUN, [1, 0, 0]),
        (NON_IDEMPOTENT_CALL, RefusalReason.LEAVING, MAY_HAVE_RUN, [1, 0, 0]),
        (IDEMPOTENT_CALL, RefusalReason.UPSTREAM_LOST, MAY_HAVE_RUN, [1, 1, 0]),
        (IDEMPOTENT_CALL, RefusalReason.UNKNOWN_SERVICE, NOT_RUN, [1, 0, 0]),
        (IDEMPOTENT_CALL, RefusalReason.DEADLINE, NOT_RUN, [1, 0, 0]),
    ],
)
async def test_caller_fails_over_only_if_safe_and_useful(
    instances: Instances,
    caller: Caller,
    call: Call,
    reason: RefusalReason,
    execution: Execution,
    expected_counts: list[int],
) -> None:
    instances[0].refusal = (reason, execution)
    await caller.call(call)
    assert request_counts(instances) == expected_counts


@pytest.mark.anyio
async def test_overloaded_call_fails_over_once(
    instances: Instances, caller: Caller
) -> None:
    for instance in instances:
        instance.refusal = (RefusalReason.OVERLOADED, NOT_RUN)
    refused = await caller.call(IDEMPOTENT_CALL)
    assert refusal_of(refused).reason is RefusalReason.OVERLOADED
    assert request_counts(instances) == [1, 1, 0]


@pytest.mark.anyio
async def test_calls_that_may_have_run_are_retried_within_the_budget(
    instances: Instances, caller: Caller
) -> None:
    for instance in instances:
        instance.refusal = (RefusalReason.UPSTREAM_LOST, MAY_HAVE_RUN)
    for _ in range(100):
        await caller.call(IDEMPOTENT_CALL)
    # 100 calls deposit 20 retries in addition to the initial balance of 10.
    assert 100 <= sum(request_counts(instances)) <= 130


@pytest.mark.anyio
async def test_refusal_reports_may_have_run_if_any_attempt_may_have_run(
    instances: Instances, caller: Caller
) -> None:
    instances[0].refusal = (RefusalReason.UPSTREAM_LOST, MAY_HAVE_RUN)
    instances[1].refusal = (RefusalReason.OVERLOADED, NOT_RUN)
    instances[2].refusal = (RefusalReason.OVERLOADED, NOT_RUN)
    refused = await caller.call(IDEMPOTENT_CALL)
    assert refusal_of(refused).execution is MAY_HAVE_RUN


@pytest.mark.anyio
@pytest.mark.parametrize("is_refused", [True, False])
async def test_leaving_instance_gets_no_further_calls(
    instances: Instances, caller: Caller, is_refused: bool
) -> None:
    instances[0].is_leaving = True
    if is_refused:
        instances[0].refusal = (RefusalReason.LEAVING, NOT_RUN)
    for _ in range(5):
        assert (await caller.call(NON_IDEMPOTENT_CALL)).unwrap().body == b"whole"
    assert instances[0].calls["request"] == 1


@pytest.mark.anyio
async def test_fail_over_keeps_the_key_and_changes_the_request_id(
    instances: Instances, caller: Caller
) -> None:
    instances[0].refusal = (RefusalReason.NO_UPSTREAM, NOT_RUN)
    response = (await caller.call(NON_IDEMPOTENT_CALL)).unwrap()
    assert instances[0].idempotency_keys == instances[1].idempotency_keys != [""]
    assert instances[0].ids != instances[1].ids == [response.request_id]


@pytest.mark.anyio
async def test_cached_lookup_outlives_its_validity_if_no_instance_responds(
    instances: Instances, caller: Caller
) -> None:
    for instance in instances:
        instance.valid_for_ms = 1
    await caller.call(IDEMPOTENT_CALL)
    for instance in instances:
        instance.offered_urls = ()
    await anyio.sleep(0.002)
    for _ in range(10):
        assert not isinstance(await caller.call(IDEMPOTENT_CALL), Failure)
    assert sum(instance.calls["look-up"] for instance in instances) == 4


@pytest.mark.anyio
async def test_concurrent_calls_share_one_lookup(
    instances: Instances, caller: Caller
) -> None:
    async with anyio.create_task_group() as tasks:
        for _ in range(20):
            tasks.start_soon(caller.call, IDEMPOTENT_CALL)
    assert sum(instance.calls["look-up"] for instance in instances) == 1


@pytest.mark.anyio
async def test_idempotent_call_fails_over_from_a_silent_instance_before_its_deadline(
    instances: Instances, caller: Caller
) -> None:
    await caller.look_up()
    instances[0].is_silent = True
    response = await caller.call(Call(ServiceId("motritelj"), "/", deadline_s=0.4))
    assert response.unwrap().body == b"whole"
    assert request_counts(instances) == [1, 1, 0]


@pytest.mark.anyio
async def test_last_instance_has_all_the_time_that_is_left(
    instances: Instances, caller: Caller
) -> None:
    """A call was given up half-way to its deadline with no instance left to try."""
    instances[0].offered_urls = (instances[0].url,)
    instances[0].service_time_s = 0.6
    response = await caller.call(Call(ServiceId("motritelj"), "/", deadline_s=0.9))
    assert response.unwrap().body == b"whole"


@pytest.mark.anyio
async def test_unanswered_lookup_reports_the_seed_urls(
    anyio_backend: str,
) -> None:
    async with open_caller(["http://127.0.0.1:9"], "10.0.0.1") as caller:
        refused = await caller.call(IDEMPOTENT_CALL)
    assert refused.failure() == NoInstance(("http://127.0.0.1:9",))


@settings(derandomize=True, max_examples=50)
@given(st.sampled_from(RefusalReason), st.sampled_from(Execution), st.integers(0, 5))
def test_non_idempotent_call_that_may_have_run_never_fails_over(
    reason: RefusalReason, execution: Execution, failovers: int
) -> None:
    refusal = Refusal(RequestId("r"), reason, execution)
    if execution is not NOT_RUN:
        assert not may_fail_over(NON_IDEMPOTENT_CALL, refusal, failovers)

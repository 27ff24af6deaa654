"""Send a call to one entry instance and judge what comes back."""

import uuid
from dataclasses import dataclass

import anyio
import httpx
from returns.result import Failure, Result, Success

from tanagercourse.client.call import Call, CallResponse
from tanagercourse.core.ids import RequestId
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import Execution, RefusalReason
from tanagercourse.wire.connections import (
    CONNECT_TIMEOUT_S,
    NOT_SENT_ERRORS,
    SILENCE_TIMEOUT_SHARE,
    HttpClients,
)
from tanagercourse.wire.headers import (
    REQUEST_ID,
    RequestMetadata,
    read_refusal,
    write_request_metadata,
)
from tanagercourse.wire.lookups import SERVICES_PREFIX


@dataclass(frozen=True)
class Received:
    """A whole answer, and whether its instance takes no more work."""

    answer: CallResponse
    is_leaving: bool


async def send_call(
    connections: HttpClients,
    url: str,
    call: Call,
    remaining_s: float,
    may_retry: bool,
) -> Result[Received, Refusal]:
    """Send a call once.

    Args:
        connections: Clients towards entry instances.
        url: Base URL of the instance.
        call: What to send.
        remaining_s: Time left to the deadline, in seconds.
        may_retry: Whether it could be sent again, so that a kept connection may be
            given up before the deadline.
    """
    request_id = RequestId(uuid.uuid4().hex)
    with anyio.move_on_after(remaining_s):
        return await _send(connections, url, call, remaining_s, may_retry, request_id)
    return Failure(_late(request_id))


async def _send(
    connections: HttpClients,
    url: str,
    call: Call,
    remaining_s: float,
    may_retry: bool,
    request_id: RequestId,
) -> Result[Received, Refusal]:
    client = connections.client_for(call.idempotency, url)
    is_reused = client is connections.reused
    gives_up = is_reused and may_retry
    timeout_s = remaining_s * (SILENCE_TIMEOUT_SHARE if gives_up else 1.0)
    try:
        response = await client.request(
            call.method,
            f"{url}{SERVICES_PREFIX}{call.service}{call.target}",
            content=call.body,
            headers=write_request_metadata(
                RequestMetadata(request_id, remaining_s * 1_000, call.key)
            ),
            timeout=httpx.Timeout(timeout_s, connect=min(timeout_s, CONNECT_TIMEOUT_S)),
        )
    except NOT_SENT_ERRORS:
        return Failure(_lost(request_id, Execution.NOT_RUN))
    except httpx.HTTPError as error:
        if is_reused:
            connections.mark_silent(url)
        if isinstance(error, httpx.ReadTimeout) and not gives_up:
            return Failure(_late(request_id))
        return Failure(_lost(request_id, Execution.MAY_HAVE_RUN))
    return _judge(request_id, response)


def _judge(
    request_id: RequestId, response: httpx.Response
) -> Result[Received, Refusal]:
    refusal = read_refusal(request_id, response.headers)
    if refusal is not None:
        return Failure(refusal)
    if response.headers.get(REQUEST_ID) != request_id:
        reason = RefusalReason.ANSWER_MISMATCHED
        return Failure(Refusal(request_id, reason, Execution.MAY_HAVE_RUN))
    headers = {name.lower(): value for name, value in response.headers.items()}
    answer = CallResponse(request_id, response.status_code, response.content, headers)
    return Success(Received(answer, headers.get("connection") == "close"))


def _late(request_id: RequestId) -> Refusal:
    return Refusal(request_id, RefusalReason.DEADLINE, Execution.MAY_HAVE_RUN)


def _lost(request_id: RequestId, execution: Execution) -> Refusal:
    return Refusal(request_id, RefusalReason.INSTANCE_LOST, execution)

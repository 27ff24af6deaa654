"""Send a call to one entry instance and interpret its response."""

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
    REQUEST_ID_HEADER,
    RequestMetadata,
    read_refusal,
    write_request_metadata,
)
from tanagercourse.wire.lookups import SERVICES_PREFIX


@dataclass(frozen=True)
class ReceivedResponse:
    """A complete response from an entry instance.

    Attributes:
        response: The response to the call.
        is_leaving: Whether the instance closes the connection because it is leaving.
    """

    response: CallResponse
    is_leaving: bool


async def send_call(
    http_clients: HttpClients,
    url: str,
    call: Call,
    remaining_s: float,
    may_retry: bool,
) -> Result[ReceivedResponse, Refusal]:
    """Send a call once, with a new request id.

    Args:
        http_clients: The HTTP clients with the connections to entry instances.
        url: The base URL of the instance.
        call: The call to send.
        remaining_s: Time left until the deadline, in seconds.
        may_retry: Whether another attempt is possible. If so, an attempt
            on a reused connection is abandoned when the instance stays silent for
            SILENCE_TIMEOUT_SHARE of the remaining time.

    Returns:
        The complete response, or why there is none.
    """
    request_id = RequestId(uuid.uuid4().hex)
    with anyio.move_on_after(remaining_s):
        return await _send(http_clients, url, call, remaining_s, may_retry, request_id)
    return Failure(_deadline_refusal(request_id))


async def _send(
    http_clients: HttpClients,
    url: str,
    call: Call,
    remaining_s: float,
    may_retry: bool,
    request_id: RequestId,
) -> Result[ReceivedResponse, Refusal]:
    client = http_clients.client_for(call.idempotency, url)
    is_reused = client is http_clients.reused
    may_abandon = is_reused and may_retry
    timeout_s = remaining_s * (SILENCE_TIMEOUT_SHARE if may_abandon else 1.0)
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
        return Failure(_instance_lost_refusal(request_id, Execution.NOT_RUN))
    except httpx.HTTPError as error:
        if is_reused:
            http_clients.mark_silent(url)
        if isinstance(error, httpx.ReadTimeout) and not may_abandon:
            return Failure(_deadline_refusal(request_id))
        return Failure(_instance_lost_refusal(request_id, Execution.MAY_HAVE_RUN))
    return _parse_response(request_id, response)


def _parse_response(
    request_id: RequestId, response: httpx.Response
) -> Result[ReceivedResponse, Refusal]:
    refusal = read_refusal(request_id, response.headers)
    if refusal is not None:
        return Failure(refusal)
    if response.headers.get(REQUEST_ID_HEADER) != request_id:
        reason = RefusalReason.ANSWER_MISMATCHED
        return Failure(Refusal(request_id, reason, Execution.MAY_HAVE_RUN))
    headers = {name.lower(): value for name, value in response.headers.items()}
    call_response = CallResponse(
        request_id, response.status_code, response.content, headers
    )
    return Success(
        ReceivedResponse(call_response, headers.get("connection") == "close")
    )


def _deadline_refusal(request_id: RequestId) -> Refusal:
    return Refusal(request_id, RefusalReason.DEADLINE, Execution.MAY_HAVE_RUN)


def _instance_lost_refusal(request_id: RequestId, execution: Execution) -> Refusal:
    return Refusal(request_id, RefusalReason.INSTANCE_LOST, execution)

"""Fake entry instances with configurable responses."""

from collections import Counter
from dataclasses import dataclass, field

import anyio

from tanagercourse.core.ids import RequestId
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import Execution, RefusalReason
from tanagercourse.web.asgi import (
    Application,
    HttpRequest,
    Receive,
    Scope,
    Send,
    read_body,
    read_head,
    run_while_connected,
    send_response,
)
from tanagercourse.wire.headers import (
    IDEMPOTENCY_KEY_HEADER,
    REQUEST_ID_HEADER,
    write_refusal,
)
from tanagercourse.wire.lookups import (
    LOOKUP_PATH,
    LookupResponse,
    OfferedInstance,
    encode_lookup_response,
)


@dataclass
class FakeInstance:
    """An entry instance with configurable responses.

    Attributes:
        refusal: Reason and execution state of the refusal of each request; None to
            serve requests.
        is_leaving: Whether responses close the connection.
        is_silent: Whether requests get no response.
        service_time_s: Time until a request is answered, in seconds.
        offered_urls: URLs of the instances in look-up responses.
        valid_for_ms: Validity of look-up responses, in milliseconds.
        calls: Number of received calls by kind, "look-up" or "request".
        idempotency_keys: Idempotency keys of received requests, in order.
        ids: Ids of received requests, in order.
        url: Base URL, set by the test that serves the instance.
    """

    refusal: tuple[RefusalReason, Execution] | None = None
    is_leaving: bool = False
    is_silent: bool = False
    service_time_s: float = 0.0
    offered_urls: tuple[str, ...] = ()
    valid_for_ms: int = 60_000
    calls: Counter[str] = field(default_factory=Counter)
    idempotency_keys: list[str] = field(default_factory=list)
    ids: list[str] = field(default_factory=list)
    url: str = ""


def fake_application(instance: FakeInstance) -> Application:
    """Return the ASGI application of a fake entry instance."""

    async def handle(scope: Scope, receive: Receive, send: Send) -> None:
        request = read_head(scope)
        await read_body(receive)
        await run_while_connected(receive, lambda: _serve(instance, request, send))

    return handle


async def _serve(instance: FakeInstance, request: HttpRequest, send: Send) -> None:
    if request.path == LOOKUP_PATH:
        instance.calls["look-up"] += 1
    else:
        instance.calls["request"] += 1
        instance.idempotency_keys.append(
            request.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        )
        instance.ids.append(request.headers[REQUEST_ID_HEADER])
    if instance.is_silent:
        await anyio.sleep_forever()
    if request.path == LOOKUP_PATH:
        urls = instance.offered_urls
        offered_instances = tuple(OfferedInstance(url, url, "split-a") for url in urls)
        response = LookupResponse(offered_instances, instance.valid_for_ms, 1)
        await send_response(send, 200, encode_lookup_response(response))
        return
    request_id = request.headers[REQUEST_ID_HEADER]
    await anyio.sleep(instance.service_time_s)
    if instance.refusal is not None:
        reason, execution = instance.refusal
        refusal = Refusal(RequestId(request_id), reason, execution)
        await send_response(send, 503, b"{}", write_refusal(refusal))
        return
    headers = {REQUEST_ID_HEADER: request_id}
    if instance.is_leaving:
        headers["connection"] = "close"
    await send_response(send, 200, b"whole", headers)

"""Read a request's head into typed work."""

import uuid
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from tanagercourse.core.ids import RequestId, ServiceId
from tanagercourse.core.problems import InvalidField, Refusal
from tanagercourse.core.states import Execution, RefusalReason
from tanagercourse.core.work import Work
from tanagercourse.entry.active_settings import ServiceInForce
from tanagercourse.entry.state import EntryState, Phase
from tanagercourse.web.asgi import HttpRequest
from tanagercourse.wire.headers import RequestMetadata, read_request_metadata
from tanagercourse.wire.lookups import SERVICES_PREFIX


@dataclass(frozen=True)
class ReadRequest:
    """A request as read: the work, its service's settings and the target there."""

    work: Work
    service: ServiceInForce
    target: str


def read_request(
    state: EntryState, request: HttpRequest
) -> Result[ReadRequest, Refusal | InvalidField]:
    """Read a request's head.

    Args:
        state: Holds the settings in force.
        request: The head.

    Returns:
        The request, or why it can't be served: not run.
    """
    read = read_request_metadata(request.headers)
    if isinstance(read, Failure):
        return read
    facts = read.unwrap()
    name, _, rest = request.raw_path.removeprefix(SERVICES_PREFIX).partition("/")
    service = state.in_force.service(ServiceId(name))
    if service is None:
        return Failure(_refuse_unknown(state, facts))
    work = _to_work(state, facts, service)
    return Success(ReadRequest(work, service, f"/{rest}"))


def _refuse_unknown(state: EntryState, facts: RequestMetadata) -> Refusal:
    has_started = state.phase is not Phase.STARTING
    unknown = RefusalReason.UNKNOWN_SERVICE
    reason = unknown if has_started else RefusalReason.NO_SETTINGS
    return Refusal(_request_id(facts), reason, Execution.NOT_RUN)


def _to_work(
    state: EntryState, facts: RequestMetadata, service: ServiceInForce
) -> Work:
    settings = service.settings
    deadline_ms = facts.deadline_ms or settings.deadline_ms
    return Work(
        request_id=_request_id(facts),
        service=settings.service_id,
        rank=settings.rank,
        idempotency=settings.idempotency,
        expires_at_s=state.clock() + deadline_ms / 1_000,
        key=facts.key,
    )


def _request_id(facts: RequestMetadata) -> RequestId:
    return facts.request_id or RequestId(uuid.uuid4().hex)

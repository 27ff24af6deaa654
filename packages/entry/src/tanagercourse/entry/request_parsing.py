"""Parse a request's head into typed work."""

import uuid
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from tanagercourse.core.ids import RequestId, ServiceId
from tanagercourse.core.problems import InvalidField, Refusal
from tanagercourse.core.states import Execution, RefusalReason
from tanagercourse.core.work import Work
from tanagercourse.entry.active_settings import ActiveService
from tanagercourse.entry.state import EntryState, Phase
from tanagercourse.web.asgi import HttpRequest
from tanagercourse.wire.headers import RequestMetadata, read_request_metadata
from tanagercourse.wire.lookups import SERVICES_PREFIX


@dataclass(frozen=True)
class ParsedRequest:
    """A request whose head is parsed.

    Attributes:
        work: Identity, rank, deadline and idempotency of the request.
        service: Settings of the service that the request names.
        target: Path of the request at the service's upstreams.
    """

    work: Work
    service: ActiveService
    target: str


def parse_request(
    state: EntryState, request: HttpRequest
) -> Result[ParsedRequest, Refusal | InvalidField]:
    """Parse a request's head.

    Args:
        state: State of the instance, with the active settings.
        request: The head.

    Returns:
        The parsed request, or why the request is refused without being run.
    """
    read_result = read_request_metadata(request.headers)
    if isinstance(read_result, Failure):
        return read_result
    metadata = read_result.unwrap()
    name, _, path = request.raw_path.removeprefix(SERVICES_PREFIX).partition("/")
    service = state.active_settings.service(ServiceId(name))
    if service is None:
        return Failure(_refuse_unknown_service(state, metadata))
    work = _make_work(state, metadata, service)
    return Success(ParsedRequest(work, service, f"/{path}"))


def _refuse_unknown_service(state: EntryState, metadata: RequestMetadata) -> Refusal:
    has_settings = state.phase is not Phase.STARTING
    unknown = RefusalReason.UNKNOWN_SERVICE
    reason = unknown if has_settings else RefusalReason.NO_SETTINGS
    return Refusal(_request_id(metadata), reason, Execution.NOT_RUN)


def _make_work(
    state: EntryState, metadata: RequestMetadata, service: ActiveService
) -> Work:
    settings = service.settings
    deadline_ms = metadata.deadline_ms or settings.deadline_ms
    return Work(
        request_id=_request_id(metadata),
        service=settings.service_id,
        rank=settings.rank,
        idempotency=settings.idempotency,
        expires_at_s=state.clock() + deadline_ms / 1_000,
        key=metadata.key,
    )


def _request_id(metadata: RequestMetadata) -> RequestId:
    return metadata.request_id or RequestId(uuid.uuid4().hex)

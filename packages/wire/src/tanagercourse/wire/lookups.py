"""Messages of look-ups, by which callers find the entry instances to use.

An entry instance returns the same few lists of instances repeatedly, so it encodes each
list once and embeds the encoded bytes in its responses.
"""

from dataclasses import dataclass
from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from tanagercourse.core.problems import InvalidField

LOOKUP_PATH = "/v1/lookup"
BATCH_LOOKUP_PATH = "/v1/lookup/batch"
SERVICES_PREFIX = "/v1/services/"
MAX_BATCH_CLIENTS = 10_000

# Instances as JSON text, in order of preference.
EncodedInstances = msgspec.Raw


@dataclass(frozen=True)
class OfferedInstance:
    """An entry instance that a caller may use.

    Attributes:
        id: Id of the instance.
        url: Base URL for requests to the instance.
        zone: Availability zone of the instance.
    """

    id: str
    url: str
    zone: str


@dataclass(frozen=True)
class LookupResponse:
    """Response to a look-up.

    Attributes:
        instances: Entry instances in order of preference.
        valid_for_ms: How long the caller may cache this response, in milliseconds.
        version: Version of the settings on which the response is based.
    """

    instances: tuple[OfferedInstance, ...]
    valid_for_ms: int
    version: int


@dataclass(frozen=True)
class EncodedLookupResponse:
    """A `LookupResponse` with already encoded instances."""

    instances: EncodedInstances
    valid_for_ms: int
    version: int


@dataclass(frozen=True)
class BatchLookup:
    """A request that combines many look-ups.

    Attributes:
        clients: IP addresses of the callers.
        service: Service whose team's client blocks are used; None for any team's.
    """

    clients: Annotated[tuple[str, ...], msgspec.Meta(max_length=MAX_BATCH_CLIENTS)]
    service: str | None = None


@dataclass(frozen=True)
class EncodedBatchResponse:
    """Response to a batch of look-ups, which contains each list of instances once.

    Attributes:
        sites: Site of each client; None if no block contains the client.
        lists: Distinct lists of instances.
        list_of: Index in `lists` for each client, starting at 0.
        valid_for_ms: How long callers may cache the response, in milliseconds.
        version: Version of the settings on which the response is based.
    """

    sites: tuple[str | None, ...]
    lists: tuple[EncodedInstances, ...]
    list_of: tuple[int, ...]
    valid_for_ms: int
    version: int


@dataclass(frozen=True)
class BatchLookupResponse:
    """An `EncodedBatchResponse` with decoded instances."""

    sites: tuple[str | None, ...]
    lists: tuple[tuple[OfferedInstance, ...], ...]
    list_of: tuple[int, ...]
    valid_for_ms: int
    version: int


def encode_lookup_response(
    response: LookupResponse | EncodedLookupResponse | EncodedBatchResponse,
) -> bytes:
    """Encode a look-up response as JSON text."""
    return msgspec.json.encode(response)


def encode_instances(instances: tuple[OfferedInstance, ...]) -> EncodedInstances:
    """Encode instances as JSON text to embed in responses."""
    return msgspec.Raw(msgspec.json.encode(instances))


def decode_batch_lookup(body: bytes) -> Result[BatchLookup, InvalidField]:
    """Decode a request for a batch of look-ups."""
    try:
        return Success(msgspec.json.decode(body, type=BatchLookup))
    except msgspec.MsgspecError as error:
        text = body[:80].decode(errors="replace")
        return Failure(InvalidField("batch look-up", "(body)", text, str(error)))


def decode_batch_response(body: bytes) -> Result[BatchLookupResponse, InvalidField]:
    """Decode the response to a batch of look-ups."""
    try:
        return Success(msgspec.json.decode(body, type=BatchLookupResponse))
    except msgspec.MsgspecError as error:
        text = body[:80].decode(errors="replace")
        return Failure(
            InvalidField(
                "batch look-up response", str(error), text, "a batch look-up response"
            )
        )


def decode_lookup_response(body: bytes) -> Result[LookupResponse, InvalidField]:
    """Decode the response to a look-up."""
    try:
        return Success(msgspec.json.decode(body, type=LookupResponse))
    except msgspec.MsgspecError as error:
        text = body[:80].decode(errors="replace")
        return Failure(
            InvalidField("look-up response", str(error), text, "a look-up response")
        )

"""Messages of a look-up: which entry instances a caller is to use.

An entry instance gives the same few lists of instances again and again, so it encodes
each once and puts the bytes into its answers.
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

# Instances in the order to try them, as JSON text.
EncodedInstances = msgspec.Raw


@dataclass(frozen=True)
class OfferedInstance:
    """An entry instance that a caller may use."""

    id: str
    url: str
    zone: str


@dataclass(frozen=True)
class LookupResponse:
    """Entry instances in the order to try them.

    Attributes:
        instances: First choice first.
        valid_for_ms: How long the caller may use this answer, in milliseconds.
        version: The version of the settings it was made from.
    """

    instances: tuple[OfferedInstance, ...]
    valid_for_ms: int
    version: int


@dataclass(frozen=True)
class EncodedLookupResponse:
    """A `LookupResponse` whose instances are encoded already."""

    instances: EncodedInstances
    valid_for_ms: int
    version: int


@dataclass(frozen=True)
class BatchLookup:
    """Many look-ups at once.

    Attributes:
        clients: The callers' addresses.
        service: The service whose team's blocks are used; None for any team's.
    """

    clients: Annotated[tuple[str, ...], msgspec.Meta(max_length=MAX_BATCH_CLIENTS)]
    service: str | None = None


@dataclass(frozen=True)
class EncodedBatchResponse:
    """Answers to many look-ups; the same list of instances is sent once.

    Attributes:
        sites: The site of each client, None where no block holds it.
        lists: Different lists of instances.
        list_of: Which list each client is to use, from 0.
        valid_for_ms: How long the answers may be used, in milliseconds.
        version: The version of the settings they were made from.
    """

    sites: tuple[str | None, ...]
    lists: tuple[EncodedInstances, ...]
    list_of: tuple[int, ...]
    valid_for_ms: int
    version: int


@dataclass(frozen=True)
class BatchLookupResponse:
    """A `EncodedBatchResponse` as its reader decodes it."""

    sites: tuple[str | None, ...]
    lists: tuple[tuple[OfferedInstance, ...], ...]
    list_of: tuple[int, ...]
    valid_for_ms: int
    version: int


def encode_lookup_response(
    answer: LookupResponse | EncodedLookupResponse | EncodedBatchResponse,
) -> bytes:
    """Return an answer as JSON text."""
    return msgspec.json.encode(answer)


def encode_instances(instances: tuple[OfferedInstance, ...]) -> EncodedInstances:
    """Return instances as JSON text that answers can hold."""
    return msgspec.Raw(msgspec.json.encode(instances))


def decode_batch_lookup(body: bytes) -> Result[BatchLookup, InvalidField]:
    """Decode a batch of look-ups."""
    try:
        return Success(msgspec.json.decode(body, type=BatchLookup))
    except msgspec.MsgspecError as error:
        text = body[:80].decode(errors="replace")
        return Failure(InvalidField("batch look-up", "(body)", text, str(error)))


def decode_batch_response(body: bytes) -> Result[BatchLookupResponse, InvalidField]:
    """Decode the answer to a batch of look-ups."""
    try:
        return Success(msgspec.json.decode(body, type=BatchLookupResponse))
    except msgspec.MsgspecError as error:
        text = body[:80].decode(errors="replace")
        return Failure(InvalidField("batch answer", str(error), text, "BatchAnswer"))


def decode_lookup_response(body: bytes) -> Result[LookupResponse, InvalidField]:
    """Decode an answer."""
    try:
        return Success(msgspec.json.decode(body, type=LookupResponse))
    except msgspec.MsgspecError as error:
        text = body[:80].decode(errors="replace")
        return Failure(InvalidField("look-up answer", str(error), text, "LookupAnswer"))

"""Messages of a look-up: which entry instances a caller is to use."""

from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success
from tanagercourse.core.problems import InvalidField

LOOKUP = "/v1/lookup"
SERVICES = "/v1/services/"
MAX_ANSWER_INSTANCES = 8


@dataclass(frozen=True)
class OfferedInstance:
    """An entry instance that a caller may use."""

    id: str
    url: str
    zone: str


@dataclass(frozen=True)
class LookupAnswer:
    """Entry instances in the order to try them.

    Attributes:
        instances: First choice first.
        valid_for_ms: How long the caller may use this answer, in milliseconds.
        version: The version of the settings it was made from.
    """

    instances: tuple[OfferedInstance, ...]
    valid_for_ms: int
    version: int


def encode_answer(answer: LookupAnswer) -> bytes:
    """Return an answer as JSON text."""
    return msgspec.json.encode(answer)


def decode_answer(body: bytes) -> Result[LookupAnswer, InvalidField]:
    """Decode an answer."""
    try:
        return Success(msgspec.json.decode(body, type=LookupAnswer))
    except msgspec.MsgspecError as error:
        text = body[:80].decode(errors="replace")
        return Failure(InvalidField("look-up answer", str(error), text, "LookupAnswer"))

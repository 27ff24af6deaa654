"""JSON encoding of the platform's messages, confined to this module."""

from dataclasses import dataclass
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import ObjectPath
from tanagercourse.platform.store import (
    Listing,
    Machine,
    Malformed,
    StoredObject,
    Update,
)

OBJECT_PATH = "/v1/object"
OBJECTS_PATH = "/v1/objects"
WATCH_PATH = "/v1/watch"
MACHINES_PATH = "/v1/machines"

T = TypeVar("T")


@dataclass(frozen=True)
class Machines:
    """Response to a call that lists the live and leaving machines."""

    machines: tuple[Machine, ...]


@dataclass(frozen=True)
class ConflictResponse:
    """Response to an update whose expected version differs from the object's.

    Attributes:
        found: The current object, or None if it does not exist.
    """

    found: StoredObject | None


Message = StoredObject | Listing | Update | Machines | ConflictResponse


def encode(message: Message) -> bytes:
    """Encode a message as JSON text, with values in base64."""
    return msgspec.json.encode(message)


def decode(
    path: ObjectPath, body: bytes, message_type: type[T]
) -> Result[T, Malformed]:
    """Decode a message.

    Args:
        path: Path of the call, for the problem.
        body: JSON text of the message.
        message_type: Type of the message.

    Returns:
        The message, or a problem if the text is malformed.
    """
    try:
        return Success(msgspec.json.decode(body, type=message_type))
    except msgspec.MsgspecError as error:
        return Failure(Malformed(path, str(error)))

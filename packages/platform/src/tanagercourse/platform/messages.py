"""Encoding of the platform's messages; the only module that knows it."""

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
    """The platform's list of live and leaving machines."""

    machines: tuple[Machine, ...]


@dataclass(frozen=True)
class ConflictResponse:
    """The answer to an update whose expected version was not the object's."""

    found: StoredObject | None


Message = StoredObject | Listing | Update | Machines | ConflictResponse


def encode(message: Message) -> bytes:
    """Return a message as JSON text; values travel as base64."""
    return msgspec.json.encode(message)


def decode(path: ObjectPath, body: bytes, kind: type[T]) -> Result[T, Malformed]:
    """Decode a message.

    Args:
        path: What was asked for, named in a problem.
        body: The JSON text.
        kind: The message's type.

    Returns:
        The message, or what is wrong with the text.
    """
    try:
        return Success(msgspec.json.decode(body, type=kind))
    except msgspec.MsgspecError as error:
        return Failure(Malformed(path, str(error)))

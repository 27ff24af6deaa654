"""The platform's object API over HTTP."""

from typing import TypeVar

import httpx
from returns.result import Failure, Result

from tanagercourse.core.ids import ObjectPath, Version
from tanagercourse.platform import messages
from tanagercourse.platform.store import (
    MAX_VALUE_BYTES,
    Conflict,
    Listing,
    Machine,
    NotFound,
    Store,
    StoredObject,
    StoreProblem,
    TooLarge,
    Unavailable,
    Update,
)

CALL_TIMEOUT_S = 2.0

T = TypeVar("T")


def http_store(client: httpx.AsyncClient, url: str) -> Store:
    """Return the platform at a URL as a record of functions.

    Args:
        client: Carries the calls; closed by its owner.
        url: The platform's base URL, without a slash at its end.
    """

    async def ask(
        path: ObjectPath, request: httpx.Request, kind: type[T]
    ) -> Result[T, StoreProblem]:
        try:
            response = await client.send(request)
        except httpx.HTTPError as error:
            return Failure(Unavailable(path, type(error).__name__))
        if response.status_code == httpx.codes.NOT_FOUND:
            return Failure(NotFound(path))
        if response.status_code != httpx.codes.OK:
            return Failure(Unavailable(path, f"status {response.status_code}"))
        return messages.decode(path, response.content, kind)

    async def read(path: ObjectPath) -> Result[StoredObject, StoreProblem]:
        request = _get(client, url + messages.OBJECT_PATH, {"path": path})
        return await ask(path, request, StoredObject)

    async def list_all(prefix: ObjectPath) -> Result[Listing, StoreProblem]:
        request = _get(client, url + messages.OBJECTS_PATH, {"prefix": prefix})
        return await ask(prefix, request, Listing)

    async def watch(
        prefix: ObjectPath, after: Version, wait_s: float
    ) -> Result[Listing, StoreProblem]:
        query = {"prefix": prefix, "after": str(after), "wait_s": str(wait_s)}
        request = _get(
            client, url + messages.WATCH_PATH, query, wait_s + CALL_TIMEOUT_S
        )
        return await ask(prefix, request, Listing)

    async def list_machines() -> Result[tuple[Machine, ...], StoreProblem]:
        request = _get(client, url + messages.MACHINES_PATH, {})
        answer = await ask(
            ObjectPath(messages.MACHINES_PATH), request, messages.Machines
        )
        return answer.map(lambda answered: answered.machines)

    async def write(update: Update) -> Result[StoredObject, StoreProblem]:
        if len(update.value) > MAX_VALUE_BYTES:
            return Failure(TooLarge(update.path, len(update.value)))
        request = client.build_request(
            "PUT",
            url + messages.OBJECT_PATH,
            content=messages.encode(update),
            timeout=CALL_TIMEOUT_S,
        )
        try:
            response = await client.send(request)
        except httpx.HTTPError as error:
            return Failure(Unavailable(update.path, type(error).__name__))
        return _read_written(update, response)

    return Store(read, list_all, write, watch, list_machines)


def _get(
    client: httpx.AsyncClient,
    url: str,
    query: dict[str, str],
    timeout_s: float = CALL_TIMEOUT_S,
) -> httpx.Request:
    return client.build_request("GET", url, params=query, timeout=timeout_s)


def _read_written(
    update: Update, response: httpx.Response
) -> Result[StoredObject, StoreProblem]:
    if response.status_code == httpx.codes.CONFLICT:
        answer = messages.decode(
            update.path, response.content, messages.ConflictResponse
        )
        if isinstance(answer, Failure):
            return answer
        found = answer.unwrap().found
        return Failure(Conflict(update.path, update.expected, found))
    if response.status_code != httpx.codes.OK:
        return Failure(Unavailable(update.path, f"status {response.status_code}"))
    return messages.decode(update.path, response.content, StoredObject)

"""HTTP client of the platform's object API."""

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

# Time limit for a call, in addition to the requested wait of a watch.
CALL_TIMEOUT_S = 2.0

T = TypeVar("T")


def http_store(client: httpx.AsyncClient, url: str) -> Store:
    """Return a `Store` that calls the platform at a URL.

    Args:
        client: HTTP client for the calls; the caller closes it.
        url: Base URL of the platform, without a trailing slash.
    """

    async def send(
        path: ObjectPath, request: httpx.Request, message_type: type[T]
    ) -> Result[T, StoreProblem]:
        try:
            response = await client.send(request)
        except httpx.HTTPError as error:
            return Failure(Unavailable(path, type(error).__name__))
        if response.status_code == httpx.codes.NOT_FOUND:
            return Failure(NotFound(path))
        if response.status_code != httpx.codes.OK:
            return Failure(Unavailable(path, f"status {response.status_code}"))
        return messages.decode(path, response.content, message_type)

    async def read(path: ObjectPath) -> Result[StoredObject, StoreProblem]:
        request = _build_get(client, url + messages.OBJECT_PATH, {"path": path})
        return await send(path, request, StoredObject)

    async def list_all(prefix: ObjectPath) -> Result[Listing, StoreProblem]:
        request = _build_get(client, url + messages.OBJECTS_PATH, {"prefix": prefix})
        return await send(prefix, request, Listing)

    async def watch(
        prefix: ObjectPath, after: Version, wait_s: float
    ) -> Result[Listing, StoreProblem]:
        query = {"prefix": prefix, "after": str(after), "wait_s": str(wait_s)}
        request = _build_get(
            client, url + messages.WATCH_PATH, query, wait_s + CALL_TIMEOUT_S
        )
        return await send(prefix, request, Listing)

    async def list_machines() -> Result[tuple[Machine, ...], StoreProblem]:
        request = _build_get(client, url + messages.MACHINES_PATH, {})
        decoded = await send(
            ObjectPath(messages.MACHINES_PATH), request, messages.Machines
        )
        return decoded.map(lambda machine_list: machine_list.machines)

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
        return _decode_write_response(update, response)

    return Store(read, list_all, write, watch, list_machines)


def _build_get(
    client: httpx.AsyncClient,
    url: str,
    query: dict[str, str],
    timeout_s: float = CALL_TIMEOUT_S,
) -> httpx.Request:
    return client.build_request("GET", url, params=query, timeout=timeout_s)


def _decode_write_response(
    update: Update, response: httpx.Response
) -> Result[StoredObject, StoreProblem]:
    if response.status_code == httpx.codes.CONFLICT:
        decoded = messages.decode(
            update.path, response.content, messages.ConflictResponse
        )
        if isinstance(decoded, Failure):
            return decoded
        found = decoded.unwrap().found
        return Failure(Conflict(update.path, update.expected, found))
    if response.status_code != httpx.codes.OK:
        return Failure(Unavailable(update.path, f"status {response.status_code}"))
    return messages.decode(update.path, response.content, StoredObject)

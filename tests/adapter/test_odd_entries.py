"""Tests of odd entries in listings and watch responses; they must not hide others.

Another writer left a deeply nested entry among the upstreams: machines missed all later
changes, and those that started never became ready (DRAIN, LOST; review/4).
"""

import time
from collections.abc import AsyncIterator
from functools import partial
from typing import Any

import anyio
import msgspec
import pytest
import structlog
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from tanagercourse.adapter.entries import EntryDecoder
from tanagercourse.adapter.json_parts import split_array, split_object
from tanagercourse.adapter.objects import (
    make_reader,
    make_store_client,
)
from tanagercourse.adapter.registrations import decode_registration
from tanagercourse.core.ids import ObjectPath
from tanagercourse.following.eras import EraTracker
from tanagercourse.gateway.callers import (
    CallerConnections,
    CallerDependencies,
    serve_caller,
)
from tanagercourse.gateway.messages import CallerRequest, Response
from tanagercourse.instance.settings import Endpoint
from tanagercourse.platform.reading import NO_STORE_VERSION, ONLY_ERA, VersionedListing
from tanagercourse.routing.configuration import DEFAULT_LIMITS
from tanagercourse.testing.fuzzing import FUZZING
from tanagercourse.testing.gateway_harness import serve_on_free_port
from tanagercourse.testing.store_versions import at

pytestmark = pytest.mark.anyio

LOG = structlog.get_logger()
SERVERS = ObjectPath("/servers")
NESTED = b"[" * 1500 + b"]" * 1500
REGISTRATION = (
    b'{"service":"s","address":"10.0.0.1:80","zone":"a1","slots":3,"state":"ready"}'
)


def encode_entry(name: bytes, specification: bytes, revision: bytes = b"4") -> bytes:
    metadata = b'{"name":' + name + b',"revision":' + revision + b',"created":1}'
    return b'{"metadata":' + metadata + b',"specification":' + specification + b"}"


SOUND = encode_entry(b'"u0"', REGISTRATION)
ODD_ENTRIES = {
    "nested content": encode_entry(b'"odd"', b'{"slots":' + NESTED + b"}"),
    "nested unknown field": b'{"x":' + NESTED + b"," + SOUND[1:].replace(b"u0", b"odd"),
    "nested metadata": b'{"metadata":{"name":"odd","x":' + NESTED + b"}}",
    "nested name": encode_entry(NESTED, b"{}"),
    "large number": encode_entry(b'"odd"', b'{"slots":' + b"9" * 9000 + b"}"),
    "large revision": encode_entry(b'"odd"', b"{}", b"9" * 9000),
    "infinite revision": encode_entry(b'"odd"', b"{}", b"1e999"),
    "revision as text": encode_entry(b'"odd"', b"{}", b'"4"'),
    "number as name": encode_entry(b"7", b"{}"),
    "name of other bytes": encode_entry(b'"\xff\xfe"', b"{}"),
    "content of other bytes": encode_entry(b'"odd"', b'"\xff\xfe"'),
    "half of a surrogate pair": encode_entry(b'"odd"', b'{"note":"\\ud83d"}'),
    "content that is no JSON": encode_entry(b'"odd"', b"{nope}"),
    "name that is missing": b'{"metadata":{},"specification":{}}',
    "metadata that is missing": b'{"specification":{}}',
    "null": b"null",
    "text": b'"[{,"',
    "list": b"[[],{}]",
}
# Shapes of which not even the name can be read.
NAMELESS = {
    "nested name",
    "number as name",
    "name of other bytes",
    "name that is missing",
    "metadata that is missing",
    "null",
    "text",
    "list",
}
NAMED = [shape for shape in ODD_ENTRIES if shape not in NAMELESS]


def encode_listing(*entries: bytes, more: bytes = b"false") -> bytes:
    items = b",".join(entries)
    return b'{"items":[' + items + b'],"more":' + more + b',"at_revision":9}'


def encode_events(*entries: bytes) -> bytes:
    events = [b'{"object":' + entry + b',"deleted":false}' for entry in entries]
    return b'{"events":[' + b",".join(events) + b'],"at_revision":9}'


@pytest.fixture
def bodies() -> dict[str, bytes]:
    """Responses to a listing and to a watch; set by tests."""
    return {}


@pytest.fixture
async def odd_store_port(
    anyio_backend: str, bodies: dict[str, bytes]
) -> AsyncIterator[int]:
    """Serve a store that answers each call with the body set for it.

    Later pages of a listing are set by the name after which they begin.
    """

    async def respond(request: CallerRequest) -> Response:
        _, _, after = request.target.partition(b"?after=")
        call = "watch" if b"watch=" in request.target else after.decode()
        return Response(200, b"OK", (), bodies[call or "listing"])

    caller_deps = CallerDependencies(
        respond, lambda: DEFAULT_LIMITS, CallerConnections(), anyio.current_time, LOG
    )
    async with anyio.create_task_group() as tasks:
        yield await tasks.start(serve_on_free_port, partial(serve_caller, caller_deps))
        tasks.cancel_scope.cancel()


def usable_upstreams(listing: VersionedListing) -> list[str]:
    """Return the upstreams whose registrations can be decoded."""
    decoded = [decode_registration(stored) for stored in listing.objects]
    return [
        result.unwrap().upstream for result in decoded if isinstance(result, Success)
    ]


@pytest.mark.parametrize("shape", ODD_ENTRIES)
async def test_odd_entry_hides_no_other(
    odd_store_port: int, bodies: dict[str, bytes], shape: str
) -> None:
    entries = (ODD_ENTRIES[shape], SOUND)
    bodies["listing"] = encode_listing(*entries)
    bodies["watch"] = encode_events(*entries)
    endpoint = Endpoint("127.0.0.1", odd_store_port)
    client = make_store_client(endpoint, time.monotonic, LOG, EraTracker(LOG))
    store = make_reader(client)
    listing = (await store.list_all(SERVERS)).unwrap()
    changes = (await store.watch(SERVERS, NO_STORE_VERSION, 0.0)).unwrap()
    # Unknown fields beside a sound registration are ignored.
    expected = ["odd", "u0"] if shape == "nested unknown field" else ["u0"]
    assert usable_upstreams(listing) == usable_upstreams(changes) == expected
    assert listing.version == changes.version == at(9, ONLY_ERA)
    assert await store.check() == Success(None)


@pytest.mark.parametrize("shape", ODD_ENTRIES)
async def test_odd_entry_that_fills_a_page_ends_no_listing(
    odd_store_port: int, bodies: dict[str, bytes], shape: str
) -> None:
    """A restarted instance knew none of the upstreams behind the page (review/6)."""
    last = SOUND.replace(b"u0", b"u1")
    bodies["listing"] = encode_listing(SOUND, more=b"true")
    bodies["u0"] = encode_listing(ODD_ENTRIES[shape], more=b"true")
    bodies["odd"] = encode_listing(last)
    endpoint = Endpoint("127.0.0.1", odd_store_port)
    client = make_store_client(endpoint, time.monotonic, LOG, EraTracker(LOG))
    store = make_reader(client)
    listing = await store.list_all(SERVERS)
    if shape in NAMELESS:
        # Where the next page begins isn't known, so this is no complete listing.
        assert isinstance(listing, Failure)
    else:
        usable = usable_upstreams(listing.unwrap())
        assert [name for name in usable if name != "odd"] == ["u0", "u1"]


@pytest.mark.parametrize("shape", NAMED)
def test_registration_overwritten_with_an_odd_one_is_reported_by_name(
    shape: str,
) -> None:
    """The upstream of that name must not stay in use as it was."""
    decoder = EntryDecoder(LOG)
    body = encode_events(ODD_ENTRIES[shape])
    (event,) = decoder.decode_events(SERVERS, body).unwrap().events
    assert event.object.metadata.name == "odd" and not event.deleted


@given(
    entries=st.lists(
        st.sampled_from(sorted(ODD_ENTRIES)) | st.binary(max_size=20), max_size=4
    ),
    position=st.integers(0, 4),
)
@FUZZING
def test_any_listing_is_decoded_or_refused(
    entries: list[str | bytes], position: int
) -> None:
    encoded = [
        ODD_ENTRIES[entry] if isinstance(entry, str) else entry for entry in entries
    ]
    encoded.insert(position, SOUND)
    decoder = EntryDecoder(LOG)
    page = decoder.decode_page(SERVERS, encode_listing(*encoded))
    events = decoder.decode_events(SERVERS, encode_events(*encoded))
    assert isinstance(page, (Success, Failure))
    assert isinstance(events, (Success, Failure))
    if all(isinstance(entry, str) for entry in entries):
        names = [entry.metadata.name for entry in page.unwrap().items]
        assert "u0" in names


json_values: st.SearchStrategy[Any] = st.recursive(
    st.none() | st.integers(-9, 9) | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=8,
)


@given(
    elements=st.lists(json_values, max_size=4),
    members=st.dictionaries(st.text(max_size=4), json_values, max_size=4),
)
@FUZZING
def test_parts_of_json_are_what_a_decoder_finds(
    elements: list[Any], members: dict[str, Any]
) -> None:
    array, document = msgspec.json.encode(elements), msgspec.json.encode(members)
    assert [msgspec.json.decode(part) for part in split_array(array)] == elements
    assert {
        name: msgspec.json.decode(part) for name, part in split_object(document).items()
    } == members

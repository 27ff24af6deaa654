"""Fuzzing of everything that is decoded from the platform, callers and upstreams.

Each decoder returns a value or a typed problem, whatever the bytes: an exception would
end a task that the whole instance depends on.
"""

from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from tanagercourse.adapter.configuration import decode_configuration
from tanagercourse.adapter.registrations import decode_registration
from tanagercourse.adapter.settings import decode_settings
from tanagercourse.core.ids import ObjectPath
from tanagercourse.gateway.headers import (
    read_affinity,
    read_load,
    read_milliseconds,
)
from tanagercourse.gateway.messages import Response
from tanagercourse.instance.relay_messages import decode_changes
from tanagercourse.platform.reading import VersionedObject
from tanagercourse.testing.fuzzing import FUZZING
from tanagercourse.testing.store_versions import at

SERVERS = ObjectPath("/servers")
NESTED = b"[" * 100_000

Decode = Callable[[bytes], Result[Any, Any]]

scalars = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.sampled_from([0, -1, 2**63, 10**400, 0.5, -0.0, 1e308]),
    st.text(max_size=12),
    st.sampled_from(["ready", "10.0.0.1:80", "[::1]:80", "h:80", "10.0.0.1:999999"]),
)
values = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=6,
)
REGISTRATION = {
    "service": "stock",
    "address": "10.0.0.1:80",
    "zone": "a1",
    "slots": 3,
    "state": "ready",
    "cold_remaining_ms": 0,
    "born": 1,
}


def _store(value: bytes) -> VersionedObject:
    return VersionedObject(ObjectPath("/servers/u0"), at(1), value)


DECODERS: tuple[Decode, ...] = (
    lambda value: decode_registration(_store(value)),
    lambda value: decode_configuration(_store(value)),
    lambda value: decode_settings("settings", value),
    lambda value: decode_changes(SERVERS, at(1), Response(200, b"OK", (), value)),
)


@pytest.mark.parametrize("decode", DECODERS)
@given(data=st.one_of(st.binary(max_size=64), values.map(msgspec.json.encode)))
@FUZZING
def test_no_decoder_raises(decode: Decode, data: bytes) -> None:
    assert isinstance(decode(data), (Success, Failure))


@pytest.mark.parametrize("decode", DECODERS)
@pytest.mark.parametrize("data", [NESTED, b'{"x":' + NESTED])
def test_deeply_nested_values_are_refused(decode: Decode, data: bytes) -> None:
    assert isinstance(decode(data), Failure)


@given(field=st.sampled_from(sorted(REGISTRATION)), value=values)
@FUZZING
def test_registration_that_is_accepted_can_be_used(field: str, value: Any) -> None:
    document = msgspec.json.encode({**REGISTRATION, field: value})
    decoded = decode_registration(_store(document))
    if isinstance(decoded, Success):
        registration = decoded.unwrap()
        assert registration.slots >= 1 and 0 < registration.port < 65_536
        assert 0 <= registration.cold_s <= 86_400
        assert registration.host.count(".") == 3


@given(text=st.one_of(st.binary(max_size=24), st.integers().map(str).map(str.encode)))
@FUZZING
def test_no_header_raises(text: bytes) -> None:
    milliseconds, load = read_milliseconds(text), read_load(text + b",0,3")
    assert milliseconds is None or milliseconds <= 86_400
    assert load is None or 0 <= load.running <= 100_000
    read_affinity(((b"Cookie", text),), b"k")


@pytest.mark.parametrize("digits", [20, 400, 5000])
def test_numbers_of_many_digits_do_no_harm(digits: int) -> None:
    number = b"9" * digits
    assert read_milliseconds(number) in (None, 86_400.0)
    assert read_load(number + b",0,3") is None
    assert (read_milliseconds(b"-" + number) or 0.0) <= 0.0

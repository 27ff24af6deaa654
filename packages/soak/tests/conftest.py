"""Fixtures for the tests of the soak's checks."""

from collections.abc import Callable

import pytest

from tanagercourse.soak.checks import Checks, Request


@pytest.fixture
def checks() -> Checks:
    return Checks()


@pytest.fixture
def make_request() -> Callable[..., Request]:
    def make(name: str = "r1", is_order: bool = True, body: bytes = b"b") -> Request:
        return Request(name, b"POST", b"/once/" + name.encode(), body, is_order)

    return make

"""Fixtures for the tests of the soak's checks."""

from collections.abc import Callable

import pytest

from tanagercourse.soak.checks import Checks, Request


@pytest.fixture
def checks() -> Checks:
    return Checks()


@pytest.fixture
def make_request() -> Callable[..., Request]:
    def make(
        request_id: str = "r1", is_order: bool = True, body: bytes = b"b"
    ) -> Request:
        return Request(
            request_id, b"POST", b"/once/" + request_id.encode(), body, is_order
        )

    return make

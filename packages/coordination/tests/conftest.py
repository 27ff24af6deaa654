"""Fixtures of the coordination library."""

import pytest

from tanagercourse.testing.stores import FakeStore, Ticks


@pytest.fixture
def ticks() -> Ticks:
    return Ticks()


@pytest.fixture
def fake_store() -> FakeStore:
    return FakeStore()

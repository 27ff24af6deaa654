"""Fixtures of the coordination library."""

import pytest

from tanagercourse.testing.stores import FakeStore, ManualClock


@pytest.fixture
def ticks() -> ManualClock:
    return ManualClock()


@pytest.fixture
def fake_store() -> FakeStore:
    return FakeStore()

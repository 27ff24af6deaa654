"""Shared fixtures: a manual clock and an in-memory platform store."""

import pytest

from tanagercourse.testing.stores import FakeStore, ManualClock


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def fake_store() -> FakeStore:
    return FakeStore()

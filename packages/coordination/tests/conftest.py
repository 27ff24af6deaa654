"""Shared fixtures: a manual clock and an in-memory platform store."""

import pytest

from tanagercourse.testing.stores import FakeStore, Ticks


@pytest.fixture
def ticks() -> Ticks:
    return Ticks()


@pytest.fixture
def fake_store() -> FakeStore:
    return FakeStore()

"""Tests of the bounded history of settings."""

from hypothesis import given, settings
from hypothesis import strategies as st

from tanagercourse.core.ids import ObjectPath, Version, WriterId
from tanagercourse.operators.history import (
    MAX_ENTRIES,
    MAX_HISTORY_BYTES,
    History,
    add_versions,
)
from tanagercourse.platform.store import StoredObject


def stored(version: int, size_bytes: int = 2) -> StoredObject:
    value = b"x" * size_bytes
    return StoredObject(ObjectPath("/p"), Version(version), value, WriterId("w"))


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.lists(st.integers(1, 200), max_size=120))
def test_history_keeps_the_newest_versions_in_order(versions: list[int]) -> None:
    history = History()
    for version in versions:
        history = add_versions(history, (stored(version),), 0.0)
    recorded = [entry.version for entry in history.entries]
    assert recorded == sorted(set(recorded))
    assert len(recorded) <= MAX_ENTRIES
    if versions:
        assert recorded[-1] == max(versions)


def test_edit_closes_the_gap_left_by_an_unrecorded_edit() -> None:
    # The edit that wrote version 2 was not recorded; the next edit, which replaced
    # version 2 by 3, records both.
    history = add_versions(History(), (None, stored(1)), 0.0)
    history = add_versions(history, (stored(2), stored(3)), 0.0)
    assert [entry.version for entry in history.entries] == [1, 2, 3]


def test_history_drops_the_oldest_versions_to_stay_within_its_size() -> None:
    half_bytes = MAX_HISTORY_BYTES // 2
    history = History()
    for version in (1, 2, 3):
        history = add_versions(history, (stored(version, half_bytes),), 0.0)
    assert [entry.version for entry in history.entries] == [3]

"""Replicas never go back; snapshots and parts are read whole or not at all."""

from dataclasses import replace
from itertools import permutations
from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from tanagercourse.coordination.chunks import (
    MARK,
    Incomplete,
    Manifest,
    PartAssembler,
    join_value,
    write_value,
)
from tanagercourse.coordination.replica import Head, Replica
from tanagercourse.coordination.snapshot import (
    Damage,
    decode_snapshot,
    encode_snapshot,
)
from tanagercourse.core.ids import NO_VERSION, ObjectPath, Version, WriterId
from tanagercourse.platform.store import ObjectState, StoredObject, Update
from tanagercourse.testing.stores import FakeStore

PATHS = [ObjectPath(f"/teams/{team}/services/{team}") for team in "abc"]


def stored(path: ObjectPath, version: int) -> StoredObject:
    """Return an object; every third version is a deletion."""
    state = ObjectState.DELETED if version % 3 == 0 else ObjectState.PRESENT
    return StoredObject(path, Version(version), b"v", WriterId("w"), state)


# Versions are unique over all objects together, as the platform's are.
HISTORY = [stored(PATHS[version % 3], version) for version in range(1, 25)]
arrivals = st.lists(st.sampled_from(HISTORY), max_size=60)


@given(arrivals)
@settings(derandomize=True, max_examples=100)
def test_any_order_and_replay_never_goes_back(arriving: list[StoredObject]) -> None:
    replica = Replica()
    newest: dict[ObjectPath, int] = {}
    for item in arriving:
        replica.apply(item)
        newest[item.path] = max(newest.get(item.path, 0), item.version)
        assert replica.version_of(item.path) == newest[item.path]


@given(arrivals, arrivals)
@settings(derandomize=True, max_examples=100)
def test_digests_agree_exactly_when_heads_do(
    mine: list[StoredObject], theirs: list[StoredObject]
) -> None:
    left, right = Replica(), Replica()
    left.apply_all(mine)
    right.apply_all(theirs)
    same = all(left.version_of(path) == right.version_of(path) for path in PATHS)
    assert (left.root() == right.root()) == same
    for head in left.heads_apart(right.digests()):
        if right.is_newer(head):
            held = left.get(head.path)
            assert held is not None
            right.apply(held)
    assert all(right.version_of(p) >= left.version_of(p) for p in PATHS)


def test_news_carry_each_object_once_and_resume_at_the_cursor() -> None:
    replica = Replica()
    replica.apply_all(HISTORY)
    first = replica.news(0, 2)
    rest = replica.news(first.cursor, 10)
    assert len(first.heads) == 2
    assert {head.path for head in first.heads + rest.heads} == set(PATHS)
    assert replica.news(rest.cursor, 10).heads == ()
    replica.apply(stored(PATHS[0], 30))
    assert replica.news(rest.cursor, 10).heads == (Head(PATHS[0], Version(30)),)


def test_snapshot_round_trip_and_every_damaged_byte_refused() -> None:
    snapshot = encode_snapshot(HISTORY[:3])
    assert decode_snapshot(snapshot) == Success(tuple(HISTORY[:3]))
    for position in range(len(snapshot)):
        damaged = bytearray(snapshot)
        damaged[position] ^= 0x55
        assert isinstance(decode_snapshot(bytes(damaged)), Failure)
    truncated = decode_snapshot(snapshot[:-1]).failure()
    assert truncated.damage is Damage.CHECKSUM


@pytest.mark.anyio
async def test_split_value_is_joined_only_when_whole(fake_store: FakeStore) -> None:
    value = Random(1).randbytes(2_500)
    path = ObjectPath("/teams/a/blocks")
    update = Update(path, NO_VERSION, value, WriterId("w"))
    fake_store.replies_to_lose = 1
    await write_value(fake_store.port(), update, part_bytes=1_000)
    objects = fake_store.objects.changes(path, NO_VERSION).objects
    for arriving in permutations(objects):
        joiner = PartAssembler()
        joined = [joiner.add(item) for item in arriving]
        assert joined[:-1] == [None] * (len(objects) - 1)
        assert joined[-1] is not None
        assert joined[-1].value == value
        assert joined[-1].path == path


def test_manifest_without_its_parts_tells_how_many_are_missing() -> None:
    manifest = MARK + msgspec.msgpack.encode(Manifest("00", 2_500, 3))
    held = replace(HISTORY[0], value=manifest)
    problem = join_value(lambda path: None, held).failure()
    assert problem == Incomplete(held.path, 3, 3)

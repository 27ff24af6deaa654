"""Replicas never regress; snapshots and split values are never read partially."""

from dataclasses import replace
from itertools import permutations
from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from tanagercourse.coordination.chunks import (
    MANIFEST_MAGIC,
    Incomplete,
    Manifest,
    PartAssembler,
    assemble_value,
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


def make_object(path: ObjectPath, version: int) -> StoredObject:
    """Return an object; every third version is a deletion marker."""
    state = ObjectState.DELETED if version % 3 == 0 else ObjectState.PRESENT
    return StoredObject(path, Version(version), b"v", WriterId("w"), state)


# Versions are unique across all objects, as in the platform.
HISTORY = [make_object(PATHS[version % 3], version) for version in range(1, 25)]
object_sequences = st.lists(st.sampled_from(HISTORY), max_size=60)


@given(object_sequences)
@settings(derandomize=True, max_examples=100)
def test_reordered_and_replayed_objects_never_regress(
    arrived: list[StoredObject],
) -> None:
    replica = Replica()
    newest: dict[ObjectPath, int] = {}
    for arrived_object in arrived:
        replica.apply(arrived_object)
        newest[arrived_object.path] = max(
            newest.get(arrived_object.path, 0), arrived_object.version
        )
        assert replica.version_of(arrived_object.path) == newest[arrived_object.path]


@given(object_sequences, object_sequences)
@settings(derandomize=True, max_examples=100)
def test_digests_are_equal_exactly_if_heads_are(
    left_objects: list[StoredObject], right_objects: list[StoredObject]
) -> None:
    left, right = Replica(), Replica()
    left.apply_all(left_objects)
    right.apply_all(right_objects)
    have_same_heads = all(
        left.version_of(path) == right.version_of(path) for path in PATHS
    )
    assert (left.root_digest() == right.root_digest()) == have_same_heads
    for head in left.differing_heads(right.digests()):
        if right.is_newer(head):
            stored = left.get(head.path)
            assert stored is not None
            right.apply(stored)
    assert all(right.version_of(p) >= left.version_of(p) for p in PATHS)


def test_head_delta_has_each_object_once_and_resumes_at_cursor() -> None:
    replica = Replica()
    replica.apply_all(HISTORY)
    first_delta = replica.heads_since(0, 2)
    rest_delta = replica.heads_since(first_delta.cursor, 10)
    assert len(first_delta.heads) == 2
    assert {head.path for head in first_delta.heads + rest_delta.heads} == set(PATHS)
    assert replica.heads_since(rest_delta.cursor, 10).heads == ()
    replica.apply(make_object(PATHS[0], 30))
    assert replica.heads_since(rest_delta.cursor, 10).heads == (
        Head(PATHS[0], Version(30)),
    )


def test_snapshot_round_trips_and_rejects_each_damaged_byte() -> None:
    snapshot = encode_snapshot(HISTORY[:3])
    assert decode_snapshot(snapshot) == Success(tuple(HISTORY[:3]))
    for position in range(len(snapshot)):
        damaged = bytearray(snapshot)
        damaged[position] ^= 0x55
        assert isinstance(decode_snapshot(bytes(damaged)), Failure)
    truncated = decode_snapshot(snapshot[:-1]).failure()
    assert truncated.damage is Damage.CHECKSUM


@pytest.mark.anyio
async def test_split_value_is_joined_only_when_complete(fake_store: FakeStore) -> None:
    value = Random(1).randbytes(2_500)
    path = ObjectPath("/teams/a/blocks")
    update = Update(path, NO_VERSION, value, WriterId("w"))
    fake_store.replies_to_lose = 1
    await write_value(fake_store.as_store(), update, max_part_bytes=1_000)
    objects = fake_store.objects.changes(path, NO_VERSION).objects
    for arrived in permutations(objects):
        assembler = PartAssembler()
        joined = [assembler.add(arrived_object) for arrived_object in arrived]
        assert joined[:-1] == [None] * (len(objects) - 1)
        assert joined[-1] is not None
        assert joined[-1].value == value
        assert joined[-1].path == path


def test_manifest_without_parts_reports_number_missing() -> None:
    manifest = MANIFEST_MAGIC + msgspec.msgpack.encode(Manifest("00", 2_500, 3))
    stored = replace(HISTORY[0], value=manifest)
    problem = assemble_value(lambda path: None, stored).failure()
    assert problem == Incomplete(stored.path, 3, 3)

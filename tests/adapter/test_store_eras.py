"""Tests of an instance process whose store comes back from an older copy.

The store is away for a moment, or comes back so fast that no call shows it.
"""

from collections.abc import Callable
from typing import Any

import anyio
import pytest

from tanagercourse.standin.running_instance import POLL_INTERVAL_S, RunningInstance
from tanagercourse.standin.store import FakePlatformStore, StoreCopy

pytestmark = [pytest.mark.anyio, pytest.mark.parametrize("away_s", [0.0, 1.0])]

# Timeout of one test, in seconds.
TEST_TIMEOUT_S = 60.0
# A change must be applied within 2.5 s by an instance that is in touch, which it is 3 s
# after the return of the store.
APPLY_S = 2.5
APPLY_AFTER_RETURN_S = 5.5
# Time in which a silent upstream's entry is still in the store after its return.
EXPIRY_S = 4.5

# Interval between changes after the return, in seconds.
REWRITE_INTERVAL_S = 0.5

ChangeConfiguration = Callable[..., None]


@pytest.fixture
def store(fake_store: FakePlatformStore) -> FakePlatformStore:
    """Return a store that states its era."""
    fake_store.eras = [1]
    return fake_store


@pytest.fixture
def change_configuration(
    store: FakePlatformStore, configuration: dict[str, Any]
) -> ChangeConfiguration:
    """Return a function that writes a version, with a route for each given prefix."""

    def change(version: int, *prefixes: str) -> None:
        host = configuration["hosts"][0]
        route = host["paths"][1]
        added = [{**route, "path_prefix": prefix} for prefix in prefixes]
        hosts = [{**host, "paths": [*host["paths"], *added]}]
        document = {**configuration, "version": f"{version:08x}", "hosts": hosts}
        store.put("config", "main", document)

    return change


async def wait_until_applied(instance: RunningInstance, prefix: str) -> None:
    await instance.wait_for(instance.caller_port, f"{prefix}x", 200)


async def restore(store: FakePlatformStore, copied: StoreCopy, away_s: float) -> None:
    """Refuse all calls for some time, and come back from a copy."""
    store.status = 503 if away_s else 200
    await anyio.sleep(away_s)
    store.status = 200
    store.come_back(copied)


async def test_configuration_with_a_used_revision_is_applied(
    store: FakePlatformStore,
    instance: RunningInstance,
    change_configuration: ChangeConfiguration,
    away_s: float,
) -> None:
    """A configuration was never applied: its revision had been seen (review/12)."""
    instance.release_responses.set()
    with anyio.fail_after(TEST_TIMEOUT_S):
        await instance.wait_for(instance.readiness_port, "/readiness", 200)
        copied = store.copy()
        change_configuration(13)
        change_configuration(14, "/lost/")
        await wait_until_applied(instance, "/lost/")
    await restore(store, copied, away_s)
    change_configuration(14, "/lost/")
    change_configuration(15, "/new/")
    with anyio.fail_after(APPLY_AFTER_RETURN_S):
        await wait_until_applied(instance, "/new/")


async def test_configuration_is_applied_while_revisions_are_below_the_earlier_ones(
    store: FakePlatformStore,
    instance: RunningInstance,
    change_configuration: ChangeConfiguration,
    away_s: float,
) -> None:
    """Each listing was left aside as too old, so a change was late (review/14)."""
    instance.release_responses.set()
    with anyio.fail_after(TEST_TIMEOUT_S):
        await instance.wait_for(instance.readiness_port, "/readiness", 200)
        copied = store.copy()
        for version in range(13, 25):
            change_configuration(version)
        change_configuration(25, "/lost/")
        await wait_until_applied(instance, "/lost/")
    await restore(store, copied, away_s)
    change_configuration(25, "/lost/")
    await anyio.sleep(APPLY_AFTER_RETURN_S - APPLY_S)
    change_configuration(26, "/new/")
    with anyio.fail_after(APPLY_S):
        await wait_until_applied(instance, "/new/")


async def test_upstream_that_left_is_not_used_because_the_copy_lists_it(
    store: FakePlatformStore,
    instance: RunningInstance,
    make_registration: Callable[..., dict[str, Any]],
    change_configuration: ChangeConfiguration,
    away_s: float,
) -> None:
    """An upstream that had left got requests after the store's return (review/13)."""
    instance.release_responses.set()
    with anyio.fail_after(TEST_TIMEOUT_S):
        await instance.wait_for(instance.readiness_port, "/readiness", 200)
        await instance.wait_for(instance.caller_port, "/once/x", 200)
        copied = store.copy()
        store.delete("servers", "u0")
        await instance.wait_for(instance.caller_port, "/once/x", 503)
    await restore(store, copied, away_s)
    received_count = len(instance.upstream.requests)
    with anyio.move_on_after(EXPIRY_S):
        for version in range(13, 17):
            # The revisions pass those that were seen before.
            await anyio.sleep(REWRITE_INTERVAL_S)
            change_configuration(version)
        while True:
            await instance.get(instance.caller_port, "/once/x")
            await anyio.sleep(POLL_INTERVAL_S)
    assert len(instance.upstream.requests) == received_count
    store.put("servers", "u0", make_registration(instance.upstream.port, slots=4))
    with anyio.fail_after(APPLY_S):
        await instance.wait_for(instance.caller_port, "/once/x", 200)


async def test_upstream_that_the_copy_lacks_serves_until_it_registers_again(
    store: FakePlatformStore,
    instance: RunningInstance,
    make_registration: Callable[..., dict[str, Any]],
    away_s: float,
) -> None:
    """Requests would be refused until each upstream had registered again."""
    instance.release_responses.set()
    registration = make_registration(instance.upstream.port, born=1770000000001)
    with anyio.fail_after(TEST_TIMEOUT_S):
        await instance.wait_for(instance.readiness_port, "/readiness", 200)
        store.delete("servers", "u0")
        await instance.wait_for(instance.caller_port, "/once/x", 503)
        copied = store.copy()
        store.put("servers", "u0", registration)
        await instance.wait_for(instance.caller_port, "/once/x", 200)
    await restore(store, copied, away_s)
    statuses = set()
    for _ in range(10):
        statuses.add((await instance.get(instance.caller_port, "/once/x"))[:12])
        await anyio.sleep(POLL_INTERVAL_S)
    store.put("servers", "u0", registration)
    with anyio.move_on_after(APPLY_AFTER_RETURN_S):
        while True:
            statuses.add((await instance.get(instance.caller_port, "/once/x"))[:12])
            await anyio.sleep(POLL_INTERVAL_S)
    assert statuses == {b"HTTP/1.1 200"}

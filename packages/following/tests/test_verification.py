"""Tests of verifying pending watches, which may never be answered."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

import anyio
import pytest
import structlog
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import ObjectPath
from tanagercourse.following.verification import (
    RELAYING_TIME_S,
    STORE_DELIVERY_S,
    VERIFICATION_TIMEOUT_S,
    SourceVersions,
    VerificationTimes,
    make_store_times,
    verify_watches,
)
from tanagercourse.platform.reading import (
    HistoryLost,
    ReadProblem,
    StoreVersion,
    VersionedListing,
    VersionedObject,
    WatchObjects,
)
from tanagercourse.platform.store import Unavailable
from tanagercourse.testing.store_versions import at

pytestmark = pytest.mark.anyio

CONFIGURATIONS, SERVERS = ObjectPath("/config"), ObjectPath("/servers")
LOG = structlog.get_logger()
BUSY = Unavailable(SERVERS, "status 429")
WAIT_S = 15.0
TEST_TIMEOUT_S = 5.0
ListResult = Result[VersionedListing, ReadProblem]


def make_changes(version: int) -> VersionedListing:
    path = ObjectPath(f"{SERVERS}/u0")
    stored = VersionedObject(path, at(version), b"")
    return VersionedListing((stored,), at(version))


@dataclass
class SilentSource:
    """A source that never answers watches that wait.

    Attributes:
        answers: Results of watches that do not wait, in order; the last one is kept.
        calls: Prefix and version of each watch that does not wait.
    """

    answers: list[ListResult]
    calls: list[tuple[ObjectPath, StoreVersion]] = field(default_factory=list)

    async def watch(
        self, prefix: ObjectPath, after: StoreVersion, wait_s: float
    ) -> ListResult:
        if wait_s:
            await anyio.sleep_forever()
        self.calls.append((prefix, after))
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]


@pytest.fixture
def versions(anyio_backend: str) -> SourceVersions:
    return SourceVersions()


def make_times(probe_interval_s: float) -> Callable[[], VerificationTimes]:
    times = VerificationTimes(lambda prefix: probe_interval_s, lambda prefix: 0.01)
    return lambda: times


async def watch_until_answered(watch: WatchObjects) -> ListResult:
    with anyio.fail_after(TEST_TIMEOUT_S):
        return await watch(SERVERS, at(5), WAIT_S)


async def test_probe_finds_what_an_unanswered_watch_misses(
    versions: SourceVersions,
) -> None:
    """Relays served stale routes until a lost watch timed out (CONFIG, review/1)."""
    source = SilentSource(
        [Success(VersionedListing((), at(6))), Success(make_changes(8))]
    )
    watch = verify_watches(source.watch, versions, make_times(0.02), LOG)
    assert await watch_until_answered(watch) == Success(make_changes(8))
    assert source.calls == [(SERVERS, at(5)), (SERVERS, at(6))]


async def test_news_of_the_source_verify_a_watch_that_is_not_probed(
    versions: SourceVersions,
) -> None:
    source = SilentSource([Success(make_changes(8))])
    watch = verify_watches(source.watch, versions, make_times(TEST_TIMEOUT_S), LOG)
    versions.record_for_all(at(5))
    with anyio.move_on_after(0.1):
        await watch(SERVERS, at(5), WAIT_S)
    assert source.calls == []
    versions.record({SERVERS: at(8)})
    assert await watch_until_answered(watch) == Success(make_changes(8))


async def test_other_prefix_is_verified_once_for_each_version_that_a_probe_shows(
    versions: SourceVersions,
) -> None:
    """A change under one prefix must not lead to a series of calls for the others."""
    source = SilentSource([Success(VersionedListing((), at(6)))])
    watch = verify_watches(source.watch, versions, make_times(TEST_TIMEOUT_S), LOG)
    versions.record_for_all(at(7))
    with anyio.move_on_after(0.2):
        await watch(SERVERS, at(5), WAIT_S)
    assert source.calls == [(SERVERS, at(5))]


async def test_change_that_the_pending_watch_delivers_costs_no_further_call(
    versions: SourceVersions,
) -> None:
    calls: list[float] = []
    is_changed = anyio.Event()

    async def watch(
        prefix: ObjectPath, after: StoreVersion, wait_s: float
    ) -> ListResult:
        calls.append(wait_s)
        await is_changed.wait()
        return Success(make_changes(8))

    times = VerificationTimes(lambda prefix: TEST_TIMEOUT_S, lambda prefix: 0.2)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            watch_until_answered, verify_watches(watch, versions, lambda: times, LOG)
        )
        await anyio.sleep(0.05)
        versions.record({SERVERS: at(8)})
        await anyio.sleep(0.05)
        is_changed.set()
    assert calls == [WAIT_S]


async def test_busy_source_does_not_end_a_pending_watch_at_once(
    versions: SourceVersions,
) -> None:
    answers = cast("list[ListResult]", [Failure(BUSY), Success(make_changes(8))])
    source = SilentSource(answers)
    watch = verify_watches(source.watch, versions, make_times(0.01), LOG)
    assert await watch_until_answered(watch) == Success(make_changes(8))


@pytest.mark.parametrize("problem", [BUSY, HistoryLost(SERVERS, at(5))])
async def test_watch_that_can_not_be_verified_fails(
    versions: SourceVersions, problem: ReadProblem
) -> None:
    source = SilentSource([Failure(problem)])
    watch = verify_watches(source.watch, versions, make_times(0.01), LOG)
    assert await watch_until_answered(watch) == Failure(problem)


async def test_versions_of_an_earlier_source_are_forgotten(
    versions: SourceVersions,
) -> None:
    versions.record({SERVERS: at(8)})
    versions.record_for_all(at(9))
    versions.clear()
    assert await versions.wait_for_newer(SERVERS, at(5), 0.01) is None


def test_unanswered_watch_of_a_relay_is_noticed_before_a_change_must_be_applied() -> (
    None
):
    # A change may come just after a probe, and the probe's answer may take its whole
    # time limit only while the store is impaired or a connection is lost.
    apply_s = 2.5
    times = make_store_times({CONFIGURATIONS: apply_s, SERVERS: apply_s})
    probe_s = times.probe_interval_s(CONFIGURATIONS)
    assert probe_s + RELAYING_TIME_S <= apply_s
    # Instances count as undisturbed 3 s after a connection is lost.
    assert probe_s + VERIFICATION_TIMEOUT_S + STORE_DELIVERY_S < 3.0 - 0.5


def test_prefix_whose_changes_may_wait_is_verified_later() -> None:
    times = make_store_times({CONFIGURATIONS: 4.0, SERVERS: 5.0})
    assert times.probe_interval_s(CONFIGURATIONS) == pytest.approx(2.6)
    assert times.probe_interval_s(SERVERS) == float("inf")
    assert times.delivery_s(SERVERS) == pytest.approx(STORE_DELIVERY_S + 1.0)

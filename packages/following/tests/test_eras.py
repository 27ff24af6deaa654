"""Tests of the eras of a store that comes back from an older copy."""

from collections.abc import Awaitable, Callable

import anyio
import pytest
import structlog
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import ObjectPath
from tanagercourse.following.eras import EraTracker, parse_era, watch_within_era
from tanagercourse.platform.reading import (
    ONLY_ERA,
    Era,
    HistoryLost,
    ReadProblem,
    StoreVersion,
    VersionedListing,
)
from tanagercourse.testing.store_versions import at

pytestmark = pytest.mark.anyio

LOG = structlog.get_logger()
SERVERS = ObjectPath("/servers")
WAIT_S = 15.0
ListResult = Result[VersionedListing, ReadProblem]


@pytest.fixture
def ended_eras() -> list[str]:
    return []


@pytest.fixture
def eras(anyio_backend: str, ended_eras: list[str]) -> EraTracker:
    """Return a tracker of a store in its first era."""
    tracker = EraTracker(LOG, lambda: ended_eras.append("ended"))
    tracker.record(Era(1))
    return tracker


def answer(
    result: ListResult,
) -> Callable[[ObjectPath, StoreVersion, float], Awaitable[ListResult]]:
    async def watch(
        prefix: ObjectPath, after: StoreVersion, wait_s: float
    ) -> ListResult:
        return result

    return watch


def test_a_later_era_is_newer_whatever_its_revisions() -> None:
    versions = [at(9, era=2), at(100, era=1), at(3, era=2)]
    assert sorted(versions) == [at(100, era=1), at(3, era=2), at(9, era=2)]


@pytest.mark.parametrize(
    ("text", "era"),
    [
        (b"7", 7),
        (b"0", 0),
        (None, None),
        (b"", None),
        (b"-1", None),
        (b"1.5", None),
        (b"x", None),
        (b"9" * 400, None),
    ],
)
def test_only_a_number_states_an_era(text: bytes | None, era: int | None) -> None:
    assert parse_era(text) == era


async def test_answers_without_an_era_are_of_the_latest_one(eras: EraTracker) -> None:
    assert (eras.record(None), eras.record(Era(3)), eras.record(None)) == (1, 3, 3)


async def test_the_latest_era_never_goes_back(
    eras: EraTracker, ended_eras: list[str]
) -> None:
    """Two sources of different eras must not make an instance go back and forth."""
    stated = [eras.record(Era(era)) for era in (2, 1, 2, 4, 3)]
    assert stated == [2, 1, 2, 4, 3]
    assert eras.latest == 4 and ended_eras == ["ended"] * 2


async def test_the_first_era_that_a_store_states_ends_none(
    ended_eras: list[str],
) -> None:
    tracker = EraTracker(LOG, lambda: ended_eras.append("ended"))
    assert tracker.latest == ONLY_ERA
    tracker.record(Era(5))
    assert ended_eras == []


async def test_pending_watch_ends_when_another_call_states_a_later_era(
    eras: EraTracker,
) -> None:
    """A watch from a revision that the store has again waits for the next change."""
    results: list[ListResult] = []

    async def never_answer(
        prefix: ObjectPath, after: StoreVersion, wait_s: float
    ) -> ListResult:
        await anyio.sleep_forever()
        raise AssertionError

    async def watch() -> None:
        watch_era = watch_within_era(never_answer, eras)
        results.append(await watch_era(SERVERS, at(5), WAIT_S))

    with anyio.fail_after(1.0):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            await anyio.sleep(0.01)
            assert results == []
            eras.record(Era(2))
    assert results == [Failure(HistoryLost(SERVERS, at(5)))]


async def test_no_watch_is_sent_from_a_version_of_an_ended_era(
    eras: EraTracker,
) -> None:
    eras.record(Era(2))
    watch = watch_within_era(answer(Success(VersionedListing((), at(5)))), eras)
    result = await watch(SERVERS, at(5), WAIT_S)
    assert result == Failure(HistoryLost(SERVERS, at(5)))


@pytest.mark.parametrize("era", [1, 2])
async def test_changes_of_another_era_are_not_passed_on(
    eras: EraTracker, era: int
) -> None:
    listing = VersionedListing((), at(9, era))
    watch = watch_within_era(answer(Success(listing)), eras)
    result = await watch(SERVERS, at(5), WAIT_S)
    lost: ListResult = Failure(HistoryLost(SERVERS, at(5)))
    assert result == (Success(listing) if era == 1 else lost)

"""Tell how far a change has got through the fleet, and wait until it is everywhere."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio
from returns.result import Failure, Result, Success

from tanagercourse.coordination.status import (
    ZONE_STATUS_PREFIX,
    ApplyStatus,
    FleetStatus,
    InstanceApplyStatus,
    read_fleet_status,
)
from tanagercourse.core.ids import NO_VERSION, Version
from tanagercourse.core.problems import Problem
from tanagercourse.platform.store import Store, StoreProblem

# A waiting watch is one call to the platform; status is written at most this late.
WATCH_WAIT_S = 10.0
RETRY_INTERVAL_S = 1.0


@dataclass(frozen=True)
class Progress:
    """How far one version has got.

    Attributes:
        version: The version.
        in_force: Instances that have it, or a newer one, in force.
        lagging: Instances that do not yet.
        unreachable: Instances that nobody has heard of lately.
    """

    version: Version
    in_force: int
    lagging: int
    unreachable: int

    @property
    def is_everywhere(self) -> bool:
        """Whether every instance is known to have it in force."""
        return self.in_force > 0 and not self.lagging and not self.unreachable

    def describe(self) -> str:
        """Tell a person how far it has got."""
        total = self.in_force + self.lagging + self.unreachable
        return (
            f"version {self.version}: in force at {self.in_force} of {total} "
            f"instances, {self.lagging} lagging, {self.unreachable} unreachable"
        )


@dataclass(frozen=True)
class NotEverywhere(Problem):
    """A change was accepted but not in force everywhere in the time given.

    Attributes:
        progress: How far it has got.
        waited_s: How long was waited, in seconds.
    """

    progress: Progress
    waited_s: float

    def describe(self) -> str:
        """Tell a person how far it has got and what to do."""
        return (
            f"{self.progress.describe()} after {self.waited_s:g} s; the change "
            "stands and still spreads: see `tanagercourse status` for who lacks it"
        )


def progress_of(status: FleetStatus, version: Version) -> Progress:
    """Return how far a version has got."""
    instances = [each for zone in status.zones for each in zone.instances]
    reached = [_reach_of(each, version) for each in instances]
    return Progress(
        version,
        reached.count(ApplyStatus.APPLIED),
        reached.count(ApplyStatus.LAGGING),
        reached.count(ApplyStatus.UNREACHABLE),
    )


async def wait_until_everywhere(
    store: Store,
    version: Version,
    timeout_s: float,
    tell: Callable[[Progress], None],
) -> Result[Progress, StoreProblem | NotEverywhere]:
    """Wait until every instance has a version in force.

    Args:
        store: The platform.
        version: The version.
        timeout_s: How long to wait, in seconds.
        tell: Is told each time the change has got further.
    """
    progress = Progress(version, 0, 0, 0)
    seen = NO_VERSION
    with anyio.move_on_after(timeout_s):
        while True:
            read = await read_fleet_status(store, version)
            if isinstance(read, Failure):
                return read
            now = progress_of(read.unwrap(), version)
            if now != progress:
                progress = now
                tell(progress)
            if progress.is_everywhere:
                return Success(progress)
            seen = await wait_for_news(store, seen)
    return Failure(NotEverywhere(progress, timeout_s))


async def wait_for_news(store: Store, seen: Version) -> Version:
    """Wait until a zone has written its status anew, or for a while.

    Args:
        store: The platform.
        seen: What an earlier call returned; 0 at first, which returns at once.

    Returns:
        The version up to which all news have been seen.
    """
    waited = await store.watch(ZONE_STATUS_PREFIX, seen, WATCH_WAIT_S)
    if isinstance(waited, Failure):
        await anyio.sleep(RETRY_INTERVAL_S)
        return seen
    return max(seen, waited.unwrap().version)


def _reach_of(instance: InstanceApplyStatus, version: Version) -> ApplyStatus:
    """Return how far a version, rather than the newest, has got at an instance."""
    if instance.reach is ApplyStatus.UNREACHABLE:
        return ApplyStatus.UNREACHABLE
    is_there = instance.status.version >= version
    return ApplyStatus.APPLIED if is_there else ApplyStatus.LAGGING

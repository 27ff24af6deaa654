"""Count the instances that have applied a settings version, and wait until all have."""

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

# How long one watch call to the platform waits for a new zone status, so that waiting
# costs few calls. A zone writes a changed status within this time.
WATCH_WAIT_S = 10.0
# Pause after a failed watch call.
RETRY_INTERVAL_S = 1.0


@dataclass(frozen=True)
class RolloutProgress:
    """The number of instances that have applied one settings version.

    Attributes:
        version: The settings version.
        in_force: Instances that have applied this version or a newer one.
        lagging: Instances that have not applied it yet.
        unreachable: Instances that have not reported recently or are suspected to
            have failed.
    """

    version: Version
    in_force: int
    lagging: int
    unreachable: int

    @property
    def is_complete(self) -> bool:
        """Whether every instance is known to have applied the version."""
        return self.in_force > 0 and not self.lagging and not self.unreachable

    def describe(self) -> str:
        """Return a message with the number of instances in each state."""
        total = self.in_force + self.lagging + self.unreachable
        return (
            f"version {self.version}: in force at {self.in_force} of {total} "
            f"instances, {self.lagging} lagging, {self.unreachable} unreachable"
        )


@dataclass(frozen=True)
class NotEverywhere(Problem):
    """A change was accepted, but not every instance applied it within the time limit.

    Attributes:
        progress: The last progress observed.
        waited_s: The time limit, in seconds.
    """

    progress: RolloutProgress
    waited_s: float

    def describe(self) -> str:
        """Return a message with the progress and where to follow the rollout."""
        return (
            f"{self.progress.describe()} after {self.waited_s:g} s; the change is "
            "accepted and still being rolled out: `tanagercourse status` lists the "
            "instances that lack it"
        )


def rollout_progress(status: FleetStatus, version: Version) -> RolloutProgress:
    """Return the progress of a version's rollout according to the fleet's status."""
    instances = [instance for zone in status.zones for instance in zone.instances]
    statuses = [_apply_status_of(instance, version) for instance in instances]
    return RolloutProgress(
        version,
        statuses.count(ApplyStatus.APPLIED),
        statuses.count(ApplyStatus.LAGGING),
        statuses.count(ApplyStatus.UNREACHABLE),
    )


async def wait_until_applied_everywhere(
    store: Store,
    version: Version,
    timeout_s: float,
    on_progress: Callable[[RolloutProgress], None],
) -> Result[RolloutProgress, StoreProblem | NotEverywhere]:
    """Wait until every instance has applied a version.

    Args:
        store: The platform's store.
        version: The settings version.
        timeout_s: How long to wait, in seconds.
        on_progress: Called with the progress each time it changes.

    Returns:
        The final progress, or why the wait ended before every instance had applied
        the version.
    """
    progress = RolloutProgress(version, 0, 0, 0)
    seen_version = NO_VERSION
    with anyio.move_on_after(timeout_s):
        while True:
            read = await read_fleet_status(store, version)
            if isinstance(read, Failure):
                return read
            current = rollout_progress(read.unwrap(), version)
            if current != progress:
                progress = current
                on_progress(progress)
            if progress.is_complete:
                return Success(progress)
            seen_version = await wait_for_status_change(store, seen_version)
    return Failure(NotEverywhere(progress, timeout_s))


async def wait_for_status_change(store: Store, seen_version: Version) -> Version:
    """Wait until a zone has written a new status, at most WATCH_WAIT_S seconds.

    Args:
        store: The platform's store.
        seen_version: The version that the previous call returned; 0 for the first
            call, which returns immediately.

    Returns:
        The store's version up to which every change has been observed.
    """
    watched = await store.watch(ZONE_STATUS_PREFIX, seen_version, WATCH_WAIT_S)
    if isinstance(watched, Failure):
        await anyio.sleep(RETRY_INTERVAL_S)
        return seen_version
    return max(seen_version, watched.unwrap().version)


def _apply_status_of(instance: InstanceApplyStatus, version: Version) -> ApplyStatus:
    """Return an instance's apply status for a version, which need not be the newest."""
    if instance.reach is ApplyStatus.UNREACHABLE:
        return ApplyStatus.UNREACHABLE
    is_applied = instance.status.version >= version
    return ApplyStatus.APPLIED if is_applied else ApplyStatus.LAGGING

"""Records of leases: in the platform, at the holder and at a contender.

See leases.py for how holders and contenders measure time.
"""

from dataclasses import dataclass
from enum import Enum, unique

from tanagercourse.core.ids import FencingVersion, InstanceId, ObjectPath, Version

# Maximum difference assumed between the rates of two clocks, as a fraction.
MAX_DRIFT = 0.01


@unique
class LeaseState(Enum):
    """State of a lease as its last holder wrote it."""

    HELD = "held"
    RELEASED = "released"


@dataclass(frozen=True)
class LeaseRecord:
    """A lease as stored in the platform.

    Attributes:
        holder: The instance that wrote the record.
        duration_ms: How long the holder may hold the lease after one update, in
            milliseconds.
        fence: The fencing version; 0 in the update that acquires the lease, because
            the version of that update becomes the fencing version.
        state: Whether the holder has released the lease.
    """

    holder: InstanceId
    duration_ms: int
    fence: FencingVersion
    state: LeaseState = LeaseState.HELD


@dataclass(frozen=True)
class Claim:
    """A request for a lease.

    Attributes:
        path: Path of the lease's object.
        holder: The instance that requests the lease.
        duration_ms: How long the holder may hold the lease after one update, in
            milliseconds.
    """

    path: ObjectPath
    holder: InstanceId
    duration_ms: int


@dataclass(frozen=True)
class Lease:
    """A lease as its holder sees it.

    Attributes:
        claim: The request that acquired the lease.
        fence: The fencing version, which increases with each acquisition.
        version: The platform's version of the last update.
        held_until_s: Expiry on the holder's own clock, in seconds.
    """

    claim: Claim
    fence: FencingVersion
    version: Version
    held_until_s: float

    def is_held(self, now_s: float) -> bool:
        """Return whether the lease is unexpired; check before each piece of work.

        Args:
            now_s: Current time on the holder's clock, in seconds.
        """
        return now_s < self.held_until_s


@dataclass(frozen=True)
class Sighting:
    """The version of a lease's object that a contender last read.

    Attributes:
        version: The version; 0 if there was no object.
        first_seen_s: When the contender first read this version, on its own clock,
            in seconds.
    """

    version: Version
    first_seen_s: float


def takeover_wait_s(record: LeaseRecord, sighting: Sighting, now_s: float) -> float:
    """Return how long a contender has to wait before it may take over a lease.

    Args:
        record: The lease as the contender just read it.
        sighting: The version that was read, and when it was first read.
        now_s: Current time on the contender's clock, in seconds.

    Returns:
        Seconds to wait; 0 if the contender may take over the lease now.

    >>> record = LeaseRecord(InstanceId("a"), 10_000, FencingVersion(3))
    >>> takeover_wait_s(record, Sighting(Version(7), 100.0), 105.0)
    5.1
    """
    if record.state is LeaseState.RELEASED:
        return 0.0
    max_lease_s = record.duration_ms / 1_000 * (1 + MAX_DRIFT)
    return round(max(0.0, sighting.first_seen_s + max_lease_s - now_s), 6)

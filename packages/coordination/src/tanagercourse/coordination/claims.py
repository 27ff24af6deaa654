"""What is said of a lease: its record, and what holders and contenders know.

How each counts its time is told in leases.py.
"""

from dataclasses import dataclass
from enum import Enum, unique

from tanagercourse.core.ids import FencingVersion, InstanceId, ObjectPath, Version

# Rates of two clocks differ by at most this share.
MAX_DRIFT = 0.01


@unique
class LeaseState(Enum):
    """Whether the last holder still holds a lease, as far as it wrote."""

    HELD = "held"
    RELEASED = "released"


@dataclass(frozen=True)
class LeaseRecord:
    """What the platform keeps of a lease.

    Attributes:
        holder: Who wrote it.
        duration_ms: How long the holder may act on one update, in milliseconds.
        fence: The fencing version; 0 in the update that acquires, whose own
            version is the fencing version.
        state: Whether the holder gave it up.
    """

    holder: InstanceId
    duration_ms: int
    fence: FencingVersion
    state: LeaseState = LeaseState.HELD


@dataclass(frozen=True)
class Claim:
    """Who wants which lease, and for how long one update is to last."""

    path: ObjectPath
    holder: InstanceId
    duration_ms: int


@dataclass(frozen=True)
class Lease:
    """A lease as its holder knows it.

    Attributes:
        claim: What was asked for.
        fence: Grows with each acquisition of this lease.
        version: The platform's version of the last update.
        held_until_s: When the holder has to stop, on its own clock, in seconds.
    """

    claim: Claim
    fence: FencingVersion
    version: Version
    held_until_s: float

    def is_held(self, now_s: float) -> bool:
        """Whether the holder may still act; ask before each piece of work.

        Args:
            now_s: The holder's clock, in seconds.
        """
        return now_s < self.held_until_s


@dataclass(frozen=True)
class Sighting:
    """The version of a lease's object that a contender last read, and since when.

    Attributes:
        version: The version; 0 when there was no object.
        first_seen_s: When this version was first read, on the contender's clock.
    """

    version: Version
    first_seen_s: float


def takeover_wait_s(record: LeaseRecord, sighting: Sighting, now_s: float) -> float:
    """Return how long a contender has to wait before it may take a lease over.

    Args:
        record: The lease as the contender just read it.
        sighting: Since when it has seen this version of it.
        now_s: The contender's clock, in seconds.

    Returns:
        Seconds; 0 when it may take the lease over now.

    >>> record = LeaseRecord(InstanceId("a"), 10_000, FencingVersion(3))
    >>> takeover_wait_s(record, Sighting(Version(7), 100.0), 105.0)
    5.1
    """
    if record.state is LeaseState.RELEASED:
        return 0.0
    longest_s = record.duration_ms / 1_000 * (1 + MAX_DRIFT)
    return round(max(0.0, sighting.first_seen_s + longest_s - now_s), 6)

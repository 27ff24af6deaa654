"""Count the instances of each zone, by the checks that relays answer.

What all instances of a zone may do together, each does in part. The count needs no
writes to the store: every follower checks its relay regularly and names itself.
"""

from collections import deque
from collections.abc import Callable

from tanagercourse.core.ids import InstanceId, ZoneId

# Time without a check after which a follower no longer counts, in seconds.
FOLLOWER_TTL_S = 3.0
# Time for which the largest count is used, in seconds. A relay that has just started,
# or that shares a zone's followers with another one, counts too few at first.
COUNT_TTL_S = 15.0
# Assumed number of instances in a zone before the first count.
DEFAULT_ZONE_INSTANCES = 8


class FollowerCounts:
    """The instances that recently checked this relay, by zone."""

    def __init__(self, zone: ZoneId, clock: Callable[[], float]) -> None:
        """Start with this instance alone.

        Args:
            zone: Zone of this instance.
            clock: A monotonic clock, in seconds.
        """
        self._zone = zone
        self._clock = clock
        self._heard_at_s: dict[ZoneId, dict[InstanceId, float]] = {}

    def record(self, instance: InstanceId, zone: ZoneId) -> None:
        """Record a check by a follower."""
        self._heard_at_s.setdefault(zone, {})[instance] = self._clock()

    def count(self, zone: ZoneId) -> int:
        """Return the number of instances in a zone that this relay knows of."""
        followers = self._heard_at_s.get(zone, {})
        oldest_s = self._clock() - FOLLOWER_TTL_S
        for instance, heard_at_s in tuple(followers.items()):
            if heard_at_s < oldest_s:
                del followers[instance]
        return len(followers) + (zone == self._zone)


class ZoneSize:
    """The number of instances in this instance's zone."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without a count.

        Args:
            clock: A monotonic clock, in seconds.
        """
        self._clock = clock
        self._counts: deque[tuple[float, int]] = deque()

    def record(self, count: int) -> None:
        """Record a count of the instances in this zone."""
        now_s = self._clock()
        self._counts.append((now_s, max(1, count)))
        while self._counts[0][0] < now_s - COUNT_TTL_S:
            self._counts.popleft()

    def instance_count(self) -> int:
        """Return the largest recent count, or the last one if none is recent."""
        if not self._counts:
            return DEFAULT_ZONE_INSTANCES
        return max(count for _, count in self._counts)

"""Hold one share of a destination's slots, and use it only while it lasts."""

from tanagercourse.core.ids import NO_VERSION, FencingVersion, RegionId
from tanagercourse.steering.shares import (
    DestinationId,
    ShareGrant,
    ShareHolderId,
    ShareRelease,
    ShareRequest,
    ShareSequence,
    holder_ttl_s,
)


class ShareHolder:
    """One holder's share of one destination, by the holder's own clock."""

    def __init__(
        self, destination: DestinationId, holder: ShareHolderId, region: RegionId
    ) -> None:
        self.destination = destination
        self.in_use = 0
        self._holder = holder
        self._region = region
        self._sequence = ShareSequence(0)
        self._sent_at_s = 0.0
        self._fencing = FencingVersion(NO_VERSION)
        self._slots = 0
        self._expires_at_s = 0.0

    def request(self, wanted_slots: int, now_s: float) -> ShareRequest:
        """Return the next request; it gives up what is held beyond what is wanted.

        Send it again as it is when no answer comes: its time counts from now.

        Args:
            wanted_slots: Slots to use from now on.
            now_s: The holder's clock, in seconds.
        """
        self._slots = max(self.in_use, min(self.held_slots(now_s), wanted_slots))
        self._sequence = ShareSequence(self._sequence + 1)
        self._sent_at_s = now_s
        return ShareRequest(
            self.destination,
            self._holder,
            self._region,
            self._sequence,
            self._slots,
            wanted_slots,
        )

    def accept(self, grant: ShareGrant) -> bool:
        """Take a grant; one for an earlier request or of an older lease is refused.

        Returns:
            Whether it was taken.
        """
        is_mine = grant.holder == self._holder and grant.destination == self.destination
        if not is_mine or grant.sequence != self._sequence:
            return False
        if grant.fencing < self._fencing:
            return False
        self._fencing = grant.fencing
        self._slots = grant.slots
        self._expires_at_s = self._sent_at_s + holder_ttl_s(grant.ttl_s)
        return True

    def release(self) -> ShareRelease | None:
        """Return the message that gives the share back, None while some is in use."""
        if self.in_use:
            return None
        self._slots = 0
        self._sequence = ShareSequence(self._sequence + 1)
        return ShareRelease(self.destination, self._holder, self._sequence)

    def held_slots(self, now_s: float) -> int:
        """Return how many slots may be in use now."""
        return self._slots if now_s < self._expires_at_s else 0

    def free_slots(self, now_s: float, until_s: float) -> int:
        """Return how many more requests that end by a time may be sent now."""
        if until_s > self._expires_at_s:
            return 0
        return max(0, self.held_slots(now_s) - self.in_use)

    def try_acquire_slot(self, now_s: float, until_s: float) -> bool:
        """Take one slot for a request, if the share outlasts it.

        Args:
            now_s: The holder's clock, in seconds.
            until_s: When the request is cancelled at the latest.

        Returns:
            Whether the request may be sent; `release_slot` must then follow.
        """
        if not self.free_slots(now_s, until_s):
            return False
        self.in_use += 1
        return True

    def release_slot(self) -> None:
        """Give back the slot of a request that has ended."""
        self.in_use -= 1

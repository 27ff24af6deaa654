"""Hold a share of a destination's slots and use it only until it expires."""

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
    """One holder's share of one destination; times are by the holder's clock.

    Args:
        destination: The destination whose slots are shared.
        holder: Identity of this holder.
        region: The holder's region.
    """

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
        """Return the next request and give up held slots in excess of the wanted ones.

        If no response arrives, send the same request again. The share's lifetime counts
        from this call.

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
        """Accept a grant, unless it is for another request or from an older lease.

        Returns:
            Whether the grant was accepted.
        """
        is_for_this_holder = (
            grant.holder == self._holder and grant.destination == self.destination
        )
        if not is_for_this_holder or grant.sequence != self._sequence:
            return False
        if grant.fencing < self._fencing:
            return False
        self._fencing = grant.fencing
        self._slots = grant.slots
        self._expires_at_s = self._sent_at_s + holder_ttl_s(grant.ttl_s)
        return True

    def release(self) -> ShareRelease | None:
        """Release the share and return the message, None while slots are in use."""
        if self.in_use:
            return None
        self._slots = 0
        self._sequence = ShareSequence(self._sequence + 1)
        return ShareRelease(self.destination, self._holder, self._sequence)

    def held_slots(self, now_s: float) -> int:
        """Return the number of slots that may be in use now."""
        return self._slots if now_s < self._expires_at_s else 0

    def free_slots(self, now_s: float, until_s: float) -> int:
        """Return how many more requests that end by `until_s` may be sent now."""
        if until_s > self._expires_at_s:
            return 0
        return max(0, self.held_slots(now_s) - self.in_use)

    def try_acquire_slot(self, now_s: float, until_s: float) -> bool:
        """Occupy a free slot for a request, if the share outlasts the request.

        Args:
            now_s: The holder's clock, in seconds.
            until_s: Latest time at which the request is cancelled.

        Returns:
            Whether the request may be sent; the caller must then call `release_slot`.
        """
        if not self.free_slots(now_s, until_s):
            return False
        self.in_use += 1
        return True

    def release_slot(self) -> None:
        """Free the slot of a request that has ended."""
        self.in_use -= 1

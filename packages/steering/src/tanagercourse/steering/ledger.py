"""The granter's ledger: grants shares of one destination's slots under one lease."""

import math
from collections.abc import Callable
from dataclasses import dataclass, replace

from returns.result import Failure, Result, Success

from tanagercourse.core.ids import RegionId
from tanagercourse.steering.shares import (
    SHARE_TTL_S,
    DestinationCapacity,
    DestinationId,
    GranterLease,
    NotGranter,
    ShareGrant,
    ShareHolderId,
    ShareRelease,
    ShareRequest,
    ShareSequence,
    StaleRequest,
)


@dataclass(frozen=True)
class _Allotment:
    """Slots that a holder may be using until they expire."""

    slots: int
    expires_at_s: float


@dataclass
class _Account:
    """The ledger's record of one holder.

    Attributes:
        region: The holder's region.
        sequence: Largest sequence accepted from the holder.
        wanted_slots: Slots that the holder last requested.
        allotments: Slots that the holder may be using, each until its expiry.
        last_grant: The grant that answered `sequence`; None after a release.
    """

    region: RegionId
    sequence: ShareSequence
    wanted_slots: int
    allotments: tuple[_Allotment, ...]
    last_grant: ShareGrant | None

    def live_slots(self, now_s: float) -> int:
        live = (
            allotment.slots
            for allotment in self.allotments
            if allotment.expires_at_s > now_s
        )
        return max(live, default=0)

    def live_until_s(self) -> float:
        return max(
            (allotment.expires_at_s for allotment in self.allotments), default=-math.inf
        )


class ShareLedger:
    """The shares of one destination that a granter has granted under one lease.

    Args:
        destination: The destination whose slots are granted.
        capacity: Limits on the sum of all shares.
        lease: The granter's lease, by the granter's clock.
    """

    def __init__(
        self,
        destination: DestinationId,
        capacity: DestinationCapacity,
        lease: GranterLease,
    ) -> None:
        self.destination = destination
        self.capacity = capacity
        self._lease = lease
        self._accounts: dict[ShareHolderId, _Account] = {}

    def renew(self, ends_at_s: float) -> None:
        """Extend the lease; an earlier end than the current one is ignored.

        Args:
            ends_at_s: When the renewed lease lapses, by the granter's clock.
        """
        latest_s = max(ends_at_s, self._lease.ends_at_s)
        self._lease = replace(self._lease, ends_at_s=latest_s)

    def live_slots(self, now_s: float) -> int:
        """Return the number of slots that all holders together may be using."""
        return self._live_slots_where(now_s, lambda account: True)

    def grant(
        self, request: ShareRequest, now_s: float
    ) -> Result[ShareGrant, NotGranter | StaleRequest]:
        """Grant a share; repeating the holder's latest request returns the same grant.

        Args:
            request: The holder's request.
            now_s: The granter's clock, in seconds.

        Returns:
            The grant; `NotGranter` when the lease has lapsed or shares of an earlier
            granter may still be in use; `StaleRequest` when a later message of the
            holder has been accepted.
        """
        lease = self._lease
        grants_from_s = lease.acquired_at_s + lease.grant_delay_s
        if now_s >= lease.ends_at_s:
            return Failure(NotGranter(self.destination, lease.fencing, math.inf))
        if now_s < grants_from_s:
            retry_after_s = grants_from_s - now_s
            return Failure(NotGranter(self.destination, lease.fencing, retry_after_s))
        account = self._accounts.get(request.holder)
        if account is not None and request.sequence <= account.sequence:
            return self._replay_grant(account, request)
        self._delete_expired(now_s)
        return Success(self._issue_grant(request, now_s))

    def release(self, release: ShareRelease, now_s: float) -> None:
        """Return a share to the pool; a late or repeated release has no effect."""
        account = self._accounts.get(release.holder)
        if account is None or release.sequence <= account.sequence:
            return
        account.sequence = release.sequence
        account.last_grant = None
        account.allotments = (_Allotment(0, account.live_until_s()),)

    def _replay_grant(
        self, account: _Account, request: ShareRequest
    ) -> Result[ShareGrant, NotGranter | StaleRequest]:
        if account.last_grant is not None and request.sequence == account.sequence:
            return Success(account.last_grant)
        return Failure(StaleRequest(request.sequence, account.sequence))

    def _issue_grant(self, request: ShareRequest, now_s: float) -> ShareGrant:
        account = self._accounts.get(request.holder)
        live = account.live_slots(now_s) if account else 0
        kept = max(0, min(request.kept_slots, live))
        kept_until_s = account.live_until_s() if account else now_s
        slots = self._allowed_slots(request, live, now_s)
        ttl_s = min(SHARE_TTL_S, self._lease.ends_at_s - now_s)
        grant = ShareGrant(
            self.destination,
            request.holder,
            request.sequence,
            self._lease.fencing,
            slots,
            ttl_s,
        )
        allotments = (_Allotment(kept, kept_until_s), _Allotment(slots, now_s + ttl_s))
        self._accounts[request.holder] = _Account(
            request.region, request.sequence, request.wanted_slots, allotments, grant
        )
        return grant

    def _allowed_slots(self, request: ShareRequest, live: int, now_s: float) -> int:
        """Return the holder's total share: the requested slots, within every limit.

        Args:
            request: The holder's request.
            live: Slots that the holder may be using now; they count as available to
                it.
            now_s: The granter's clock, in seconds.
        """
        home = self.capacity.home
        free = self.capacity.slots - self.live_slots(now_s)
        if request.region != home:
            link_limit = self.capacity.link_slots.get(request.region, 0)
            link_used = self._live_slots_where(
                now_s, lambda account: account.region == request.region
            )
            remote_used = self._live_slots_where(
                now_s, lambda account: account.region != home
            )
            free = min(
                free, link_limit - link_used, self.capacity.remote_slots - remote_used
            )
        slots = min(request.wanted_slots, live + free)
        if self._is_contended(request, now_s):
            slots = min(slots, self._equal_share(request))
        return max(0, slots)

    def _is_contended(self, request: ShareRequest, now_s: float) -> bool:
        return any(
            account.wanted_slots > account.live_slots(now_s)
            for holder, account in self._accounts.items()
            if holder != request.holder
        )

    def _equal_share(self, request: ShareRequest) -> int:
        """Return the share of each requesting holder if all shares were equal."""
        is_remote = request.region != self.capacity.home
        contenders = {
            holder
            for holder, account in self._accounts.items()
            if account.wanted_slots > 0
            and (account.region != self.capacity.home) == is_remote
        }
        slots = self.capacity.slots
        if is_remote:
            link_limit = self.capacity.link_slots.get(request.region, 0)
            slots = min(link_limit, self.capacity.remote_slots)
        return math.ceil(slots / len(contenders | {request.holder}))

    def _live_slots_where(
        self, now_s: float, matches: Callable[[_Account], bool]
    ) -> int:
        accounts = self._accounts.values()
        return sum(
            account.live_slots(now_s) for account in accounts if matches(account)
        )

    def _delete_expired(self, now_s: float) -> None:
        expired = [
            holder
            for holder, account in self._accounts.items()
            if account.live_until_s() <= now_s
        ]
        for holder in expired:
            del self._accounts[holder]

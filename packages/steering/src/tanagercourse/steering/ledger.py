"""Grant shares of one destination's slots, under one lease."""

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
class _Entry:
    """Slots that a holder may be using until a time."""

    slots: int
    expires_at_s: float


@dataclass
class _Account:
    """What the book knows of one holder."""

    region: RegionId
    sequence: ShareSequence
    wanted_slots: int
    entries: tuple[_Entry, ...]
    answer: ShareGrant | None

    def live_slots(self, now_s: float) -> int:
        live = (entry.slots for entry in self.entries if entry.expires_at_s > now_s)
        return max(live, default=0)

    def live_until_s(self) -> float:
        return max((entry.expires_at_s for entry in self.entries), default=-math.inf)


class ShareLedger:
    """The granter's account of one destination's shares, for one lease."""

    def __init__(
        self,
        destination: DestinationId,
        capacity: DestinationCapacity,
        tenure: GranterLease,
    ) -> None:
        self.destination = destination
        self.capacity = capacity
        self._tenure = tenure
        self._accounts: dict[ShareHolderId, _Account] = {}

    def renew(self, ends_at_s: float) -> None:
        """Note that the lease was renewed and lapses at a later time."""
        latest_s = max(ends_at_s, self._tenure.ends_at_s)
        self._tenure = replace(self._tenure, ends_at_s=latest_s)

    def live_slots(self, now_s: float) -> int:
        """Return how many slots all holders together may be using."""
        return self._live(now_s, lambda account: True)

    def grant(
        self, request: ShareRequest, now_s: float
    ) -> Result[ShareGrant, NotGranter | StaleRequest]:
        """Answer a request; the same request again gets the same answer.

        Args:
            request: Who wants how much.
            now_s: The granter's clock, in seconds.
        """
        tenure = self._tenure
        opens_at_s = tenure.began_at_s + tenure.wait_s
        if now_s >= tenure.ends_at_s:
            return Failure(NotGranter(self.destination, tenure.fencing, math.inf))
        if now_s < opens_at_s:
            wait_s = opens_at_s - now_s
            return Failure(NotGranter(self.destination, tenure.fencing, wait_s))
        account = self._accounts.get(request.holder)
        if account is not None and request.sequence <= account.sequence:
            return self._answer_again(account, request)
        self._forget_expired(now_s)
        return Success(self._grant_anew(request, now_s))

    def release(self, release: ShareRelease, now_s: float) -> None:
        """Take a share back; one that comes late or twice changes nothing."""
        account = self._accounts.get(release.holder)
        if account is None or release.sequence <= account.sequence:
            return
        account.sequence = release.sequence
        account.answer = None
        account.entries = (_Entry(0, account.live_until_s()),)

    def _answer_again(
        self, account: _Account, request: ShareRequest
    ) -> Result[ShareGrant, NotGranter | StaleRequest]:
        if account.answer is not None and request.sequence == account.sequence:
            return Success(account.answer)
        return Failure(StaleRequest(request.sequence, account.sequence))

    def _grant_anew(self, request: ShareRequest, now_s: float) -> ShareGrant:
        account = self._accounts.get(request.holder)
        live = account.live_slots(now_s) if account else 0
        kept = max(0, min(request.kept_slots, live))
        kept_until_s = account.live_until_s() if account else now_s
        slots = self._slots_for(request, live, now_s)
        ttl_s = min(SHARE_TTL_S, self._tenure.ends_at_s - now_s)
        grant = ShareGrant(
            self.destination,
            request.holder,
            request.sequence,
            self._tenure.fencing,
            slots,
            ttl_s,
        )
        entries = (_Entry(kept, kept_until_s), _Entry(slots, now_s + ttl_s))
        self._accounts[request.holder] = _Account(
            request.region, request.sequence, request.wanted_slots, entries, grant
        )
        return grant

    def _slots_for(self, request: ShareRequest, live: int, now_s: float) -> int:
        """Return the holder's whole share: what it wants, within every limit.

        Args:
            request: Who wants how much.
            live: Slots it may be using now, which its limits need not leave free.
            now_s: The granter's clock, in seconds.
        """
        home = self.capacity.home
        free = self.capacity.slots - self.live_slots(now_s)
        if request.region != home:
            link = self.capacity.link_slots.get(request.region, 0)
            on_link = self._live(now_s, lambda other: other.region == request.region)
            remote = self._live(now_s, lambda other: other.region != home)
            free = min(free, link - on_link, self.capacity.remote_slots - remote)
        slots = min(request.wanted_slots, live + free)
        if self._others_lack(request, now_s):
            slots = min(slots, self._even_part(request))
        return max(0, slots)

    def _others_lack(self, request: ShareRequest, now_s: float) -> bool:
        return any(
            account.wanted_slots > account.live_slots(now_s)
            for holder, account in self._accounts.items()
            if holder != request.holder
        )

    def _even_part(self, request: ShareRequest) -> int:
        """Return the slots of each holder that wants some, were all alike."""
        is_remote = request.region != self.capacity.home
        wanting = {
            holder
            for holder, account in self._accounts.items()
            if account.wanted_slots > 0
            and (account.region != self.capacity.home) == is_remote
        }
        slots = self.capacity.slots
        if is_remote:
            link = self.capacity.link_slots.get(request.region, 0)
            slots = min(link, self.capacity.remote_slots)
        return math.ceil(slots / len(wanting | {request.holder}))

    def _live(self, now_s: float, counts: Callable[[_Account], bool]) -> int:
        accounts = self._accounts.values()
        return sum(account.live_slots(now_s) for account in accounts if counts(account))

    def _forget_expired(self, now_s: float) -> None:
        expired = [
            holder
            for holder, account in self._accounts.items()
            if account.live_until_s() <= now_s
        ]
        for holder in expired:
            del self._accounts[holder]

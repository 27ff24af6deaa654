"""Grant a relay's share of each tenant's limit, without I/O.

All times are the granter's CLOCK_BOOTTIME, in seconds. What a holder may use without a
query is known from its last queries and answers; a bucket is charged for it before it
grants again, also after the granter was suspended.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from tanagercourse.core.ids import InstanceId, TenantId
from tanagercourse.quota.decaying import DecayingRate
from tanagercourse.quota.limits import (
    MIN_STANDBY_PER_S,
    SILENCE_S,
    STANDBY_S,
    STANDBY_SHARE,
    BucketSize,
    QuotaBounds,
    QuotaLimit,
    bucket_size,
    needed_reserve,
)
from tanagercourse.quota.messages import Answer, Grant, Need, Query

# Time over which queries that got less than they wanted are counted, in seconds.
UNMET_TIME_CONSTANT_S = 0.5
# Bounds on the time after which a holder may ask again for a tenant, in seconds.
MIN_ASK_AGAIN_S = 0.02
MAX_ASK_AGAIN_S = 1.0
# Number of answers by which a holder may be behind and still confirm one.
MAX_UNCONFIRMED = 16
# Maximum number of tenants for which one holder has a standby rate. Each answer states
# all of them, and with long names more would exceed the 65,507 bytes of a datagram.
MAX_STANDBY_TENANTS = 200
# Interval between removals of holders that no longer query, in seconds.
REMOVE_INTERVAL_S = 5.0


@dataclass
class _Standby:
    """The standby rate of one holder for one tenant.

    Attributes:
        latest_per_s: Rate in the newest answer.
        bound_per_s: Maximum rate that the holder may have.
        reserve: Part of the capacity reserved for the holder.
        charged_until_s: Time until which the bucket has been charged.
    """

    latest_per_s: float
    bound_per_s: float
    reserve: float
    charged_until_s: float


@dataclass
class _Contact:
    """What is known of one holder.

    Attributes:
        confirmed_at_s: Time of the newest answer that the holder is known to have.
        answered_at_s: Time of the newest answer.
        answered: Number of the newest answer.
        answers: Times of recent answers by number.
        tenants: Tenants with a standby rate of this holder.
        uses: Tenants and the use that the holder last stated, per second.
    """

    confirmed_at_s: float
    answered_at_s: float
    answered: int = -1
    answers: dict[int, float] = field(default_factory=dict)
    tenants: set[TenantId] = field(default_factory=set)
    uses: dict[TenantId, float] = field(default_factory=dict)


@dataclass
class _Bucket:
    """Tokens of one tenant; starts empty.

    Attributes:
        size: Rate and capacity.
        started_at_s: Time since which all standby rates are known to this granter.
        advanced_at_s: Time to which the level refers.
        level: Number of tokens.
        standby: Standby rates by holder.
        used_per_s: Use that all holders state.
        unmet: Queries that got less than they wanted.
    """

    size: BucketSize
    started_at_s: float
    advanced_at_s: float
    level: float = 0.0
    standby: dict[InstanceId, _Standby] = field(default_factory=dict)
    used_per_s: float = 0.0
    unmet: DecayingRate = field(
        default_factory=lambda: DecayingRate(UNMET_TIME_CONSTANT_S)
    )

    def is_new(self, now_s: float) -> bool:
        """Return whether an earlier process may have issued valid standby rates."""
        return now_s < self.started_at_s + STANDBY_S


class Granter:
    """The share of every tenant's limit that one relay owns."""

    def __init__(self, bounds: QuotaBounds, owner_count: int) -> None:
        """Start without tenants.

        Args:
            bounds: Bounds on the requests that may run in a window.
            owner_count: Number of relays, each of which owns the same share.
        """
        self._bounds = bounds
        self._owner_count = owner_count
        self._buckets: dict[TenantId, _Bucket] = {}
        self._contacts: dict[InstanceId, _Contact] = {}
        self._removed_at_s = 0.0

    def configure(self, limits: Mapping[TenantId, QuotaLimit], now_s: float) -> None:
        """Apply the limits of a configuration; a new tenant's bucket is empty."""
        for tenant in self._buckets.keys() - limits.keys():
            del self._buckets[tenant]
            for contact in self._contacts.values():
                contact.tenants.discard(tenant)
                contact.uses.pop(tenant, None)
        for tenant, limit in limits.items():
            size = bucket_size(limit, self._bounds, self._owner_count)
            bucket = self._buckets.get(tenant)
            if bucket is None:
                self._buckets[tenant] = _Bucket(size, now_s, now_s)
            else:
                self._advance(bucket, now_s)
                bucket.size = size
                bucket.level = min(bucket.level, _capacity(bucket, now_s))

    def answer(self, query: Query, now_s: float) -> Answer | None:
        """Grant what a query asks for, as far as the buckets allow.

        Returns:
            The answer, or None to a datagram that arrives twice: a holder ignores the
            second answer to a query, so its rates must not count as received.
        """
        contact = self._contacts.get(query.holder)
        if contact is not None and query.number in contact.answers:
            return None
        contact = self._record_contact(query, now_s)
        grants = {}
        for tenant, need in query.needs.items():
            bucket = self._buckets.get(tenant)
            if bucket is not None:
                self._advance(bucket, now_s)
                self._issue_standby(tenant, bucket, query.holder, contact, need, now_s)
                if need.wanted:
                    grants[tenant] = self._grant(bucket, need.wanted, now_s)
        standby = {}
        for tenant in contact.tenants:
            rate_per_s = self._buckets[tenant].standby[query.holder].latest_per_s
            standby[tenant] = round(rate_per_s * 100)
        for tenant, per_100_s in standby.items():
            grant = grants.get(tenant, Grant(0))
            grants[tenant] = Grant(grant.count, grant.wait_ms, per_100_s)
        return Answer(query.number, grants)

    def _record_contact(self, query: Query, now_s: float) -> _Contact:
        self._remove_silent_holders(now_s)
        contact = self._contacts.get(query.holder)
        if contact is None:
            contact = self._contacts[query.holder] = _Contact(now_s, now_s)
        # Charged by what was known so far: the holder may have used its standby rates
        # until it received the answer that this query confirms.
        for tenant in tuple(contact.tenants):
            self._advance(self._buckets[tenant], now_s)
        confirmed_at_s = contact.answers.get(query.confirmed)
        if confirmed_at_s is not None:
            contact.confirmed_at_s = max(contact.confirmed_at_s, confirmed_at_s)
        if query.confirmed == contact.answered:
            self._confirm_rates(query.holder, contact)
        contact.answered, contact.answered_at_s = query.number, now_s
        contact.answers[query.number] = now_s
        while len(contact.answers) > MAX_UNCONFIRMED:
            del contact.answers[next(iter(contact.answers))]
        return contact

    def _confirm_rates(self, holder: InstanceId, contact: _Contact) -> None:
        """Forget all rates but the newest, which the holder now has."""
        for tenant in tuple(contact.tenants):
            standby = self._buckets[tenant].standby[holder]
            standby.bound_per_s = standby.latest_per_s
            standby.reserve = needed_reserve(standby.latest_per_s)
            if not standby.latest_per_s:
                del self._buckets[tenant].standby[holder]
                contact.tenants.discard(tenant)

    def _remove_silent_holders(self, now_s: float) -> None:
        if now_s < self._removed_at_s + REMOVE_INTERVAL_S:
            return
        self._removed_at_s = now_s
        for holder, contact in tuple(self._contacts.items()):
            if now_s <= contact.answered_at_s + STANDBY_S:
                continue
            for tenant in tuple(contact.tenants):
                self._advance(self._buckets[tenant], now_s)
                del self._buckets[tenant].standby[holder]
            for tenant, use_per_s in contact.uses.items():
                self._buckets[tenant].used_per_s -= use_per_s
            del self._contacts[holder]

    def _advance(self, bucket: _Bucket, now_s: float) -> None:
        """Add the tokens since the last call, less what was used without queries.

        Standby rates that are at most their share of the bucket's rate never lower the
        level, so one bound by the capacity at the end suffices. After a limit was
        lowered they may be higher, and are subtracted from the bounded level.
        """
        since_s = bucket.advanced_at_s
        charge = 0.0
        if bucket.is_new(since_s):
            reserved_s = min(now_s, bucket.started_at_s + STANDBY_S) - since_s
            charge += STANDBY_SHARE * bucket.size.rate_per_s * reserved_s
        for holder, standby in bucket.standby.items():
            contact = self._contacts[holder]
            from_s = max(standby.charged_until_s, contact.confirmed_at_s + SILENCE_S)
            until_s = min(now_s, contact.answered_at_s + STANDBY_S)
            if until_s > from_s:
                charge += standby.bound_per_s * (until_s - from_s)
                standby.charged_until_s = until_s
        added = bucket.size.rate_per_s * (now_s - since_s)
        capacity = _capacity(bucket, now_s)
        if charge <= STANDBY_SHARE * added:
            bucket.level = min(capacity, bucket.level + added - charge)
        else:
            bucket.level = min(capacity, bucket.level + added) - charge
        bucket.advanced_at_s = now_s

    def _issue_standby(
        self,
        tenant: TenantId,
        bucket: _Bucket,
        holder: InstanceId,
        contact: _Contact,
        need: Need,
        now_s: float,
    ) -> None:
        use_per_s = need.used_per_100_s / 100
        bucket.used_per_s += use_per_s - contact.uses.get(tenant, 0.0)
        contact.uses[tenant] = use_per_s
        if not use_per_s:
            del contact.uses[tenant]
        standby = bucket.standby.get(holder)
        rate_per_s = self._standby_rate(bucket, holder, use_per_s, now_s)
        if standby is not None:
            standby.latest_per_s = rate_per_s
            standby.bound_per_s = max(standby.bound_per_s, rate_per_s)
            standby.reserve = max(standby.reserve, needed_reserve(rate_per_s))
        elif rate_per_s and len(contact.tenants) < MAX_STANDBY_TENANTS:
            reserve = needed_reserve(rate_per_s)
            bucket.standby[holder] = _Standby(rate_per_s, rate_per_s, reserve, now_s)
            contact.tenants.add(tenant)
        bucket.level = min(bucket.level, _capacity(bucket, now_s))

    def _standby_rate(
        self, bucket: _Bucket, holder: InstanceId, use_per_s: float, now_s: float
    ) -> float:
        """Return a holder's part, by its use, of what may be issued for a tenant."""
        if bucket.is_new(now_s) or not use_per_s:
            return 0.0
        issuable_per_s = STANDBY_SHARE * bucket.size.rate_per_s
        others = [record for name, record in bucket.standby.items() if name != holder]
        used_per_s = max(use_per_s, bucket.used_per_s)
        part_per_s = use_per_s * min(1.0, issuable_per_s / used_per_s)
        left_per_s = issuable_per_s - sum(record.bound_per_s for record in others)
        # As it is encoded, rounded down.
        rate_per_s = int(min(part_per_s, left_per_s) * 100) / 100
        left_reserve = bucket.size.reservable - sum(record.reserve for record in others)
        if rate_per_s < MIN_STANDBY_PER_S or needed_reserve(rate_per_s) > left_reserve:
            return 0.0
        return rate_per_s

    def _grant(self, bucket: _Bucket, wanted: int, now_s: float) -> Grant:
        count = max(0, min(wanted, int(bucket.level)))
        bucket.level -= count
        if count == wanted:
            return Grant(count)
        bucket.unmet.record(now_s)
        unmet = bucket.unmet.per_s(now_s) * UNMET_TIME_CONSTANT_S
        missing = max(0.0, 1 - bucket.level) + unmet - 1
        rate_per_s = max(bucket.size.rate_per_s, 0.001)
        wait_s = min(MAX_ASK_AGAIN_S, max(MIN_ASK_AGAIN_S, missing / rate_per_s))
        return Grant(count, round(wait_s * 1000))


def _capacity(bucket: _Bucket, now_s: float) -> float:
    """Return the capacity without what is reserved for standby tokens."""
    if bucket.is_new(now_s):
        reserved = bucket.size.reservable
    else:
        reserved = sum(standby.reserve for standby in bucket.standby.values())
    return bucket.size.capacity - reserved

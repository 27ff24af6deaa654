"""Hold the tokens that the relays grant to one instance, without I/O.

All times are CLOCK_BOOTTIME of this machine, in seconds, so that tokens also expire
while the machine is suspended. Tokens are valid from the time of the query that they
were granted for, which is before the grant by any clock.
"""

from collections.abc import Iterable, Mapping
from math import inf

from tanagercourse.core.ids import InstanceId, TenantId
from tanagercourse.quota.accounts import (
    QUERY_INTERVAL_S,
    Account,
    Lot,
    ahead_of_need,
    choose_granter,
    exhausted_until_s,
    remove_expired,
)
from tanagercourse.quota.granter_records import (
    GranterId,
    GranterRecord,
    OutstandingQuery,
    StandbyRate,
    take_standby,
)
from tanagercourse.quota.limits import (
    GRANT_VALIDITY_S,
    MIN_STANDBY_PER_S,
    SEND_MARGIN_S,
    SILENCE_S,
    STANDBY_S,
    QuotaLimit,
)
from tanagercourse.quota.messages import MAX_COUNT, MAX_TENANTS, Answer, Need, Query
from tanagercourse.quota.tokens import QuotaToken

# Time from the query during which a granted token may be taken, in seconds.
TAKE_WITHIN_S = GRANT_VALIDITY_S - SEND_MARGIN_S
# Age of the last query from which a holder of standby rates queries again, in seconds.
STAY_IN_CONTACT_S = 0.3
# Bounds on the time within which an answer is expected, and its multiple of the round
# trip, in seconds. A query without an answer is repeated, to another granter if there
# is one.
MIN_ANSWER_TIMEOUT_S = 0.06
MAX_ANSWER_TIMEOUT_S = 0.2
ANSWER_TIMEOUT_FACTOR = 3.0
# Interval between queries of a granter that did not answer, in seconds.
PROBE_INTERVAL_S = 0.4
# Time before a granter is asked again for a tenant that it does not know, in seconds.
UNKNOWN_TENANT_S = 0.1
# Demand below which a tenant's state is removed, per second.
MIN_DEMAND_PER_S = 0.01
# Another granter becomes the home granter if its round trip is shorter by this factor.
NEARER_FACTOR = 0.5
# Maximum size of the needs in one query, in bytes, and what a need adds to its name.
MAX_NEEDS_BYTES = 1200
NEED_BYTES = 16


class Holder:
    """The grants and standby rates of one instance."""

    def __init__(
        self, instance: InstanceId, granters: Iterable[GranterId], first_number: int
    ) -> None:
        """Start without tokens.

        Args:
            instance: Id of this instance.
            granters: The granters.
            first_number: Random number of the first query, so that no answer to an
                earlier process of the instance is taken for a new one.
        """
        self._instance = instance
        self._granters = {granter: GranterRecord() for granter in granters}
        self._home = next(iter(self._granters))
        # Computed at need and discarded when a granter answers or fails to.
        self._order: list[GranterId] | None = None
        self._next_number = max(1, first_number)
        self._limits: Mapping[TenantId, QuotaLimit] = {}
        self._accounts: dict[TenantId, Account] = {}

    def configure(self, limits: Mapping[TenantId, QuotaLimit]) -> None:
        """Apply the limits of a configuration, to standby rates too."""
        for tenant in self._accounts.keys() - limits.keys():
            del self._accounts[tenant]
        for granter in self._granters.values():
            for tenant, standby in tuple(granter.standby.items()):
                limit, former = limits.get(tenant), self._limits.get(tenant)
                if limit is None or former is None:
                    del granter.standby[tenant]
                else:
                    standby.per_s *= min(1.0, limit.rate_per_s / former.rate_per_s)
        self._limits = limits

    def record_demand(self, tenant: TenantId, now_s: float) -> None:
        """Record the arrival of a request that needs a token."""
        self._account(tenant).demand.record(now_s)

    def change_waiting(self, tenant: TenantId, difference: int) -> None:
        """Change the number of requests that wait for a token."""
        account = self._account(tenant)
        account.waiting = max(0, account.waiting + difference)

    def take(self, tenant: TenantId, now_s: float) -> QuotaToken | None:
        """Take a token; return None if there is none."""
        account = self._account(tenant)
        remove_expired(account, now_s)
        token = None
        if account.lots:
            lot = account.lots[0]
            lot.count -= 1
            if not lot.count:
                account.lots.popleft()
            token = QuotaToken(tenant, lot.expires_at_s)
        elif any(
            take_standby(granter, tenant, now_s) for granter in self._granters.values()
        ):
            token = QuotaToken(tenant, now_s + SEND_MARGIN_S)
        if token is not None:
            account.use.record(now_s)
        return token

    def give_back(self, token: QuotaToken, now_s: float) -> None:
        """Return the token of a request that did not run."""
        if token.tenant in self._limits and now_s < token.expires_at_s:
            account = self._account(token.tenant)
            account.lots.appendleft(Lot(token.expires_at_s, 1))
            account.use.record(now_s, -1)

    def make_query(self, granter_id: GranterId, now_s: float) -> Query | None:
        """Return the next query of a granter; None if there is nothing to ask it."""
        granter = self._granters[granter_id]
        self._remove_old(granter, now_s)
        answering = self._answering()
        since_query_s = now_s - granter.asked_at_s
        is_probe = granter.unanswered_since_s is not None
        if is_probe and since_query_s < self._probe_interval_s(granter_id, now_s):
            return None
        is_due = since_query_s >= QUERY_INTERVAL_S
        wanted = self._collect_wanted(granter_id, answering, is_due, now_s)
        in_contact = not granter.standby or since_query_s < STAY_IN_CONTACT_S
        measures = is_due and (is_probe or granter.round_trip_s is None)
        if not wanted and in_contact and not (measures and self._accounts):
            return None
        number = self._next_number
        self._next_number += 1
        needs = self._make_needs(granter_id, wanted, now_s)
        granter.asked_at_s = now_s
        granter.outstanding[number] = OutstandingQuery(now_s, wanted)
        for tenant, count in wanted.items():
            self._accounts[tenant].in_flight += count
        return Query(number, granter.confirmed, self._instance, needs)

    def answer_timeout_s(self, granter_id: GranterId) -> float:
        """Return the time within which a granter's answer is expected, in seconds."""
        round_trip_s = self._granters[granter_id].round_trip_s
        if round_trip_s is None:
            return MAX_ANSWER_TIMEOUT_S
        return min(
            MAX_ANSWER_TIMEOUT_S,
            max(MIN_ANSWER_TIMEOUT_S, ANSWER_TIMEOUT_FACTOR * round_trip_s),
        )

    def handle_answer(
        self, granter_id: GranterId, answer: Answer, now_s: float
    ) -> bool:
        """Add the tokens of an answer.

        Returns:
            Whether the answer belongs to a query of this holder that is not too old.
        """
        granter = self._granters[granter_id]
        self._remove_old(granter, now_s)
        query = granter.outstanding.pop(answer.number, None)
        if query is None:
            return False
        for tenant, wanted in query.wanted.items():
            account = self._accounts.get(tenant)
            if account is not None:
                if not query.timed_out:
                    account.in_flight = max(0, account.in_flight - wanted)
                self._add_grant(account, granter_id, tenant, answer, query, now_s)
        self._record_contact(granter, query, now_s)
        if answer.number > granter.confirmed:
            granter.confirmed = answer.number
            granter.standby_until_s = query.asked_at_s + STANDBY_S
            granter.standby = {
                tenant: StandbyRate(grant.standby_per_100_s / 100, 0.0, now_s)
                for tenant, grant in answer.grants.items()
                if grant.standby_per_100_s and tenant in self._limits
            }
        return True

    def record_timeout(self, granter_id: GranterId, number: int) -> None:
        """Record that a query was not answered in time; it may still be answered."""
        granter = self._granters[granter_id]
        query = granter.outstanding.get(number)
        if query is not None and not query.timed_out:
            self._time_out(granter, query)

    def granter_for(self, tenant: TenantId, now_s: float) -> GranterId | None:
        """Return the granter to ask for a tenant; None if none answers."""
        return choose_granter(self._account(tenant), self._answering(), now_s)

    def exhausted_until_s(self, tenant: TenantId, now_s: float) -> float:
        """Return the time at which a granter may have a token, at least `now_s`."""
        return exhausted_until_s(self._account(tenant), self._answering(), now_s)

    def is_silent(self, granter_id: GranterId, now_s: float) -> bool:
        """Return whether a granter has left queries unanswered for SILENCE_S."""
        since_s = self._granters[granter_id].unanswered_since_s
        return since_s is not None and now_s - since_s >= SILENCE_S

    def _account(self, tenant: TenantId) -> Account:
        account = self._accounts.get(tenant)
        if account is None:
            account = self._accounts[tenant] = Account()
        return account

    def _answering(self) -> list[GranterId]:
        """Return the granters that answer, the home granter first, then the nearest."""
        if self._order is None:
            self._order = self._sort_answering()
        return self._order

    def _sort_answering(self) -> list[GranterId]:
        known = {
            granter_id: inf if granter.round_trip_s is None else granter.round_trip_s
            for granter_id, granter in self._granters.items()
        }
        nearest = min(known, key=lambda granter_id: known[granter_id])
        if known[nearest] < NEARER_FACTOR * known[self._home]:
            self._home = nearest
        return sorted(
            (
                granter_id
                for granter_id, granter in self._granters.items()
                if granter.unanswered_since_s is None
            ),
            key=lambda granter_id: (granter_id != self._home, known[granter_id]),
        )

    def _probe_interval_s(self, granter_id: GranterId, now_s: float) -> float:
        """Return the interval between queries of a granter that did not answer."""
        if self._answering() or self.is_silent(granter_id, now_s):
            return PROBE_INTERVAL_S
        return MIN_ANSWER_TIMEOUT_S

    def _collect_wanted(
        self,
        granter_id: GranterId,
        answering: list[GranterId],
        is_due: bool,
        now_s: float,
    ) -> dict[TenantId, int]:
        """Return the tokens to ask for: those needed at once, and others with them.

        Tokens ahead of need alone cause a query only once in QUERY_INTERVAL_S. Tenants
        with waiting requests come first, since a query has no room for all tenants.
        """
        wanted: dict[TenantId, int] = {}
        size_bytes, is_urgent = 0, is_due
        accounts = sorted(self._accounts.items(), key=lambda item: not item[1].waiting)
        for tenant, account in accounts:
            remove_expired(account, now_s)
            demand_per_s = account.demand.per_s(now_s)
            if not account.waiting and demand_per_s < MIN_DEMAND_PER_S:
                if not account.lots and not account.in_flight:
                    del self._accounts[tenant]
                continue
            is_contended = exhausted_until_s(account, answering, now_s) > now_s
            ahead = ahead_of_need(demand_per_s, is_contended)
            available = sum(lot.count for lot in account.lots) + account.in_flight
            count = account.waiting + ahead - available
            if count <= 0 or (is_contended and not is_due):
                continue
            if choose_granter(account, answering, now_s) not in (granter_id, None):
                continue
            size_bytes += len(tenant.encode()) + NEED_BYTES
            if len(wanted) == MAX_TENANTS or size_bytes > MAX_NEEDS_BYTES:
                break
            wanted[tenant] = min(count, MAX_COUNT)
            is_urgent = is_urgent or account.waiting > available
        return wanted if is_urgent else {}

    def _make_needs(
        self, granter_id: GranterId, wanted: Mapping[TenantId, int], now_s: float
    ) -> dict[TenantId, Need]:
        """Add the use of tenants, which standby rates follow, for the home granter."""
        tenants = {*wanted, *self._granters[granter_id].standby}
        needs = {}
        for tenant in tenants:
            account, use_per_s = self._accounts.get(tenant), 0.0
            if account is not None and granter_id == self._home:
                use_per_s = account.use.per_s(now_s)
            if use_per_s < MIN_STANDBY_PER_S:
                use_per_s = 0.0
            used_per_100_s = min(MAX_COUNT, round(use_per_s * 100))
            needs[tenant] = Need(wanted.get(tenant, 0), used_per_100_s)
        return needs

    def _add_grant(
        self,
        account: Account,
        granter_id: GranterId,
        tenant: TenantId,
        answer: Answer,
        query: OutstandingQuery,
        now_s: float,
    ) -> None:
        grant = answer.grants.get(tenant)
        if grant is None:
            account.ask_again_at_s[granter_id] = now_s + UNKNOWN_TENANT_S
            return
        expires_at_s = query.asked_at_s + TAKE_WITHIN_S
        count = min(grant.count, query.wanted[tenant])
        if count and now_s < expires_at_s:
            account.lots.append(Lot(expires_at_s, count))
        account.ask_again_at_s.pop(granter_id, None)
        if grant.wait_ms:
            account.ask_again_at_s[granter_id] = now_s + grant.wait_ms / 1000

    def _record_contact(
        self, granter: GranterRecord, query: OutstandingQuery, now_s: float
    ) -> None:
        self._order = None
        granter.answered_at_s = now_s
        granter.unanswered_since_s = None
        sample_s = now_s - query.asked_at_s
        if granter.round_trip_s is None:
            granter.round_trip_s = sample_s
        granter.round_trip_s = min(
            sample_s, 0.9 * granter.round_trip_s + 0.1 * sample_s
        )
        for standby in granter.standby.values():
            standby.backlog, standby.accrued_until_s = 0.0, now_s

    def _remove_old(self, granter: GranterRecord, now_s: float) -> None:
        """Remove queries whose grants have expired, and expired standby rates."""
        for number, query in tuple(granter.outstanding.items()):
            if now_s >= query.asked_at_s + GRANT_VALIDITY_S:
                if not query.timed_out:
                    self._time_out(granter, query)
                del granter.outstanding[number]
        if now_s >= granter.standby_until_s:
            granter.standby.clear()

    def _time_out(self, granter: GranterRecord, query: OutstandingQuery) -> None:
        self._order = None
        query.timed_out = True
        if granter.unanswered_since_s is None:
            granter.unanswered_since_s = query.asked_at_s
        for tenant, wanted in query.wanted.items():
            account = self._accounts.get(tenant)
            if account is not None:
                account.in_flight = max(0, account.in_flight - wanted)

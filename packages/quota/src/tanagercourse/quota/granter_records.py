"""What a holder knows of each granter: round trips, open queries and standby rates."""

from dataclasses import dataclass, field
from math import inf
from typing import NewType

from tanagercourse.core.ids import TenantId
from tanagercourse.quota.limits import SEND_MARGIN_S, SILENCE_S, STANDBY_BACKLOG_S

# Address of a granter.
GranterId = NewType("GranterId", str)


@dataclass
class OutstandingQuery:
    """A query that may still be answered.

    Attributes:
        asked_at_s: Time of the query.
        wanted: Tokens asked for, by tenant.
        timed_out: Whether no answer came within the expected time.
    """

    asked_at_s: float
    wanted: dict[TenantId, int]
    timed_out: bool = False


@dataclass
class StandbyRate:
    """What may be used of a tenant while a granter is silent.

    Attributes:
        per_s: Requests per second.
        backlog: Unused tokens.
        accrued_until_s: Time to which the backlog refers.
    """

    per_s: float
    backlog: float
    accrued_until_s: float


@dataclass
class GranterRecord:
    """What is known of one granter.

    Attributes:
        round_trip_s: Recent round-trip time; None before the first answer.
        asked_at_s: Time of the last query.
        answered_at_s: Time of the last answer.
        unanswered_since_s: Time of the first query since which none was answered in
            time; None if the last one was.
        confirmed: Number of the newest answer.
        outstanding: Queries that may still be answered, by number.
        standby: Standby rates of the newest answer.
        standby_until_s: Time until which these are valid.
    """

    round_trip_s: float | None = None
    asked_at_s: float = -inf
    answered_at_s: float = -inf
    unanswered_since_s: float | None = None
    confirmed: int = 0
    outstanding: dict[int, OutstandingQuery] = field(default_factory=dict)
    standby: dict[TenantId, StandbyRate] = field(default_factory=dict)
    standby_until_s: float = -inf


def take_standby(granter: GranterRecord, tenant: TenantId, now_s: float) -> bool:
    """Take a token from a standby rate of a granter that is silent."""
    standby = granter.standby.get(tenant)
    begins_at_s = granter.answered_at_s + SILENCE_S
    ends_at_s = granter.standby_until_s - 2 * SEND_MARGIN_S
    if standby is None or not begins_at_s <= now_s < ends_at_s:
        return False
    since_s = max(standby.accrued_until_s, begins_at_s)
    earned = standby.per_s * max(0.0, now_s - since_s)
    most = max(1.0, standby.per_s * STANDBY_BACKLOG_S)
    standby.backlog = min(most, standby.backlog + earned)
    standby.accrued_until_s = now_s
    if standby.backlog < 1:
        return False
    standby.backlog -= 1
    return True

"""Tokens and demand of each tenant at one holder, and whom to ask for more."""

from collections import deque
from dataclasses import dataclass, field
from math import inf, sqrt

from tanagercourse.quota.decaying import DecayingRate
from tanagercourse.quota.granter_records import GranterId

# Interval between queries ahead of need, in seconds.
QUERY_INTERVAL_S = 0.2
# Time constants of the demand and of the use of a tenant, in seconds.
DEMAND_TIME_CONSTANT_S = 1.0
USE_TIME_CONSTANT_S = 2.0


@dataclass
class Lot:
    """Tokens that were granted together.

    Attributes:
        expires_at_s: Time before which they must be taken.
        count: Number of tokens left.
    """

    expires_at_s: float
    count: int


@dataclass
class Account:
    """Tokens and demand of one tenant.

    Attributes:
        demand: Requests, including those that got no token.
        use: Tokens taken.
        lots: Granted tokens, the first to expire first.
        waiting: Number of requests that wait for a token.
        in_flight: Tokens asked for in queries that may still be answered.
        ask_again_at_s: Times before which a granter is likely to have no token.
    """

    demand: DecayingRate = field(
        default_factory=lambda: DecayingRate(DEMAND_TIME_CONSTANT_S)
    )
    use: DecayingRate = field(default_factory=lambda: DecayingRate(USE_TIME_CONSTANT_S))
    lots: deque[Lot] = field(default_factory=deque)
    waiting: int = 0
    in_flight: int = 0
    ask_again_at_s: dict[GranterId, float] = field(default_factory=dict)


def ahead_of_need(demand_per_s: float, is_contended: bool) -> int:
    """Return the number of tokens to hold ahead of need.

    It is a standard deviation below the expected demand until the next query, so that
    few tokens expire unused. If there are too few tokens, none will.
    """
    expected = demand_per_s * QUERY_INTERVAL_S
    return int(expected if is_contended else max(0.0, expected - sqrt(expected)))


def choose_granter(
    account: Account, answering: list[GranterId], now_s: float
) -> GranterId | None:
    """Return the first granter that may have a token, else the first to have one."""
    times = account.ask_again_at_s
    for granter_id in answering:
        if times.get(granter_id, -inf) <= now_s:
            return granter_id
    return min(answering, key=lambda granter_id: times[granter_id], default=None)


def exhausted_until_s(
    account: Account, answering: list[GranterId], now_s: float
) -> float:
    """Return the time at which a granter may have a token, at least `now_s`."""
    granter_id = choose_granter(account, answering, now_s)
    if granter_id is None:
        return now_s
    return max(now_s, account.ask_again_at_s.get(granter_id, -inf))


def remove_expired(account: Account, now_s: float) -> None:
    """Remove the tokens that may no longer be taken."""
    while account.lots and account.lots[0].expires_at_s <= now_s:
        account.lots.popleft()

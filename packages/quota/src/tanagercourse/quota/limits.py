"""Turn a tenant's limit into token buckets, and name the times of the protocol."""

from dataclasses import dataclass

# Time from a holder's query during which a request with a granted token may reach an
# upstream, in seconds.
GRANT_VALIDITY_S = 0.5
# Part of that time that remains for the connection to the upstream and for the way
# there after a request has taken its token, in seconds.
SEND_MARGIN_S = 0.1
# Time without an answer after which a holder uses its standby rates, in seconds.
SILENCE_S = 1.0
# Time from a query during which the standby rates of its answer are valid, in seconds.
STANDBY_S = 15.0
# Share of a bucket's rate that may be issued as standby rates.
STANDBY_SHARE = 0.25
# Time for which unused standby tokens accumulate, in seconds. With the time for which
# a taken token is valid and SEND_MARGIN_S it is no longer than GRANT_VALIDITY_S.
STANDBY_BACKLOG_S = 0.3
# Minimum standby rate, per second: one request in 5 s.
MIN_STANDBY_PER_S = 0.2
# Share of the slack that a capacity has at least. The rest may be reserved for standby
# rates.
SLACK_SHARE = 0.5


@dataclass(frozen=True)
class QuotaBounds:
    """Bounds on the number of a tenant's requests that may run in a window.

    Attributes:
        window_s: Length of the window, in seconds.
        overshoot: Relative excess over the limit that is allowed in a window.
        slack: Further requests that are allowed in a window.
    """

    window_s: float
    overshoot: float
    slack: float


@dataclass(frozen=True)
class QuotaLimit:
    """A tenant's limit over all instances.

    Attributes:
        rate_per_s: Requests per second.
        burst: Requests beyond that rate.
    """

    rate_per_s: float
    burst: float


@dataclass(frozen=True)
class BucketSize:
    """Rate and capacity of a token bucket.

    Attributes:
        rate_per_s: Tokens added per second.
        capacity: Maximum number of tokens.
        reservable: Part of the capacity that may be reserved for standby tokens.
    """

    rate_per_s: float
    capacity: float
    reservable: float


def max_requests(limit: QuotaLimit, bounds: QuotaBounds) -> float:
    """Return the number of requests that may run in any window."""
    in_window = limit.rate_per_s * bounds.window_s + limit.burst
    return in_window * (1 + bounds.overshoot) + bounds.slack


def bucket_size(limit: QuotaLimit, bounds: QuotaBounds, owner_count: int) -> BucketSize:
    """Return the size of the bucket of one of several owners of equal shares.

    Requests that run in a window have tokens granted in it or up to GRANT_VALIDITY_S
    before. The rate is the limit's unless the burst and half the slack would then no
    longer fit; the capacity is what the rate leaves.

    >>> bucket_size(QuotaLimit(30.0, 60.0), QuotaBounds(5.0, 0.1, 18.0), 3)
    BucketSize(rate_per_s=10.0, capacity=28.0, reservable=5.0)
    """
    granted_s = bounds.window_s + GRANT_VALIDITY_S
    allowed = max_requests(limit, bounds)
    kept = limit.burst + SLACK_SHARE * bounds.slack
    rate_per_s = min(limit.rate_per_s, max(0.0, allowed - kept) / granted_s)
    capacity = round(allowed - rate_per_s * granted_s, 6)
    return BucketSize(
        rate_per_s / owner_count,
        capacity / owner_count,
        max(0.0, capacity - kept) / owner_count,
    )


def needed_reserve(standby_per_s: float) -> float:
    """Return the capacity reserved for a holder with a standby rate.

    A holder accumulates one token however long that takes, so the token may be used in
    a later window than the time that the granter subtracted for it.
    """
    if standby_per_s <= 0:
        return 0.0
    return max(0.0, 1 - standby_per_s * STANDBY_BACKLOG_S)

"""Enumerations used by more than one package."""

from enum import Enum, unique


@unique
class Rank(Enum):
    """Priority class of a request, from the most to the least urgent."""

    MOST_URGENT = "most_urgent"
    NEXT = "next"
    LEAST_URGENT = "least_urgent"


# Ranks in the order in which they are served.
RANKS: tuple[Rank, ...] = (Rank.MOST_URGENT, Rank.NEXT, Rank.LEAST_URGENT)


@unique
class Idempotency(Enum):
    """Whether executing a request twice has the same effect as executing it once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


@unique
class Execution(Enum):
    """Whether a backend server has executed a request, according to the reporter."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


@unique
class InstanceState(Enum):
    """Membership state of an entry instance, as observed by its peers."""

    LIVE = "live"
    SUSPECTED = "suspected"
    LEAVING = "leaving"
    GONE = "gone"


@unique
class UpstreamState(Enum):
    """State of a backend server, as observed by an entry instance."""

    WARMING = "warming"
    LIVE = "live"
    EJECTED = "ejected"
    DRAINING = "draining"
    GONE = "gone"


@unique
class RefusalReason(Enum):
    """Why a request was refused or failed."""

    INVALID_REQUEST = "invalid_request"
    UNKNOWN_SERVICE = "unknown_service"
    UNAUTHORIZED = "unauthorized"
    QUOTA_EXCEEDED = "quota_exceeded"
    NO_SETTINGS = "no_settings"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    NO_UPSTREAM = "no_upstream"
    LEAVING = "leaving"
    DUPLICATE_KEY = "duplicate_key"
    UPSTREAM_SHED = "upstream_shed"
    UPSTREAMS_PAUSED = "upstreams_paused"
    UPSTREAM_LOST = "upstream_lost"
    INSTANCE_LOST = "instance_lost"
    ANSWER_MISMATCHED = "answer_mismatched"
    ANSWER_TRUNCATED = "answer_truncated"
    CANCELLED = "cancelled"

"""Enumerated states that more than one package speaks about."""

from enum import Enum, unique


@unique
class Rank(Enum):
    """Rank of a request: which work is served first."""

    MOST_URGENT = "most_urgent"
    NEXT = "next"
    LEAST_URGENT = "least_urgent"


# The order in which ranks are served.
RANKS: tuple[Rank, ...] = (Rank.MOST_URGENT, Rank.NEXT, Rank.LEAST_URGENT)


@unique
class Idempotency(Enum):
    """Whether running a request twice has the effect of running it once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


@unique
class Execution(Enum):
    """What is known of a request's run on a backend server."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


@unique
class InstanceState(Enum):
    """State of an entry instance as its peers see it."""

    LIVE = "live"
    SUSPECTED = "suspected"
    LEAVING = "leaving"
    GONE = "gone"


@unique
class UpstreamState(Enum):
    """State of a backend server as an entry instance sees it."""

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
    NO_SETTINGS = "no_settings"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    NO_UPSTREAM = "no_upstream"
    LEAVING = "leaving"
    DUPLICATE_KEY = "duplicate_key"
    UPSTREAM_SHED = "upstream_shed"
    UPSTREAM_LOST = "upstream_lost"
    INSTANCE_LOST = "instance_lost"
    ANSWER_MISMATCHED = "answer_mismatched"
    ANSWER_TRUNCATED = "answer_truncated"
    CANCELLED = "cancelled"

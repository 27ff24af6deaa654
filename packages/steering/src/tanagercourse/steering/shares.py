"""Hand out bounded, expiring shares of one destination's slots.

These are the messages and the bounds on time. The destination's side keeps a
`granting.ShareLedger` under a lease. Whoever sends work there, its own region's entry
instances included, holds a share of it in a `holding.ShareHolder`. Three rules keep
the sum of shares in use within capacity:

- A share runs out by its holder's clock, counted from when the holder sent its
  request, before it runs out by the granter's, within the bound on clock drift.
- No share outlives the lease of the granter that gave it.
- A new granter gives nothing until every share of an earlier one has run out.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NewType

from tanagercourse.core.ids import FencingVersion, Incarnation, InstanceId, RegionId
from tanagercourse.core.problems import Problem

# Names what has the slots: a service in a region, such as "motritelj@jadran".
DestinationId = NewType("DestinationId", str)
# Grows with each request of one incarnation of a holder.
ShareSequence = NewType("ShareSequence", int)

# Largest error of a monotonic clock's rate, as a share of the time that passes.
CLOCK_DRIFT = 0.01
SHARE_TTL_S = 5.0
SHARE_RENEWAL_S = 1.0

BITS_PER_MBIT = 1_000_000
# Answers are larger than requests; each way of a link carries both kinds.
LINK_ANSWER_SHARE = 0.8


@dataclass(frozen=True)
class ShareHolderId:
    """One run of the instance that holds a share."""

    instance: InstanceId
    incarnation: Incarnation


@dataclass(frozen=True)
class ShareRequest:
    """Ask for a share, or renew one.

    Attributes:
        destination: Whose slots are asked for.
        holder: Who asks.
        region: The holder's region, whose link to the destination is used.
        sequence: Larger than in each earlier request of this holder.
        kept_slots: From sending this on, the holder uses no more than these until
            it gets the grant that answers this sequence.
        wanted_slots: How many it would use now.
    """

    destination: DestinationId
    holder: ShareHolderId
    region: RegionId
    sequence: ShareSequence
    kept_slots: int
    wanted_slots: int


@dataclass(frozen=True)
class ShareGrant:
    """Answer to one request: the whole of the holder's share from now on.

    Attributes:
        destination: Whose slots they are.
        holder: Who may use them.
        sequence: The request that this answers.
        fencing: Fencing version of the granter's lease.
        slots: How many may be in use at once; may be 0.
        ttl_s: How long they may be used, in seconds after the request was sent.
    """

    destination: DestinationId
    holder: ShareHolderId
    sequence: ShareSequence
    fencing: FencingVersion
    slots: int
    ttl_s: float


@dataclass(frozen=True)
class ShareRelease:
    """Give a whole share back: the holder uses none of it from sending this on.

    Attributes:
        destination: Whose slots they are.
        holder: Who held them.
        sequence: Larger than in each earlier message of this holder.
    """

    destination: DestinationId
    holder: ShareHolderId
    sequence: ShareSequence


@dataclass(frozen=True)
class NotGranter(Problem):
    """This instance may not grant shares of the destination now.

    Attributes:
        destination: Whose slots were asked for.
        fencing: Fencing version of its lease, lapsed or not yet past its wait.
        retry_after_s: When it may, in seconds; infinite once its lease has lapsed.
    """

    destination: DestinationId
    fencing: FencingVersion
    retry_after_s: float


@dataclass(frozen=True)
class StaleRequest(Problem):
    """A later request of the same holder has been taken.

    Attributes:
        sequence: The sequence of the request that came late.
        taken: The largest sequence taken.
    """

    sequence: ShareSequence
    taken: ShareSequence


@dataclass(frozen=True)
class DestinationCapacity:
    """What a destination can give.

    Attributes:
        slots: Slots of the destination that may be in use at once.
        home: The destination's own region.
        remote_slots: How many of them all other regions may use together, so that
            work of the home region comes first.
        link_slots: How many of them each other region may use, by what its link
            carries; a region that is not named may use none.
    """

    slots: int
    home: RegionId
    remote_slots: int = 0
    link_slots: Mapping[RegionId, int] = field(default_factory=dict)


@dataclass(frozen=True)
class GranterLease:
    """The lease under which a book grants, by its granter's clock.

    Attributes:
        fencing: Its fencing version.
        began_at_s: When it was acquired: the time of the confirmed answer.
        ends_at_s: When it lapses unless renewed, counted from when the last
            confirmed renewal was sent.
        wait_s: How long no share is granted after it began: see `takeover_delay_s`.
    """

    fencing: FencingVersion
    began_at_s: float
    ends_at_s: float
    wait_s: float


def takeover_delay_s(lease_term_s: float) -> float:
    """Return how long a new granter waits for shares of earlier ones to run out.

    An earlier granter renewed its lease last before the new one acquired its own, so
    its shares end within one lease term, by whichever clock runs slower.

    Args:
        lease_term_s: The longest term of a lease, in seconds.
    """
    return lease_term_s * (1.0 + CLOCK_DRIFT) / (1.0 - CLOCK_DRIFT)


def holder_ttl_s(ttl_s: float) -> float:
    """Return how long a holder uses a share by its own clock, in seconds.

    Args:
        ttl_s: The time in the grant, by the granter's clock.
    """
    return ttl_s * (1.0 - CLOCK_DRIFT) / (1.0 + CLOCK_DRIFT)


def link_slots(
    link_mbit_s: float,
    request_bytes: float,
    answer_bytes: float,
    service_time_s: float,
) -> int:
    """Return how many slots a link between two regions can keep busy.

    Requests take one way and answers the other. Each way also carries the traffic
    of the opposite direction, so a fixed part of it is set aside for either kind.

    Args:
        link_mbit_s: What the link carries each way, in Mbit/s.
        request_bytes: Size of a request.
        answer_bytes: Size of an answer.
        service_time_s: How long a request holds a slot.

    >>> link_slots(4_000, 1_000, 1_000_000, 0.1)
    40
    """
    bytes_per_s = link_mbit_s * BITS_PER_MBIT / 8
    answers = bytes_per_s * LINK_ANSWER_SHARE * service_time_s / answer_bytes
    requests = bytes_per_s * (1 - LINK_ANSWER_SHARE) * service_time_s / request_bytes
    return int(min(answers, requests))

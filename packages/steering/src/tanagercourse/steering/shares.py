"""Messages, limits and time bounds of expiring shares of a destination's slots.

The granter of a destination keeps a `ledger.ShareLedger` under a lease. Every entry
instance that sends work to the destination, those of its own region included, holds a
share of its slots in a `holder.ShareHolder`. Three rules keep the sum of shares in use
within capacity:

- A holder counts the lifetime of a share from the time at which it sent the request.
  The share therefore expires for the holder before it expires for the granter, as long
  as clock drift is within its bound.
- No share outlives the lease of the granter that granted it.
- A new granter grants no share until all shares of earlier granters have expired.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NewType

from tanagercourse.core.ids import FencingVersion, Incarnation, InstanceId, RegionId
from tanagercourse.core.problems import Problem

# Identifies the owner of the slots, a service in a region: "motritelj@jadran".
DestinationId = NewType("DestinationId", str)
# Increases with each message of one incarnation of a holder.
ShareSequence = NewType("ShareSequence", int)

# Maximum error of a monotonic clock's rate, as a fraction of the elapsed time.
CLOCK_DRIFT = 0.01
# Maximum lifetime of a share, and the interval at which holders renew it.
SHARE_TTL_S = 5.0
SHARE_RENEWAL_S = 1.0

BITS_PER_MBIT = 1_000_000
# Share of a link direction set aside for responses, which are larger than requests.
# Each direction carries both.
LINK_RESPONSE_SHARE = 0.8


@dataclass(frozen=True)
class ShareHolderId:
    """One incarnation of the instance that holds a share."""

    instance: InstanceId
    incarnation: Incarnation


@dataclass(frozen=True)
class ShareRequest:
    """Request a share or its renewal.

    Attributes:
        destination: The destination whose slots are requested.
        holder: The requesting holder.
        region: The holder's region, whose link to the destination is used.
        sequence: Larger than in each earlier message of this holder.
        kept_slots: Maximum slots that the holder uses from sending this request until
            it receives the grant for this sequence.
        wanted_slots: Number of slots requested.
    """

    destination: DestinationId
    holder: ShareHolderId
    region: RegionId
    sequence: ShareSequence
    kept_slots: int
    wanted_slots: int


@dataclass(frozen=True)
class ShareGrant:
    """Response to one request: the holder's total share, replacing any earlier one.

    Attributes:
        destination: The destination whose slots are granted.
        holder: The holder that may use them.
        sequence: Sequence of the request.
        fencing: Fencing version of the granter's lease.
        slots: Number of slots that may be in use at once; may be 0.
        ttl_s: Time from sending the request until the share expires, in seconds.
    """

    destination: DestinationId
    holder: ShareHolderId
    sequence: ShareSequence
    fencing: FencingVersion
    slots: int
    ttl_s: float


@dataclass(frozen=True)
class ShareRelease:
    """Release a holder's total share; the holder stops using it before sending this.

    Attributes:
        destination: The destination whose slots are released.
        holder: The releasing holder.
        sequence: Larger than in each earlier message of this holder.
    """

    destination: DestinationId
    holder: ShareHolderId
    sequence: ShareSequence


@dataclass(frozen=True)
class NotGranter(Problem):
    """This instance may not grant shares of the destination now.

    Attributes:
        destination: The destination whose slots were requested.
        fencing: Fencing version of the instance's lease.
        retry_after_s: Time until the instance may grant shares, in seconds; infinite
            once its lease has lapsed.
    """

    destination: DestinationId
    fencing: FencingVersion
    retry_after_s: float


@dataclass(frozen=True)
class StaleRequest(Problem):
    """A later message of the same holder has already been accepted.

    Attributes:
        sequence: The sequence of the stale request.
        taken: The largest sequence accepted from the holder.
    """

    sequence: ShareSequence
    taken: ShareSequence


@dataclass(frozen=True)
class DestinationCapacity:
    """Limits on the slots that a destination can grant.

    Attributes:
        slots: Slots of the destination that may be in use at once.
        home: The destination's own region.
        remote_slots: Maximum slots for all other regions together, so that work of the
            home region has precedence.
        link_slots: Maximum slots for each other region, by the bandwidth of its link;
            0 for a region that is missing.
    """

    slots: int
    home: RegionId
    remote_slots: int = 0
    link_slots: Mapping[RegionId, int] = field(default_factory=dict)


@dataclass(frozen=True)
class GranterLease:
    """The lease under which a ledger grants shares; times are by the granter's clock.

    Attributes:
        fencing: Fencing version of the lease.
        acquired_at_s: When the response that confirmed the acquisition arrived.
        ends_at_s: When the lease lapses unless renewed, counted from the sending of the
            last confirmed renewal.
        grant_delay_s: How long after `acquired_at_s` no share is granted; see
            `takeover_delay_s`.
    """

    fencing: FencingVersion
    acquired_at_s: float
    ends_at_s: float
    grant_delay_s: float


def takeover_delay_s(lease_term_s: float) -> float:
    """Return how long a new granter waits for shares of earlier granters to expire.

    The last renewal of an earlier granter's lease precedes the acquisition of the new
    one. Its shares therefore expire within one lease term, measured by the slower of
    the two clocks.

    Args:
        lease_term_s: Maximum term of a lease, in seconds.

    Returns:
        The delay, in seconds of the new granter's clock.
    """
    return lease_term_s * (1.0 + CLOCK_DRIFT) / (1.0 - CLOCK_DRIFT)


def holder_ttl_s(ttl_s: float) -> float:
    """Return how long a holder may use a share, in seconds of the holder's clock.

    Args:
        ttl_s: The lifetime in the grant, in seconds of the granter's clock.
    """
    return ttl_s * (1.0 - CLOCK_DRIFT) / (1.0 + CLOCK_DRIFT)


def link_slots(
    link_mbit_s: float,
    request_bytes: float,
    response_bytes: float,
    service_time_s: float,
) -> int:
    """Return the number of slots that a link between two regions can keep busy.

    Each direction of the link carries requests from one region and responses to
    requests from the other, so a fixed share of it is set aside for each kind.

    Args:
        link_mbit_s: Bandwidth of the link in each direction, in Mbit/s.
        request_bytes: Size of a request.
        response_bytes: Size of a response.
        service_time_s: How long a request occupies a slot, in seconds.

    >>> link_slots(4_000, 1_000, 1_000_000, 0.1)
    40
    """
    bytes_per_s = link_mbit_s * BITS_PER_MBIT / 8
    response_slots = bytes_per_s * LINK_RESPONSE_SHARE * service_time_s / response_bytes
    request_slots = (
        bytes_per_s * (1 - LINK_RESPONSE_SHARE) * service_time_s / request_bytes
    )
    return int(min(response_slots, request_slots))

"""The port between holders and granters of shares, and the lookup of granters.

A region's granter is recorded in a soft-state object, which peers exchange like any
other. Its version is the fencing version of the granter's lease, so the record of the
newest granter supersedes older ones.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success

from tanagercourse.coordination.members import Address
from tanagercourse.coordination.peers import Unreached
from tanagercourse.coordination.replica import SOFT_STATE_PREFIX, Replica
from tanagercourse.core.ids import (
    FencingVersion,
    InstanceId,
    ObjectPath,
    RegionId,
    ServiceId,
    Version,
    WriterId,
)
from tanagercourse.core.problems import Problem
from tanagercourse.platform.store import Malformed, StoredObject
from tanagercourse.steering.shares import (
    DestinationId,
    NotGranter,
    ShareGrant,
    ShareRelease,
    ShareRequest,
    StaleRequest,
)

GRANTERS_PREFIX = ObjectPath(SOFT_STATE_PREFIX + "granters/")


@dataclass(frozen=True)
class NoGranter(Problem):
    """No granter of a region is known.

    Attributes:
        region: The region.
    """

    region: RegionId


@dataclass(frozen=True)
class ServiceDemand:
    """Demand of an instance's own callers for one service.

    Attributes:
        service: The service.
        wanted_slots: Number of slots that the callers need.
    """

    service: ServiceId
    wanted_slots: int


@dataclass(frozen=True)
class DemandReport:
    """Report of an instance's demand to the granter of its own region.

    Attributes:
        instance: The instance that reports.
        demands: Demand for each service.
    """

    instance: InstanceId
    demands: tuple[ServiceDemand, ...]


ShareProblem = Unreached | NoGranter | NotGranter | StaleRequest


@dataclass(frozen=True)
class Granter:
    """The calls of the granter port, at the client or at the server.

    Attributes:
        request_share: Requests a share of a destination's slots.
        release: Releases a share.
        report_demand: Reports the demand of an instance's own callers.
        close: Closes the connection.
    """

    request_share: Callable[[ShareRequest], Awaitable[Result[ShareGrant, ShareProblem]]]
    release: Callable[[ShareRelease], Awaitable[Result[None, ShareProblem]]]
    report_demand: Callable[[DemandReport], Awaitable[Result[None, ShareProblem]]]
    close: Callable[[], None] = lambda: None


# Opens a connection to an instance that may be the granter of a region.
ConnectGranter = Callable[[Address], Granter]


@dataclass(frozen=True)
class GranterRecord:
    """The granter of a region's shares.

    Attributes:
        instance: The holder of the region's lease.
        address: Where the instance listens for peers.
        fence: Fencing version of the lease.
    """

    instance: InstanceId
    address: Address
    fence: FencingVersion


def destination_of(service: ServiceId, region: RegionId) -> DestinationId:
    """Return the destination id of a service in a region.

    >>> destination_of(ServiceId("motritelj"), RegionId("jadran"))
    'motritelj@jadran'
    """
    return DestinationId(f"{service}@{region}")


def service_of_destination(destination: DestinationId) -> ServiceId:
    """Return the service of a destination id."""
    return ServiceId(destination.partition("@")[0])


def granter_to_object(region: RegionId, record: GranterRecord) -> StoredObject:
    """Encode the record of a region's granter as a soft-state object."""
    return StoredObject(
        ObjectPath(GRANTERS_PREFIX + region),
        Version(record.fence),
        msgspec.json.encode(record),
        WriterId(record.instance),
    )


def find_granter(
    replica: Replica, region: RegionId
) -> Result[GranterRecord, NoGranter | Malformed]:
    """Return the newest known granter of a region."""
    path = ObjectPath(GRANTERS_PREFIX + region)
    stored = replica.get(path)
    if stored is None:
        return Failure(NoGranter(region))
    try:
        return Success(msgspec.json.decode(stored.value, type=GranterRecord))
    except msgspec.MsgspecError as error:
        return Failure(Malformed(path, str(error)))

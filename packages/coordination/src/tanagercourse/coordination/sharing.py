"""The port between holders of shares and granters, and how a granter is found.

A region's granter is named by a soft object that peers spread like any other: its
version is the fencing version of the granter's lease, so the newest granter stands.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success

from tanagercourse.coordination.members import Address
from tanagercourse.coordination.peers import Unreached
from tanagercourse.coordination.replica import SOFT, Replica
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

GRANTERS_PREFIX = ObjectPath(SOFT + "granters/")


@dataclass(frozen=True)
class NoGranter(Problem):
    """No granter of a region is known.

    Attributes:
        region: The region.
    """

    region: RegionId


@dataclass(frozen=True)
class ServiceDemand:
    """Slots of one service that an instance's own callers want."""

    service: ServiceId
    wanted_slots: int


@dataclass(frozen=True)
class DemandReport:
    """What an instance tells its own region's granter."""

    instance: InstanceId
    demands: tuple[ServiceDemand, ...]


ShareProblem = Unreached | NoGranter | NotGranter | StaleRequest


@dataclass(frozen=True)
class Granter:
    """A granter of shares: one function for each call."""

    request_share: Callable[[ShareRequest], Awaitable[Result[ShareGrant, ShareProblem]]]
    release: Callable[[ShareRelease], Awaitable[Result[None, ShareProblem]]]
    report_demand: Callable[[DemandReport], Awaitable[Result[None, ShareProblem]]]
    close: Callable[[], None] = lambda: None


# Opens a connection to an instance that may be a granter.
ConnectGranter = Callable[[Address], Granter]


@dataclass(frozen=True)
class GranterRecord:
    """Who grants a region's shares.

    Attributes:
        instance: The holder of the region's lease.
        address: Where it listens for peers.
        fence: The lease's fencing version.
    """

    instance: InstanceId
    address: Address
    fence: FencingVersion


def destination_of(service: ServiceId, region: RegionId) -> DestinationId:
    """Return the id of a service's slots in a region.

    >>> destination_of(ServiceId("motritelj"), RegionId("jadran"))
    'motritelj@jadran'
    """
    return DestinationId(f"{service}@{region}")


def service_of(destination: DestinationId) -> ServiceId:
    """Return the service whose slots a destination has."""
    return ServiceId(destination.partition("@")[0])


def granter_object(region: RegionId, record: GranterRecord) -> StoredObject:
    """Return the soft object that names a region's granter."""
    return StoredObject(
        ObjectPath(GRANTERS_PREFIX + region),
        Version(record.fence),
        msgspec.json.encode(record),
        WriterId(record.instance),
    )


def find_granter(
    replica: Replica, region: RegionId
) -> Result[GranterRecord, NoGranter | Malformed]:
    """Return the newest granter of a region that this instance has heard of."""
    path = ObjectPath(GRANTERS_PREFIX + region)
    stored = replica.get(path)
    if stored is None:
        return Failure(NoGranter(region))
    try:
        return Success(msgspec.json.decode(stored.value, type=GranterRecord))
    except msgspec.MsgspecError as error:
        return Failure(Malformed(path, str(error)))

"""State that the tasks of an instance share."""

from dataclasses import dataclass

from tanagercourse.following.operator_objects import ActiveConfiguration
from tanagercourse.following.upstreams import FleetUpdater
from tanagercourse.gateway.callers import CallerConnections
from tanagercourse.gateway.counters import Counters
from tanagercourse.gateway.request_state import ForwardingDependencies
from tanagercourse.instance.stopping import GracefulShutdown, Phase
from tanagercourse.instance.zone_size import ZoneSize
from tanagercourse.routing.fleet import Fleet


@dataclass(frozen=True)
class InstanceState:
    """State and dependencies that the tasks of an instance share.

    Attributes:
        fleet: All registered upstreams.
        fleet_updater: Applies registrations to the fleet.
        configuration: The operator's active configuration.
        connections: The callers' connections.
        counters: Counts outcomes, for the metrics.
        shutdown: The graceful shutdown of this instance.
        zone_size: How many instances share the zone's requests.
        forwarding: Dependencies of the tasks that forward requests.
    """

    fleet: Fleet
    fleet_updater: FleetUpdater
    configuration: ActiveConfiguration
    connections: CallerConnections
    counters: Counters
    shutdown: GracefulShutdown
    zone_size: ZoneSize
    forwarding: ForwardingDependencies

    def is_ready(self) -> bool:
        """Return whether callers' requests can be served."""
        is_initialized = (
            self.fleet_updater.has_listing and self.configuration.current() is not None
        )
        return is_initialized and self.shutdown.phase is Phase.SERVING

    def make_connections(self) -> CallerConnections:
        """Return the connections of another listener, within the common limit."""
        return CallerConnections(limit=self.connections.limit)

"""What an entry instance's handlers share."""

from collections.abc import Mapping
from enum import Enum, unique
from random import Random

from tanagercourse.burn.recorder import BurnRecorder
from tanagercourse.core.ids import ServiceId
from tanagercourse.core.work import Clock
from tanagercourse.entry.inforce import ServiceInForce, SettingsInForce
from tanagercourse.entry.lookup import Lookups
from tanagercourse.entry.once import RequestsInHand
from tanagercourse.entry.pool import ServicePool
from tanagercourse.entry.roster import Roster
from tanagercourse.steering.upstreams import two_choices
from tanagercourse.wire.connections import Connections


@unique
class Phase(Enum):
    """Phase of an entry instance's life."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class EntryState:
    """All that an entry instance's handlers share."""

    def __init__(
        self,
        connections: Connections,
        clock: Clock,
        random: Random,
        recorder: BurnRecorder,
    ) -> None:
        self.connections = connections
        self.clock = clock
        self.random = random
        self.recorder = recorder
        self.phase = Phase.STARTING
        self.roster = Roster()
        self.in_hand = RequestsInHand(clock)
        self.in_force = SettingsInForce(self._configure)
        self.lookups = Lookups(self.in_force, self.roster, random)
        self._pools: dict[ServiceId, ServicePool] = {}

    def pool(self, service: ServiceId) -> ServicePool:
        """Return a service's pool; settings in force set it up."""
        pool = self._pools.get(service)
        if pool is None:
            choose = two_choices(self.random)
            pool = ServicePool(choose, self.clock, self.roster.is_leaving)
            self._pools[service] = pool
        return pool

    def pools(self) -> Mapping[ServiceId, ServicePool]:
        """Return every service's pool."""
        return self._pools

    def _configure(self, service: ServiceInForce) -> None:
        self.pool(service.settings.service_id).configure(service.settings)

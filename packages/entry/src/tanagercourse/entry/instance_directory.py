"""A cached copy of the platform's list of machines, with newer reports of peers."""

from collections.abc import Iterable

from tanagercourse.core.ids import InstanceId
from tanagercourse.platform.store import Machine, Presence


class InstanceDirectory:
    """Entry instances and upstreams by id.

    Combines the list last read from the platform with reports of this instance and its
    peers, which arrive sooner than the next list.

    Attributes:
        revision: Increases with each change, so that readers can cache results.
    """

    def __init__(self) -> None:
        self._machines: dict[str, Machine] = {}
        self.revision = 0
        self._reported_leaving: set[str] = set()
        self._members: dict[str, Machine] = {}

    def replace(self, machines: Iterable[Machine]) -> None:
        """Replace the list of machines with a newer one from the platform."""
        newest: dict[str, Machine] = {machine.id: machine for machine in machines}
        if newest != self._machines:
            self._machines = newest
            self.revision += 1

    def set_leaving(self, machine_id: str, is_leaving: bool) -> None:
        """Apply a report of this instance or a peer on whether a machine is leaving."""
        if is_leaving == (machine_id in self._reported_leaving):
            return
        if is_leaving:
            self._reported_leaving.add(machine_id)
        else:
            self._reported_leaving.discard(machine_id)
        self.revision += 1

    def set_member(self, machine: Machine) -> None:
        """Add or update an instance that a peer reported."""
        if self._members.get(machine.id) != machine:
            self._members[machine.id] = machine
            self.revision += 1

    def is_leaving(self, machine_id: str) -> bool:
        """Return whether the platform or a report states that a machine is leaving."""
        if machine_id in self._reported_leaving:
            return True
        machine = self._machines.get(machine_id)
        return machine is not None and machine.presence is Presence.LEAVING

    def live_instances(self, upstreams: set[str]) -> tuple[Machine, ...]:
        """Return the live entry instances: all live machines except upstreams.

        Args:
            upstreams: Ids of the upstreams that the settings name.
        """
        return tuple(
            machine
            for machine in (self._members | self._machines).values()
            if not self.is_leaving(machine.id) and machine.id not in upstreams
        )

    def instance(self, instance: InstanceId) -> Machine | None:
        """Return a machine by its id, or None if neither platform nor peers list it."""
        return self._machines.get(instance) or self._members.get(instance)

"""The machines that the platform lists, as an entry instance last read them."""

from collections.abc import Iterable

from tanagercourse.core.ids import InstanceId
from tanagercourse.platform.store import Machine, Presence


class InstanceDirectory:
    """Entry instances and upstreams by id, with what the platform says of each."""

    def __init__(self) -> None:
        self._machines: dict[str, Machine] = {}
        # Grows with each change, so that readers can keep what they made of it.
        self.revision = 0
        self._told_leaving: set[str] = set()
        self._members: dict[str, Machine] = {}

    def replace(self, machines: Iterable[Machine]) -> None:
        """Take the platform's newest list."""
        newest: dict[str, Machine] = {machine.id: machine for machine in machines}
        if newest != self._machines:
            self._machines = newest
            self.revision += 1

    def tell_leaving(self, machine_id: str, is_leaving: bool) -> None:
        """Take what this instance or a peer says, which is sooner than the list."""
        if is_leaving == (machine_id in self._told_leaving):
            return
        if is_leaving:
            self._told_leaving.add(machine_id)
        else:
            self._told_leaving.discard(machine_id)
        self.revision += 1

    def tell_member(self, machine: Machine) -> None:
        """Take an instance that a peer tells of, which is sooner than the list."""
        if self._members.get(machine.id) != machine:
            self._members[machine.id] = machine
            self.revision += 1

    def is_leaving(self, machine_id: str) -> bool:
        """Whether the platform or a peer says that a machine is leaving."""
        if machine_id in self._told_leaving:
            return True
        machine = self._machines.get(machine_id)
        return machine is not None and machine.presence is Presence.LEAVING

    def live_instances(self, upstreams: set[str]) -> tuple[Machine, ...]:
        """Return the live machines that are not upstreams: the entry instances.

        Args:
            upstreams: Ids of the upstreams that the settings name.
        """
        return tuple(
            machine
            for machine in (self._members | self._machines).values()
            if not self.is_leaving(machine.id) and machine.id not in upstreams
        )

    def instance(self, instance: InstanceId) -> Machine | None:
        """Return one machine, or None when the platform does not list it."""
        return self._machines.get(instance) or self._members.get(instance)

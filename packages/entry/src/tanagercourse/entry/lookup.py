"""Answer look-ups: which entry instances a caller is to use."""

from random import Random

from tanagercourse.core.ids import InstanceId, RegionId, ZoneId
from tanagercourse.entry.inforce import SettingsInForce
from tanagercourse.entry.roster import Roster
from tanagercourse.platform.store import Machine
from tanagercourse.steering.placement import CallerPlace, Candidate, place_caller
from tanagercourse.wire.lookups import LookupAnswer, OfferedInstance

VALID_FOR_MS = 10_000
# Renewals spread over this share of the validity time, so that none come at once.
VALID_FOR_SPREAD = 0.2


def answer_lookup(
    caller: str,
    zone: ZoneId | None,
    in_force: SettingsInForce,
    roster: Roster,
    random: Random,
) -> LookupAnswer:
    """Return the instances that a caller is to use, in order.

    Args:
        caller: The caller's address.
        zone: Its availability zone, if it knows it.
        in_force: Settings in force here.
        roster: Machines that the platform lists.
        random: Spreads the validity time.
    """
    regions = {ZoneId(z.zone): z.region_id for z in in_force.fleet.zones}
    upstreams = {
        upstream.id
        for service in in_force.services()
        for upstream in service.settings.upstreams
    }
    machines = {machine.id: machine for machine in roster.live_instances(upstreams)}
    candidates = [_to_candidate(machine, regions) for machine in machines.values()]
    place = CallerPlace(zone, regions.get(zone) if zone else None)
    chosen = place_caller(caller, place, candidates)
    offered = tuple(_offer(machines[candidate.id]) for candidate in chosen)
    spread = 1.0 - VALID_FOR_SPREAD * random.random()
    return LookupAnswer(offered, int(VALID_FOR_MS * spread), in_force.version)


def _to_candidate(machine: Machine, regions: dict[ZoneId, RegionId]) -> Candidate:
    region = regions.get(machine.zone, RegionId(""))
    return Candidate(InstanceId(machine.id), machine.zone, region)


def _offer(machine: Machine) -> OfferedInstance:
    url = f"http://{machine.host}:{machine.port}"
    return OfferedInstance(machine.id, url, machine.zone)

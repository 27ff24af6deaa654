"""Run a scenario on a fleet with a policy, in virtual time."""

from collections.abc import Callable
from functools import partial
from itertools import count
from random import Random

from tanagercourse.core.ids import RegionId, RequestId, ServiceId
from tanagercourse.core.work import Work
from tanagercourse.model.fleet import Fleet, ServiceModel
from tanagercourse.model.instance import ModelInstance
from tanagercourse.model.policy import Policy
from tanagercourse.model.result import Result
from tanagercourse.model.scenarios import Load, Scenario
from tanagercourse.model.simulation import World
from tanagercourse.steering.subsetting import ServiceSlots, assign_subsets

ChooseInstance = Callable[[], ModelInstance]
# The instances where callers meet, by service and region.
Meeting = dict[tuple[ServiceId, RegionId], list[ModelInstance]]

# Time after the last arrival in which requests can still end, in seconds.
SETTLE_S = 5.0


def run(fleet: Fleet, scenario: Scenario, policy: Policy, seed: int) -> Result:
    """Run a scenario.

    Args:
        fleet: The fleet.
        scenario: What callers send and what fails.
        policy: The decisions of each entry instance.
        seed: Seed of all that is random; equal seeds give equal arrivals.

    Returns:
        What happened to the requests.
    """
    return simulate(fleet, scenario, policy, seed).result


def simulate(fleet: Fleet, scenario: Scenario, policy: Policy, seed: int) -> World:
    """Run a scenario as `run` does, and return the world at its end."""
    world = World(fleet, seed)
    instances = _start_instances(world, policy, seed)
    meeting = _meeting(world, instances) if policy.gathers_callers else {}
    for event in scenario.events:
        world.timeline.after(event.at_s, partial(event.change, world))
    ids = count()
    for index, load in enumerate(scenario.loads):
        for service in fleet.services:
            if service.rank is load.rank:
                random = Random(f"{seed}/{index}/{service.service}")
                home = _choose_home(instances, scenario.crowded_share, random)
                arrivals = _Arrivals(world, home, meeting, service, load, random, ids)
                world.timeline.after(load.begin_s, arrivals.plan_next)
    world.timeline.run(scenario.duration_s + SETTLE_S)
    return world


def _start_instances(world: World, policy: Policy, seed: int) -> list[ModelInstance]:
    instances = []
    make_spilling = policy.make_spill(world)
    for index in range(world.fleet.instances):
        id, zone = world.fleet.instance_id(index), world.fleet.zone_of(index)
        random, spilling = Random(f"{seed}/{id}"), make_spilling(id, zone)
        instance = ModelInstance(id, zone, world, policy, random, spilling)
        instance.renew_shares()
        instances.append(instance)
    return instances


def _meeting(world: World, instances: list[ModelInstance]) -> Meeting:
    """Return where each service's callers meet, by service and region."""
    meeting: Meeting = {}
    for region in world.regions:
        there = {each.id: each for each in instances if each.zone.region == region}
        needs = [
            ServiceSlots(service.service, world.meter(service.service, region).slots)
            for service in world.fleet.services
        ]
        for gathering in assign_subsets(needs, list(there), world.fleet.places):
            gathered = [there[instance] for instance in gathering.instances]
            meeting[gathering.service, region] = gathered
    return meeting


def _choose_home(
    instances: list[ModelInstance], crowded_share: float, random: Random
) -> ChooseInstance:
    def choose() -> ModelInstance:
        if random.random() < crowded_share:
            return instances[0]
        return random.choice(instances)

    return choose


class _Arrivals:
    """Callers of one service, each at an entry instance of its own zone."""

    def __init__(
        self,
        world: World,
        home: ChooseInstance,
        meeting: Meeting,
        service: ServiceModel,
        load: Load,
        random: Random,
        ids: "count[int]",
    ) -> None:
        self._world = world
        self._home = home
        self._meeting = meeting
        self._service = service
        self._load = load
        self._random = random
        self._ids = ids
        self._rate_per_s = load.load * service.capacity_per_s

    def plan_next(self) -> None:
        gap_s = self._random.expovariate(self._rate_per_s)
        if self._world.now_s() + gap_s < self._load.end_s:
            self._world.timeline.after(gap_s, self._send)

    def _send(self) -> None:
        sent_at_s = self._world.now_s()
        service = self._service
        instance, client_s = self._route()
        work = Work(
            RequestId(f"r{next(self._ids)}"),
            service.service,
            service.rank,
            service.idempotency,
            # The answer still has to travel back to the caller.
            expires_at_s=sent_at_s + service.deadline_s - client_s,
        )
        self._world.result.ranks[work.rank].sent += 1
        arrive = partial(instance.arrive, work, sent_at_s, client_s)
        self._world.timeline.after(client_s, arrive)
        self.plan_next()

    def _route(self) -> tuple[ModelInstance, float]:
        """Return the instance that a caller uses and the one-way time, in seconds."""
        home = self._home()
        client_s = self._world.fleet.client_one_way_s
        gathered = self._meeting.get((self._service.service, home.zone.region))
        if not gathered:
            return home, client_s
        # A generator of its own: arrivals must not depend on the policy.
        instance = self._world.random.choice(gathered)
        if not self._world.can_reach(home.zone, instance.zone):
            return home, client_s
        hop_s = self._world.fleet.one_way_s(home.zone, instance.zone)
        return instance, client_s + hop_s

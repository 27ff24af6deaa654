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
from tanagercourse.model.result import RunResult
from tanagercourse.model.scenarios import LoadPhase, Scenario
from tanagercourse.model.simulation import Simulation
from tanagercourse.steering.subsetting import ServiceSlots, assign_subsets

ChooseInstance = Callable[[], ModelInstance]
# The instances that the callers of a service in a region share.
Subsets = dict[tuple[ServiceId, RegionId], list[ModelInstance]]

# Time after the last arrival for outstanding requests to end.
DRAIN_TIME_S = 5.0


def run(fleet: Fleet, scenario: Scenario, policy: Policy, seed: int) -> RunResult:
    """Run a scenario and return its counts.

    Args:
        fleet: The fleet.
        scenario: The load and the faults.
        policy: Decisions that every entry instance uses.
        seed: Seed of all random generators; equal seeds give equal arrivals.

    Returns:
        Counts by rank and by region.
    """
    return simulate(fleet, scenario, policy, seed).result


def simulate(fleet: Fleet, scenario: Scenario, policy: Policy, seed: int) -> Simulation:
    """Run a scenario like `run`, but return the simulation at its end."""
    simulation = Simulation(fleet, seed)
    instances = _start_instances(simulation, policy, seed)
    subsets = _assign_instances(simulation, instances) if policy.uses_subsets else {}
    for event in scenario.events:
        simulation.scheduler.schedule_after(
            event.at_s, partial(event.apply, simulation)
        )
    request_numbers = count()
    for index, phase in enumerate(scenario.loads):
        for service in fleet.services:
            if service.rank is phase.rank:
                random = Random(f"{seed}/{index}/{service.service}")
                choose_home = _make_home_chooser(
                    instances, scenario.first_instance_share, random
                )
                callers = _ServiceCallers(
                    simulation,
                    choose_home,
                    subsets,
                    service,
                    phase,
                    random,
                    request_numbers,
                )
                simulation.scheduler.schedule_after(
                    phase.begin_s, callers.schedule_next
                )
    simulation.scheduler.run_until(scenario.duration_s + DRAIN_TIME_S)
    return simulation


def _start_instances(
    simulation: Simulation, policy: Policy, seed: int
) -> list[ModelInstance]:
    instances = []
    make_instance_hooks = policy.make_spill_hooks(simulation)
    for index in range(simulation.fleet.instance_count):
        id, zone = simulation.fleet.instance_id(index), simulation.fleet.zone_at(index)
        random, spill_hooks = Random(f"{seed}/{id}"), make_instance_hooks(id, zone)
        instance = ModelInstance(id, zone, simulation, policy, random, spill_hooks)
        instance.renew_shares()
        instances.append(instance)
    return instances


def _assign_instances(
    simulation: Simulation, instances: list[ModelInstance]
) -> Subsets:
    """Return the instances that serve the callers of each service in each region."""
    subsets: Subsets = {}
    for region in simulation.regions:
        instances_by_id = {
            instance.id: instance
            for instance in instances
            if instance.zone.region == region
        }
        service_slots = [
            ServiceSlots(
                service.service, simulation.meter(service.service, region).slots
            )
            for service in simulation.fleet.services
        ]
        for subset in assign_subsets(
            service_slots, list(instances_by_id), simulation.fleet.max_running
        ):
            members = [instances_by_id[instance] for instance in subset.instances]
            subsets[subset.service, region] = members
    return subsets


def _make_home_chooser(
    instances: list[ModelInstance], first_instance_share: float, random: Random
) -> ChooseInstance:
    def choose() -> ModelInstance:
        if random.random() < first_instance_share:
            return instances[0]
        return random.choice(instances)

    return choose


class _ServiceCallers:
    """Sends the requests of one service in one load phase, as a Poisson process.

    Each caller is in the zone of a home instance, drawn for each request. It uses that
    instance or, if the policy assigns subsets, an instance of the service's subset.
    """

    def __init__(
        self,
        simulation: Simulation,
        choose_home: ChooseInstance,
        subsets: Subsets,
        service: ServiceModel,
        phase: LoadPhase,
        random: Random,
        request_numbers: "count[int]",
    ) -> None:
        self._simulation = simulation
        self._choose_home = choose_home
        self._subsets = subsets
        self._service = service
        self._phase = phase
        self._random = random
        self._request_numbers = request_numbers
        self._rate_per_s = phase.offered_load * service.capacity_per_s

    def schedule_next(self) -> None:
        gap_s = self._random.expovariate(self._rate_per_s)
        if self._simulation.now_s() + gap_s < self._phase.end_s:
            self._simulation.scheduler.schedule_after(gap_s, self._send)

    def _send(self) -> None:
        sent_at_s = self._simulation.now_s()
        service = self._service
        instance, caller_one_way_s = self._choose_entry()
        work = Work(
            RequestId(f"r{next(self._request_numbers)}"),
            service.service,
            service.rank,
            service.idempotency,
            # The response still has to travel back to the caller.
            expires_at_s=sent_at_s + service.deadline_s - caller_one_way_s,
        )
        self._simulation.result.ranks[work.rank].sent += 1
        receive = partial(instance.receive, work, sent_at_s, caller_one_way_s)
        self._simulation.scheduler.schedule_after(caller_one_way_s, receive)
        self.schedule_next()

    def _choose_entry(self) -> tuple[ModelInstance, float]:
        """Return the instance for a request and the one-way time to it, in seconds."""
        home = self._choose_home()
        caller_one_way_s = self._simulation.fleet.client_one_way_s
        members = self._subsets.get((self._service.service, home.zone.region))
        if not members:
            return home, caller_one_way_s
        # Not drawn from self._random, as arrivals must not depend on the policy.
        instance = self._simulation.random.choice(members)
        if not self._simulation.can_reach(home.zone, instance.zone):
            return home, caller_one_way_s
        hop_s = self._simulation.fleet.one_way_s(home.zone, instance.zone)
        return instance, caller_one_way_s + hop_s

"""The ready instances of each zone, as relays and their followers know them.

Every follower reports itself with its checks of a relay. A relay keeps the reports,
chooses the members that look-ups of a zone name and returns these, with their ages, in
its answers. Ages are measured on a clock that includes suspended time, so neither a
relay nor a follower relies on what it heard before it was suspended.
"""

import math
from collections import deque
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum, unique

from tanagercourse.core.ids import InstanceId, ZoneId
from tanagercourse.gateway.messages import CallerRequest, Response

# Age from which a report no longer counts, in seconds. Reports and answers each take up
# to one interval between checks.
MAX_AGE_S = 2.5
# Time without a check or a look-up after which a relay was suspended rather than idle,
# in seconds. What it heard before is no longer complete.
MAX_INACTIVE_S = 1.5
# How long a relay keeps a choice of members and the report about itself, in seconds.
CHOICE_INTERVAL_S = 0.2
# Time over which utilization is averaged, in seconds.
UTILIZATION_WINDOW_S = 5.0
# Minimum time between two samples of that window, in seconds.
SAMPLE_INTERVAL_S = 0.4
BYTES_PER_MBIT = 125_000


@unique
class Readiness(Enum):
    """Whether an instance accepts new callers."""

    READY = "ready"
    NOT_READY = "not_ready"


@dataclass(frozen=True)
class Capacity:
    """What an instance may use of its machine.

    Attributes:
        cores: Processor cores.
        link_mbps: Bandwidth of the link in each direction, in Mbit/s.
    """

    cores: float
    link_mbps: float


@dataclass(frozen=True)
class Utilization:
    """The used share of an instance's capacity."""

    cpu: float
    link: float


@dataclass(frozen=True)
class Member:
    """An instance's report about itself.

    Attributes:
        address: Caller endpoint, as look-ups name it.
        capacity: What the instance may use of its machine.
        readiness: Whether the instance accepts new callers.
        utilization: The used share of the capacity.
    """

    address: str
    capacity: Capacity
    readiness: Readiness
    utilization: Utilization


@dataclass(frozen=True)
class NamedMember:
    """A member that look-ups of its zone name.

    Attributes:
        address: Caller endpoint.
        reported_at_s: Time of the member's last report.
    """

    address: str
    reported_at_s: float


@unique
class NoMembers(Enum):
    """Why a relay states no named members."""

    ALIKE = "alike"
    UNKNOWN = "unknown"


# The named members, or why there are none. It is empty if each instance of a zone with
# different machines names itself.
NamedMembers = tuple[NamedMember, ...] | NoMembers


@unique
class ReportSource(Enum):
    """From whom a relay has a report."""

    FOLLOWER = "follower"
    OTHER_RELAY = "other_relay"


@dataclass(frozen=True)
class ZoneReport:
    """What a relay knows of one instance.

    Attributes:
        zone: Zone of the instance.
        instance: Id of the instance.
        member: The last report of the instance.
        reported_at_s: Time of that report.
        checked_at_s: Time of the last check, which may have carried no report.
        source: From whom the relay has the report.
    """

    zone: ZoneId
    instance: InstanceId
    member: Member
    reported_at_s: float
    checked_at_s: float
    source: ReportSource


# Chooses the named members from those that reported recently, given the number that is
# named now.
ChooseMembers = Callable[[Sequence[Member], int], tuple[Member, ...]]
# Returns whether machines differ so little that each instance names itself.
AreAlike = Callable[[Sequence[Capacity]], bool]


@dataclass
class _Zone:
    """The reports of a zone, and the last choice among its members."""

    reports: dict[InstanceId, ZoneReport] = field(default_factory=dict)
    chosen_at_s: float = -math.inf
    chosen: tuple[InstanceId, ...] | NoMembers = NoMembers.UNKNOWN

    def drop_old_reports(self, now_s: float) -> None:
        """Drop the reports of instances that are silent."""
        self.reports = {
            instance: report
            for instance, report in self.reports.items()
            if now_s - report.checked_at_s <= MAX_AGE_S
        }


class RelayMembers:
    """What a relay knows of the members of all zones."""

    def __init__(
        self,
        zone: ZoneId,
        instance: InstanceId,
        describe_self: Callable[[], Member | None],
        choose: ChooseMembers,
        are_alike: AreAlike,
        clock: Callable[[], float],
    ) -> None:
        """Start without followers.

        Args:
            zone: Zone of the relay.
            instance: Id of the relay.
            describe_self: Returns the relay's own report, None if it serves no callers.
            choose: Chooses the members that are named.
            are_alike: Returns whether machines differ too little for a choice.
            clock: A clock that includes suspended time, in seconds.
        """
        self._zone = zone
        self._instance = instance
        self._describe_self = describe_self
        self._choose = choose
        self._are_alike = are_alike
        self._clock = clock
        self._listening_since_s = self._active_at_s = clock()
        self._described_at_s = -math.inf
        self._zones: dict[ZoneId, _Zone] = {}

    def now_s(self) -> float:
        """Return the time against which ages are measured, in seconds."""
        return self._clock()

    def record_check(
        self, zone: ZoneId, instance: InstanceId, member: Member | None
    ) -> None:
        """Record a check by a follower, with its report if there is one."""
        now_s = self._note_activity()
        reports = self._zones.setdefault(zone, _Zone()).reports
        if member is not None:
            reports[instance] = ZoneReport(
                zone, instance, member, now_s, now_s, ReportSource.FOLLOWER
            )
        elif instance in reports:
            reports[instance] = replace(
                reports[instance], checked_at_s=now_s, source=ReportSource.FOLLOWER
            )

    def record_from_relay(self, reports: Iterable[ZoneReport]) -> None:
        """Record what another relay knows, where it is newer."""
        now_s = self._note_activity()
        for report in reports:
            known = self._zones.setdefault(report.zone, _Zone()).reports
            former = known.get(report.instance)
            if former is None or former.checked_at_s < report.checked_at_s:
                known[report.instance] = report
        for zone_state in self._zones.values():
            zone_state.drop_old_reports(now_s)

    def reports_for_relays(self) -> list[ZoneReport]:
        """Return the recent reports of this relay's followers and of itself."""
        now_s = self._note_activity()
        return [
            report
            for zone in self._zones.values()
            for report in zone.reports.values()
            if report.source is ReportSource.FOLLOWER
            and now_s - report.checked_at_s <= MAX_AGE_S
        ]

    def named_for(self, zone: ZoneId, instance: InstanceId) -> NamedMembers:
        """Return the members that a follower may name.

        They are unknown while there is no report of the follower, or while the relay
        has not listened for long enough to have heard of all members.
        """
        zone_state = self._zones.get(zone)
        if zone_state is None or instance not in zone_state.reports:
            return NoMembers.UNKNOWN
        return self._named(zone)

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses that this relay's own look-ups may name."""
        named = self._named(self._zone)
        if isinstance(named, NoMembers):
            return ()
        return recent_addresses(named, self._clock())

    def _note_activity(self) -> float:
        """Report this relay itself, and return the time.

        If this process has not run for some time, it listens anew.
        """
        now_s = self._clock()
        if now_s - self._active_at_s > MAX_INACTIVE_S:
            self._listening_since_s = now_s
        self._active_at_s = now_s
        if now_s - self._described_at_s < CHOICE_INTERVAL_S:
            return now_s
        self._described_at_s = now_s
        member = self._describe_self()
        if member is not None:
            own_zone = self._zones.setdefault(self._zone, _Zone())
            own_zone.reports[self._instance] = ZoneReport(
                self._zone, self._instance, member, now_s, now_s, ReportSource.FOLLOWER
            )
        return now_s

    def _named(self, zone: ZoneId) -> NamedMembers:
        now_s = self._note_activity()
        if now_s - self._listening_since_s < MAX_AGE_S:
            return NoMembers.UNKNOWN
        zone_state = self._zones.setdefault(zone, _Zone())
        if now_s - zone_state.chosen_at_s >= CHOICE_INTERVAL_S:
            self._choose_again(zone_state, now_s)
        if isinstance(zone_state.chosen, NoMembers):
            return zone_state.chosen
        reports = [
            zone_state.reports[instance]
            for instance in zone_state.chosen
            if instance in zone_state.reports
        ]
        return tuple(
            NamedMember(report.member.address, report.reported_at_s)
            for report in reports
        )

    def _choose_again(self, zone_state: _Zone, now_s: float) -> None:
        zone_state.chosen_at_s = now_s
        zone_state.drop_old_reports(now_s)
        reports = zone_state.reports.values()
        if self._are_alike([report.member.capacity for report in reports]):
            zone_state.chosen = NoMembers.ALIKE
            return
        former = zone_state.chosen
        named_count = 0 if isinstance(former, NoMembers) else len(former)
        recent = sorted(
            (r for r in reports if now_s - r.reported_at_s <= MAX_AGE_S),
            key=lambda report: report.reported_at_s,
        )
        # A machine that changed its name is known by two ids for a time.
        instances = {report.member.address: report.instance for report in recent}
        members = {report.member.address: report.member for report in recent}
        chosen = self._choose(tuple(members.values()), named_count)
        zone_state.chosen = tuple(instances[member.address] for member in chosen)


class FollowedMembers:
    """The named members that this instance last heard of from a relay."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without members.

        Args:
            clock: A clock that includes suspended time, in seconds.
        """
        self._clock = clock
        self._named: tuple[NamedMember, ...] = ()

    def now_s(self) -> float:
        """Return the time against which ages are measured, in seconds."""
        return self._clock()

    def record(self, named: NamedMembers) -> None:
        """Record a relay's answer; a relay that knows nothing yet changes nothing."""
        if not isinstance(named, NoMembers):
            self._named = named
        elif named is NoMembers.ALIKE:
            self._named = ()

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of the members whose reports are recent."""
        return recent_addresses(self._named, self._clock())


@dataclass(frozen=True)
class Membership:
    """What an instance knows of the members of its zone.

    Attributes:
        describe_self: Returns this instance's report, None if it serves no callers.
        followed: The members that its relay stated.
        relayed: The members that it knows as a relay, None if it is none.
    """

    describe_self: Callable[[], Member | None]
    followed: FollowedMembers
    relayed: RelayMembers | None

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses that look-ups may name, empty if there are none."""
        known = self.followed if self.relayed is None else self.relayed
        return known.addresses()


def recent_addresses(named: Sequence[NamedMember], now_s: float) -> tuple[str, ...]:
    """Return the addresses of the members whose reports are recent, in order."""
    return tuple(
        member.address for member in named if now_s - member.reported_at_s <= MAX_AGE_S
    )


class UtilizationMeter:
    """Measures which part of its capacity this instance uses.

    Attributes:
        capacity: What the instance may use of its machine.
        moved_bytes: Bytes of the callers' and upstreams' bodies so far. Each body
            crosses the link once in each direction, so it counts once.
    """

    def __init__(
        self,
        capacity: Capacity,
        clock: Callable[[], float],
        process_time: Callable[[], float],
    ) -> None:
        """Start to measure.

        Args:
            capacity: What the instance may use of its machine.
            clock: A monotonic clock, in seconds.
            process_time: Returns the processor time of this process, in seconds.
        """
        self.moved_bytes = 0
        self.capacity = capacity
        self._clock = clock
        self._process_time = process_time
        self._samples = deque([(clock(), process_time(), 0)])

    def count_bodies(
        self, respond: Callable[[CallerRequest], Awaitable[Response]]
    ) -> Callable[[CallerRequest], Awaitable[Response]]:
        """Return a request handler that counts the bodies it receives and returns."""

        async def respond_and_count(request: CallerRequest) -> Response:
            self.moved_bytes += len(request.body)
            response = await respond(request)
            self.moved_bytes += len(response.body)
            return response

        return respond_and_count

    def read(self) -> Utilization:
        """Return the utilization in the last UTILIZATION_WINDOW_S."""
        now_s, cpu_s = self._clock(), self._process_time()
        begin_s, begin_cpu_s, begin_bytes = self._samples[0]
        elapsed_s = max(now_s - begin_s, SAMPLE_INTERVAL_S)
        if now_s - self._samples[-1][0] >= SAMPLE_INTERVAL_S:
            self._samples.append((now_s, cpu_s, self.moved_bytes))
        while len(self._samples) > 1 and (
            self._samples[1][0] <= now_s - UTILIZATION_WINDOW_S
        ):
            self._samples.popleft()
        bytes_per_s = (self.moved_bytes - begin_bytes) / elapsed_s
        return Utilization(
            (cpu_s - begin_cpu_s) / elapsed_s / self.capacity.cores,
            bytes_per_s / BYTES_PER_MBIT / self.capacity.link_mbps,
        )

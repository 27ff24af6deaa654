"""Wire the source of the platform's objects: the store itself, or a relay."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random

from anyio.abc import TaskGroup
from returns.result import Result

from tanagercourse.core.ids import ObjectPath
from tanagercourse.following.availability import (
    PlatformAvailability,
    monitor_platform,
)
from tanagercourse.following.change_log import ChangeLog
from tanagercourse.following.eras import EraTracker, watch_within_era
from tanagercourse.following.sources import (
    SourceSelector,
    StoreFunctions,
    record_watches,
    select_source,
)
from tanagercourse.following.verification import (
    SourceVersions,
    make_relay_times,
    make_store_times,
    verify_watches,
)
from tanagercourse.following.watching import (
    MAX_WATCH_SHARE_OF_HISTORY,
    WATCH_WAIT_S,
    WatchSource,
)
from tanagercourse.gateway.connection_pool import ConnectionPool
from tanagercourse.gateway.logs import Log
from tanagercourse.instance.members import Membership, RelayMembers
from tanagercourse.instance.relaying import (
    STORE_CHECK_INTERVAL_S,
    Follower,
    RelayServer,
    StoreConfirmation,
    exchange_reports,
    make_relay,
    make_report_reader,
)
from tanagercourse.instance.settings import InstanceSettings
from tanagercourse.instance.zone_size import FollowerCounts, ZoneSize
from tanagercourse.platform.reading import ReadProblem

# Delay between changes from the store and the next watch, in seconds. A call to the
# store is expensive, so one response should hold the changes of a longer time.
STORE_COALESCE_DELAY_S = 1.0
# The same delay of a relay, whose followers wait for the changes.
RELAY_COALESCE_DELAY_S = 0.2
# The same delay of an instance that follows a relay.
FOLLOWER_COALESCE_DELAY_S = 0.3


@dataclass(frozen=True)
class SourceDependencies:
    """What the source of objects is built from.

    Attributes:
        store: The platform's store.
        eras: The latest era that the store stated.
        apply_within_s: Prefixes of the objects that are watched, and the time within
            which a change under each must be applied, in seconds.
        settings: Settings of this instance.
        zone_size: Receives the number of instances in this instance's zone.
        membership: What this instance knows of the members of its zone.
        peers: Connections to relays.
        log: Logger for changes of the source.
        clock: A monotonic clock, in seconds.
        random: Source of the intervals' jitter.
    """

    store: StoreFunctions
    eras: EraTracker
    apply_within_s: Mapping[ObjectPath, float]
    settings: InstanceSettings
    zone_size: ZoneSize
    membership: Membership
    peers: ConnectionPool
    log: Log
    clock: Callable[[], float]
    random: Random

    @property
    def watch_wait_s(self) -> float:
        """Maximum time for which one watch waits for changes, in seconds."""
        history_s = self.settings.history_s
        return min(WATCH_WAIT_S, MAX_WATCH_SHARE_OF_HISTORY * history_s)


def start_source(
    deps: SourceDependencies, tasks: TaskGroup
) -> tuple[WatchSource, RelayServer | None]:
    """Start to select the source of objects.

    Args:
        deps: What the source is built from.
        tasks: Runs the task that selects the source.

    Returns:
        The source for watches, and the relay's server if this instance is a relay.
    """
    members = deps.membership.relayed
    if members is None:
        return _start_followed_source(deps, tasks), None
    return _start_relay_source(deps, members, tasks)


def _start_followed_source(deps: SourceDependencies, tasks: TaskGroup) -> WatchSource:
    """Start to follow the relays, or the store without them."""
    follower = Follower(
        deps.settings.instance,
        deps.settings.location.zone,
        deps.zone_size,
        deps.membership.followed,
        deps.membership.describe_self,
        deps.eras,
    )
    relays = tuple(
        make_relay(endpoint, deps.peers, follower) for endpoint in deps.settings.relays
    )
    store = deps.store
    selector = SourceSelector(store, PlatformAvailability())
    tasks.start_soon(
        select_source, selector, store.check, relays, deps.log, deps.random
    )
    store_times, relay_times = make_store_times(deps.apply_within_s), make_relay_times()
    watch = verify_watches(
        watch_within_era(selector.watch, deps.eras),
        selector.versions,
        lambda: relay_times if selector.is_relay_in_use() else store_times,
        deps.log,
    )

    def coalesce_delay_s() -> float:
        if selector.is_relay_in_use():
            return FOLLOWER_COALESCE_DELAY_S
        return STORE_COALESCE_DELAY_S

    return WatchSource(
        selector.list_all,
        watch,
        selector.availability,
        deps.watch_wait_s,
        coalesce_delay_s,
    )


def _start_relay_source(
    deps: SourceDependencies, members: RelayMembers, tasks: TaskGroup
) -> tuple[WatchSource, RelayServer]:
    """Start to watch the store for the instances that follow this one."""
    store, zone = deps.store, deps.settings.location.zone
    for endpoint in deps.settings.relays:
        if endpoint != deps.settings.relay_endpoint:
            read_reports = make_report_reader(endpoint, deps.peers, members.now_s)
            tasks.start_soon(exchange_reports, read_reports, members)
    followers = FollowerCounts(zone, deps.clock)
    confirmation = StoreConfirmation(deps.clock)

    async def count_and_check() -> Result[None, ReadProblem]:
        deps.zone_size.record(followers.count(zone))
        return await store.check()

    availability = PlatformAvailability()
    tasks.start_soon(
        monitor_platform,
        availability,
        confirmation.wrap(count_and_check),
        deps.log,
        deps.random,
        STORE_CHECK_INTERVAL_S,
    )
    store_times = make_store_times(deps.apply_within_s)
    watch = verify_watches(
        watch_within_era(store.watch, deps.eras),
        SourceVersions(),
        lambda: store_times,
        deps.log,
    )
    change_log = ChangeLog(frozenset(deps.apply_within_s), deps.clock)
    source = WatchSource(
        store.list_all,
        record_watches(watch, change_log),
        availability,
        deps.watch_wait_s,
        lambda: RELAY_COALESCE_DELAY_S,
    )
    return source, RelayServer(change_log, confirmation, followers, members)

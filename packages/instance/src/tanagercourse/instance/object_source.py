"""Wire the source of the platform's objects: the store itself, or a relay."""

from collections.abc import Callable, Mapping
from dataclasses import replace
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
    CONNECT_TIMEOUT_S,
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


def start_source(
    store: StoreFunctions,
    eras: EraTracker,
    apply_within_s: Mapping[ObjectPath, float],
    settings: InstanceSettings,
    zone_size: ZoneSize,
    membership: Membership,
    tasks: TaskGroup,
    log: Log,
    clock: Callable[[], float],
) -> tuple[WatchSource, RelayServer | None]:
    """Start to select the source of objects.

    Args:
        store: The platform's store.
        eras: The latest era that the store stated.
        apply_within_s: Prefixes of the objects that are watched, and the time within
            which a change under each must be applied, in seconds.
        settings: Settings of this instance.
        zone_size: Receives the number of instances in this instance's zone.
        membership: What this instance knows of the members of its zone.
        tasks: Runs the task that selects the source.
        log: Logger for changes of the source.
        clock: A monotonic clock, in seconds.

    Returns:
        The source for watches, and the relay's server if this instance is a relay.
    """
    wait_s = min(WATCH_WAIT_S, MAX_WATCH_SHARE_OF_HISTORY * settings.history_s)
    pool = ConnectionPool(clock, CONNECT_TIMEOUT_S)
    if membership.relayed is not None:
        members = membership.relayed
        for endpoint in settings.relays:
            if endpoint != settings.relay_endpoint:
                read_reports = make_report_reader(endpoint, pool, members.now_s)
                tasks.start_soon(exchange_reports, read_reports, members)
        followers = FollowerCounts(settings.location.zone, clock)

        async def count_and_check() -> Result[None, ReadProblem]:
            zone_size.record(followers.count(settings.location.zone))
            return await store.check()

        counting_store = replace(store, check=count_and_check)
        return _start_relay_source(
            counting_store,
            eras,
            apply_within_s,
            followers,
            members,
            wait_s,
            tasks,
            log,
            clock,
        )
    follower = Follower(
        settings.instance,
        settings.location.zone,
        zone_size,
        membership.followed,
        membership.describe_self,
        eras,
    )
    relays = tuple(make_relay(endpoint, pool, follower) for endpoint in settings.relays)
    selector = SourceSelector(store, PlatformAvailability())
    tasks.start_soon(select_source, selector, store.check, relays, log, Random())

    store_times, relay_times = make_store_times(apply_within_s), make_relay_times()
    watch = verify_watches(
        watch_within_era(selector.watch, eras),
        selector.versions,
        lambda: relay_times if selector.is_relay_in_use() else store_times,
        log,
    )

    def coalesce_delay_s() -> float:
        if selector.is_relay_in_use():
            return FOLLOWER_COALESCE_DELAY_S
        return STORE_COALESCE_DELAY_S

    source = WatchSource(
        selector.list_all,
        watch,
        selector.availability,
        wait_s,
        coalesce_delay_s,
    )
    return source, None


def _start_relay_source(
    store: StoreFunctions,
    eras: EraTracker,
    apply_within_s: Mapping[ObjectPath, float],
    followers: FollowerCounts,
    members: RelayMembers,
    wait_s: float,
    tasks: TaskGroup,
    log: Log,
    clock: Callable[[], float],
) -> tuple[WatchSource, RelayServer]:
    change_log = ChangeLog(frozenset(apply_within_s), clock)
    confirmation = StoreConfirmation(clock)
    availability = PlatformAvailability()
    check = confirmation.wrap(store.check)
    tasks.start_soon(
        monitor_platform, availability, check, log, Random(), STORE_CHECK_INTERVAL_S
    )
    store_times = make_store_times(apply_within_s)
    watch = verify_watches(
        watch_within_era(store.watch, eras), SourceVersions(), lambda: store_times, log
    )
    source = WatchSource(
        store.list_all,
        record_watches(watch, change_log),
        availability,
        wait_s,
        lambda: RELAY_COALESCE_DELAY_S,
    )
    return source, RelayServer(change_log, confirmation, followers, members)

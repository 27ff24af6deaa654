"""Tests of what an older copy of the store brings back, and of what it lacks."""

from collections.abc import Callable

import pytest
import structlog
from returns.result import Result, Success

from tanagercourse.core.ids import ObjectPath, ServiceId, UpstreamId, ZoneId
from tanagercourse.core.problems import Problem
from tanagercourse.following.evacuations import REWRITE_S, EvacuationUpdater
from tanagercourse.following.upstreams import (
    EXPIRY_HEARTBEATS,
    LAPSED_REGISTRATION_GRACE_S,
    FleetUpdater,
)
from tanagercourse.platform.reading import Era, VersionedObject
from tanagercourse.platform.store import ObjectState
from tanagercourse.routing.fleet import Duty, Fleet, UpstreamRegistration
from tanagercourse.testing.store_versions import at
from tanagercourse.testing.stores import ManualClock

LOG = structlog.get_logger()
STOCK = ServiceId("stock")
HEARTBEAT_S = 1.5
EXPIRY_S = EXPIRY_HEARTBEATS * HEARTBEAT_S
SECOND_ERA = Era(2)


def entry(
    revision: int, era: int = 1, duty: str = "ready", started: int = 1
) -> VersionedObject:
    """Return a registration of upstream u0."""
    value = f"{duty} {started}".encode()
    return VersionedObject(ObjectPath("/servers/u0"), at(revision, era), value)


def deletion(revision: int, era: int = 1) -> VersionedObject:
    path = ObjectPath("/servers/u0")
    return VersionedObject(path, at(revision, era), b"", ObjectState.DELETED)


def decode(stored: VersionedObject) -> Result[UpstreamRegistration, Problem]:
    name = UpstreamId(stored.path.rsplit("/", 1)[-1])
    duty, started = stored.value.decode().split()
    return Success(
        UpstreamRegistration(
            name, STOCK, "::", 80, ZoneId("a1"), 3, Duty(duty), 0.0, int(started)
        )
    )


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


@pytest.fixture
def updater(fleet: Fleet, clock: ManualClock) -> FleetUpdater:
    return FleetUpdater(fleet, decode, lambda upstream: None, LOG, clock, HEARTBEAT_S)


@pytest.fixture
def list_copy(updater: FleetUpdater) -> Callable[..., None]:
    """Return a function that applies the first listing of the second era."""

    def apply(*objects: VersionedObject) -> None:
        handlers = updater.handlers()
        handlers.on_new_era(SECOND_ERA)
        handlers.on_listing(objects)

    return apply


def is_in_use(fleet: Fleet) -> bool:
    return bool(list(fleet.serving(STOCK)))


def leave_by_removal(updater: FleetUpdater) -> None:
    updater.apply_listing((entry(5),))
    updater.apply_change(deletion(9))


def leave_by_draining(updater: FleetUpdater) -> None:
    updater.apply_listing((entry(5),))
    updater.apply_change(entry(9, duty="draining"))


def leave_by_restart(updater: FleetUpdater) -> None:
    """The copy lists the lifetime before the restart."""
    updater.apply_listing((entry(5),))
    updater.apply_change(entry(8, started=2))
    updater.apply_change(deletion(9))


def be_listed_as_draining(updater: FleetUpdater) -> None:
    """The instance never saw the upstream in use."""
    updater.apply_listing((entry(9, duty="draining"),))


LEAVINGS = [
    leave_by_removal,
    leave_by_draining,
    leave_by_restart,
    be_listed_as_draining,
]


@pytest.mark.parametrize("leave", LEAVINGS)
def test_upstream_that_left_stays_out_of_use(
    updater: FleetUpdater,
    fleet: Fleet,
    list_copy: Callable[..., None],
    leave: Callable[[FleetUpdater], None],
) -> None:
    """It got requests again because the older copy lists it (review/13)."""
    leave(updater)
    list_copy(entry(5, era=2))
    assert not is_in_use(fleet)
    # A relay or the store may lose its history; the entry is listed once more.
    updater.apply_listing((entry(5, era=2),))
    updater.remove_expired()
    assert not is_in_use(fleet)


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize(
    "written",
    [entry(7, era=2), entry(12, era=2, started=3)],
    ids=["registered again", "new lifetime"],
)
def test_upstream_is_used_once_it_registers_again(
    updater: FleetUpdater,
    fleet: Fleet,
    list_copy: Callable[..., None],
    leave: Callable[[FleetUpdater], None],
    written: VersionedObject,
) -> None:
    leave(updater)
    list_copy(entry(5, era=2))
    updater.apply_change(written)
    assert is_in_use(fleet)


def test_registration_that_is_newer_than_the_withdrawn_one_is_used_at_once(
    updater: FleetUpdater, fleet: Fleet, list_copy: Callable[..., None]
) -> None:
    leave_by_removal(updater)
    list_copy(entry(6, era=2))
    assert is_in_use(fleet)


def test_new_lifetime_in_the_copy_is_used_at_once(
    updater: FleetUpdater, fleet: Fleet, list_copy: Callable[..., None]
) -> None:
    leave_by_removal(updater)
    list_copy(entry(4, era=2, started=2))
    assert is_in_use(fleet)


@pytest.mark.parametrize("leave", LEAVINGS)
def test_upstream_whose_registration_does_not_expire_is_used(
    updater: FleetUpdater,
    fleet: Fleet,
    list_copy: Callable[..., None],
    clock: ManualClock,
    leave: Callable[[FleetUpdater], None],
) -> None:
    """It registers without a change, which no watch reports."""
    leave(updater)
    list_copy(entry(5, era=2))
    clock.now_s += EXPIRY_S - 0.1
    updater.remove_expired()
    assert not is_in_use(fleet)
    clock.now_s += 0.1
    updater.remove_expired()
    assert is_in_use(fleet)


def test_outage_does_not_end_the_wait(
    updater: FleetUpdater,
    fleet: Fleet,
    list_copy: Callable[..., None],
    clock: ManualClock,
) -> None:
    """What is written in an outage is not heard of, so the entry may be gone."""
    leave_by_removal(updater)
    list_copy(entry(5, era=2))
    updater.handlers().on_outage()
    clock.now_s += EXPIRY_S
    updater.remove_expired()
    assert not is_in_use(fleet)
    updater.handlers().on_recovery()
    clock.now_s += EXPIRY_S - 0.1
    updater.remove_expired()
    assert not is_in_use(fleet)
    clock.now_s += 0.1
    updater.remove_expired()
    assert is_in_use(fleet)


def test_removal_in_the_new_era_ends_the_wait(
    updater: FleetUpdater,
    fleet: Fleet,
    list_copy: Callable[..., None],
    clock: ManualClock,
) -> None:
    leave_by_removal(updater)
    list_copy(entry(5, era=2))
    updater.apply_change(deletion(7, era=2))
    clock.now_s += EXPIRY_S
    updater.remove_expired()
    assert not is_in_use(fleet)


def test_third_era_brings_nothing_back_either(
    updater: FleetUpdater, fleet: Fleet, list_copy: Callable[..., None]
) -> None:
    """Its copy may be older than the second era."""
    leave_by_removal(updater)
    list_copy()
    handlers = updater.handlers()
    handlers.on_new_era(Era(3))
    handlers.on_listing((entry(5, era=3),))
    assert not is_in_use(fleet)


def test_upstream_that_the_copy_lacks_is_used_for_a_while(
    updater: FleetUpdater,
    fleet: Fleet,
    list_copy: Callable[..., None],
    clock: ManualClock,
) -> None:
    """It registers again, as it may have done after the copy was made."""
    updater.apply_listing((entry(5),))
    list_copy()
    assert is_in_use(fleet)
    clock.now_s += LAPSED_REGISTRATION_GRACE_S - 0.1
    updater.apply_change(entry(5, era=2))
    clock.now_s += EXPIRY_S
    updater.remove_expired()
    assert is_in_use(fleet)


def test_upstream_that_does_not_register_again_is_removed(
    updater: FleetUpdater,
    fleet: Fleet,
    list_copy: Callable[..., None],
    clock: ManualClock,
) -> None:
    updater.apply_listing((entry(5),))
    list_copy()
    clock.now_s += LAPSED_REGISTRATION_GRACE_S
    updater.remove_expired()
    assert not is_in_use(fleet)


@pytest.fixture
def evacuations(fleet: Fleet, clock: ManualClock) -> EvacuationUpdater:
    return EvacuationUpdater(fleet, dict, LOG, clock)


def evacuation(revision: int, era: int = 1) -> VersionedObject:
    return VersionedObject(ObjectPath("/evacuations/a1"), at(revision, era), b"{}")


@pytest.mark.parametrize("is_written_again", [True, False])
def test_evacuation_that_the_copy_lacks_goes_on_until_it_can_be_written_again(
    evacuations: EvacuationUpdater,
    fleet: Fleet,
    clock: ManualClock,
    is_written_again: bool,
) -> None:
    """The upstreams of an evacuated zone would get requests after the return (EVAC)."""
    evacuations.apply_listing((evacuation(5),))
    handlers = evacuations.handlers()
    handlers.on_new_era(SECOND_ERA)
    handlers.on_listing(())
    clock.now_s += REWRITE_S - 0.1
    evacuations.remove_expired()
    assert fleet.evacuated == {"a1"}
    if is_written_again:
        evacuations.apply_change(evacuation(4, era=2))
    clock.now_s += 0.1
    evacuations.remove_expired()
    assert fleet.evacuated == ({"a1"} if is_written_again else set())


def test_evacuation_that_the_copy_lacks_outlasts_an_outage(
    evacuations: EvacuationUpdater, fleet: Fleet, clock: ManualClock
) -> None:
    evacuations.apply_listing((evacuation(5),))
    handlers = evacuations.handlers()
    handlers.on_new_era(SECOND_ERA)
    handlers.on_listing(())
    handlers.on_outage()
    clock.now_s += REWRITE_S
    evacuations.remove_expired()
    assert fleet.evacuated == {"a1"}
    handlers.on_recovery()
    clock.now_s += REWRITE_S
    evacuations.remove_expired()
    assert fleet.evacuated == set()


def test_evacuation_ends_when_the_operator_deletes_it_after_the_return(
    evacuations: EvacuationUpdater, fleet: Fleet
) -> None:
    evacuations.apply_listing((evacuation(5),))
    handlers = evacuations.handlers()
    handlers.on_new_era(SECOND_ERA)
    handlers.on_listing((evacuation(5, era=2),))
    path = ObjectPath("/evacuations/a1")
    deleted = VersionedObject(path, at(7, era=2), b"", ObjectState.DELETED)
    evacuations.apply_change(deleted)
    assert fleet.evacuated == set()

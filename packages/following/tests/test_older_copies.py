"""Tests of what an older copy of the store brings back, and of what it lacks."""

from collections.abc import Callable

import pytest
import structlog
from returns.result import Result, Success

from tanagercourse.core.ids import ObjectPath, ServiceId, UpstreamId, ZoneId
from tanagercourse.core.problems import Problem
from tanagercourse.following.evacuations import REWRITE_S, EvacuationUpdater
from tanagercourse.following.upstreams import (
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
EXPIRY_S = 6.0
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
    return FleetUpdater(fleet, decode, lambda upstream: None, LOG, clock)


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

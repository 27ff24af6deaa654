"""Predict the traffic that an edit of settings would move, without applying it."""

from collections.abc import Sequence
from typing import Any

from returns.result import Failure, Result, Success

from tanagercourse.core.ids import ObjectPath, RegionId
from tanagercourse.core.problems import InvalidField
from tanagercourse.operators.output import format_table
from tanagercourse.operators.owners import NotOwner, check_owner
from tanagercourse.operators.settings import Edit, find_setting
from tanagercourse.operators.validation import check_against_stored, check_value
from tanagercourse.platform.store import Store, StoreProblem
from tanagercourse.settings.check import FLEET_PATH, decode_fleet, decode_service
from tanagercourse.settings.schema import Duty, FleetSettings, ServiceSettings
from tanagercourse.steering.plans import (
    ShareChange,
    ShiftPlan,
    UpstreamCapacity,
    plan_shift,
)
from tanagercourse.steering.shifts import ShiftCap

MS_PER_S = 1_000

DryRunProblem = InvalidField | NotOwner | StoreProblem


async def plan_edit(
    store: Store, edit: Edit
) -> Result[ShiftPlan | None, DryRunProblem]:
    """Check an edit's owner and settings, and predict the traffic it would move.

    The version that the edit expects is not checked.

    Args:
        store: The platform's store.
        edit: The edit to plan.

    Returns:
        The predicted shift, None for the fleet's settings, which have no upstreams,
        or why the edit would be refused or could not be checked.
    """
    problem = (
        check_owner(edit.path, edit.team)
        or check_value(edit.path, edit.value)
        or await check_against_stored(store, edit.path, edit.value)
    )
    if problem is not None:
        return Failure(problem)
    if edit.path == FLEET_PATH:
        return Success(None)
    found = await find_setting(store, edit.path)
    if isinstance(found, Failure):
        return found
    stored = found.unwrap()
    after = decode_service(edit.path, edit.value).unwrap()
    fleet = await _read_fleet_settings(store)
    return Success(
        _plan_settings_shift(edit.path, stored.value if stored else None, after, fleet)
    )


async def _read_fleet_settings(store: Store) -> FleetSettings:
    """Return the fleet's settings, or empty settings if they cannot be read."""
    found = await store.read(FLEET_PATH)
    if isinstance(found, Failure):
        return FleetSettings()
    return decode_fleet(FLEET_PATH, found.unwrap().value).value_or(FleetSettings())


def format_plan(plan: ShiftPlan | None) -> str:
    """Return a predicted shift as tables and a summary line for the terminal."""
    if plan is None:
        return "this edit does not move traffic by itself"
    if not plan.upstreams:
        return "no traffic would move"
    tables = [
        format_table((kind, "share now", "share after"), _share_rows(changes))
        for kind, changes in (("upstream", plan.upstreams), ("region", plan.regions))
        if changes
    ]
    return "\n".join([*tables, _summarise_plan(plan)])


def _share_rows(changes: Sequence[ShareChange[Any]]) -> list[tuple[str, str, str]]:
    return [(str(c.id), f"{c.before:.1%}", f"{c.after:.1%}") for c in changes]


def _summarise_plan(plan: ShiftPlan) -> str:
    cap = f"cap {plan.cap.share:.1%} per {plan.cap.interval_s:g} s"
    if plan.intervals is None:
        return f"the shift would never complete: no upstream would serve, or {cap}"
    if not plan.intervals:
        return "traffic would move within regions only, immediately"
    noun = "interval" if plan.intervals == 1 else "intervals"
    return (
        f"{plan.moved_share:.1%} of the service's traffic would change its region, "
        f"over {plan.intervals} {noun} ({plan.duration_s:g} s), {cap}"
    )


def _plan_settings_shift(
    path: ObjectPath,
    before_value: bytes | None,
    after: ServiceSettings,
    fleet: FleetSettings,
) -> ShiftPlan:
    before: list[UpstreamCapacity] = []
    if before_value is not None:
        decoded = decode_service(path, before_value)
        settings = decoded.value_or(None)
        before = _capacities(settings, fleet) if settings else []
    cap = ShiftCap(after.shift_cap_share, after.shift_interval_ms / MS_PER_S)
    return plan_shift(before, _capacities(after, fleet), cap)


def _capacities(
    settings: ServiceSettings, fleet: FleetSettings
) -> list[UpstreamCapacity]:
    """Return each upstream's region and the slots it offers, 0 while it drains.

    A zone that the fleet's settings do not list is treated as a region of its own.
    """
    regions = {zone.zone: zone.region_id for zone in fleet.zones}
    return [
        UpstreamCapacity(
            upstream.upstream_id,
            regions.get(upstream.zone, RegionId(upstream.zone)),
            upstream.slots if upstream.duty is Duty.SERVE else 0,
        )
        for upstream in settings.upstreams
    ]

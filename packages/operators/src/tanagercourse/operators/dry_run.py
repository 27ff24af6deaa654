"""Show what an edit would move before it is made."""

from returns.result import Failure, Result, Success
from tanagercourse.core.ids import ObjectPath
from tanagercourse.core.problems import InvalidField
from tanagercourse.operators.output import format_table
from tanagercourse.operators.owners import NotOwner, check_owner
from tanagercourse.operators.settings import Edit, find_setting
from tanagercourse.operators.values import check_value, check_with_others
from tanagercourse.platform.store import Store, StoreProblem
from tanagercourse.settings.check import FLEET, decode_service
from tanagercourse.settings.schema import Duty, ServiceSettings
from tanagercourse.steering.plans import Capacity, ShiftPlan, plan_shift

HEADINGS = ("upstream", "share now", "share after")

DryRunProblem = InvalidField | NotOwner | StoreProblem


async def plan_edit(
    store: Store, edit: Edit
) -> Result[ShiftPlan | None, DryRunProblem]:
    """Check an edit as `apply_setting` does, and foretell what it would move.

    Returns:
        The shift; None for settings that serve no traffic themselves; or why the
        edit would be refused.
    """
    problem = (
        check_owner(edit.path, edit.team)
        or check_value(edit.path, edit.value)
        or await check_with_others(store, edit.path, edit.value)
    )
    if problem is not None:
        return Failure(problem)
    if edit.path == FLEET:
        return Success(None)
    found = await find_setting(store, edit.path)
    if isinstance(found, Failure):
        return found
    stored = found.unwrap()
    after = decode_service(edit.path, edit.value).unwrap()
    return Success(_plan(edit.path, stored.value if stored else None, after))


def describe_plan(plan: ShiftPlan | None) -> str:
    """Return a shift as text for a person."""
    if plan is None:
        return "this edit moves no traffic of its own"
    if not plan.changes:
        return "no traffic would move"
    rows = [(c.id, f"{c.before:.1%}", f"{c.after:.1%}") for c in plan.changes]
    return f"{format_table(HEADINGS, rows)}\n{_summary(plan)}"


def _summary(plan: ShiftPlan) -> str:
    cap = f"{plan.cap_share:.1%} in {plan.interval_ms} ms"
    moved = f"{plan.moved_share:.1%} of the service's traffic would move"
    if plan.intervals is None:
        return f"{moved}, and the move would never end: cap {cap}"
    plural = "interval" if plan.intervals == 1 else "intervals"
    return (
        f"{moved}, over {plan.intervals} {plural} or {plan.duration_s:g} s: cap {cap}"
    )


def _plan(
    path: ObjectPath, before_value: bytes | None, after: ServiceSettings
) -> ShiftPlan:
    before: list[Capacity] = []
    if before_value is not None:
        decoded = decode_service(path, before_value)
        before = _capacities(decoded.unwrap()) if decoded.value_or(None) else []
    return plan_shift(
        before, _capacities(after), after.shift_cap_share, after.shift_interval_ms
    )


def _capacities(settings: ServiceSettings) -> list[Capacity]:
    return [
        Capacity(
            upstream.upstream_id,
            upstream.slots if upstream.duty is Duty.SERVE else 0,
        )
        for upstream in settings.upstreams
    ]

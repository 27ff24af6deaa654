"""Which instances a look-up names, and the endpoint that answers look-ups.

The choice is pure: `choose_members` gets the members of a zone and the number that is
named now. Callers pick a named instance at random, so every named one gets the same
part of the zone's load, and the smallest of them is the busiest.
"""

from collections.abc import Callable, Sequence
from itertools import accumulate

import msgspec

from tanagercourse.core.ids import ZoneId
from tanagercourse.gateway.endpoints import (
    EndpointHandler,
    empty_response,
    json_response,
)
from tanagercourse.gateway.logs import Log
from tanagercourse.gateway.messages import Response
from tanagercourse.instance.members import Capacity, Member, Readiness

# How long callers may cache a look-up response, in seconds.
LOOKUP_TTL_S = 2
# Minimum and maximum number of instances that are named together.
MIN_NAMED = 2
MAX_NAMED = 64
# Ratio of the largest to the smallest capacity from which machines differ.
MIN_CAPACITY_RATIO = 2.0
# Expected utilization from which more members are named, and below which fewer are.
TARGET_UTILIZATION = 0.35
SHRINK_UTILIZATION = 0.25


def relative_capacities(capacities: Sequence[Capacity]) -> list[float]:
    """Return the lesser of cores and link, each relative to the largest one."""
    most_cores = max((capacity.cores for capacity in capacities), default=1.0)
    most_mbps = max((capacity.link_mbps for capacity in capacities), default=1.0)
    return [
        min(capacity.cores / most_cores, capacity.link_mbps / most_mbps)
        for capacity in capacities
    ]


def are_alike(capacities: Sequence[Capacity]) -> bool:
    """Return whether machines differ so little that each instance names itself."""
    relative = relative_capacities(capacities)
    return not relative or max(relative) < MIN_CAPACITY_RATIO * min(relative)


def choose_members(members: Sequence[Member], named_count: int) -> tuple[Member, ...]:
    """Choose the members that are named: those with the most capacity.

    The order depends only on capacity and address, and the number changes only when the
    expected utilization leaves the range between SHRINK_UTILIZATION and
    TARGET_UTILIZATION, so that no connection is dropped without need.

    Args:
        members: The members of a zone.
        named_count: The number of members that is named now, 0 at first.

    Returns:
        The chosen members; empty if each ready one names itself, since there are fewer
        than MIN_NAMED or their machines are alike.
    """
    relative = relative_capacities([member.capacity for member in members])
    ranked = sorted(
        zip(relative, members, strict=True),
        key=lambda pair: (-pair[0], pair[1].address),
    )
    ready = [m for _, m in ranked if m.readiness is Readiness.READY]
    if len(ready) < MIN_NAMED or are_alike([m.capacity for m in ready]):
        return ()
    ordered = ready[:MAX_NAMED]
    expected = _expected_utilizations(ordered, ready)
    fewest = _smallest_count_below(TARGET_UTILIZATION, expected)
    most = _smallest_count_below(SHRINK_UTILIZATION, expected)
    if named_count > most:
        count = most
    elif named_count >= fewest and expected[named_count] < TARGET_UTILIZATION:
        count = named_count
    else:
        count = fewest
    return tuple(ordered[:count])


def _expected_utilizations(
    ordered: Sequence[Member], ready: Sequence[Member]
) -> dict[int, float]:
    """Return, for each number of named members, the utilization of the busiest one."""
    used_cores = sum(m.capacity.cores * m.utilization.cpu for m in ready)
    used_mbps = sum(m.capacity.link_mbps * m.utilization.link for m in ready)
    fewest_cores = accumulate((m.capacity.cores for m in ordered), min)
    least_mbps = accumulate((m.capacity.link_mbps for m in ordered), min)
    return {
        count: max(used_cores / cores, used_mbps / mbps) / count
        for count, (cores, mbps) in enumerate(
            zip(fewest_cores, least_mbps, strict=True), 1
        )
        if count >= MIN_NAMED
    }


def _smallest_count_below(utilization: float, expected: dict[int, float]) -> int:
    """Return the smallest number below a utilization, or else the best number."""
    for count, expected_utilization in expected.items():
        if expected_utilization < utilization:
            return count
    return min(expected, key=expected.__getitem__)


def make_look_up(
    zone: ZoneId,
    own_address: str | None,
    is_ready: Callable[[], bool],
    member_addresses: Callable[[], tuple[str, ...]],
    log: Log,
) -> EndpointHandler:
    """Return the handler of look-ups.

    Args:
        zone: Zone of this instance, for which every look-up is answered.
        own_address: Caller endpoint of this instance, None if it serves no callers.
        is_ready: Returns whether this instance accepts new callers.
        member_addresses: Returns the named members that were heard of recently.
        log: Logger for changes of the named set.
    """
    named: tuple[str, ...] = () if own_address is None else (own_address,)

    def look_up(_: bytes) -> Response:
        nonlocal named
        if not is_ready() or own_address is None:
            return empty_response(503)
        members = member_addresses()
        addresses = members if len(members) >= MIN_NAMED else (own_address,)
        if addresses != named:
            log.info("look_up_members", zone=zone, before=named, now=addresses)
            named = addresses
        return json_response(
            msgspec.json.encode({"addresses": addresses, "ttl_s": LOOKUP_TTL_S})
        )

    return look_up

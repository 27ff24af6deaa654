"""Whom an instance talks to: bounded neighbours, and the readers of a zone."""

from collections.abc import Iterable

import xxhash

from tanagercourse.coordination.members import Member
from tanagercourse.core.states import InstanceState

RING_NEIGHBOURS = 2
# Neighbours in all; those that the zone can't give come from other zones.
NEIGHBOURS = 3
READERS_PER_ZONE = 2
CONTENDERS_PER_REGION = 2


def choose_neighbours(
    me: Member, members: Iterable[Member], period: int
) -> tuple[Member, ...]:
    """Choose the peers that an instance sends heartbeats to.

    Two stand on a ring of the zone's members, at distances that let news cross
    the ring in few steps; the next live one is added behind each suspected one, so
    that news get past it. The rest are in other zones and change with the period.

    Args:
        own_member: This instance.
        members: All members that are not gone.
        period: Changes which peers in other zones are chosen.

    Returns:
        At most `NEIGHBOURS` and one more for each suspected one.
    """
    others = [member for member in members if member.instance != me.instance]
    near = [member for member in others if member.zone == me.zone]
    far = [member for member in others if member.zone != me.zone]
    chosen = _choose_on_ring(me, near)
    far.sort(key=lambda member: _weight(f"{period} {me.instance}", member))
    return (*chosen, *far[: max(1, NEIGHBOURS - len(chosen))])


def choose_readers(members: Iterable[Member]) -> tuple[Member, ...]:
    """Choose the members of a zone that read the platform, by rendezvous hashing.

    Args:
        members: The zone's members as far as this instance knows them.
    """
    live = [member for member in members if member.state is InstanceState.LIVE]
    live.sort(key=lambda member: _weight("reader", member))
    return tuple(live[:READERS_PER_ZONE])


def choose_contenders(members: Iterable[Member]) -> tuple[Member, ...]:
    """Choose the members of a region that contend for the region's lease.

    Args:
        members: The region's members as far as this instance knows them.
    """
    live = [member for member in members if member.state is InstanceState.LIVE]
    live.sort(key=lambda member: _weight("contender", member))
    return tuple(live[:CONTENDERS_PER_REGION])


def _choose_on_ring(me: Member, near: list[Member]) -> tuple[Member, ...]:
    ring = sorted([me, *near], key=lambda member: _weight("ring", member))
    at = ring.index(me)
    chosen: dict[str, Member] = {}
    for distance in _distances(len(ring)):
        for step in range(distance, len(ring)):
            member = ring[(at + step) % len(ring)]
            chosen[member.instance] = member
            if member.state is not InstanceState.SUSPECTED:
                break
    return tuple(chosen.values())


def _distances(size: int) -> tuple[int, ...]:
    """Return ring distances 1, and n^(1/2), as far as the ring has them.

    >>> _distances(43), _distances(3), _distances(1)
    ((1, 7), (1, 2), ())
    """
    spread = [round(size ** (i / RING_NEIGHBOURS)) for i in range(RING_NEIGHBOURS)]
    if size <= RING_NEIGHBOURS + 1:
        spread = [1, 2]
    return tuple(distance for distance in spread if distance < size)


def _weight(purpose: str, member: Member) -> int:
    return xxhash.xxh3_64_intdigest(f"{purpose} {member.instance}".encode())

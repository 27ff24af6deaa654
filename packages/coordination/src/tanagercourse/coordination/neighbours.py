"""Selection of heartbeat neighbours, platform readers and lease contenders."""

from collections.abc import Iterable

import xxhash

from tanagercourse.coordination.members import Member
from tanagercourse.core.states import InstanceState

RING_NEIGHBOURS = 2
# Neighbours in total; those that the instance's own zone can't provide are chosen from
# other zones.
MAX_NEIGHBOURS = 3
READERS_PER_ZONE = 2
CONTENDERS_PER_REGION = 2


def choose_neighbours(
    own_member: Member, members: Iterable[Member], period: int
) -> tuple[Member, ...]:
    """Choose the peers that an instance sends heartbeats to.

    Two neighbours are chosen from a ring of the zone's members, at distances that
    let updates cross the ring in few hops. For each suspected neighbour the next
    member on the ring that is not suspected is added, so that updates bypass the
    suspected one. The other neighbours are in other zones and change with the period.

    Args:
        own_member: The member record of this instance.
        members: All members that are not gone.
        period: Number of the current period, which selects the peers in other zones.

    Returns:
        At least one peer of another zone if there is any, and at most
        `MAX_NEIGHBOURS` peers plus those added for suspected members.
    """
    other_members = [
        member for member in members if member.instance != own_member.instance
    ]
    zone_peers = [member for member in other_members if member.zone == own_member.zone]
    remote_peers = [
        member for member in other_members if member.zone != own_member.zone
    ]
    chosen = _choose_on_ring(own_member, zone_peers)
    remote_peers.sort(
        key=lambda member: _weight(f"{period} {own_member.instance}", member)
    )
    return (*chosen, *remote_peers[: max(1, MAX_NEIGHBOURS - len(chosen))])


def choose_readers(members: Iterable[Member]) -> tuple[Member, ...]:
    """Choose the members of a zone that read the platform, by rendezvous hashing.

    Args:
        members: The zone's members in this instance's view.
    """
    live = [member for member in members if member.state is InstanceState.LIVE]
    live.sort(key=lambda member: _weight("reader", member))
    return tuple(live[:READERS_PER_ZONE])


def choose_contenders(members: Iterable[Member]) -> tuple[Member, ...]:
    """Choose the members of a region that contend for the region's lease.

    Args:
        members: The region's members in this instance's view.
    """
    live = [member for member in members if member.state is InstanceState.LIVE]
    live.sort(key=lambda member: _weight("contender", member))
    return tuple(live[:CONTENDERS_PER_REGION])


def _choose_on_ring(own_member: Member, zone_peers: list[Member]) -> tuple[Member, ...]:
    ring = sorted([own_member, *zone_peers], key=lambda member: _weight("ring", member))
    own_index = ring.index(own_member)
    chosen: dict[str, Member] = {}
    for distance in _ring_distances(len(ring)):
        for step in range(distance, len(ring)):
            member = ring[(own_index + step) % len(ring)]
            chosen[member.instance] = member
            if member.state is not InstanceState.SUSPECTED:
                break
    return tuple(chosen.values())


def _ring_distances(size: int) -> tuple[int, ...]:
    """Return the ring distances 1 and sqrt(size) that fit a ring of this size.

    A ring of up to three members uses the distances 1 and 2.

    >>> _ring_distances(43), _ring_distances(3), _ring_distances(1)
    ((1, 7), (1, 2), ())
    """
    candidate_distances = [
        round(size ** (i / RING_NEIGHBOURS)) for i in range(RING_NEIGHBOURS)
    ]
    if size <= RING_NEIGHBOURS + 1:
        candidate_distances = [1, 2]
    return tuple(distance for distance in candidate_distances if distance < size)


def _weight(purpose: str, member: Member) -> int:
    return xxhash.xxh3_64_intdigest(f"{purpose} {member.instance}".encode())

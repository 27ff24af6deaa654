"""Choose the upstream that serves a request."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from tanagercourse.core.ids import UpstreamId, ZoneId
from tanagercourse.core.states import UpstreamState


@dataclass(frozen=True)
class UpstreamView:
    """An entry instance's view of an upstream at the time of a choice.

    Attributes:
        id: The upstream.
        zone: The upstream's availability zone.
        state: The upstream's state as observed by this instance.
        slots: Number of requests that the upstream serves concurrently.
        in_flight: Number of this instance's requests that the upstream is serving.
        share: Number of the upstream's slots in this instance's share, None when they
            are not partitioned among instances.
        distance_s: One-way network delay to the upstream, in seconds.
        weight: Share of the slots to use, below 1.0 while the upstream warms up.
        is_in_cooldown: Whether the upstream is in cooldown after shedding a request.
    """

    id: UpstreamId
    zone: ZoneId
    state: UpstreamState
    slots: int
    in_flight: int
    share: int | None = None
    distance_s: float = 0.0
    weight: float = 1.0
    is_in_cooldown: bool = False

    @property
    def is_available(self) -> bool:
        """Whether the upstream accepts new requests and has a free slot."""
        accepts_work = self.state in (UpstreamState.LIVE, UpstreamState.WARMING)
        usable_slots = max(1.0, self.slots * self.weight)
        return (
            accepts_work and not self.is_in_cooldown and self.in_flight < usable_slots
        )

    @property
    def has_own_slot(self) -> bool:
        """Whether a slot of this instance's share is free."""
        share = self.slots if self.share is None else self.share
        return self.is_available and self.in_flight < share


# Returns whether an instance may use slots beyond its share now.
MayBorrow = Callable[[], bool]
ChooseUpstream = Callable[[Sequence[UpstreamView]], UpstreamView | None]


def two_choices(random: Random) -> ChooseUpstream:
    """Return a chooser of the less loaded of two random available upstreams.

    Args:
        random: Source of randomness, seeded by the caller.

    Returns:
        A function that returns the chosen view, None when no upstream is available.
    """

    def choose(views: Sequence[UpstreamView]) -> UpstreamView | None:
        available = [view for view in views if view.is_available]
        if not available:
            return None
        candidate = random.choice(available)
        alternative = random.choice(available)
        return min(candidate, alternative, key=_load)

    return choose


def round_robin() -> ChooseUpstream:
    """Return the baseline chooser: each available upstream in turn."""
    turn = 0

    def choose(views: Sequence[UpstreamView]) -> UpstreamView | None:
        nonlocal turn
        available = [view for view in views if view.is_available]
        if not available:
            return None
        turn += 1
        return available[turn % len(available)]

    return choose


def prefer_own_slots(random: Random, may_borrow: MayBorrow) -> ChooseUpstream:
    """Return a chooser that prefers the nearest slot of this instance's own share.

    When no own slot is free, the instance borrows a slot at the less loaded of two
    random available upstreams. If the owner of that slot uses it, the upstream sheds
    the request and enters cooldown.

    Args:
        random: Source of randomness, seeded by the caller.
        may_borrow: Returns whether sheds are rare enough to borrow slots.
    """
    choose_borrowed = two_choices(random)

    def choose(views: Sequence[UpstreamView]) -> UpstreamView | None:
        with_own_slot = [view for view in views if view.has_own_slot]
        if with_own_slot:
            return min(with_own_slot, key=lambda view: (view.distance_s, _load(view)))
        return choose_borrowed(views) if may_borrow() else None

    return choose


def _load(view: UpstreamView) -> float:
    return view.in_flight / view.slots

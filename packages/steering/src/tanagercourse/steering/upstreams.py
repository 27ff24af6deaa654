"""Choose the upstream that serves a request."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from tanagercourse.core.ids import UpstreamId, ZoneId
from tanagercourse.core.states import UpstreamState


@dataclass(frozen=True)
class UpstreamView:
    """What an entry instance knows of an upstream when it chooses.

    Attributes:
        id: The upstream.
        zone: Its availability zone.
        state: Its state as this instance sees it.
        slots: How many requests it serves at once.
        in_flight: Requests this instance has there now.
        share: Slots that this instance may use there without asking, None when
            slots are not shared out.
        distance_s: One-way time to it, in seconds.
        weight: Share of its slots to use, under 1 while it warms up.
        is_in_cooldown: Whether it shed a moment ago and is to be left alone.
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
        """Whether it takes new work and has a slot for it."""
        serves = self.state in (UpstreamState.LIVE, UpstreamState.WARMING)
        usable = max(1.0, self.slots * self.weight)
        return serves and not self.is_in_cooldown and self.in_flight < usable

    @property
    def has_own_slot(self) -> bool:
        """Whether one of this instance's own slots there is free."""
        share = self.slots if self.share is None else self.share
        return self.is_available and self.in_flight < share


# Whether an instance may try slots beyond its share now.
MayBorrow = Callable[[], bool]
ChooseUpstream = Callable[[Sequence[UpstreamView]], UpstreamView | None]


def two_choices(random: Random) -> ChooseUpstream:
    """Return a chooser that takes the less loaded of two upstreams at random.

    Args:
        random: Seeded by its owner.

    Returns:
        A function from views to the chosen one, None when none is open.
    """

    def choose(views: Sequence[UpstreamView]) -> UpstreamView | None:
        open_views = [view for view in views if view.is_available]
        if not open_views:
            return None
        first = random.choice(open_views)
        second = random.choice(open_views)
        return min(first, second, key=_load)

    return choose


def round_robin() -> ChooseUpstream:
    """Return the naive chooser: each open upstream in turn."""
    turn = 0

    def choose(views: Sequence[UpstreamView]) -> UpstreamView | None:
        nonlocal turn
        open_views = [view for view in views if view.is_available]
        if not open_views:
            return None
        turn += 1
        return open_views[turn % len(open_views)]

    return choose


def prefer_own_slots(random: Random, may_borrow: MayBorrow) -> ChooseUpstream:
    """Return a chooser of the nearest own slot, then of one that others may use.

    An own slot is one of this instance's share. Beyond its share an instance borrows
    a slot from the less loaded of two upstreams at random: the upstream sheds the
    request when its owner uses the slot, and is then left alone for a while.

    Args:
        random: Seeded by its owner.
        may_borrow: Whether sheds are rare enough to try others' slots.
    """
    borrow = two_choices(random)

    def choose(views: Sequence[UpstreamView]) -> UpstreamView | None:
        own = [view for view in views if view.has_own_slot]
        if own:
            return min(own, key=lambda view: (view.distance_s, _load(view)))
        return borrow(views) if may_borrow() else None

    return choose


def _load(view: UpstreamView) -> float:
    return view.in_flight / view.slots

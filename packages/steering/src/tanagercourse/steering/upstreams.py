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
    """

    id: UpstreamId
    zone: ZoneId
    state: UpstreamState
    slots: int
    in_flight: int

    @property
    def is_open(self) -> bool:
        """Whether it takes new work and has a slot for it."""
        serves = self.state in (UpstreamState.LIVE, UpstreamState.WARMING)
        return serves and self.in_flight < self.slots


ChooseUpstream = Callable[[Sequence[UpstreamView]], UpstreamView | None]


def two_choices(random: Random) -> ChooseUpstream:
    """Return a chooser that takes the less loaded of two upstreams at random.

    Args:
        random: Seeded by its owner.

    Returns:
        A function from views to the chosen one, None when none is open.
    """

    def choose(views: Sequence[UpstreamView]) -> UpstreamView | None:
        open_views = [view for view in views if view.is_open]
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
        open_views = [view for view in views if view.is_open]
        if not open_views:
            return None
        turn += 1
        return open_views[turn % len(open_views)]

    return choose


def _load(view: UpstreamView) -> float:
    return view.in_flight / view.slots

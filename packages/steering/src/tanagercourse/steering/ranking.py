"""Choose which rank's work starts next when a place is free."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from tanagercourse.core.states import Rank


@dataclass(frozen=True)
class RankView:
    """A rank that has work which could start now.

    Attributes:
        rank: The rank.
        in_flight: Requests of the rank that run now.
        expires_at_s: Deadline of its first request, in seconds.
        since_s: When its first request was offered, in seconds.
    """

    rank: Rank
    in_flight: int
    expires_at_s: float
    since_s: float


@dataclass(frozen=True)
class RankFloor:
    """What a rank keeps while others flood in.

    Attributes:
        rank: The rank.
        share: Share of the places that its waiting work takes before others'.
    """

    rank: Rank
    share: float


# Takes the ranks that could start, most urgent first.
ChooseRank = Callable[[Sequence[RankView]], Rank | None]


def strict_priority(views: Sequence[RankView]) -> Rank | None:
    """Choose the most urgent rank, whatever the others are left with."""
    return views[0].rank if views else None


def first_come_first_served(views: Sequence[RankView]) -> Rank | None:
    """Choose the rank whose first request waits longest: the naive order."""
    return min(views, key=lambda view: view.since_s).rank if views else None


def earliest_deadline(views: Sequence[RankView]) -> Rank | None:
    """Choose the rank whose first request has the nearest deadline."""
    return min(views, key=lambda view: view.expires_at_s).rank if views else None


def weighted_fair(weights: Sequence[RankFloor]) -> ChooseRank:
    """Return the order that keeps running work in proportion to the shares.

    Args:
        weights: Each rank's share of the places.
    """
    share_of = {weight.rank: weight.share for weight in weights}

    def choose(views: Sequence[RankView]) -> Rank | None:
        if not views:
            return None
        return min(views, key=lambda view: view.in_flight / share_of[view.rank]).rank

    return choose


def priority_with_floors(floors: Sequence[RankFloor], places: int) -> ChooseRank:
    """Return strict priority with a floor for each rank.

    A rank that runs less than its floor goes first, the most urgent of these before
    others. Beyond the floors the most urgent goes first. A floor is counted in places,
    not in requests started, so that long requests of a low rank get no more than it.

    Args:
        floors: What each rank keeps; a rank left out keeps nothing.
        places: How many requests may run at once.
    """
    kept = {floor.rank: max(1, int(floor.share * places)) for floor in floors}

    def choose(views: Sequence[RankView]) -> Rank | None:
        below = [view for view in views if view.in_flight < kept.get(view.rank, 0)]
        return strict_priority(below or views)

    return choose

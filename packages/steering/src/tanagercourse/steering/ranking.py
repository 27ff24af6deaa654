"""Choose the rank whose request starts next when the concurrency limit permits."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from tanagercourse.core.states import Rank


@dataclass(frozen=True)
class RankView:
    """A rank with a request that could start now.

    Attributes:
        rank: The rank.
        in_flight: Requests of the rank that are running.
        expires_at_s: Deadline of its request that waits longest, in seconds.
        waiting_since_s: When that request was offered, in seconds.
    """

    rank: Rank
    in_flight: int
    expires_at_s: float
    waiting_since_s: float


@dataclass(frozen=True)
class RankFloor:
    """The concurrency reserved for a rank while other ranks overload the instance.

    Attributes:
        rank: The rank.
        share: Share of the concurrency limit that is reserved for its waiting work.
    """

    rank: Rank
    share: float


# Chooses among the ranks with a request that could start, given most urgent first.
ChooseRank = Callable[[Sequence[RankView]], Rank | None]


def strict_priority(views: Sequence[RankView]) -> Rank | None:
    """Choose the most urgent rank, even if the others starve."""
    return views[0].rank if views else None


def first_come_first_served(views: Sequence[RankView]) -> Rank | None:
    """Choose the rank of the request that waits longest: the baseline order."""
    return min(views, key=lambda view: view.waiting_since_s).rank if views else None


def earliest_deadline(views: Sequence[RankView]) -> Rank | None:
    """Choose the rank whose request at the head has the earliest deadline."""
    return min(views, key=lambda view: view.expires_at_s).rank if views else None


def weighted_fair(weights: Sequence[RankFloor]) -> ChooseRank:
    """Return the order that keeps running work in proportion to the weights.

    Args:
        weights: Each rank's share of the concurrency limit.
    """
    share_by_rank = {weight.rank: weight.share for weight in weights}

    def choose(views: Sequence[RankView]) -> Rank | None:
        if not views:
            return None
        return min(
            views, key=lambda view: view.in_flight / share_by_rank[view.rank]
        ).rank

    return choose


def priority_with_floors(floors: Sequence[RankFloor], max_running: int) -> ChooseRank:
    """Return strict priority with a minimum concurrency for each rank.

    Ranks that run fewer requests than their floor precede all others, the most urgent
    of them first. When no rank is below its floor, the most urgent rank goes first.
    Floors count running requests rather than started ones, so that long requests of a
    low rank get no more than its floor.

    Args:
        floors: Each rank's floor; a rank that is missing has none.
        max_running: Concurrency limit of the instance.
    """
    floor_by_rank = {
        floor.rank: max(1, int(floor.share * max_running)) for floor in floors
    }

    def choose(views: Sequence[RankView]) -> Rank | None:
        below_floor = [
            view for view in views if view.in_flight < floor_by_rank.get(view.rank, 0)
        ]
        return strict_priority(below_floor or views)

    return choose

"""One service's upstreams: which of them can take a request, and which one does."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum, unique
from random import Random

from tanagercourse.core.ids import UpstreamId
from tanagercourse.core.states import UpstreamState
from tanagercourse.core.work import Clock, Work
from tanagercourse.entry.ejection import Ejections
from tanagercourse.entry.surroundings import Surroundings
from tanagercourse.settings.schema import Duty, ServiceSettings, UpstreamSettings
from tanagercourse.steering.resting import Resting
from tanagercourse.steering.slots import SlotCount, static_share
from tanagercourse.steering.upstreams import ChooseUpstream, UpstreamView

# Of the connections that are an instance's share, half may be idle ones.
BUSY_SHARE = 0.5


@unique
class Ending(Enum):
    """How a request's use of a slot ended."""

    ANSWERED = "answered"
    SHED = "shed"
    LOST = "lost"
    BROKEN_OFF = "broken_off"


class Slot:
    """A slot that a request holds on an upstream.

    Attributes:
        upstream: Where.
        work: The request.
        ending: How it ended, set by whoever holds it.
    """

    def __init__(self, upstream: UpstreamSettings, work: Work) -> None:
        self.upstream = upstream
        self.work = work
        self.ending = Ending.BROKEN_OFF


@dataclass(frozen=True)
class PoolParts:
    """What every pool of an instance decides with.

    Attributes:
        choose: Chooses among views.
        surroundings: Where this instance stands among others.
        is_leaving: Whether the platform lists a machine as leaving, by its id.
        clock: A monotonic clock, in seconds.
        random: Spreads rests.
    """

    choose: ChooseUpstream
    surroundings: Surroundings
    is_leaving: Callable[[str], bool]
    clock: Clock
    random: Random


class ServicePool:
    """Slots of one service's upstreams, as far as this instance uses them."""

    def __init__(self, parts: PoolParts) -> None:
        self._parts = parts
        self._resting = Resting(parts.random)
        self._ejections = Ejections()
        self._upstreams: dict[UpstreamId, UpstreamSettings] = {}
        self._in_flight: dict[UpstreamId, int] = {}
        self._wake_at_s = 0.0

    @property
    def is_empty(self) -> bool:
        """Whether the service has no upstreams at all."""
        return not self._upstreams

    @property
    def in_flight(self) -> int:
        """Return how many requests hold a slot."""
        return sum(self._in_flight.values())

    @property
    def wake_at_s(self) -> float:
        """Return when an upstream that is left alone may be tried again, in seconds."""
        return self._wake_at_s

    def configure(self, settings: ServiceSettings) -> None:
        """Take new settings; requests in flight keep the slots they hold."""
        self._upstreams = {
            upstream.upstream_id: upstream for upstream in settings.upstreams
        }

    def views(self) -> tuple[UpstreamView, ...]:
        """Return what is known of each upstream."""
        upstreams = tuple(self._upstreams.values())
        near = self._parts.surroundings.near(upstreams)
        shares = self._shares(near)
        return tuple(self._view(upstream, shares) for upstream in upstreams)

    def find(self) -> UpstreamId | None:
        """Return the upstream that the next request would go to, None when none can."""
        chosen = self._parts.choose(self._candidates())
        return chosen.id if chosen else None

    def take(self, upstream: UpstreamId, work: Work) -> Slot:
        """Give a request a slot on an upstream."""
        self._in_flight[upstream] = self._in_flight.get(upstream, 0) + 1
        return Slot(self._upstreams[upstream], work)

    def release(self, slot: Slot) -> None:
        """Take a slot back and learn from how its use ended."""
        upstream = slot.upstream.upstream_id
        now_s = self._parts.clock()
        self._in_flight[upstream] -= 1
        if slot.ending is Ending.ANSWERED:
            self._resting.served(upstream)
            self._ejections.served(upstream)
        elif slot.ending is Ending.SHED:
            self._wake_at_s = self._resting.shed(upstream, now_s)
        elif slot.ending is Ending.LOST:
            self._wake_at_s = self._resting.shed(upstream, now_s)
            self._ejections.lost(upstream, now_s)

    def _candidates(self) -> Sequence[UpstreamView]:
        """Return upstreams of this region, or of all while none serves here."""
        views = self.views()
        near = {each.id for each in self._parts.surroundings.near(self._settings())}
        home = [view for view in views if view.id in near]
        if any(view.state is UpstreamState.LIVE for view in home):
            return home
        return views

    def _settings(self) -> tuple[UpstreamSettings, ...]:
        return tuple(self._upstreams.values())

    def _shares(self, near: Sequence[UpstreamSettings]) -> dict[UpstreamId, int]:
        counts = [SlotCount(each.upstream_id, each.slots) for each in near]
        surroundings = self._parts.surroundings
        return static_share(counts, surroundings.neighbours(), surroundings.me)

    def _view(
        self, upstream: UpstreamSettings, shares: dict[UpstreamId, int]
    ) -> UpstreamView:
        upstream_id = upstream.upstream_id
        now_s = self._parts.clock()
        return UpstreamView(
            id=upstream_id,
            zone=upstream.zone_id,
            state=self._state_of(upstream, now_s),
            slots=min(upstream.slots, self._busy_connections(upstream)),
            in_flight=self._in_flight.get(upstream_id, 0),
            share=shares.get(upstream_id),
            distance_s=self._parts.surroundings.one_way_s(upstream.zone_id),
            is_resting=self._resting.is_resting(upstream_id, now_s),
        )

    def _busy_connections(self, upstream: UpstreamSettings) -> int:
        """Return the connections to an upstream that may carry requests at once."""
        instances = max(1, self._parts.surroundings.count())
        return max(1, int(upstream.connections / instances * BUSY_SHARE))

    def _state_of(self, upstream: UpstreamSettings, now_s: float) -> UpstreamState:
        if upstream.duty is Duty.DRAIN or self._parts.is_leaving(upstream.id):
            return UpstreamState.DRAINING
        serving = [each for each in self._upstreams if each != upstream.upstream_id]
        if self._ejections.is_ejected(upstream.upstream_id, serving, now_s):
            return UpstreamState.EJECTED
        return UpstreamState.LIVE

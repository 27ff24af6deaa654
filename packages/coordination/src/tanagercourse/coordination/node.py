"""An instance's part in the fleet: its state, and what it decides from it.

answers.py answers peers from it; links.py, reading.py and duties.py hold the tasks
that talk to peers and to the platform.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from random import Random

import anyio
import structlog
from returns.result import Failure

from tanagercourse.coordination.members import (
    MEMBERS_PREFIX,
    REGISTRATIONS_PREFIX,
    Address,
    Member,
    Membership,
    member_from_object,
    member_to_object,
    refute,
)
from tanagercourse.coordination.neighbours import choose_readers
from tanagercourse.coordination.peers import Objects, Report
from tanagercourse.coordination.readiness import Awaited, Progress, what_awaited
from tanagercourse.coordination.replica import Head, Replica
from tanagercourse.core.ids import InstanceId, ObjectPath, Version
from tanagercourse.core.states import InstanceState
from tanagercourse.core.work import Clock
from tanagercourse.platform.store import ObjectState, StoredObject

# An object asked of one peer is not asked of another for so long.
ASKED_FOR_S = 1.0
MAX_BATCH_BYTES = 512_000

_log = structlog.get_logger()


@dataclass(frozen=True)
class Heard:
    """A report of an instance's version in force, and when it came."""

    report: Report
    heard_at_s: float


class Signal:
    """Wakes tasks that wait for a change."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def ring(self) -> None:
        """Wake all that wait now."""
        self._event.set()
        self._event = anyio.Event()

    async def wait(self) -> None:
        """Wait for the next ring."""
        await self._event.wait()


class Node:
    """What an instance knows of settings and peers, and what it says of itself.

    Attributes:
        own_member: This instance's own record.
        replica: Settings and soft objects.
        membership: Instances by id.
        changed: Rung whenever an object is applied.
        progress: What a starting instance has learnt.
        reports: Versions in force in this zone, as instances reported them.
    """

    def __init__(
        self,
        me: Member,
        clock: Clock,
        random: Random,
        on_applied: Callable[[StoredObject], None] = lambda stored: None,
        seeds: tuple[Address, ...] = (),
    ) -> None:
        self.own_member = me
        self.clock = clock
        self.random = random
        self.seeds = seeds
        self.replica = Replica(self._on_applied)
        self.membership = Membership()
        self.changed = Signal()
        self.progress = Progress(clock(), self.replica.version)
        self.reports: dict[InstanceId, Heard] = {}
        self._on_object = on_applied
        self._asked: dict[ObjectPath, float] = {}
        self._is_ready = False
        self.replica.apply(member_to_object(me))

    def awaited(self) -> Awaited | None:
        """Tell what this instance waits for before it serves; None once it may."""
        if self._is_ready:
            return None
        awaited = what_awaited(self.current_progress(), self.clock())
        self._is_ready = awaited is None
        return awaited

    def current_progress(self) -> Progress:
        """Return the progress with what the replica and membership say now."""
        mine = self.own_member.instance
        others = any(m.instance != mine for m in self.membership.present_members())
        return replace(
            self.progress,
            version=self.settings_version,
            knows_peers=others or bool(self.seeds),
        )

    @property
    def settings_version(self) -> Version:
        """Return the newest settings version that this instance has."""
        return self.replica.version

    @property
    def is_ready(self) -> bool:
        """Whether this instance's settings are in force."""
        return self.awaited() is None

    def note_platform_read(self) -> None:
        """Note that the platform's settings were read whole."""
        self.progress = replace(self.progress, has_read_platform=True)
        self.changed.ring()

    def note_synced(self) -> None:
        """Note that this instance has all that a ready peer has."""
        self.progress = replace(self.progress, has_synced=True)
        self.changed.ring()

    def hear(self, version: Version, is_ready: bool) -> None:
        """Note the settings version that a peer says to have."""
        heard = self.progress.newest_heard
        newest = max(heard, version) if is_ready else heard
        self.progress = replace(self.progress, newest_heard=newest, has_heard_peer=True)

    def say(self, state: InstanceState) -> None:
        """Change what this instance says of itself, such as that it is leaving."""
        self.own_member = replace(
            self.own_member, state=state, revision=self.own_member.revision + 1
        )
        self.replica.apply(member_to_object(self.own_member))

    def suspect(self, instance: InstanceId) -> None:
        """Say that a live member of this zone does not answer.

        Members of other zones are never suspected: the zones may be split.
        """
        member = self.membership.get(instance)
        if member is None or member.zone != self.own_member.zone:
            return
        if member.state is InstanceState.LIVE:
            _log.warning("instance_suspected", suspected=instance)
            self.replica.apply(
                member_to_object(replace(member, state=InstanceState.SUSPECTED))
            )

    def readers(self) -> tuple[Member, ...]:
        """Return the members of this zone that read the platform."""
        return choose_readers(self.membership.in_zone(self.own_member.zone))

    def is_reader(self) -> bool:
        """Whether this instance is to read the platform for its zone."""
        return any(
            reader.instance == self.own_member.instance for reader in self.readers()
        )

    def _on_applied(self, stored: StoredObject) -> None:
        if stored.path.startswith(MEMBERS_PREFIX):
            self._note_member(stored)
        elif stored.path.startswith(REGISTRATIONS_PREFIX):
            self._note_registration(stored)
        self._on_object(stored)
        self.changed.ring()

    def _note_member(self, stored: StoredObject) -> None:
        decoded = member_from_object(stored)
        if isinstance(decoded, Failure):
            _log.error("member_refused", reason=decoded.failure().describe())
            return
        member = decoded.unwrap()
        if (
            member.instance == self.own_member.instance
            and member.version > self.own_member.version
        ):
            self.own_member = refute(member, self.own_member)
            self.replica.apply(member_to_object(self.own_member))
        elif member.instance == self.own_member.instance:
            self.membership.note(self.own_member)
        else:
            self.membership.note(member)

    def _note_registration(self, stored: StoredObject) -> None:
        """Learn of an instance that no peer has told of yet."""
        if stored.state is ObjectState.DELETED:
            return
        decoded = member_from_object(stored)
        if not isinstance(decoded, Failure):
            self.replica.apply(member_to_object(decoded.unwrap()))

    def want(self, news: Iterable[Head]) -> tuple[ObjectPath, ...]:
        """Return the paths among some news that are to be asked for now."""
        now_s = self.clock()
        wanted = [
            head.path
            for head in news
            if self.replica.is_newer(head)
            and self._asked.get(head.path, 0.0) <= now_s - ASKED_FOR_S
        ]
        if len(self._asked) > len(wanted) + 1_000:
            self._asked.clear()
        self._asked.update(dict.fromkeys(wanted, now_s))
        return tuple(wanted)

    def apply_objects(self, objects: Objects) -> int:
        """Take objects that a peer or the platform gave."""
        for stored in objects:
            self._asked.pop(stored.path, None)
        return self.replica.apply_all(objects)

    def batch(self, paths: Iterable[ObjectPath]) -> Objects:
        """Return objects by path, at least one and as many as fit a message."""
        found: list[StoredObject] = []
        size_bytes = 0
        for path in paths:
            stored = self.replica.get(path)
            if stored is None:
                continue
            size_bytes += len(stored.value)
            if found and size_bytes > MAX_BATCH_BYTES:
                break
            found.append(stored)
        return tuple(found)

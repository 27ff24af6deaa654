"""Coordination state of an instance, and the decisions made from it.

handlers.py serves the calls of peers from this state; links.py, platform_reader.py
and node_tasks.py contain the tasks that communicate with peers and the platform.
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
from tanagercourse.coordination.readiness import (
    StartupBlocker,
    StartupProgress,
    find_startup_blocker,
)
from tanagercourse.coordination.replica import Head, Replica
from tanagercourse.core.ids import InstanceId, ObjectPath, Version
from tanagercourse.core.states import InstanceState
from tanagercourse.core.work import Clock
from tanagercourse.platform.store import ObjectState, StoredObject

# An object requested from one peer is not requested from another within this time.
REQUEST_DEDUP_S = 1.0
# Limit on the values in one message; a value above the limit is sent alone.
MAX_BATCH_BYTES = 512_000

_log = structlog.get_logger()


@dataclass(frozen=True)
class ReceivedReport:
    """An instance's report of its active settings version.

    Attributes:
        report: The report.
        received_at_s: When the report was received, on this instance's clock, in
            seconds.
    """

    report: Report
    received_at_s: float


class Signal:
    """Wakes all tasks that wait for a change."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def notify_all(self) -> None:
        """Wake the tasks that are waiting now."""
        self._event.set()
        self._event = anyio.Event()

    async def wait(self) -> None:
        """Wait for the next notification."""
        await self._event.wait()


class Node:
    """Settings replica, membership view and own member record of an instance.

    Attributes:
        own_member: The member record of this instance.
        clock: This instance's monotonic clock.
        random: Source of jitter.
        seeds: Addresses of peers to contact at the start.
        replica: Settings and soft-state objects.
        membership: The newest member record of each instance.
        changed: Notified when an object is applied, when the platform has been read
            completely, and whenever the replica is in sync with a ready peer.
        startup_progress: State of this instance's start.
        reports: The last report that this instance received from each instance of its
            zone, its own included.
    """

    def __init__(
        self,
        own_member: Member,
        clock: Clock,
        random: Random,
        on_applied: Callable[[StoredObject], None] = lambda stored: None,
        seeds: tuple[Address, ...] = (),
    ) -> None:
        self.own_member = own_member
        self.clock = clock
        self.random = random
        self.seeds = seeds
        self.replica = Replica(self._handle_applied)
        self.membership = Membership()
        self.changed = Signal()
        self.startup_progress = StartupProgress(clock(), self.replica.version)
        self.reports: dict[InstanceId, ReceivedReport] = {}
        self._on_applied = on_applied
        self._requested_at_s: dict[ObjectPath, float] = {}
        self._is_ready = False
        self.replica.apply(member_to_object(own_member))

    def startup_blocker(self) -> StartupBlocker | None:
        """Return what this instance still waits for, None if it may serve."""
        if self._is_ready:
            return None
        blocker = find_startup_blocker(self.current_startup_progress(), self.clock())
        self._is_ready = blocker is None
        return blocker

    def current_startup_progress(self) -> StartupProgress:
        """Return the startup state, updated from the replica and the membership."""
        own_instance = self.own_member.instance
        has_other_members = any(
            m.instance != own_instance for m in self.membership.present_members()
        )
        return replace(
            self.startup_progress,
            version=self.settings_version,
            has_known_peers=has_other_members or bool(self.seeds),
        )

    @property
    def settings_version(self) -> Version:
        """Return the newest settings version in this instance's replica."""
        return self.replica.version

    @property
    def is_ready(self) -> bool:
        """Return whether this instance's settings are active."""
        return self.startup_blocker() is None

    def record_platform_read(self) -> None:
        """Record that the platform's settings were read completely."""
        self.startup_progress = replace(self.startup_progress, has_read_platform=True)
        self.changed.notify_all()

    def record_sync(self) -> None:
        """Record that the replica has all objects of a ready peer."""
        self.startup_progress = replace(self.startup_progress, has_synced=True)
        self.changed.notify_all()

    def record_peer_version(self, version: Version, is_ready: bool) -> None:
        """Record the settings version that a peer reported.

        Args:
            version: The newest settings version of the peer.
            is_ready: Whether the peer is ready; the version counts only if it is.
        """
        newest_so_far = self.startup_progress.newest_peer_version
        newest_peer_version = max(newest_so_far, version) if is_ready else newest_so_far
        self.startup_progress = replace(
            self.startup_progress,
            newest_peer_version=newest_peer_version,
            has_peer_contact=True,
        )

    def publish_state(self, state: InstanceState) -> None:
        """Publish a new state of this instance in its member record."""
        self.own_member = replace(
            self.own_member, state=state, revision=self.own_member.revision + 1
        )
        self.replica.apply(member_to_object(self.own_member))

    def suspect(self, instance: InstanceId) -> None:
        """Mark a live member of this zone as suspected.

        Members of other zones are never suspected, because a network partition
        between zones looks the same as a lost instance.
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
        """Return whether this instance is one of its zone's platform readers."""
        return any(
            reader.instance == self.own_member.instance for reader in self.readers()
        )

    def _handle_applied(self, stored: StoredObject) -> None:
        if stored.path.startswith(MEMBERS_PREFIX):
            self._update_member(stored)
        elif stored.path.startswith(REGISTRATIONS_PREFIX):
            self._add_registered_member(stored)
        self._on_applied(stored)
        self.changed.notify_all()

    def _update_member(self, stored: StoredObject) -> None:
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
            self.membership.update(self.own_member)
        else:
            self.membership.update(member)

    def _add_registered_member(self, stored: StoredObject) -> None:
        """Add the member record of an instance that registered in the platform."""
        if stored.state is ObjectState.DELETED:
            return
        decoded = member_from_object(stored)
        if not isinstance(decoded, Failure):
            self.replica.apply(member_to_object(decoded.unwrap()))

    def paths_to_request(self, heads: Iterable[Head]) -> tuple[ObjectPath, ...]:
        """Return the paths of newer heads to request now; marks them as requested."""
        now_s = self.clock()
        requested_paths = [
            head.path
            for head in heads
            if self.replica.is_newer(head)
            and self._requested_at_s.get(head.path, 0.0) <= now_s - REQUEST_DEDUP_S
        ]
        # Bounds the memory for requested objects that never arrive.
        if len(self._requested_at_s) > len(requested_paths) + 1_000:
            self._requested_at_s.clear()
        self._requested_at_s.update(dict.fromkeys(requested_paths, now_s))
        return tuple(requested_paths)

    def apply_objects(self, objects: Objects) -> int:
        """Apply objects of a peer or the platform; return the number applied."""
        for stored in objects:
            self._requested_at_s.pop(stored.path, None)
        return self.replica.apply_all(objects)

    def collect_batch(self, paths: Iterable[ObjectPath]) -> Objects:
        """Return objects by path, as many as fit a message; at least one if found."""
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

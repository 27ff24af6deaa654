"""When a started instance may serve: its settings are the newest it can learn of."""

from dataclasses import dataclass
from enum import Enum, unique

from tanagercourse.core.ids import NO_VERSION, Version

# How long an instance waits for a first word of the peers that it knows.
PEERS_WAIT_S = 2.0


@unique
class Awaited(Enum):
    """What a starting instance waits for."""

    SOURCE = "the platform or a ready peer"
    PEERS = "a first word of a peer"
    NEWER_VERSION = "a newer version that a peer has"


@dataclass(frozen=True)
class Progress:
    """What a starting instance has learnt so far.

    Attributes:
        started_at_s: When it started, on its clock, in seconds.
        version: The newest settings version that it has.
        newest_heard: The newest settings version that a peer said to have.
        has_read_platform: Whether it has read the platform's settings whole.
        has_synced: Whether it has had all that a ready peer has.
        knows_peers: Whether it knows of any peer.
        has_heard_peer: Whether any peer has answered.
    """

    started_at_s: float
    version: Version
    newest_heard: Version = NO_VERSION
    has_read_platform: bool = False
    has_synced: bool = False
    knows_peers: bool = False
    has_heard_peer: bool = False


def what_awaited(progress: Progress, now_s: float) -> Awaited | None:
    """Tell what a starting instance still waits for, None when it may serve.

    A read of the platform may be stale, hence an instance hears a peer first where
    it knows one, and never serves less than the newest version that a peer has.

    >>> what_awaited(Progress(0.0, Version(3), has_read_platform=True), 0.1)
    >>> what_awaited(Progress(0.0, Version(0)), 60.0)
    <Awaited.SOURCE: 'the platform or a ready peer'>
    """
    if not (progress.has_read_platform or progress.has_synced):
        return Awaited.SOURCE
    if progress.version < progress.newest_heard:
        return Awaited.NEWER_VERSION
    waited_s = now_s - progress.started_at_s
    if progress.knows_peers and not progress.has_heard_peer:
        return Awaited.PEERS if waited_s < PEERS_WAIT_S else None
    return None

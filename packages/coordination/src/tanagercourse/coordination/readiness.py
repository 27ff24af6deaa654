"""Readiness of a starting instance: its settings are the newest it can obtain."""

from dataclasses import dataclass
from enum import Enum, unique

from tanagercourse.core.ids import NO_VERSION, Version

# How long a starting instance waits for the first heartbeat with a known peer.
PEER_CONTACT_TIMEOUT_S = 2.0


@unique
class StartupBlocker(Enum):
    """What a starting instance still needs before it may serve."""

    SETTINGS_SOURCE = "the platform or a ready peer"
    PEER_CONTACT = "contact with a known peer"
    NEWER_VERSION = "a newer settings version that a peer has"


@dataclass(frozen=True)
class StartupProgress:
    """State of an instance's start.

    Attributes:
        started_at_s: When the instance started, on its clock, in seconds.
        version: The newest settings version of the instance.
        newest_peer_version: The newest settings version that a ready peer reported.
        has_read_platform: Whether the platform's settings were read completely.
        has_synced: Whether the replica had all objects of a ready peer.
        has_known_peers: Whether the instance has the address of any peer.
        has_peer_contact: Whether a heartbeat was exchanged with any peer.
    """

    started_at_s: float
    version: Version
    newest_peer_version: Version = NO_VERSION
    has_read_platform: bool = False
    has_synced: bool = False
    has_known_peers: bool = False
    has_peer_contact: bool = False


def find_startup_blocker(
    progress: StartupProgress, now_s: float
) -> StartupBlocker | None:
    """Return what a starting instance still waits for, None if it may serve.

    A read of the platform may be stale. An instance with known peers therefore waits
    up to `PEER_CONTACT_TIMEOUT_S` for the first heartbeat with one, and never serves
    settings older than the newest version that a ready peer reported.

    Args:
        progress: State of the start.
        now_s: Current time on the instance's clock, in seconds.

    >>> progress = StartupProgress(0.0, Version(3), has_read_platform=True)
    >>> find_startup_blocker(progress, 0.1)
    >>> find_startup_blocker(StartupProgress(0.0, Version(0)), 60.0)
    <StartupBlocker.SETTINGS_SOURCE: 'the platform or a ready peer'>
    """
    if not (progress.has_read_platform or progress.has_synced):
        return StartupBlocker.SETTINGS_SOURCE
    if progress.version < progress.newest_peer_version:
        return StartupBlocker.NEWER_VERSION
    waited_s = now_s - progress.started_at_s
    if progress.has_known_peers and not progress.has_peer_contact:
        return (
            StartupBlocker.PEER_CONTACT if waited_s < PEER_CONTACT_TIMEOUT_S else None
        )
    return None

"""The port between two instances, as a record of functions, and its messages.

Client and server use the same record type: a test connects two nodes by passing the
handlers of one to the other, with faults in between.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from returns.result import Result

from tanagercourse.coordination.members import Address
from tanagercourse.coordination.replica import Digests, Head
from tanagercourse.coordination.snapshot import DamagedSnapshot
from tanagercourse.core.ids import Incarnation, InstanceId, ObjectPath, Version
from tanagercourse.core.problems import Problem
from tanagercourse.platform.store import StoredObject


@dataclass(frozen=True)
class Unreached(Problem):
    """A peer did not reply in time or the call failed.

    Attributes:
        address: Address of the peer.
        detail: Why the call failed.
    """

    address: Address
    detail: str

    def describe(self) -> str:
        """Return an error text with the peer's address and the reason."""
        return f"{self.address.host}:{self.address.port}: {self.detail}"


PeerProblem = Unreached | DamagedSnapshot


@dataclass(frozen=True)
class Exchange:
    """One heartbeat.

    Attributes:
        sender: The instance that sends the heartbeat.
        version: The newest settings version of the sender.
        is_ready: Whether the sender's settings are active.
        root_digest: Digest of the sender's complete replica.
        new_heads: Heads that the sender applied since its last heartbeat to this peer.
    """

    sender: InstanceId
    version: Version
    is_ready: bool
    root_digest: int
    new_heads: tuple[Head, ...]


@dataclass(frozen=True)
class ExchangeReply:
    """The reply to a heartbeat.

    Attributes:
        version: The newest settings version of the peer.
        is_ready: Whether the peer's settings are active.
        root_digest: Digest of the peer's complete replica.
        wanted_paths: Paths among the new heads whose objects the peer requests.
    """

    version: Version
    is_ready: bool
    root_digest: int
    wanted_paths: tuple[ObjectPath, ...]


@dataclass(frozen=True)
class Comparison:
    """Result of comparing bucket digests with a peer.

    Attributes:
        digests: Digest of each bucket of the peer.
        heads: The peer's heads in the buckets that differ.
    """

    digests: Digests
    heads: tuple[Head, ...]


@dataclass(frozen=True)
class Report:
    """An instance's report of its active settings version to its zone's readers.

    Attributes:
        instance: The instance that reports.
        incarnation: Incarnation of the instance.
        version: The newest settings version of the instance.
    """

    instance: InstanceId
    incarnation: Incarnation
    version: Version


Objects = tuple[StoredObject, ...]


@dataclass(frozen=True)
class Peer:
    """The calls of the peer port, at the client or at the server.

    Attributes:
        exchange: Exchanges a heartbeat.
        compare: Sends bucket digests; returns the peer's digests and differing heads.
        fetch: Requests objects by path; the peer returns as many as fit a message.
        push: Sends objects; returns the number that the peer applied.
        report: Reports the active settings version.
        close: Closes the connection.
    """

    exchange: Callable[[Exchange], Awaitable[Result[ExchangeReply, PeerProblem]]]
    compare: Callable[[Digests], Awaitable[Result[Comparison, PeerProblem]]]
    fetch: Callable[[tuple[ObjectPath, ...]], Awaitable[Result[Objects, PeerProblem]]]
    push: Callable[[Objects], Awaitable[Result[int, PeerProblem]]]
    report: Callable[[Report], Awaitable[Result[None, PeerProblem]]]
    close: Callable[[], None] = lambda: None


# Opens a new connection to a peer with each call.
Connect = Callable[[Address], Peer]

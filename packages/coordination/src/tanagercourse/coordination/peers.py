"""The port between two instances, as a record of functions, and its messages.

The side that answers and the side that asks are the same record: a test connects
two nodes by handing one the other's answering functions, with faults in between.
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
    """A peer did not answer in time."""

    address: Address
    detail: str

    def describe(self) -> str:
        """Tell a person which peer and why."""
        return f"{self.address.host}:{self.address.port}: {self.detail}"


PeerProblem = Unreached | DamagedSnapshot


@dataclass(frozen=True)
class Exchange:
    """One heartbeat.

    Attributes:
        sender: Who sends it.
        version: The newest settings version that the sender has.
        is_ready: Whether the sender's settings are in force.
        root: Digest of the sender's whole replica.
        news: Heads that the sender applied since its last heartbeat to this peer.
    """

    sender: InstanceId
    version: Version
    is_ready: bool
    root: int
    news: tuple[Head, ...]


@dataclass(frozen=True)
class ExchangeReply:
    """The answer to a heartbeat.

    Attributes:
        version: The newest settings version that the peer has.
        is_ready: Whether the peer's settings are in force.
        root: Digest of the peer's whole replica.
        wanted: Paths among the news whose objects the peer asks for.
    """

    version: Version
    is_ready: bool
    root: int
    wanted: tuple[ObjectPath, ...]


@dataclass(frozen=True)
class Comparison:
    """A peer's digests, and its heads in the buckets that differ."""

    digests: Digests
    heads: tuple[Head, ...]


@dataclass(frozen=True)
class Report:
    """What an instance tells the readers of its zone: its version in force."""

    instance: InstanceId
    incarnation: Incarnation
    version: Version


Objects = tuple[StoredObject, ...]


@dataclass(frozen=True)
class Peer:
    """A peer: one function for each call."""

    exchange: Callable[[Exchange], Awaitable[Result[ExchangeReply, PeerProblem]]]
    compare: Callable[[Digests], Awaitable[Result[Comparison, PeerProblem]]]
    fetch: Callable[[tuple[ObjectPath, ...]], Awaitable[Result[Objects, PeerProblem]]]
    push: Callable[[Objects], Awaitable[Result[int, PeerProblem]]]
    report: Callable[[Report], Awaitable[Result[None, PeerProblem]]]
    close: Callable[[], None] = lambda: None


# Opens a connection to a peer; a new call opens a new connection.
Connect = Callable[[Address], Peer]

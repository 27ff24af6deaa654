"""The peer port over gRPC on loopback."""

import socket
from collections.abc import AsyncIterator
from random import Random

import anyio
import pytest
from returns.result import Failure, Success

from tanagercourse.coordination.grpc import connect_grpc, serve_peers
from tanagercourse.coordination.handlers import peer_handlers
from tanagercourse.coordination.members import Address, Member
from tanagercourse.coordination.node import Node
from tanagercourse.coordination.peers import Exchange, Report, Unreached
from tanagercourse.coordination.replica import Head
from tanagercourse.core.ids import (
    Incarnation,
    InstanceId,
    ObjectPath,
    Version,
    WriterId,
    ZoneId,
)
from tanagercourse.platform.store import ObjectState, StoredObject
from tanagercourse.testing.stores import ManualClock

pytestmark = pytest.mark.anyio

PATH = ObjectPath("/teams/a/services/a")
OBJECT = StoredObject(PATH, Version(7), b"\x00v", WriterId("w"), ObjectState.DELETED)


@pytest.fixture
def listener() -> socket.socket:
    bound = socket.socket()
    bound.bind(("127.0.0.1", 0))
    bound.listen()
    return bound


@pytest.fixture
def address(listener: socket.socket) -> Address:
    return Address(*listener.getsockname())


@pytest.fixture
def node(address: Address, clock: ManualClock) -> Node:
    own_member = Member(InstanceId("e1"), ZoneId("split-a"), address, Incarnation(1))
    return Node(own_member, clock, Random(1))


@pytest.fixture
async def serving_node(node: Node, listener: socket.socket) -> AsyncIterator[Node]:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_peers, peer_handlers(node), listener)
        yield node
        tasks.cancel_scope.cancel()


async def test_every_call_round_trips(serving_node: Node, address: Address) -> None:
    peer = connect_grpc(address)
    head = Head(PATH, Version(7))
    sender = InstanceId("e2")
    message = Exchange(sender, Version(7), True, 2**64 - 1, (head,))
    reply = (await peer.exchange(message)).unwrap()
    assert (reply.wanted_paths, reply.is_ready) == ((PATH,), False)
    assert await peer.push((OBJECT,)) == Success(1)
    compared = (await peer.compare((0,) * 64)).unwrap()
    assert head in compared.heads
    assert compared.digests == serving_node.replica.digests()
    assert await peer.fetch((PATH,)) == Success((OBJECT,))
    await peer.report(Report(sender, Incarnation(3), Version(7)))
    assert serving_node.reports[sender].report.version == 7
    peer.close()


async def test_call_to_closed_port_returns_unreached(listener: socket.socket) -> None:
    closed_address = Address(*listener.getsockname())
    listener.close()
    peer = connect_grpc(closed_address)
    pushed = await peer.push((OBJECT,))
    assert isinstance(pushed, Failure)
    assert isinstance(pushed.failure(), Unreached)
    peer.close()


async def test_call_without_reply_times_out(
    listener: socket.socket, address: Address, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The kernel accepts the connection into the backlog; no server ever replies.
    monkeypatch.setattr("tanagercourse.coordination.grpc.HEARTBEAT_TIMEOUT_S", 0.05)
    peer = connect_grpc(address)
    message = Exchange(InstanceId("e2"), Version(0), False, 0, ())
    exchanged = await peer.exchange(message)
    assert isinstance(exchanged.failure(), Unreached)
    peer.close()
    listener.close()

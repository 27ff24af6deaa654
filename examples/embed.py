"""Embed the coordination library; run: python examples/embed.py PLATFORM_URL."""

import sys
import time
from random import Random

import anyio
import httpx

from tanagercourse.coordination.claims import Claim
from tanagercourse.coordination.leases import acquire, release
from tanagercourse.coordination.members import Address, Member
from tanagercourse.coordination.node import Node
from tanagercourse.coordination.running import run_node, wait_until_ready
from tanagercourse.core import ids
from tanagercourse.platform.http import http_store
from tanagercourse.platform.store import StoredObject, Update
from tanagercourse.platform.update import settle_update
from tanagercourse.web.serving import address_of, listen

CLOCK = time.monotonic
ZONE = ids.ZoneId("split-a")
LEASE = ids.ObjectPath("/system/leases/example")
PREFIX = ids.ObjectPath("/teams/")
PATH = ids.ObjectPath("/teams/example/services/greeting")


def show(stored: StoredObject) -> None:
    """Print an object that a node has applied."""
    print(f"{stored.path} version {stored.version}")


async def main(platform_url: str) -> None:
    """Spread one object to two nodes, then acquire and release a lease."""
    async with httpx.AsyncClient() as client, anyio.create_task_group() as tasks:
        store = http_store(client, platform_url)
        nodes: list[Node] = []
        for name in ("one", "two"):
            listener = listen("127.0.0.1", 0)
            incarnation = ids.Incarnation(time.time_ns() // 1_000_000)
            address = Address(*address_of(listener))
            member = Member(ids.InstanceId(name), ZONE, address, incarnation)
            node = Node(member, CLOCK, Random(), show)
            tasks.start_soon(run_node, node, store, listener, (PREFIX,))
            nodes.append(node)
            await wait_until_ready(node)
        update = Update(PATH, ids.NO_VERSION, b"hello", ids.WriterId("example"))
        version = (await settle_update(store, update)).unwrap().version
        while any(n.replica.version_of(PATH) < version for n in nodes):
            await anyio.sleep(0.01)
        claim = Claim(LEASE, ids.InstanceId("one"), 5_000)
        lease = (await acquire(store, claim, None, CLOCK)).unwrap()
        print(f"lease held: {lease.is_held(CLOCK())}")
        await release(store, lease)
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(main, sys.argv[1])

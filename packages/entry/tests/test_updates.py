"""Entry instances as processes take their settings from each other."""

import socket
from dataclasses import replace

import anyio
import httpx
import pytest

from tanagercourse.coordination.members import Address, Member, member_to_object
from tanagercourse.coordination.platform_reader import LEAVING_PREFIX
from tanagercourse.core.ids import (
    Incarnation,
    InstanceId,
    ObjectPath,
    Version,
    WriterId,
    ZoneId,
)
from tanagercourse.core.states import InstanceState
from tanagercourse.entry.active_settings import ActiveSettings
from tanagercourse.entry.instance_directory import InstanceDirectory
from tanagercourse.entry.updates import put_in_force
from tanagercourse.platform.store import ObjectState, StoredObject
from tanagercourse.testing.platform import FakePlatform
from tanagercourse.testing.processes import EntryProcess, start_entry
from tanagercourse.testing.upstream import FakeUpstream

READY_ATTEMPTS = 400


def free_port() -> int:
    """Return a port that was free just now."""
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        port: int = bound.getsockname()[1]
        return port


async def wait_until_ready(http: httpx.AsyncClient, entry: EntryProcess) -> None:
    for _ in range(READY_ATTEMPTS):
        if (await http.get(entry.url + "/readyz")).status_code == 200:
            return
        await anyio.sleep(0.02)
    pytest.fail(f"{entry.instance} did not become ready")


@pytest.mark.anyio
async def test_start_in_platform_outage_serves_with_a_peers_settings(
    http: httpx.AsyncClient,
    platform: FakePlatform,
    platform_url: str,
    upstreams: tuple[FakeUpstream, ...],
) -> None:
    port = str(free_port())
    with start_entry("e1", "split-a", platform_url, "--peer-port", port) as first:
        await wait_until_ready(http, first)
        platform.faults.is_down = True
        seed = ("--seed", f"127.0.0.1:{port}")
        with start_entry("e2", "split-a", platform_url, *seed) as second:
            await wait_until_ready(http, second)
            answered = await http.post(second.url + "/v1/services/motritelj/x")
            assert answered.status_code == 200


def test_roster_takes_leaving_from_peers_and_takes_it_back() -> None:
    roster = InstanceDirectory()
    put = put_in_force(ActiveSettings(), roster)
    path, writer = ObjectPath(LEAVING_PREFIX + "motritelj-1"), WriterId("w")
    put(StoredObject(path, Version(1), b"", writer))
    assert roster.is_leaving("motritelj-1")
    put(StoredObject(path, Version(2), b"", writer, ObjectState.DELETED))
    assert not roster.is_leaving("motritelj-1")


@pytest.mark.parametrize("state", InstanceState)
def test_only_live_members_are_offered(state: InstanceState) -> None:
    roster = InstanceDirectory()
    put = put_in_force(ActiveSettings(), roster)
    member = Member(
        InstanceId("e1"),
        ZoneId("split-a"),
        Address("127.0.0.1", 1),
        Incarnation(1),
        caller_port=8080,
    )
    put(member_to_object(member))
    assert [offered.port for offered in roster.live_instances(set())] == [8080]
    put(member_to_object(replace(member, state=state, revision=1)))
    is_offered = bool(roster.live_instances(set()))
    assert is_offered == (state is InstanceState.LIVE)
    put(member_to_object(replace(member, revision=2)))
    assert roster.live_instances(set())

"""Tests of replicated objects: settings, members and leaving reports from peers."""

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
from tanagercourse.entry.updates import object_applier
from tanagercourse.platform.store import ObjectState, StoredObject
from tanagercourse.testing.platform import FakePlatform
from tanagercourse.testing.processes import EntryProcess, start_entry
from tanagercourse.testing.upstream import FakeUpstream

MAX_READY_ATTEMPTS = 400


def free_port() -> int:
    """Return a port that is free at the time of the call."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        port: int = listener.getsockname()[1]
        return port


async def wait_until_ready(http: httpx.AsyncClient, entry: EntryProcess) -> None:
    for _ in range(MAX_READY_ATTEMPTS):
        if (await http.get(entry.url + "/readyz")).status_code == 200:
            return
        await anyio.sleep(0.02)
    pytest.fail(f"{entry.instance} not ready after {MAX_READY_ATTEMPTS} attempts")


@pytest.mark.anyio
async def test_start_during_platform_outage_uses_settings_of_a_peer(
    http: httpx.AsyncClient,
    platform: FakePlatform,
    platform_url: str,
    upstreams: tuple[FakeUpstream, ...],
) -> None:
    port = str(free_port())
    with start_entry("e1", "split-a", platform_url, "--peer-port", port) as first_entry:
        await wait_until_ready(http, first_entry)
        platform.faults.is_down = True
        seed = ("--seed", f"127.0.0.1:{port}")
        with start_entry("e2", "split-a", platform_url, *seed) as second_entry:
            await wait_until_ready(http, second_entry)
            response = await http.post(second_entry.url + "/v1/services/motritelj/x")
            assert response.status_code == 200


def test_directory_applies_and_reverts_leaving_reports_of_peers() -> None:
    directory = InstanceDirectory()
    apply_update = object_applier(ActiveSettings(), directory)
    path, writer = ObjectPath(LEAVING_PREFIX + "motritelj-1"), WriterId("w")
    apply_update(StoredObject(path, Version(1), b"", writer))
    assert directory.is_leaving("motritelj-1")
    apply_update(StoredObject(path, Version(2), b"", writer, ObjectState.DELETED))
    assert not directory.is_leaving("motritelj-1")


@pytest.mark.parametrize("state", InstanceState)
def test_only_live_members_are_listed(state: InstanceState) -> None:
    directory = InstanceDirectory()
    apply_update = object_applier(ActiveSettings(), directory)
    member = Member(
        InstanceId("e1"),
        ZoneId("split-a"),
        Address("127.0.0.1", 1),
        Incarnation(1),
        caller_port=8080,
    )
    apply_update(member_to_object(member))
    assert [machine.port for machine in directory.live_instances(set())] == [8080]
    apply_update(member_to_object(replace(member, state=state, revision=1)))
    is_listed = bool(directory.live_instances(set()))
    assert is_listed == (state is InstanceState.LIVE)
    apply_update(member_to_object(replace(member, revision=2)))
    assert directory.live_instances(set())

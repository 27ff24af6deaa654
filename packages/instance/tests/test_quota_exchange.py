"""Tests of the exchange of quota messages over UDP on loopback."""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import anyio
import pytest
import structlog
from returns.result import Success

from tanagercourse.core.ids import ConfigurationVersion, InstanceId, TenantId
from tanagercourse.gateway.counters import Counters
from tanagercourse.instance import quota_exchange
from tanagercourse.instance.quota_exchange import (
    QuotaExchange,
    make_local_access,
    run_exchange,
)
from tanagercourse.instance.settings import Endpoint
from tanagercourse.quota.granter import Granter
from tanagercourse.quota.limits import QuotaBounds, QuotaLimit, max_requests
from tanagercourse.quota.messages import Answer, Grant, Query, decode, encode
from tanagercourse.quota.tokens import QuotaToken
from tanagercourse.routing.configuration import Configuration
from tanagercourse.routing.tenants import Tenant, make_tenant_directory
from tanagercourse.testing.gateway_harness import make_two_route_configuration

pytestmark = pytest.mark.anyio

BOUNDS = QuotaBounds(5.0, 0.1, 20.0)
TENANT = TenantId("t1")


def make_configuration(rate_per_s: float) -> Configuration:
    tenants = [(Tenant(TENANT, rate_per_s=rate_per_s, burst=30.0), ())]
    return replace(
        make_two_route_configuration(),
        version=ConfigurationVersion(2),
        tenants=make_tenant_directory(tenants).unwrap(),
    )


def find_udp_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


@asynccontextmanager
async def run_quotas(
    relay_hosts: tuple[str, ...], port: int, rate_per_s: float = 300.0
) -> AsyncIterator[tuple[QuotaExchange, Counters, dict[str, anyio.CancelScope]]]:
    """Run relays and one more instance; yield the latter, and scopes of the relays."""
    relays = tuple(Endpoint(host, port) for host in relay_hosts)
    configuration = make_configuration(rate_per_s)
    scopes: dict[str, anyio.CancelScope] = {}
    counters = Counters()

    async def run(host: str, exchange: QuotaExchange) -> None:
        with anyio.CancelScope() as scopes[host]:
            log = structlog.get_logger()
            await run_exchange(exchange, Endpoint(host, port), counters, log)

    async with anyio.create_task_group() as tasks:
        for host in (*relay_hosts, "127.0.0.9"):
            granter = Granter(BOUNDS, len(relays)) if host in relay_hosts else None
            exchange = QuotaExchange(
                InstanceId(host), relays, granter, lambda: configuration
            )
            tasks.start_soon(run, host, exchange)
        await anyio.sleep(0.5)
        yield exchange, counters, scopes
        tasks.cancel_scope.cancel()


async def acquire_many(exchange: QuotaExchange, count: int) -> int:
    """Return how many of a number of requests get a token, 20 ms after one another."""
    granted = 0
    for _ in range(count):
        granted += isinstance(await exchange.access().acquire(TENANT), Success)
        await anyio.sleep(0.02)
    return granted


async def test_tokens_are_granted_while_a_relay_is_lost() -> None:
    """Guards against refusals after the loss of the nearest relay."""
    hosts = ("127.0.0.2", "127.0.0.3", "127.0.0.4")
    async with run_quotas(hosts, find_udp_port()) as (exchange, _, scopes):
        assert await acquire_many(exchange, 20) == 20
        scopes[hosts[0]].cancel()
        assert await acquire_many(exchange, 20) == 20
        scopes[hosts[1]].cancel()
        assert await acquire_many(exchange, 20) == 20


async def test_silence_of_all_relays_refuses_after_a_bounded_wait() -> None:
    """Guards against requests that wait for relays without end, or run without one."""
    hosts = ("127.0.0.2", "127.0.0.3")
    async with run_quotas(hosts, find_udp_port()) as (exchange, _, scopes):
        assert await acquire_many(exchange, 3) == 3
        for host in hosts:
            scopes[host].cancel()
        await anyio.sleep(0.5)
        with anyio.fail_after(0.4):
            refusal = await exchange.access().acquire(TENANT)
        assert refusal.failure().retry_after_s >= 0.1


async def test_malformed_datagrams_change_nothing() -> None:
    """Guards against a receiving task that ends at, or acts on, foreign datagrams."""
    port = find_udp_port()
    async with run_quotas(("127.0.0.2",), port) as (exchange, counters, _):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for datagram in (
                b"",
                b"\xc1",
                b"\x93\x01\x02",
                b"x" * 2000,
                b"\x92\x01\xc0",
            ):
                for host in ("127.0.0.2", "127.0.0.9"):
                    sender.sendto(datagram, (host, port))
            # A well-formed answer that no relay sent.
            sender.sendto(
                b"\x93\x01\x01\x81\xa2t1\x93\x64\x00\x00", ("127.0.0.9", port)
            )
        await anyio.sleep(0.1)
        assert counters.value("quota_malformed") == 10
        assert exchange.holder.take(TENANT, exchange.clock()) is None
        assert await acquire_many(exchange, 5) == 5


async def test_no_datagram_is_sent_without_a_limit() -> None:
    """Guards against costs in deployments without quotas."""
    port = find_udp_port()
    async with run_quotas(("127.0.0.2",), port, rate_per_s=0.0) as (
        exchange,
        counters,
        _,
    ):
        assert isinstance(await exchange.access().acquire(TENANT), Success)
        assert counters.value("quota_query") == 0
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.2", port))


async def test_an_instance_without_relays_uses_its_share() -> None:
    """Guards against a deployment without relays that exceeds or never serves."""
    now_s = [100.0]
    access = make_local_access(
        BOUNDS, lambda: make_configuration(10.0), lambda: 2, lambda: now_s[0]
    )
    served = 0
    for _ in range(1000):
        served += isinstance(await access.acquire(TENANT), Success)
        now_s[0] += 0.01
    assert 45 <= served <= 51


async def test_no_socket_available_is_tried_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an instance that ends because it has no free descriptor."""
    real_socket, failures = socket.socket, [OSError(24, "Too many open files")]

    def open_socket(family: int, kind: int) -> socket.socket:
        if failures:
            raise failures.pop()
        return real_socket(family, kind)

    monkeypatch.setattr(quota_exchange, "OPEN_INTERVAL_S", 0.05)
    monkeypatch.setattr(socket, "socket", open_socket)
    address = Endpoint("127.0.0.1", 0)
    (await quota_exchange._open_socket(address, structlog.get_logger())).close()
    assert not failures


async def test_token_given_back_late_to_a_share_is_not_used_again() -> None:
    """Guards against tokens that count twice because the share has refilled."""
    now_s = [100.0]
    access = make_local_access(
        BOUNDS, lambda: make_configuration(5.0), lambda: 1, lambda: now_s[0]
    )

    async def take_all() -> list[QuotaToken]:
        taken = []
        while isinstance(token := await access.acquire(TENANT), Success):
            taken.append(token.unwrap())
        return taken

    await take_all()
    unused = []
    for _ in range(2):
        now_s[0] += 20.0
        unused += await take_all()
    now_s[0] += 20.0
    running = len(await take_all())
    for token in unused:
        access.give_back(token)
    running += len(await take_all())
    assert running <= max_requests(QuotaLimit(5.0, 30.0), BOUNDS)


async def test_late_answer_does_not_end_the_wait_for_the_next() -> None:
    """Guards against a lost query whose tokens are awaited until they expire."""
    port = find_udp_port()
    relays = (Endpoint("127.0.0.2", port),)
    exchange = QuotaExchange(
        InstanceId("i"), relays, None, lambda: make_configuration(300.0)
    )
    queries: list[Query] = []
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as relay:
        relay.bind(("127.0.0.2", port))
        relay.setblocking(False)
        async with anyio.create_task_group() as tasks:
            address, log = Endpoint("127.0.0.9", port), structlog.get_logger()
            tasks.start_soon(run_exchange, exchange, address, Counters(), log)
            tasks.start_soon(acquire_many, exchange, 10)
            while len(queries) < 3:
                await anyio.wait_readable(relay)
                datagram, holder = relay.recvfrom(2000)
                query = decode(datagram).unwrap()
                assert isinstance(query, Query)
                queries.append(query)
                if len(queries) == 2:
                    late = Answer(queries[0].number, {TENANT: Grant(0)})
                    relay.sendto(encode(late), holder)
                    second_at_s = anyio.current_time()
            waited_s = anyio.current_time() - second_at_s
            tasks.cancel_scope.cancel()
    # Tokens are awaited for 0.5 s, an answer for 0.2 s.
    assert waited_s < 0.4


async def test_request_that_waits_runs_once_its_tenant_has_no_limit() -> None:
    """Guards against 429, or a wait, for a tenant whose limit was removed meanwhile."""
    active = [make_configuration(10.0)]
    relays = (Endpoint("127.0.0.2", 1),)
    exchange = QuotaExchange(InstanceId("i"), relays, None, lambda: active[0])
    async with anyio.create_task_group() as tasks:
        results = []

        async def acquire() -> None:
            results.append(await exchange.access().acquire(TENANT))

        tasks.start_soon(acquire)
        await anyio.sleep(0.02)
        version = ConfigurationVersion(3)
        active[0] = replace(make_configuration(0.0), version=version)
        exchange.refresh()
        await anyio.sleep(0.02)
        assert len(results) == 1
    assert isinstance(results[0], Success)


async def test_share_of_a_tenant_fills_before_its_first_request() -> None:
    """Guards against a first request that is refused however rare requests are."""
    now_s = [100.0]
    tenants = [(Tenant(TenantId(name), rate_per_s=5.0), ()) for name in ("t1", "t2")]
    directory = make_tenant_directory(tenants).unwrap()
    configuration = replace(make_two_route_configuration(), tenants=directory)
    access = make_local_access(
        BOUNDS, lambda: configuration, lambda: 1, lambda: now_s[0]
    )
    await access.acquire(TenantId("t1"))
    now_s[0] += 20.0
    assert isinstance(await access.acquire(TenantId("t2")), Success)

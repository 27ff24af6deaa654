"""The proxy holds back, resets or refuses connections according to its mode."""

from collections.abc import AsyncIterator
from contextlib import suppress

import anyio
import anyio.lowlevel
import pytest
from anyio.abc import SocketStream

from tanagercourse.soak.proxy import Proxy, ProxyMode
from tanagercourse.testing.gateway_harness import serve_on_free_port

pytestmark = pytest.mark.anyio

# Timeout of each test, in seconds.
TEST_TIMEOUT_S = 30.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def echo(stream: SocketStream) -> None:
    async with stream:
        with suppress(anyio.BrokenResourceError, anyio.EndOfStream):
            async for data in stream:
                await stream.send(data)


@pytest.fixture
async def proxy(anyio_backend: str) -> AsyncIterator[Proxy]:
    async with anyio.create_task_group() as tasks:
        yield Proxy(await tasks.start(serve_on_free_port, echo))
        tasks.cancel_scope.cancel()


@pytest.fixture
async def stream(proxy: Proxy) -> AsyncIterator[SocketStream]:
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(serve_on_free_port, proxy.serve)
        async with await anyio.connect_tcp("127.0.0.1", port) as client_stream:
            yield client_stream
        tasks.cancel_scope.cancel()


async def test_blocked_data_is_forwarded_once_the_mode_is_pass(
    proxy: Proxy, stream: SocketStream
) -> None:
    with anyio.fail_after(TEST_TIMEOUT_S):
        for mode in (
            ProxyMode.SILENT,
            ProxyMode.NO_REQUESTS,
            ProxyMode.NO_RESPONSES,
            ProxyMode.DELAY,
        ):
            proxy.set_mode(mode)
            await stream.send(b"x")
            await anyio.lowlevel.checkpoint()
            proxy.set_mode(ProxyMode.PASS)
            assert await stream.receive() == b"x"


async def test_reset_closes_open_connections(
    proxy: Proxy, stream: SocketStream
) -> None:
    with anyio.fail_after(TEST_TIMEOUT_S):
        await stream.send(b"x")
        assert await stream.receive() == b"x"
        await proxy.reset_all()
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await stream.receive()


async def test_refused_connection_is_closed_at_once(proxy: Proxy) -> None:
    proxy.set_mode(ProxyMode.REFUSE)
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(serve_on_free_port, proxy.serve)
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with await anyio.connect_tcp("127.0.0.1", port) as client_stream:
                with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                    await client_stream.receive()
        tasks.cancel_scope.cancel()


async def test_connection_is_closed_if_it_is_cancelled_as_it_begins(
    proxy: Proxy,
) -> None:
    """Its peer waited for the end of a connection that no task served any more."""

    async def serve(stream: SocketStream) -> None:
        with anyio.CancelScope() as scope:
            scope.cancel()
            await proxy.serve(stream)

    async with anyio.create_task_group() as tasks:
        port = await tasks.start(serve_on_free_port, serve)
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with await anyio.connect_tcp("127.0.0.1", port) as client_stream:
                with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                    await client_stream.receive()
        tasks.cancel_scope.cancel()


async def test_late_copy_precedes_the_next_response(
    proxy: Proxy, stream: SocketStream
) -> None:
    proxy.set_mode(ProxyMode.LATE_COPIES)
    with anyio.fail_after(TEST_TIMEOUT_S):
        await stream.send(b"first")
        assert await stream.receive() == b"first"
        await stream.send(b"second")
        assert await stream.receive() == b"firstsecond"


async def test_late_copy_never_falls_within_a_response() -> None:
    """A copy within the body of a large response was taken for an instance's fault."""

    async def respond_in_parts(stream: SocketStream) -> None:
        async for _ in stream:
            await stream.send(b"one")
            await anyio.sleep(0.05)
            await stream.send(b"two")

    async with anyio.create_task_group() as tasks:
        proxy = Proxy(await tasks.start(serve_on_free_port, respond_in_parts))
        proxy.set_mode(ProxyMode.LATE_COPIES)
        port = await tasks.start(serve_on_free_port, proxy.serve)
        received = b""
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with await anyio.connect_tcp("127.0.0.1", port) as client_stream:
                for expected in (b"onetwo", b"onetwo" * 3):
                    await client_stream.send(b"x")
                    while len(received) < len(expected):
                        received += await client_stream.receive()
                    assert received == expected
        tasks.cancel_scope.cancel()


async def test_endless_response_ends_with_its_mode(
    proxy: Proxy, stream: SocketStream
) -> None:
    proxy.set_mode(ProxyMode.ENDLESS)
    received_bytes = 0
    with anyio.fail_after(TEST_TIMEOUT_S):
        await stream.send(b"x")
        while received_bytes < 1_000_000:
            received_bytes += len(await stream.receive())
        proxy.set_mode(ProxyMode.PASS)
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            while True:
                await stream.receive()

"""Serve an ASGI application on a TCP address, with a graceful shutdown.

hypercorn implements HTTP on each connection. This module accepts the connections, runs
one task for each of them, and closes them during a shutdown without interrupting
requests.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import cast

import anyio
import structlog
from anyio.abc import TaskGroup
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.typing import ASGIFramework, LifespanState

from tanagercourse.web.asgi import Application, Message, Receive, Scope, Send

BACKLOG = 512
KEEP_ALIVE_TIMEOUT_S = 30.0
# Practically unlimited: only an instance that shuts down may send "connection: close",
# because callers interpret it that way.
KEEP_ALIVE_MAX_REQUESTS = 1_000_000_000
# Time for a request to arrive on a connection that was accepted just before idle
# connections are closed.
REQUEST_ARRIVAL_S = 0.25
# Pause before the next accept after the process ran out of file descriptors.
ACCEPT_RETRY_S = 0.1

_log = structlog.get_logger()


@dataclass(frozen=True)
class ShutdownPlan:
    """Timing of a graceful shutdown.

    Attributes:
        linger_s: How long idle connections stay open for callers that may be about to
            reuse them, in seconds.
        timeout_s: Maximum duration of the shutdown, in seconds.
    """

    linger_s: float
    timeout_s: float


def listen(host: str, port: int) -> socket.socket:
    """Return a listening socket; port 0 selects a free port.

    Raises:
        OSError: If the address is unavailable.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit this option. Without it, the body of a response
        # waits until the caller's delayed acknowledgement of the head arrives.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener


def address_of(listener: socket.socket) -> tuple[str, int]:
    """Return the host and port that a socket listens on."""
    host, port = listener.getsockname()
    return host, port


async def serve_application(
    application: Application,
    listener: socket.socket,
    wait_for_stop: Callable[[], Awaitable[None]],
    plan: ShutdownPlan,
) -> None:
    """Serve until a shutdown begins, then finish the requests in progress.

    Args:
        application: The ASGI application.
        listener: Listening socket; closed at the end.
        wait_for_stop: Returns when the shutdown begins.
        plan: Timing of the shutdown.
    """
    server = _Server(application)
    async with anyio.create_task_group() as tasks:
        try:
            async with anyio.create_task_group() as acceptor:
                acceptor.start_soon(_accept, server, listener, tasks)
                await wait_for_stop()
                deadline_s = anyio.current_time() + plan.timeout_s
                await _linger(server, plan)
                acceptor.cancel_scope.cancel()
            _accept_pending(server, listener, tasks)
        finally:
            listener.close()
        with anyio.CancelScope(deadline=deadline_s):
            await _drain(server, plan)
        if server.connections:
            _log.warning("connections_interrupted", count=len(server.connections))
        tasks.cancel_scope.cancel()


class _Server:
    """The application and open connections of one listener.

    Attributes:
        is_leaving: Whether the shutdown has begun.
        application: The application, wrapped for hypercorn.
        config: Configuration of hypercorn.
        connections: Contexts of the open connections.
        all_closed: Set while no connection is open.
    """

    def __init__(self, application: Application) -> None:
        self.is_leaving = False
        self.application = _wrap_for_hypercorn(
            self._add_close_header_when_leaving(application)
        )
        self.config = _make_config()
        self.connections: set[WorkerContext] = set()
        self.all_closed = anyio.Event()
        self.all_closed.set()

    def add_connection(self) -> WorkerContext:
        """Register an accepted connection and return its context."""
        context = WorkerContext(None)
        self.connections.add(context)
        if self.all_closed.is_set():
            self.all_closed = anyio.Event()
        return context

    def remove_connection(self, context: WorkerContext) -> None:
        """Unregister a closed connection."""
        self.connections.discard(context)
        if not self.connections:
            self.all_closed.set()

    def _add_close_header_when_leaving(self, application: Application) -> Application:
        async def handle(scope: Scope, receive: Receive, send: Send) -> None:
            async def send_with_close_header(message: Message) -> None:
                if self.is_leaving and message["type"] == "http.response.start":
                    headers = [*message["headers"], (b"connection", b"close")]
                    message = {**message, "headers": headers}
                await send(message)

            is_http_1 = str(scope.get("http_version", "")).startswith("1")
            await application(
                scope, receive, send_with_close_header if is_http_1 else send
            )

        return handle


def _wrap_for_hypercorn(application: Application) -> ASGIWrapper:
    return ASGIWrapper(cast(ASGIFramework, application))


def _make_config() -> Config:
    config = Config()
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.include_server_header = False
    config.keep_alive_max_requests = KEEP_ALIVE_MAX_REQUESTS
    config.include_date_header = False
    return config


async def _accept(server: _Server, listener: socket.socket, tasks: TaskGroup) -> None:
    while True:
        await anyio.wait_readable(listener)
        if not _accept_pending(server, listener, tasks):
            await anyio.sleep(ACCEPT_RETRY_S)


def _accept_pending(server: _Server, listener: socket.socket, tasks: TaskGroup) -> bool:
    """Accept all pending connections; return False if the process can't accept more."""
    while True:
        try:
            connection, _ = listener.accept()
        except BlockingIOError:
            return True
        except OSError as error:
            _log.warning("connection_not_accepted", reason=str(error))
            return False
        connection.setblocking(False)
        tasks.start_soon(_serve_connection, server, server.add_connection(), connection)


async def _serve_connection(
    server: _Server, context: WorkerContext, connection: socket.socket
) -> None:
    try:
        reader, writer = await asyncio.open_connection(sock=connection)
        await TCPServer(
            server.application,
            asyncio.get_running_loop(),
            server.config,
            context,
            LifespanState({}),
            reader,
            writer,
        )
    except* (OSError, RuntimeError) as errors:
        _log.debug("connection_lost", reason=repr(errors))
    finally:
        server.remove_connection(context)


async def _linger(server: _Server, plan: ShutdownPlan) -> None:
    """Keep accepting connections while callers switch to other instances."""
    server.is_leaving = True
    with anyio.move_on_after(min(plan.linger_s, plan.timeout_s)):
        await server.all_closed.wait()


async def _drain(server: _Server, plan: ShutdownPlan) -> None:
    """Close idle connections, then wait for the requests in progress."""
    with anyio.move_on_after(min(REQUEST_ARRIVAL_S, plan.linger_s)):
        await server.all_closed.wait()
    for context in list(server.connections):
        await context.terminated.set()
    await server.all_closed.wait()

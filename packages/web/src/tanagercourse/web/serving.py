"""Serve an ASGI application on one TCP address, and stop without cutting requests.

hypercorn speaks HTTP on each connection; this module accepts the connections, gives
each a task of its own, and decides when a planned stop may close which of them.
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
# "connection: close" tells callers that an instance leaves: nothing else sends it.
KEEP_ALIVE_MAX_REQUESTS = 1_000_000_000
# Time for a request that is on its way over a connection that was just accepted.
SETTLE_S = 0.25
# Pause after the process ran out of file descriptors.
ACCEPT_RETRY_S = 0.1

_log = structlog.get_logger()


@dataclass(frozen=True)
class ShutdownPlan:
    """How a planned stop goes.

    Attributes:
        linger_s: How long idle connections stay open for callers that may be about
            to use them again, in seconds.
        timeout_s: How long the whole stop may take, in seconds.
    """

    linger_s: float
    timeout_s: float


def listen(host: str, port: int) -> socket.socket:
    """Return a listening socket; port 0 takes a free one.

    Raises:
        OSError: The address can't be had.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit this: an answer's head must not wait for the
        # caller's delayed acknowledgement before its body follows.
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
    until: Callable[[], Awaitable[None]],
    plan: ShutdownPlan,
) -> None:
    """Serve until told to stop, then finish what is in hand.

    Args:
        application: What answers each request.
        listener: Its listening socket, closed at the end.
        until: Returns when the planned stop begins.
        plan: How the stop goes.
    """
    server = _Server(application)
    async with anyio.create_task_group() as tasks:
        try:
            async with anyio.create_task_group() as acceptor:
                acceptor.start_soon(_accept, server, listener, tasks)
                await until()
                timeout_at_s = anyio.current_time() + plan.timeout_s
                await _linger(server, plan)
                acceptor.cancel_scope.cancel()
            _take_waiting(server, listener, tasks)
        finally:
            listener.close()
        with anyio.CancelScope(deadline=timeout_at_s):
            await _finish(server, plan)
        if server.connections:
            _log.warning("connections_cut", count=len(server.connections))
        tasks.cancel_scope.cancel()


class _Server:
    """Open connections of one listener."""

    def __init__(self, application: Application) -> None:
        self.is_leaving = False
        self.application = _wrap(self._close_when_leaving(application))
        self.config = _config()
        self.connections: set[WorkerContext] = set()
        self.all_closed = anyio.Event()
        self.all_closed.set()

    def opened(self) -> WorkerContext:
        """Count a connection in and return its own context."""
        context = WorkerContext(None)
        self.connections.add(context)
        if self.all_closed.is_set():
            self.all_closed = anyio.Event()
        return context

    def closed(self, context: WorkerContext) -> None:
        """Count a connection out."""
        self.connections.discard(context)
        if not self.connections:
            self.all_closed.set()

    def _close_when_leaving(self, application: Application) -> Application:
        async def handle(scope: Scope, receive: Receive, send: Send) -> None:
            async def send_closing(message: Message) -> None:
                if self.is_leaving and message["type"] == "http.response.start":
                    headers = [*message["headers"], (b"connection", b"close")]
                    message = {**message, "headers": headers}
                await send(message)

            is_http_1 = str(scope.get("http_version", "")).startswith("1")
            await application(scope, receive, send_closing if is_http_1 else send)

        return handle


def _wrap(application: Application) -> ASGIWrapper:
    return ASGIWrapper(cast(ASGIFramework, application))


def _config() -> Config:
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
        if not _take_waiting(server, listener, tasks):
            await anyio.sleep(ACCEPT_RETRY_S)


def _take_waiting(server: _Server, listener: socket.socket, tasks: TaskGroup) -> bool:
    """Take every connection that waits; False when the process can't hold more."""
    while True:
        try:
            connection, _ = listener.accept()
        except BlockingIOError:
            return True
        except OSError as error:
            _log.warning("connection_not_taken", reason=str(error))
            return False
        connection.setblocking(False)
        tasks.start_soon(_serve_connection, server, server.opened(), connection)


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
        server.closed(context)


async def _linger(server: _Server, plan: ShutdownPlan) -> None:
    """Go on taking connections while callers learn that this address is leaving."""
    server.is_leaving = True
    with anyio.move_on_after(min(plan.linger_s, plan.timeout_s)):
        await server.all_closed.wait()


async def _finish(server: _Server, plan: ShutdownPlan) -> None:
    """Close idle connections, then wait for the requests in hand."""
    with anyio.move_on_after(min(SETTLE_S, plan.linger_s)):
        await server.all_closed.wait()
    for context in list(server.connections):
        await context.terminated.set()
    await server.all_closed.wait()

"""Serve an ASGI application on one TCP address."""

import socket
from collections.abc import Awaitable, Callable

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config
from tanagercourse.web.asgi import Application

BACKLOG = 512
KEEP_ALIVE_TIMEOUT_S = 30.0
# Callers keep connections for long; closing one can race with its next request.
KEEP_ALIVE_MAX_REQUESTS = 1_000_000_000


def listen(host: str, port: int) -> socket.socket:
    """Return a listening socket; port 0 takes a free one.

    Raises:
        OSError: The address can't be had.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    listener.set_inheritable(True)
    return listener


async def serve_application(
    application: Application,
    listener: socket.socket,
    until: Callable[[], Awaitable[None]],
    graceful_timeout_s: float,
) -> None:
    """Serve until told to stop, then finish what is in hand.

    Args:
        application: What answers each request.
        listener: Its listening socket, closed at the end.
        until: Returns when no more connections are to be taken.
        graceful_timeout_s: How long open requests may take to end, in seconds.
    """
    config = Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.backlog = BACKLOG
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = graceful_timeout_s
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.include_server_header = False
    config.keep_alive_max_requests = KEEP_ALIVE_MAX_REQUESTS

    async def serve_in_own_task() -> None:
        await serve(application, config, shutdown_trigger=until)  # type: ignore[arg-type]

    # hypercorn leaves its task marked as being cancelled, which would end the
    # caller's task groups with an error; its own task keeps the mark to itself.
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_in_own_task)


def address_of(listener: socket.socket) -> tuple[str, int]:
    """Return the host and port that a socket listens on."""
    host, port = listener.getsockname()
    return host, port

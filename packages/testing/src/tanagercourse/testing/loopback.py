"""Serve ASGI applications on loopback, for tests and measurements."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from tanagercourse.web.asgi import Application
from tanagercourse.web.serving import (
    ShutdownPlan,
    address_of,
    listen,
    serve_application,
)

SHUTDOWN_PLAN = ShutdownPlan(linger_s=0.0, timeout_s=1.0)


@asynccontextmanager
async def serve_on_loopback(
    application: Application, port: int = 0, host: str = "127.0.0.1"
) -> AsyncIterator[str]:
    """Serve an application on loopback and yield its base URL.

    Args:
        application: The application to serve.
        port: TCP port; 0 selects a free one.
        host: Loopback IP address.
    """
    listener = listen(host, port)
    _, bound_port = address_of(listener)
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            serve_application, application, listener, stop.wait, SHUTDOWN_PLAN
        )
        try:
            yield f"http://{host}:{bound_port}"
        finally:
            stop.set()

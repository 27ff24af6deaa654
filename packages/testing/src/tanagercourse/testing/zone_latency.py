"""Simulated latency between availability zones on loopback.

Each availability zone has its own loopback address. A server derives its caller's zone
from the source address of the connection, and delays requests and responses by the
latency between the two zones.
"""

import anyio

from tanagercourse.core.ids import ZoneId
from tanagercourse.testing.deployments import Deployment
from tanagercourse.web.asgi import Application, Message, Receive, Scope, Send


def zone_address(deployment: Deployment, zone: ZoneId) -> str:
    """Return the loopback address of an availability zone.

    >>> from tanagercourse.testing.deployments import KANALIS
    >>> zone_address(KANALIS, ZoneId("rijeka-b"))
    '127.0.2.1'
    """
    names = [name for name, _ in deployment.zones]
    return f"127.0.{names.index(zone) + 1}.1"


def one_way_delay_s(
    deployment: Deployment, from_zone: ZoneId, to_zone: ZoneId
) -> float:
    """Return the one-way latency between two availability zones, in seconds."""
    if from_zone == to_zone:
        return 0.0
    regions = dict(deployment.zones)
    is_same_region = regions[from_zone] == regions[to_zone]
    return deployment.zone_one_way_s if is_same_region else deployment.region_one_way_s


def with_zone_latency(
    deployment: Deployment, zone: ZoneId, application: Application
) -> Application:
    """Return an application with the latency between its zone and its callers' zones.

    Args:
        deployment: Defines the zones and their latencies.
        zone: The application's availability zone.
        application: Handles the requests after the delay.
    """
    delays_s = {
        zone_address(deployment, ZoneId(name)): one_way_delay_s(
            deployment, zone, ZoneId(name)
        )
        for name, _ in deployment.zones
    }

    async def handle(scope: Scope, receive: Receive, send: Send) -> None:
        delay_s = delays_s.get(scope["client"][0], 0.0)

        async def send_delayed(message: Message) -> None:
            if message["type"] == "http.response.start":
                await anyio.sleep(delay_s)
            await send(message)

        await anyio.sleep(delay_s)
        await application(scope, receive, send_delayed)

    return handle

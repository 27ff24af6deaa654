"""What an instance learns at its start, whatever file it came from."""

from dataclasses import dataclass

from tanagercourse.core.ids import InstanceId, ObjectPath
from tanagercourse.routing.topology import Location


@dataclass(frozen=True)
class Endpoint:
    """An IP address and a port."""

    host: str
    port: int


def parse_endpoint(text: str) -> Endpoint:
    """Parse an address.

    Raises:
        ValueError: If it has no port that is a number.

    >>> parse_endpoint("10.1.0.34:8548")
    Endpoint(host='10.1.0.34', port=8548)
    """
    host, _, port = text.rpartition(":")
    if not host:
        raise ValueError(f"no port in {text!r}")
    return Endpoint(host, int(port))


@dataclass(frozen=True)
class InstanceSettings:
    """Where an instance stands, listens and finds the platform, and its bounds.

    Attributes:
        instance: This machine's name.
        location: Where it stands.
        host: Its IP address.
        caller_endpoint: Where callers send requests.
        lookup_endpoint: Where callers ask which instances to use.
        readiness_endpoint: Where the platform asks whether it is ready.
        platform_endpoint: The platform's object API.
        history_s: For how long the platform keeps its history, in seconds.
        peer_ports: Ports that are free for traffic between instances.
        grace_s: How long a process may take to stop, in seconds.
        retry_budget_ratio: Repeats allowed for each request, over all instances.
        retry_budget_slack: Repeats allowed besides, over all instances.
        retry_budget_window_s: In what interval repeats are counted, in seconds.
    """

    instance: InstanceId
    location: Location
    host: str
    caller_endpoint: Endpoint | None
    lookup_endpoint: Endpoint | None
    readiness_endpoint: Endpoint | None
    platform_endpoint: Endpoint
    history_s: float
    peer_ports: tuple[int, int]
    grace_s: float
    retry_budget_ratio: float
    retry_budget_slack: float
    retry_budget_window_s: float


@dataclass(frozen=True)
class InstancePaths:
    """Paths of the small calls, and of the objects that an instance follows."""

    readiness: bytes
    lookup: bytes
    metrics: bytes
    configuration: ObjectPath
    configuration_prefix: ObjectPath
    evacuation_prefix: ObjectPath
    registration_prefix: ObjectPath

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
        callers: Where callers send requests.
        look_ups: Where callers ask which instances to use.
        readiness: Where the platform asks whether it is ready.
        platform: The platform's object API.
        history_s: For how long the platform keeps its history, in seconds.
        peer_ports: Ports that are free for traffic between instances.
        grace_s: How long a process may take to stop, in seconds.
        repeat_ratio: Repeats allowed for each request, over all instances.
        repeat_slack: Repeats allowed besides, over all instances.
        repeat_window_s: In what interval repeats are counted, in seconds.
    """

    instance: InstanceId
    location: Location
    host: str
    callers: Endpoint | None
    look_ups: Endpoint | None
    readiness: Endpoint | None
    platform: Endpoint
    history_s: float
    peer_ports: tuple[int, int]
    grace_s: float
    repeat_ratio: float
    repeat_slack: float
    repeat_window_s: float


@dataclass(frozen=True)
class Paths:
    """Paths of the small calls, and of the objects that an instance follows."""

    ready: bytes
    look_up: bytes
    metrics: bytes
    configuration: ObjectPath
    configurations: ObjectPath
    evacuations: ObjectPath
    upstreams: ObjectPath

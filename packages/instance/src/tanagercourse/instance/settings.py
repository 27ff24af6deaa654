"""Settings of an instance, independent of the file format they are read from."""

from dataclasses import dataclass

from tanagercourse.core.ids import InstanceId, ObjectPath
from tanagercourse.routing.topology import Location


@dataclass(frozen=True)
class Endpoint:
    """An IP address and a TCP port."""

    host: str
    port: int

    def address(self) -> str:
        """Return the endpoint in the form `host:port`."""
        return f"{self.host}:{self.port}"


def parse_endpoint(text: str) -> Endpoint:
    """Parse an address of the form `host:port`.

    Raises:
        ValueError: If the host is missing or the port is not a number.

    >>> parse_endpoint("10.1.0.34:8548")
    Endpoint(host='10.1.0.34', port=8548)
    """
    host, _, port = text.rpartition(":")
    if not host:
        raise ValueError(f"address {text!r} is not of the form host:port")
    return Endpoint(host, int(port))


@dataclass(frozen=True)
class InstanceSettings:
    """Identity, endpoints and limits of an instance.

    Attributes:
        instance: Id of the instance, which is the machine's name.
        location: Zone of the machine, and the topology of zones and regions.
        host: IP address of the machine.
        caller_endpoint: Listens for callers' requests; None to serve none.
        lookup_endpoint: Listens for look-ups of instances; None to serve none.
        readiness_endpoint: Listens for the platform's readiness checks; None to serve
            none.
        relay_endpoint: Listens for the watches of other instances; None to serve none.
        relays: Relay endpoints of the instances that watch the platform for others.
        platform_endpoint: Address of the platform's object API.
        history_s: How long the platform retains the history of changes, in seconds.
        heartbeat_interval_s: Interval at which upstreams register, in seconds.
        peer_ports: First and last port available for traffic between instances.
        memory_bytes: Memory that the process may use, in bytes.
        sockets: Number of sockets that the process may open.
        cores: Processor cores that the process may use.
        link_mbps: Bandwidth of the machine's link in each direction, in Mbit/s.
        grace_s: Time between SIGTERM and the kill of the process, in seconds.
        configuration_apply_s: Time within which a change of the configuration must be
            applied, in seconds.
        drain_apply_s: Time within which an upstream that leaves must get no further
            requests, in seconds.
        evacuation_apply_s: The same time for the upstreams of an evacuated zone.
        retry_budget_ratio: Retries allowed for each request, over all instances.
        retry_budget_slack: Further retries allowed in each window, over all instances.
        retry_budget_window_s: Length of the window in which retries are counted, in
            seconds.
        quota_window_s: Length of the window in which a tenant's requests are counted,
            in seconds.
        quota_overshoot: Relative excess over a tenant's limit that is allowed in a
            window, over all instances.
        quota_slack: Further requests of a tenant that are allowed in a window, over all
            instances.
    """

    instance: InstanceId
    location: Location
    host: str
    caller_endpoint: Endpoint | None
    lookup_endpoint: Endpoint | None
    readiness_endpoint: Endpoint | None
    relay_endpoint: Endpoint | None
    relays: tuple[Endpoint, ...]
    platform_endpoint: Endpoint
    history_s: float
    heartbeat_interval_s: float
    peer_ports: tuple[int, int]
    memory_bytes: int
    sockets: int
    cores: float
    link_mbps: float
    grace_s: float
    configuration_apply_s: float
    drain_apply_s: float
    evacuation_apply_s: float
    retry_budget_ratio: float
    retry_budget_slack: float
    retry_budget_window_s: float
    quota_window_s: float
    quota_overshoot: float
    quota_slack: float


@dataclass(frozen=True)
class InstancePaths:
    """Paths of an instance's own HTTP endpoints and of the platform objects it watches.

    Attributes:
        readiness: Endpoint of readiness checks.
        lookup: Endpoint of look-ups.
        metrics: Endpoint of the metrics.
        configuration: The object that holds the operator's configuration.
        configuration_prefix: Prefix under which that object is watched.
        evacuation_prefix: Prefix of the objects that name evacuated zones.
        registration_prefix: Prefix of the upstreams' registrations.
    """

    readiness: bytes
    lookup: bytes
    metrics: bytes
    configuration: ObjectPath
    configuration_prefix: ObjectPath
    evacuation_prefix: ObjectPath
    registration_prefix: ObjectPath

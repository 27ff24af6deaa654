"""Process settings of an entry instance, validated at its start."""

import ipaddress
from dataclasses import dataclass
from enum import Enum, unique

from returns.result import Failure, Result, Success

from tanagercourse.coordination.members import Address
from tanagercourse.core.ids import InstanceId, ZoneId
from tanagercourse.core.problems import InvalidField

MAX_PORT = 65_535
SEED_FORM = "an IP address and a port, such as 10.0.0.1:8081"


@unique
class LogFormat(Enum):
    """Format of log lines."""

    JSON = "json"
    CONSOLE = "console"


@unique
class LogLevel(Enum):
    """Minimum severity of the log lines that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True)
class EntryOptions:
    """Process settings of an entry instance.

    Attributes:
        instance: This instance's id.
        zone: This instance's availability zone.
        host: The IP address to listen on.
        port: The TCP port for callers; 0 selects a free port.
        platform_url: Base URL of the platform's object API.
        stop_timeout_s: Maximum duration of a planned stop, in seconds.
        log_format: Format of log lines.
        log_level: Minimum severity of the log lines that are written.
        peer_port: The TCP port for other instances; 0 selects a free port.
        seeds: Addresses of instances to query if the platform is down at the start.
    """

    instance: InstanceId
    zone: ZoneId
    host: str
    port: int
    platform_url: str
    stop_timeout_s: float
    log_format: LogFormat
    log_level: LogLevel
    peer_port: int = 0
    seeds: tuple[Address, ...] = ()


def parse_seeds(values: tuple[str, ...]) -> Result[tuple[Address, ...], InvalidField]:
    """Parse the values of the --seed flags.

    Returns:
        The addresses, or the problem of the first invalid value.

    >>> parse_seeds(("10.0.0.1:8081",)).unwrap()
    (Address(host='10.0.0.1', port=8081),)
    """
    seeds: list[Address] = []
    for value in values:
        host, _, port = value.rpartition(":")
        if not _is_ip_address(host) or not port.isdigit() or int(port) > MAX_PORT:
            return Failure(InvalidField("flags", "--seed", value, SEED_FORM))
        seeds.append(Address(host, int(port)))
    return Success(tuple(seeds))


def check_options(options: EntryOptions) -> Result[EntryOptions, InvalidField]:
    """Validate the options that the types of the flags don't restrict enough.

    Returns:
        The options, or the problem of the first invalid flag.
    """
    if not _is_ip_address(options.host):
        return Failure(InvalidField("flags", "--host", options.host, "an IP address"))
    if not options.platform_url.startswith(("http://", "https://")):
        allowed = "a URL such as http://10.0.0.1:8000"
        return Failure(
            InvalidField("flags", "--platform-url", options.platform_url, allowed)
        )
    for flag, value in (("--instance", options.instance), ("--zone", options.zone)):
        if not value or not value.replace("-", "").isalnum():
            allowed = "letters, digits and hyphens"
            return Failure(InvalidField("flags", flag, value, allowed))
    return Success(options)


def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True

"""Process settings of an entry instance, checked at start."""

import ipaddress
from dataclasses import dataclass
from enum import Enum, unique

from returns.result import Failure, Result, Success

from tanagercourse.coordination.members import Address
from tanagercourse.core.ids import InstanceId, ZoneId
from tanagercourse.core.problems import InvalidField

MAX_PORT = 65_535
SEED_FORM = "an IP number and a port, such as 10.0.0.1:8081"


@unique
class LogFormat(Enum):
    """How log lines are written."""

    JSON = "json"
    CONSOLE = "console"


@unique
class LogLevel(Enum):
    """The least severe lines that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True)
class EntryOptions:
    """Process settings of an entry instance.

    Attributes:
        instance: This instance's id.
        zone: Its availability zone.
        host: The IP number it listens on.
        port: The TCP port for callers; 0 takes a free one.
        platform_url: Base URL of the platform's object API.
        stop_timeout_s: How long a planned stop may take, in seconds.
        log_format: How log lines are written.
        log_level: The least severe lines that are written.
        peer_port: The TCP port for other instances; 0 takes a free one.
        seeds: Instances to ask at the start when the platform does not answer.
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


def read_seeds(texts: tuple[str, ...]) -> Result[tuple[Address, ...], InvalidField]:
    """Return the addresses that --seed flags give, or the first that is wrong.

    >>> read_seeds(("10.0.0.1:8081",)).unwrap()
    (Address(host='10.0.0.1', port=8081),)
    """
    seeds: list[Address] = []
    for text in texts:
        host, _, port = text.rpartition(":")
        if not _is_address(host) or not port.isdigit() or int(port) > MAX_PORT:
            return Failure(InvalidField("flags", "--seed", text, SEED_FORM))
        seeds.append(Address(host, int(port)))
    return Success(tuple(seeds))


def check_options(options: EntryOptions) -> Result[EntryOptions, InvalidField]:
    """Check what the flags' own types do not.

    Returns:
        The options, or the first flag that is wrong.
    """
    if not _is_address(options.host):
        return Failure(InvalidField("flags", "--host", options.host, "an IP number"))
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


def _is_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True

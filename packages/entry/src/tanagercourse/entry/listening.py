"""Open the sockets that callers and other instances connect to."""

import socket
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from tanagercourse.core.problems import Problem
from tanagercourse.entry.options import EntryOptions
from tanagercourse.web.serving import listen


@dataclass(frozen=True)
class AddressTaken(Problem):
    """An address and port can't be bound.

    Attributes:
        flag: The flag that sets the port.
        host: The requested IP address.
        port: The requested TCP port.
        detail: The error message of the operating system.
    """

    flag: str
    host: str
    port: int
    detail: str

    def describe(self) -> str:
        """Return a message that names the flags to change.

        >>> AddressTaken("--port", "127.0.0.1", 80, "Permission denied").describe()
        '--host 127.0.0.1 --port 80: Permission denied; choose another address or port'
        """
        address = f"--host {self.host} {self.flag} {self.port}"
        return f"{address}: {self.detail}; choose another address or port"


@dataclass(frozen=True)
class Listeners:
    """The listening sockets of an instance.

    Attributes:
        callers: The socket for callers.
        peers: The socket for other instances.
    """

    callers: socket.socket
    peers: socket.socket


def open_listeners(options: EntryOptions) -> Result[Listeners, AddressTaken]:
    """Return the listening sockets, or the first address that can't be bound."""
    callers = _open("--port", options.host, options.port)
    if isinstance(callers, Failure):
        return callers
    peers = _open("--peer-port", options.host, options.peer_port)
    if isinstance(peers, Failure):
        callers.unwrap().close()
        return peers
    return Success(Listeners(callers.unwrap(), peers.unwrap()))


def _open(flag: str, host: str, port: int) -> Result[socket.socket, AddressTaken]:
    try:
        return Success(listen(host, port))
    except OSError as error:
        return Failure(AddressTaken(flag, host, port, error.strerror or str(error)))

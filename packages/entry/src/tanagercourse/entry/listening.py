"""Open the socket that callers connect to."""

import socket
from dataclasses import dataclass

from returns.result import Failure, Result, Success
from tanagercourse.core.problems import Problem
from tanagercourse.entry.options import EntryOptions
from tanagercourse.web.serving import listen


@dataclass(frozen=True)
class AddressTaken(Problem):
    """The address and port for callers can't be had.

    Attributes:
        host: The IP number asked for.
        port: The TCP port asked for.
        detail: What the system says of it.
    """

    host: str
    port: int
    detail: str

    def describe(self) -> str:
        """Tell a person which flags to change.

        >>> AddressTaken("127.0.0.1", 80, "Permission denied").describe()
        '--host 127.0.0.1 --port 80: Permission denied; choose another'
        """
        return f"--host {self.host} --port {self.port}: {self.detail}; choose another"


def open_listener(options: EntryOptions) -> Result[socket.socket, AddressTaken]:
    """Return the listening socket for callers."""
    try:
        return Success(listen(options.host, options.port))
    except OSError as error:
        detail = error.strerror or str(error)
        return Failure(AddressTaken(options.host, options.port, detail))

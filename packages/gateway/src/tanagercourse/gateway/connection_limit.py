"""Limit the accepted connections that an instance holds open.

A process may open a fixed number of sockets. Accepted connections get a share, so that
some are left for connections to upstreams, the store and other instances. At the limit
each new connection replaces the one that was idle for the longest time. If none is
idle, the new one is refused with a response; far beyond the limit it is closed unread,
after which a caller may repeat any request.
"""

from enum import Enum, unique

import anyio

# Share of the sockets that accepted connections may take.
ACCEPTED_SHARE = 0.6
# Further share for connections that are open just to be refused.
REFUSED_SHARE = 0.1
# Number of sockets where the settings don't limit it.
DEFAULT_SOCKETS = 4096


@unique
class Admission(Enum):
    """What happens with a new connection."""

    SERVE = "serve"
    REFUSE = "refuse"
    CLOSE = "close"


class ConnectionLimit:
    """The accepted connections of all listeners of an instance.

    Attributes:
        max_open: Number of connections from which a new one replaces an idle one.
        max_refused: Number of connections in addition that are refused with a response.
        open_count: Number of open connections.
    """

    def __init__(self, sockets: int = DEFAULT_SOCKETS) -> None:
        """Start without connections.

        Args:
            sockets: Number of sockets that the process may open.
        """
        self.max_open = max(1, int(sockets * ACCEPTED_SHARE))
        self.max_refused = max(1, int(sockets * REFUSED_SHARE))
        self.open_count = 0
        # In the order in which they became idle.
        self._idle: dict[anyio.CancelScope, None] = {}

    def open(self) -> Admission:
        """Count a new connection, and decide what happens with it."""
        self.open_count += 1
        if self.open_count <= self.max_open or self._close_longest_idle():
            return Admission.SERVE
        if self.open_count <= self.max_open + self.max_refused:
            return Admission.REFUSE
        return Admission.CLOSE

    def close(self) -> None:
        """Stop counting a connection."""
        self.open_count -= 1

    def mark_idle(self, scope: anyio.CancelScope) -> None:
        """Register a connection as waiting for its next request.

        Args:
            scope: Its cancellation closes the connection.
        """
        self._idle[scope] = None

    def mark_busy(self, scope: anyio.CancelScope) -> None:
        """Unregister a connection that is no longer waiting for a request."""
        self._idle.pop(scope, None)

    def _close_longest_idle(self) -> bool:
        scope = next(iter(self._idle), None)
        if scope is None:
            return False
        del self._idle[scope]
        scope.cancel()
        return True

"""The requests in progress, so that a planned exit can end them with an answer.

A request that is only cut off leaves its caller without an answer, and with it the
responses of later requests on the same connection, which wait for their turn.
"""

from collections.abc import Iterator
from contextlib import contextmanager

import anyio


class RequestScopes:
    """Cancel scopes of the requests in progress, with the deadline of each request."""

    def __init__(self) -> None:
        self._deadlines_s: dict[anyio.CancelScope, float] = {}

    @contextmanager
    def open(self, expires_at_s: float) -> Iterator[anyio.CancelScope]:
        """Run a request in a scope of its own.

        Args:
            expires_at_s: Deadline of the request on the monotonic clock, in seconds.

        Yields:
            The scope. If it was cancelled, the request has no response yet.
        """
        with anyio.CancelScope() as scope:
            self._deadlines_s[scope] = expires_at_s
            try:
                yield scope
            finally:
                del self._deadlines_s[scope]

    def cancel_outlasting(self, exit_at_s: float) -> int:
        """Cancel the requests whose deadline is after an exit; return their number.

        Args:
            exit_at_s: Time of the exit on the monotonic clock, in seconds.
        """
        outlasting = [
            scope
            for scope, expires_at_s in self._deadlines_s.items()
            if expires_at_s > exit_at_s
        ]
        for scope in outlasting:
            scope.cancel()
        return len(outlasting)

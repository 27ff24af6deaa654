"""Limit the memory that all bodies of an instance take together.

The bodies of callers' requests and of upstreams' responses are held whole, and are
counted while they are read and until they are passed on. Long bodies may not take the
last part of the budget, so short ones are served while long ones wait or are refused.
"""

from collections.abc import Iterator
from contextlib import contextmanager

import anyio

# Size up to which a body is short, in bytes.
SHORT_BODY_BYTES = 262_144
# Share of an instance's memory that bodies may take. A body takes about twice its size
# at the moment at which it is complete, and everything else takes up to 70 MB.
BUDGET_SHARE_OF_MEMORY = 0.3
# Share of the budget that long bodies may take.
LONG_BODIES_SHARE = 0.8
# Budget where the instance's memory is not known, in bytes.
DEFAULT_BUDGET_BYTES = 60 * 1024 * 1024


def budget_bytes(memory_bytes: int) -> int:
    """Return the size of the budget.

    Args:
        memory_bytes: Memory of the instance, in bytes.
    """
    return int(memory_bytes * BUDGET_SHARE_OF_MEMORY)


class BodyBudget:
    """The bytes of all bodies that an instance holds.

    Attributes:
        limit_bytes: Maximum number of bytes that bodies of requests and growing
            responses may take.
        held_bytes: Number of bytes held now.
    """

    def __init__(self, limit_bytes: int = DEFAULT_BUDGET_BYTES) -> None:
        """Start without bodies.

        Args:
            limit_bytes: Maximum number of bytes.
        """
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._has_room = anyio.Event()

    @contextmanager
    def open(self) -> Iterator["HeldBody"]:
        """Count one body until the end of the block."""
        body = HeldBody(self)
        try:
            yield body
        finally:
            body.release()

    @contextmanager
    def hold(self, size_bytes: int) -> Iterator[None]:
        """Count a complete body, which is held anyway, until the end of the block."""
        self.held_bytes += size_bytes
        try:
            yield
        finally:
            self.free(size_bytes)

    def limit_for(self, size_bytes: int) -> int:
        """Return how many bytes may be held once a body of a size is among them."""
        is_short = size_bytes <= SHORT_BODY_BYTES
        return (
            self.limit_bytes if is_short else int(self.limit_bytes * LONG_BODIES_SHARE)
        )

    def free(self, size_bytes: int) -> None:
        """Stop counting bytes, and wake all bodies that wait for room."""
        self.held_bytes -= size_bytes
        self._has_room.set()
        self._has_room = anyio.Event()

    async def wait_for_room(self) -> None:
        """Wait until other bytes are freed."""
        await self._has_room.wait()


class HeldBody:
    """One body that is counted while it is read.

    Attributes:
        size_bytes: Number of bytes counted for it.
    """

    def __init__(self, budget: BodyBudget) -> None:
        self.size_bytes = 0
        self._budget = budget

    def try_grow(self, size_bytes: int) -> bool:
        """Count the body with a new size; return False if there is no room for it."""
        added_bytes = max(0, size_bytes - self.size_bytes)
        total_bytes = self._budget.held_bytes + added_bytes
        if added_bytes and total_bytes > self._budget.limit_for(size_bytes):
            return False
        self._budget.held_bytes = total_bytes
        self.size_bytes += added_bytes
        return True

    async def grow(self, size_bytes: int, timeout_s: float) -> bool:
        """Count the body with a new size, once there is room for it.

        Only a body of which nothing is held yet may wait: bodies that hold parts of the
        budget while they wait for more would wait for each other.

        Args:
            size_bytes: The new size, in bytes.
            timeout_s: Maximum time to wait, in seconds.

        Returns:
            Whether the body is counted.
        """
        if size_bytes > self._budget.limit_for(size_bytes):
            return False
        with anyio.move_on_after(timeout_s):
            while not self.try_grow(size_bytes):
                await self._budget.wait_for_room()
            return True
        return False

    def release(self) -> None:
        """Stop counting the body."""
        if self.size_bytes:
            self._budget.free(self.size_bytes)
            self.size_bytes = 0

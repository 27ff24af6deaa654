"""Limit the memory that large response bodies take together.

Upstreams may send bodies without end. Small bodies are not counted, so those of other
upstreams are read while the limit is reached.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

# Size up to which a body is small, in bytes.
SMALL_RESPONSE_BYTES = 262_144
# Maximum total size of the large bodies that are being read, in bytes. A body takes
# about twice its size, and small machines have 200 MB.
MAX_LARGE_BODIES_BYTES = 32 * 1024 * 1024


class LargeBodies:
    """The large bodies that are being read on all connections of a pool.

    Attributes:
        held_bytes: Their total size, in bytes.
    """

    def __init__(self) -> None:
        self.held_bytes = 0

    @contextmanager
    def track(self) -> Iterator[Callable[[int], bool]]:
        """Count one body while it is read.

        Yields:
            A function that is called with the new size of the body, in bytes, and
            returns whether the body may be held.
        """
        counted_bytes = 0

        def grow(size_bytes: int) -> bool:
            nonlocal counted_bytes
            if size_bytes <= SMALL_RESPONSE_BYTES:
                return True
            added_bytes = size_bytes - counted_bytes
            if self.held_bytes + added_bytes > MAX_LARGE_BODIES_BYTES:
                return False
            self.held_bytes += added_bytes
            counted_bytes = size_bytes
            return True

        try:
            yield grow
        finally:
            self.held_bytes -= counted_bytes

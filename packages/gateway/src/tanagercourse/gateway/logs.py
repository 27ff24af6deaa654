"""Structured logs on standard output, with limited volume and without blocking.

Lines are appended to a bounded buffer, which one task writes out. Lines that exceed the
buffer size or the rate limit are dropped and counted, and the count is logged.
"""

import os
import sys
from collections import deque
from collections.abc import Callable
from typing import Any

import anyio
import msgspec
import structlog

# Rate limit of log lines: average per second, and maximum burst.
MAX_LINES_PER_S = 300.0
MAX_BURST_LINES = 900
# Maximum number of buffered lines.
MAX_BUFFERED_LINES = 4000
# Interval between writes, in seconds.
WRITE_INTERVAL_S = 0.25
# Target size of one write, in bytes; less than the capacity of a pipe.
WRITE_CHUNK_BYTES = 32_768

_encode = msgspec.json.Encoder(enc_hook=str).encode


class LogBuffer:
    """A bounded buffer of log lines with a rate limit.

    Attributes:
        dropped: Number of dropped lines.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.dropped = 0
        self._clock = clock
        self._lines: deque[bytes] = deque()
        self._tokens = float(MAX_BURST_LINES)
        self._refilled_at_s = clock()

    def msg(self, line: bytes) -> None:
        """Append a line, or drop and count it if a limit is exceeded."""
        now_s = self._clock()
        new_tokens = (now_s - self._refilled_at_s) * MAX_LINES_PER_S
        self._tokens = min(MAX_BURST_LINES, self._tokens + new_tokens)
        self._refilled_at_s = now_s
        if self._tokens < 1 or len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        self._tokens -= 1
        self._lines.append(line)

    debug = info = warning = error = critical = msg

    def write(self, descriptor: int) -> None:
        """Write as many lines as the file descriptor accepts without blocking."""
        while self._lines:
            chunk = self._next_chunk()
            try:
                written = os.write(descriptor, chunk)
            except BlockingIOError:
                written = 0
            if written < len(chunk):
                self._lines.appendleft(chunk[written:-1])
                return

    def _next_chunk(self) -> bytes:
        chunk = bytearray()
        while self._lines and len(chunk) < WRITE_CHUNK_BYTES:
            chunk += self._lines.popleft() + b"\n"
        return bytes(chunk)


Log = structlog.typing.FilteringBoundLogger


def configure_logging(
    lines: LogBuffer, wall_clock: Callable[[], float], **fields: str
) -> Log:
    """Configure structlog and return a logger that adds fields to each line.

    Args:
        lines: Buffer that the log lines are appended to.
        wall_clock: Returns the Unix time, in seconds.
        fields: Fields that are added to each line.
    """

    def encode_line(_: Any, level: str, event: structlog.typing.EventDict) -> bytes:
        return _encode({"at": round(wall_clock(), 3), "level": level, **event})

    structlog.configure(
        processors=[structlog.processors.format_exc_info, encode_line],
        wrapper_class=structlog.make_filtering_bound_logger(20),
        logger_factory=lambda *_: lines,
        cache_logger_on_first_use=True,
    )
    log: Log = structlog.get_logger(**fields)
    return log


async def run_log_writer(lines: LogBuffer, log: Log) -> None:
    """Write buffered lines to standard output until cancelled."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    reported_count = 0
    try:
        while True:
            await anyio.sleep(WRITE_INTERVAL_S)
            if lines.dropped > reported_count:
                log.warning("log_lines_dropped", count=lines.dropped - reported_count)
                reported_count = lines.dropped
            lines.write(descriptor)
    finally:
        lines.write(descriptor)

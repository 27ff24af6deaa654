"""Structured logs on standard output: bounded in volume, never blocking a request.

Lines go to a bounded buffer, which one task writes out. What has no room, in the
buffer or in the rate, is counted, and the count is logged.
"""

import os
import sys
from collections import deque
from collections.abc import Callable
from typing import Any

import anyio
import msgspec
import structlog

# Lines a second that are kept on average, and at once.
LINES_PER_S = 300.0
BURST_LINES = 900
# Lines that wait to be written.
BUFFERED_LINES = 4000
WRITE_INTERVAL_S = 0.25
# What is written in one go, in bytes; less than a pipe holds.
WRITE_BYTES = 32_768

_encode = msgspec.json.Encoder(enc_hook=str).encode


class LogBuffer:
    """A buffer of lines with a bounded rate.

    Attributes:
        dropped: Lines that had no room.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.dropped = 0
        self._clock = clock
        self._lines: deque[bytes] = deque()
        self._tokens = float(BURST_LINES)
        self._filled_at_s = clock()

    def msg(self, line: bytes) -> None:
        """Take one line, or count it as dropped."""
        now_s = self._clock()
        gained = (now_s - self._filled_at_s) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + gained)
        self._filled_at_s = now_s
        if self._tokens < 1 or len(self._lines) >= BUFFERED_LINES:
            self.dropped += 1
            return
        self._tokens -= 1
        self._lines.append(line)

    debug = info = warning = error = critical = msg

    def write(self, descriptor: int) -> None:
        """Write what the descriptor takes without waiting."""
        while self._lines:
            chunk = self._take()
            try:
                written = os.write(descriptor, chunk)
            except BlockingIOError:
                written = 0
            if written < len(chunk):
                self._lines.appendleft(chunk[written:-1])
                return

    def _take(self) -> bytes:
        chunk = bytearray()
        while self._lines and len(chunk) < WRITE_BYTES:
            chunk += self._lines.popleft() + b"\n"
        return bytes(chunk)


Log = structlog.typing.FilteringBoundLogger


def configure_logging(
    lines: LogBuffer, wall_clock: Callable[[], float], **fields: str
) -> Log:
    """Return a log whose every line carries the given fields."""

    def stamp(_: Any, level: str, event: structlog.typing.EventDict) -> bytes:
        return _encode({"at": round(wall_clock(), 3), "level": level, **event})

    structlog.configure(
        processors=[structlog.processors.format_exc_info, stamp],
        wrapper_class=structlog.make_filtering_bound_logger(20),
        logger_factory=lambda *_: lines,
        cache_logger_on_first_use=True,
    )
    log: Log = structlog.get_logger(**fields)
    return log


async def run_log_writer(lines: LogBuffer, log: Log) -> None:
    """Write lines out until cancelled."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    reported = 0
    try:
        while True:
            await anyio.sleep(WRITE_INTERVAL_S)
            if lines.dropped > reported:
                log.warning("log_lines_dropped", count=lines.dropped - reported)
                reported = lines.dropped
            lines.write(descriptor)
    finally:
        lines.write(descriptor)

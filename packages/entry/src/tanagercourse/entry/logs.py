"""Set up structured logs."""

import logging
import sys

import structlog

from tanagercourse.entry.options import LogFormat, LogLevel


def configure_logging(log_format: LogFormat, level: LogLevel) -> None:
    """Write log lines to standard error in the given format, from a level up."""
    renderer: structlog.typing.Processor = structlog.processors.JSONRenderer()
    if log_format is LogFormat.CONSOLE:
        renderer = structlog.dev.ConsoleRenderer()
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelName(level.value.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )

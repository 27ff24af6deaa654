"""Print answers as tables or JSON, and end with the exit code of a problem."""

import sys
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum, unique
from typing import Any, NoReturn

import click
import msgspec

from tanagercourse.core.problems import InvalidField, Problem
from tanagercourse.operators.differences import diff_json
from tanagercourse.operators.owners import NotOwner
from tanagercourse.operators.progress import NotEverywhere
from tanagercourse.operators.settings import EditConflict
from tanagercourse.platform.store import Conflict, NotFound, Unavailable
from tanagercourse.platform.update import Unsettled


@unique
class OutputFormat(Enum):
    """How answers are printed."""

    TABLE = "table"
    JSON = "json"


@unique
class ExitCode(IntEnum):
    """What the command line's exit codes mean."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    NOT_OWNER = 5
    NOT_FOUND = 6
    UNAVAILABLE = 7
    NOT_EVERYWHERE = 8


@dataclass(frozen=True)
class ProblemOutput:
    """A problem as JSON output gives it.

    Attributes:
        problem: Its type.
        message: What it tells a person.
        fields: The problem itself.
    """

    problem: str
    message: str
    fields: Problem


EXIT_CODES = """\b
Exit codes:
  0  done
  1  failed for another reason
  2  wrong usage: flags or arguments
  3  a field of the settings is invalid; the message names it
  4  conflict: someone else changed the settings first
  5  the settings belong to another team
  6  nothing is at this path
  7  the platform did not answer; the message says whether the change may count
  8  accepted, but not in force everywhere in the time given
"""

_EXIT_CODE_BY_PROBLEM: tuple[tuple[type[Problem], ExitCode], ...] = (
    (InvalidField, ExitCode.INVALID),
    (EditConflict, ExitCode.CONFLICT),
    (Conflict, ExitCode.CONFLICT),
    (NotOwner, ExitCode.NOT_OWNER),
    (NotFound, ExitCode.NOT_FOUND),
    (Unavailable, ExitCode.UNAVAILABLE),
    (Unsettled, ExitCode.UNAVAILABLE),
    (NotEverywhere, ExitCode.NOT_EVERYWHERE),
)


def examples(*commands: str) -> str:
    r"""Return example commands as text that click does not wrap.

    >>> examples("tanagercourse status")
    '\x08\nExamples:\n  tanagercourse status'
    """
    return "\b\nExamples:\n" + "\n".join(f"  {command}" for command in commands)


def format_table(headings: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return rows under their headings, each column as wide as it has to be.

    >>> print(format_table(("zone", "lag"), [("split-a", "1")]))
    zone     lag
    split-a  1
    """
    lines = [headings, *rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def print_json(answer: Any) -> None:
    """Print an answer as JSON text, one field a line."""
    click.echo(msgspec.json.format(msgspec.json.encode(answer)).decode())


def exit_code_of(problem: Problem) -> ExitCode:
    """Return the exit code that stands for a problem."""
    for kind, code in _EXIT_CODE_BY_PROBLEM:
        if isinstance(problem, kind):
            return code
    return ExitCode.FAILED


def fail(problem: Problem, output: OutputFormat) -> NoReturn:
    """Print a problem on the error stream and end with its exit code."""
    if output is OutputFormat.JSON:
        body = ProblemOutput(type(problem).__name__, problem.describe(), problem)
        click.echo(msgspec.json.encode(body).decode(), err=True)
    else:
        click.echo(f"tanagercourse: {problem.describe()}", err=True)
        if isinstance(problem, EditConflict):
            names = (f"version {problem.found}, stands", "yours, refused")
            difference = diff_json(problem.theirs, problem.ours, *names)
            click.echo(difference, err=True)
    sys.exit(exit_code_of(problem))

"""Print results as tables or JSON, and exit with the code that a problem maps to."""

import sys
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum, unique
from typing import Any, NoReturn

import click
import msgspec

from tanagercourse.core.problems import InvalidField, Problem
from tanagercourse.diagnosis.story import UnknownRequest
from tanagercourse.operators.differences import diff_json
from tanagercourse.operators.owners import NotOwner
from tanagercourse.operators.progress import NotEverywhere
from tanagercourse.operators.settings import EditConflict
from tanagercourse.platform.store import Conflict, NotFound, Unavailable
from tanagercourse.platform.update import Unsettled


@unique
class OutputFormat(Enum):
    """The format in which commands print their results."""

    TABLE = "table"
    JSON = "json"


@unique
class ExitCode(IntEnum):
    """The exit codes of the command line."""

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
    """A problem in JSON output.

    Attributes:
        problem: The name of the problem's type.
        message: The problem's description.
        fields: The problem, encoded with its own fields.
    """

    problem: str
    message: str
    fields: Problem


EXIT_CODES_HELP = """\b
Exit codes:
  0  done
  1  failed for another reason
  2  wrong usage: flags or arguments
  3  a field of the settings is invalid; the message names it
  4  conflict: the settings were changed by another edit first
  5  the settings belong to another team
  6  there is no object at this path, or no log line about this request
  7  the platform did not respond; the message states whether the change may have
     been applied
  8  accepted, but not in force everywhere within the given time
"""

_EXIT_CODE_BY_PROBLEM: tuple[tuple[type[Problem], ExitCode], ...] = (
    (InvalidField, ExitCode.INVALID),
    (EditConflict, ExitCode.CONFLICT),
    (Conflict, ExitCode.CONFLICT),
    (NotOwner, ExitCode.NOT_OWNER),
    (NotFound, ExitCode.NOT_FOUND),
    (UnknownRequest, ExitCode.NOT_FOUND),
    (Unavailable, ExitCode.UNAVAILABLE),
    (Unsettled, ExitCode.UNAVAILABLE),
    (NotEverywhere, ExitCode.NOT_EVERYWHERE),
)


def examples(*commands: str) -> str:
    r"""Return help text that lists example commands, each on a line of its own.

    The mark `\b` stops click from rewrapping the lines.

    >>> examples("tanagercourse status")
    '\x08\nExamples:\n  tanagercourse status'
    """
    return "\b\nExamples:\n" + "\n".join(f"  {command}" for command in commands)


def format_table(headings: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a text table, each column as wide as its longest cell.

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


def print_json(result: Any) -> None:
    """Print a result as indented JSON text, one field per line."""
    click.echo(msgspec.json.format(msgspec.json.encode(result)).decode())


def exit_code_of(problem: Problem) -> ExitCode:
    """Return the exit code for a problem, FAILED if its type has none of its own."""
    for problem_type, code in _EXIT_CODE_BY_PROBLEM:
        if isinstance(problem, problem_type):
            return code
    return ExitCode.FAILED


def fail(problem: Problem, output: OutputFormat) -> NoReturn:
    """Print a problem on standard error and exit with its code."""
    if output is OutputFormat.JSON:
        body = ProblemOutput(type(problem).__name__, problem.describe(), problem)
        click.echo(msgspec.json.encode(body).decode(), err=True)
    else:
        click.echo(f"tanagercourse: {problem.describe()}", err=True)
        if isinstance(problem, EditConflict):
            labels = (f"version {problem.found}, current", "your version, refused")
            difference = diff_json(problem.theirs, problem.ours, *labels)
            click.echo(difference, err=True)
    sys.exit(exit_code_of(problem))

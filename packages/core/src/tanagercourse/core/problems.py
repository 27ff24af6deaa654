"""Typed problems, which functions return as the failure of a `Result`."""

from dataclasses import dataclass

from tanagercourse.core.ids import RequestId
from tanagercourse.core.states import Execution, RefusalReason


@dataclass(frozen=True)
class Problem:
    """Base class of all problems."""

    def describe(self) -> str:
        """Return a one-line, human-readable description of the problem."""
        return repr(self)


@dataclass(frozen=True)
class InvalidField(Problem):
    """A field of an input has an invalid value.

    Attributes:
        source: Origin of the input: an object's path, a flag or a kind of message.
        field: Name of the field, or its path within the input.
        value: The invalid value as text.
        allowed: Description of the valid values.
    """

    source: str
    field: str
    value: str
    allowed: str

    def describe(self) -> str:
        """Return the field, its value and the valid values as one line.

        >>> InvalidField("/teams/a", "slots", "0", "at least 1").describe()
        '/teams/a: slots is 0; allowed: at least 1'
        """
        return f"{self.source}: {self.field} is {self.value}; allowed: {self.allowed}"


@dataclass(frozen=True)
class Refusal(Problem):
    """A request that got no complete response.

    Attributes:
        request_id: Id of the refused request.
        reason: Why the request was refused or failed.
        execution: Whether a backend server has executed the request.
        retry_after_s: Minimum delay before a retry, in seconds; 0 if unspecified.
    """

    request_id: RequestId
    reason: RefusalReason
    execution: Execution
    retry_after_s: float = 0.0

    def describe(self) -> str:
        """Return the request id, the reason and the execution state as one line."""
        execution_text = self.execution.value.replace("_", " ")
        return f"request {self.request_id}: {self.reason.value}, {execution_text}"

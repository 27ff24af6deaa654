"""Typed problems: what a function returns in place of an answer."""

from dataclasses import dataclass

from tanagercourse.core.ids import RequestId
from tanagercourse.core.states import Execution, RefusalReason


@dataclass(frozen=True)
class Problem:
    """Base of every problem that a function returns."""

    def describe(self) -> str:
        """Tell a person what went wrong.

        Returns:
            One line of text.
        """
        return repr(self)


@dataclass(frozen=True)
class InvalidField(Problem):
    """A field of some input holds a value that it must not.

    Attributes:
        source: Where the input came from: an object's path, a flag, a message.
        field: The field's name or path inside the input.
        value: The offending value as text.
        allowed: What the field may hold.
    """

    source: str
    field: str
    value: str
    allowed: str

    def describe(self) -> str:
        """Tell a person which field is wrong and what it may hold.

        >>> InvalidField("/teams/a", "slots", "0", "at least 1").describe()
        '/teams/a: slots is 0; allowed: at least 1'
        """
        return f"{self.source}: {self.field} is {self.value}; allowed: {self.allowed}"


@dataclass(frozen=True)
class Refusal(Problem):
    """A request that got no whole answer.

    Attributes:
        request_id: The request this refusal answers.
        reason: Why it was refused.
        execution: What is known of its run on a backend server.
        retry_after_s: How long to wait before asking again, in seconds.
    """

    request_id: RequestId
    reason: RefusalReason
    execution: Execution
    retry_after_s: float = 0.0

    def describe(self) -> str:
        """Tell a person why the request was refused and whether it ran."""
        ran = self.execution.value.replace("_", " ")
        return f"request {self.request_id}: {self.reason.value}, {ran}"

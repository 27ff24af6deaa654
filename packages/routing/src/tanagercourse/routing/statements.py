"""What upstreams say of themselves in responses, kept for each of their lifetimes.

Such a statement comes from the upstream itself, so no registration changes it, neither
an older nor a newer one, and it outlasts the upstream's record: an upstream whose
registration lapses and reappears is still bound by it. A new lifetime is not.
"""

from collections import OrderedDict
from dataclasses import dataclass

from tanagercourse.core.ids import UpstreamId

# Maximum number of lifetimes whose statements are kept; the oldest ones are dropped. A
# lifetime ends soon after its upstream has said that it leaves.
MAX_LIFETIMES = 10_000


@dataclass(frozen=True)
class Lifetime:
    """One lifetime of an upstream.

    Attributes:
        upstream: Id of the upstream.
        started_unix_ms: Start time by the upstream's clock, in Unix milliseconds.
    """

    upstream: UpstreamId
    started_unix_ms: int


@dataclass
class Statements:
    """What an upstream has said of itself.

    Attributes:
        is_leaving: Whether it wants no new requests for the rest of its lifetime.
        paused_until_s: Time until which it wants none, on the monotonic clock, in
            seconds.
    """

    is_leaving: bool = False
    paused_until_s: float = 0.0


class StatementStore:
    """The statements of all lifetimes that have made any."""

    def __init__(self) -> None:
        self._by_lifetime: OrderedDict[Lifetime, Statements] = OrderedDict()

    def get(self, lifetime: Lifetime) -> Statements:
        """Return the statements of a lifetime, new ones if it has made none."""
        return self._by_lifetime.get(lifetime) or Statements()

    def keep(self, lifetime: Lifetime, statements: Statements) -> None:
        """Keep the statements of a lifetime from now on."""
        self._by_lifetime[lifetime] = statements
        self._by_lifetime.move_to_end(lifetime)
        if len(self._by_lifetime) > MAX_LIFETIMES:
            self._by_lifetime.popitem(last=False)

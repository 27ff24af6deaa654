"""Upstreams that left, so that an older copy of the store doesn't bring them back.

After the store came back from an older copy, it lists upstreams that left since the
copy was made. Their entries are those from before they left. An entry of a later
revision was written after the store's return, by an upstream that is in use.
"""

from collections import OrderedDict
from dataclasses import dataclass

from tanagercourse.platform.reading import Era, Revision, StoreVersion
from tanagercourse.routing.statements import Lifetime

# Maximum number of lifetimes that are remembered; the oldest ones are dropped. A copy
# is some seconds old, so it has no upstream that left long ago.
MAX_LIFETIMES = 4096


@dataclass(frozen=True, slots=True)
class _Withdrawal:
    """When a lifetime left.

    Attributes:
        era: Era in which it left.
        written: Revision of its last entry.
    """

    era: Era
    written: Revision


class WithdrawnLifetimes:
    """The lifetimes of upstreams that were removed, replaced or began to drain."""

    def __init__(self) -> None:
        self._withdrawals: OrderedDict[Lifetime, _Withdrawal] = OrderedDict()

    def record(self, lifetime: Lifetime, era: Era, written: Revision) -> None:
        """Record that a lifetime left.

        Args:
            lifetime: The lifetime.
            era: The current era.
            written: Revision of the lifetime's last entry, also in an earlier era.
        """
        self._withdrawals[lifetime] = _Withdrawal(era, written)
        self._withdrawals.move_to_end(lifetime)
        if len(self._withdrawals) > MAX_LIFETIMES:
            self._withdrawals.popitem(last=False)

    def forget(self, lifetime: Lifetime) -> None:
        """Record that a lifetime is in use."""
        self._withdrawals.pop(lifetime, None)

    def may_precede_withdrawal(self, lifetime: Lifetime, entry: StoreVersion) -> bool:
        """Return whether an entry may be one from before the lifetime left.

        Args:
            lifetime: The lifetime that the entry is about.
            entry: Version of the entry.
        """
        withdrawal = self._withdrawals.get(lifetime)
        if withdrawal is None or entry.era <= withdrawal.era:
            return False
        return entry.revision <= withdrawal.written

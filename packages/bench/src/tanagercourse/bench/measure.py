"""One measured figure beside the naive or earlier version's."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum, unique


@unique
class Bound(Enum):
    """Which side of its target a measure has to stay on."""

    AT_LEAST = "at least"
    AT_MOST = "at most"


@dataclass(frozen=True)
class Target:
    """What users or issues ask of a measure."""

    bound: Bound
    value: float


@dataclass(frozen=True)
class Measure:
    """One measured figure.

    Attributes:
        name: What is measured, such as "lookup/http/rate".
        unit: Its unit.
        ours: The product's figure.
        naive: The naive or earlier version's figure in the same run, if any.
        target: What is asked of it, if anything.
    """

    name: str
    unit: str
    ours: float
    naive: float | None = None
    target: Target | None = None

    @property
    def ratio(self) -> float | None:
        """Return ours over naive, None where there is nothing to compare.

        >>> Measure("lookup/memory", "MB", 24.0, 48.0).ratio
        0.5
        """
        return self.ours / self.naive if self.naive else None

    @property
    def is_met(self) -> bool | None:
        """Whether the target is met, None without one.

        >>> Measure("rate", "1/s", 5.0, target=Target(Bound.AT_LEAST, 4.0)).is_met
        True
        """
        if self.target is None:
            return None
        if self.target.bound is Bound.AT_LEAST:
            return self.ours >= self.target.value
        return self.ours <= self.target.value


# Takes a seed and yields measures as they are taken.
MeasureAll = Callable[[int], Iterable[Measure]]
